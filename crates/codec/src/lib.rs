//! The border between generated messages and the types of the decision crates.

mod codec;
mod entry;
mod error;
mod hex;
mod key;
mod object;
mod peer;
mod record;
mod settings;
mod snapshot;
mod starts;
mod ticket;

pub use codec::{MAX_PEER_BYTES, decode_peer, encode_peer, from_json, to_json};
pub use entry::{ENTRY_VERSION, Entry, decode_entry, encode_entry};
pub use error::Error;
pub use hex::{digest_hex, parse_digest};
pub use key::{CallerKey, new_key};
pub use object::{object_id_to_proto, object_to_proto};
pub use peer::{listed, order_to_proto, report};
pub use record::{
    Logged, figures_to_proto, holder_from_proto, holder_to_proto, record_from_proto,
    record_to_proto,
};
pub use settings::{ENTRY_SECTIONS, FLEET_SECTIONS, SettingError, load_settings};
pub use snapshot::{CHUNK_BYTES, restore, snapshot_chunks};
pub use starts::{
    rows_from_proto, starts_key, window_to_proto, windows_from_proto, windows_to_proto,
};
pub use ticket::{outcome_to_proto, parse_ticket, ticket_from_proto};
