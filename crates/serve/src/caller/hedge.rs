//! The race of a slow send against a second one.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use cowslip_fleet::{Failure, Upstream};
use futures_util::future::{Either, select};

use super::in_flight_request::InFlightRequest;
use crate::hub::HubMessage;
use crate::platform::Platform;

/// Waits for `first`, and from `after_ms` on also for `second` at another upstream, if the hub allows
/// it. The first success is returned and the other send is dropped, which closes its connection; a
/// failure waits for the other send.
pub(super) async fn hedged<P, T, E, F, S, G, C, M>(
    request: &InFlightRequest<P>,
    after_ms: Option<u64>,
    first: F,
    second: S,
    failure_of: C,
    merge: M,
) -> Result<T, E>
where
    P: Platform,
    F: Future<Output = Result<T, E>>,
    S: FnOnce(Arc<Upstream>) -> G,
    G: Future<Output = Result<T, E>>,
    C: Fn(&E) -> Failure,
    M: FnOnce(E, E) -> E,
{
    let Some(after_ms) = after_ms else { return first.await };
    let first = pin!(first);
    let delay = pin!(compio::time::sleep(Duration::from_millis(after_ms)));
    let first = match select(first, delay).await {
        Either::Left((result, _)) => return result,
        Either::Right(((), first)) => first,
    };
    let hub = &request.shared.hub;
    let id = request.assignment_id();
    let upstream = hub.request(|reply| HubMessage::Hedge { id, reply }).await.flatten();
    let Some(upstream) = upstream else { return first.await };
    let report = async |is_second, result: Result<T, E>| {
        if let Err(error) = &result {
            let failure = failure_of(error);
            request.send(HubMessage::HedgedSendFailed { id, is_second, failure }).await;
        }
        result
    };
    let first = pin!(async { report(false, first.await).await });
    let second = pin!(async { report(true, second(upstream).await).await });
    let (result, has_won) = match select(first, second).await {
        Either::Left((Ok(response), _)) => (Ok(response), false),
        Either::Right((Ok(response), _)) => (Ok(response), true),
        Either::Left((Err(failure), second)) => {
            (second.await.map_err(|other| merge(failure, other)), true)
        }
        Either::Right((Err(failure), first)) => {
            (first.await.map_err(|other| merge(other, failure)), false)
        }
    };
    let end = match (&result, has_won) {
        (Ok(_), true) => "won",
        (Ok(_), false) => "lost",
        (Err(_), _) => "failed",
    };
    request.shared.metrics.hedges.with_label_values(&[end]).inc();
    result
}
