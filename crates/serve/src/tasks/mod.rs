//! Tasks around the hub, each the owner of its sockets.

mod authority;
mod dependency;
mod duties;
mod follow;
mod links;
mod peer_server;
mod presence;
mod starts;

use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;

use crate::hub::{HubMessage, Reply};

pub(crate) use authority::{AuthorityJob, run_authority};
pub(crate) use duties::run_duties;
pub(crate) use follow::{Pace, run_follower};
pub(crate) use links::{LinkCommand, Peer, run_links};
pub(crate) use peer_server::run_peer_server;
pub(crate) use presence::{run_presence, withdraw};
pub(crate) use starts::{
    run_starts, starts_key, windows_from_proto, windows_to_proto, write_starts,
};

const TICK: Duration = Duration::from_millis(100);

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

    /// Tells the hub something from where nothing can wait.
    pub(crate) fn tell_later(&self, message: HubMessage) {
        if let Err(error) = self.inbox.try_send(message) {
            let (hub, message) = (self.clone(), error.into_inner());
            compio::runtime::spawn(async move { hub.tell(message).await }).detach();
        }
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

/// Tells the hub that time passes, until the process ends.
pub(crate) async fn run_ticker(hub: HubHandle) {
    loop {
        compio::time::sleep(TICK).await;
        hub.tell(HubMessage::Tick).await;
    }
}
