//! Requests to the task that owns a stand-in's state.

use async_channel::Sender;

/// Channel for a single reply.
pub(crate) type ReplySender<T> = Sender<T>;

/// Sends a message to the owner of `inbox` and waits for the reply. Returns `None` when the owner
/// ends or drops the reply channel.
pub(crate) async fn request_reply<M, T, F>(inbox: &Sender<M>, message: F) -> Option<T>
where
    F: FnOnce(ReplySender<T>) -> M,
{
    let (reply_sender, reply_receiver) = async_channel::bounded(1);
    inbox.send(message(reply_sender)).await.ok()?;
    reply_receiver.recv().await.ok()
}
