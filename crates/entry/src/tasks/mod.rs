//! Tasks around the hub, each the owner of its sockets.

mod errands;
mod links;
mod list;
mod log_reader;
mod log_writer;
mod peer_server;
mod platform;
mod ticker;

use cowslip_task::Handle;

use crate::hub::HubMessage;

pub(crate) use errands::run_errands;
pub(crate) use links::run_links;
pub(crate) use list::run_list;
pub(crate) use log_reader::run_log_reader;
pub(crate) use log_writer::run_log_writer;
pub(crate) use peer_server::run_peer_server;
pub(crate) use platform::Platform;
pub(crate) use ticker::run_ticker;

/// The way to the hub; when its inbox is full the sender waits.
pub(crate) type HubHandle = Handle<HubMessage>;
