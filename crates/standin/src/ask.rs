//! Questions to the task that owns a stand-in's state.

use async_channel::Sender;

/// Where one answer goes.
pub(crate) type Reply<T> = Sender<T>;

/// Sends a question and waits for its answer; `None` when the owner drops it.
pub(crate) async fn ask<M, T, F>(inbox: &Sender<M>, question: F) -> Option<T>
where
    F: FnOnce(Reply<T>) -> M,
{
    let (reply, answer) = async_channel::bounded(1);
    inbox.send(question(reply)).await.ok()?;
    answer.recv().await.ok()
}
