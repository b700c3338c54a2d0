//! The end of service, at which the requests in flight must end.

use std::pin::pin;
use std::time::Duration;

use async_channel::Receiver;
use futures_util::future::{Either, select};

/// Why work on a request was given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Expiry {
    /// The deadline of the request has passed.
    Deadline,
    /// The instance stops.
    ServiceEnd,
}

/// Notifies all requests of the end of service, shortly before the process ends.
#[derive(Clone, Debug)]
pub struct ServiceEnd {
    ended: Receiver<()>,
}

impl ServiceEnd {
    /// Returns a handle to the end of service, which is when `ended` closes.
    #[must_use]
    pub fn new(ended: Receiver<()>) -> Self {
        Self { ended }
    }

    /// Runs `work` until it ends, `timeout` has passed, or service ends.
    ///
    /// # Errors
    /// Returns an [`Expiry`] if the work was given up.
    pub async fn within<F>(&self, timeout: Duration, work: F) -> Result<F::Output, Expiry>
    where
        F: Future,
    {
        let work = pin!(compio::time::timeout(timeout, work));
        let ended = pin!(self.ended.recv());
        match select(work, ended).await {
            Either::Left((result, _)) => result.map_err(|_| Expiry::Deadline),
            Either::Right(_) => Err(Expiry::ServiceEnd),
        }
    }
}
