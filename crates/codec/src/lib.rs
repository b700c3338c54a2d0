//! Converts between generated messages and the types of the decision crates, and encodes messages,
//! log entries, snapshots and settings.

mod api_key;
mod codec;
mod error;
mod hex;
mod log_entry;
mod object;
mod peer;
mod record;
mod request_starts;
mod settings;
mod snapshot;
mod suspect;
mod ticket;

pub use api_key::{ApiKey, issue_api_key};
pub use codec::{
    MAX_PEER_MESSAGE_BYTES, compress_peer_message, decode_peer_message, decompress_peer_message,
    encode_peer_message, from_json, peer_message_bytes, to_json,
};
pub use error::CodecError;
pub use hex::{decode_digest_hex, encode_hex};
pub use log_entry::{LOG_ENTRY_VERSION, LogEntry, decode_log_entry, encode_log_entry};
pub use object::{object_id_to_proto, object_to_proto};
pub use peer::{engine_order_to_proto, heartbeat_from_proto, listed_member_from_proto};
pub use record::{
    DecodedRecord, holder_from_proto, holder_to_proto, record_from_proto, record_to_proto,
    usage_totals_to_proto,
};
pub use request_starts::{
    request_starts_key, start_counts_from_proto, start_window_to_proto, start_windows_from_proto,
    start_windows_to_proto,
};
pub use settings::{
    ENTRY_SETTING_SECTIONS, FLEET_SETTING_SECTIONS, SettingError, SettingOverride, load_settings,
};
pub use snapshot::{MAX_SNAPSHOT_CHUNK_BYTES, encode_snapshot, restore_snapshot};
pub use suspect::{
    suspect_from_proto, suspect_key_from_proto, suspect_key_to_proto, suspect_to_proto,
};
pub use ticket::{object_outcomes_to_proto, parse_ticket, ticket_from_proto};
