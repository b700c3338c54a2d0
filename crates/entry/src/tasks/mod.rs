//! Tasks of the instance other than the hub; each owns its sockets.

mod discovery;
mod fenced_writer;
mod log_reader;
mod log_writer;
mod peer_links;
mod peer_server;
mod platform;
mod ticker;

use cowslip_task::Handle;

use crate::hub::HubMessage;

pub(crate) use discovery::run_discovery;
pub(crate) use fenced_writer::run_fenced_writer;
pub(crate) use log_reader::run_log_reader;
pub(crate) use log_writer::run_log_writer;
pub(crate) use peer_links::run_peer_links;
pub(crate) use peer_server::run_peer_server;
pub(crate) use platform::PlatformClient;
pub(crate) use ticker::run_ticker;

/// Handle to the hub's inbox; a sender waits while the inbox is full.
pub(crate) type HubHandle = Handle<HubMessage>;
