//! Tasks around the hub, each the owner of its sockets.

mod errands;
mod links;
mod list;
mod log_reader;
mod log_writer;
mod peer_server;
mod platform;
mod ticker;

use std::rc::Rc;

use async_channel::Sender;

use crate::hub::{HubMessage, Reply};

pub(crate) use errands::run_errands;
pub(crate) use links::{LinkCommand, run_links};
pub(crate) use list::run_list;
pub(crate) use log_reader::run_log_reader;
pub(crate) use log_writer::{WriteJob, run_log_writer};
pub(crate) use peer_server::run_peer_server;
pub(crate) use platform::Platform;
pub(crate) use ticker::run_ticker;

/// The way to the hub; when its inbox is full the sender waits.
#[derive(Clone, Debug)]
pub(crate) struct HubHandle {
    inbox: Rc<Sender<HubMessage>>,
}

impl HubHandle {
    pub(crate) fn new(inbox: Sender<HubMessage>) -> Self {
        Self { inbox: Rc::new(inbox) }
    }

    /// Tells the hub something.
    pub(crate) async fn tell(&self, message: HubMessage) {
        // The inbox closes only when the process ends.
        let _ = self.inbox.send(message).await;
    }

    /// Asks the hub something; `None` when it gives no answer.
    pub(crate) async fn ask<T, F>(&self, question: F) -> Option<T>
    where
        F: FnOnce(Reply<T>) -> HubMessage,
    {
        let (reply, answer) = async_channel::bounded(1);
        self.tell(question(reply)).await;
        answer.recv().await.ok()
    }
}
