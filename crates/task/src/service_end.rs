//! The end of service, at which the requests in flight must end.

use std::pin::pin;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use compio::runtime::JoinHandle;
use futures_util::future::{Either, select};

/// Time in which callers get the final responses to requests that were still in flight at the end of
/// service.
const LAST_RESPONSES: Duration = Duration::from_millis(250);

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

/// Waits for the end of the callers' server. After `serving`, the requests in flight are ended by
/// dropping `end_service`, and get their final responses. Returns whether the server has ended.
pub async fn finish_requests(
    callers: JoinHandle<()>,
    serving: Duration,
    end_service: Sender<()>,
) -> bool {
    let mut callers = pin!(callers);
    if compio::time::timeout(serving, callers.as_mut()).await.is_ok() {
        return true;
    }
    drop(end_service);
    compio::time::timeout(LAST_RESPONSES, callers).await.is_ok()
}
