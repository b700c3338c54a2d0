//! Messages to a task that owns a state.

use std::rc::Rc;

use async_channel::Sender;

/// Where one answer goes; the channel holds one message.
pub type ReplySender<T> = Sender<T>;

/// Answers a question; one whose asker is gone needs no answer.
pub fn send_reply<T>(reply: &ReplySender<T>, value: T) {
    let _ = reply.try_send(value);
}

/// The way to the owner of a state; when its inbox is full the sender waits.
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
    /// A way into this inbox.
    #[must_use]
    pub fn new(inbox: Sender<M>) -> Self {
        Self { inbox: Rc::new(inbox) }
    }

    /// Tells the owner something.
    pub async fn tell(&self, message: M) {
        // The inbox closes only when the process ends.
        let _ = self.inbox.send(message).await;
    }

    /// Tells the owner something from where nothing can wait.
    pub fn tell_detached(&self, message: M) {
        if let Err(error) = self.inbox.try_send(message) {
            let (handle, message) = (self.clone(), error.into_inner());
            compio::runtime::spawn(async move { handle.tell(message).await }).detach();
        }
    }

    /// Asks the owner something; `None` when it gives no answer.
    pub async fn ask<T, F>(&self, question: F) -> Option<T>
    where
        F: FnOnce(ReplySender<T>) -> M,
    {
        let (reply, answer) = async_channel::bounded(1);
        self.tell(question(reply)).await;
        answer.recv().await.ok()
    }
}
