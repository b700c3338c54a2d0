//! Handles by which tasks send messages to the task that owns a state.

use std::rc::Rc;

use async_channel::Sender;

/// Sender for the one reply to a request. Its channel has room for one message.
pub type ReplySender<T> = Sender<T>;

/// Sends the reply to a request. A failed send is ignored: the requester no longer waits.
pub fn send_reply<T>(sender: &ReplySender<T>, value: T) {
    let _ = sender.try_send(value);
}

/// A handle to the task that owns a state, by which other tasks send it messages.
#[derive(Debug)]
pub struct Handle<M> {
    inbox: Rc<Sender<M>>,
}

impl<M> Clone for Handle<M> {
    fn clone(&self) -> Self {
        Self { inbox: self.inbox.clone() }
    }
}

impl<M> Handle<M>
where
    M: 'static,
{
    /// Creates a handle that sends to `inbox`.
    #[must_use]
    pub fn new(inbox: Sender<M>) -> Self {
        Self { inbox: Rc::new(inbox) }
    }

    /// Sends a message to the owner; waits while its inbox is full.
    pub async fn send(&self, message: M) {
        // The inbox closes only when the process ends, so a failed send is ignored.
        let _ = self.inbox.send(message).await;
    }

    /// Sends a message to the owner from code that cannot wait. If the inbox is full, a spawned
    /// task waits and sends it, so the message may be overtaken by later ones.
    pub fn send_detached(&self, message: M) {
        if let Err(error) = self.inbox.try_send(message) {
            let (handle, message) = (self.clone(), error.into_inner());
            compio::runtime::spawn(async move { handle.send(message).await }).detach();
        }
    }

    /// Sends a request to the owner and waits for its reply; returns `None` if the owner drops the
    /// request without a reply.
    pub async fn request<T, F>(&self, build_message: F) -> Option<T>
    where
        F: FnOnce(ReplySender<T>) -> M,
    {
        let (reply_sender, reply_receiver) = async_channel::bounded(1);
        self.send(build_message(reply_sender)).await;
        reply_receiver.recv().await.ok()
    }
}
