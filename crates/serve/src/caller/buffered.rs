//! Requests whose response is buffered completely.

use std::sync::Arc;

use bytes::Bytes;
use cowslip_fleet::{Failure, RetrySafety, SendOutcome, Upstream};
use cowslip_net::{Body, full_body};
use http::Response;
use http::response::Parts;

use super::exchange::{BufferedResponse, buffer_response, exchange};
use super::hedge::hedged;
use super::in_flight_request::InFlightRequest;
use crate::hub::HubMessage;
use crate::platform::{ErrorResponse, Operation, Platform};

/// Sends the request until an upstream responds or no further attempt is allowed.
pub(super) async fn serve<P>(
    request: InFlightRequest<P>,
    upstream: Arc<Upstream>,
    hedge_after_ms: Option<u64>,
) -> Response<Body>
where
    P: Platform,
{
    let sending = send_until_response(&request, upstream, hedge_after_ms);
    let result = request.within_deadline(sending).await;
    match result.unwrap_or_else(|expiry| Err(request.expiry_response(expiry))) {
        Ok((parts, body)) => caller_response(&request, parts, body),
        Err(error_response) => {
            request.on_error_response(&error_response);
            request.shared.platform.error_response(&error_response)
        }
    }
}

async fn send_until_response<P>(
    request: &InFlightRequest<P>,
    upstream: Arc<Upstream>,
    hedge_after_ms: Option<u64>,
) -> Result<(Parts, Bytes), ErrorResponse>
where
    P: Platform,
{
    // Boxed, since a second send and retries are rare.
    let send_to = |upstream| Box::pin(attempt(request, upstream));
    let first = send_to(upstream);
    let mut result = hedged(
        request,
        hedge_after_ms,
        first,
        send_to,
        |failed| failed.failure,
        FailedAttempt::merge,
    )
    .await;
    let mut failed_response = None;
    loop {
        let failure = match result {
            Ok(response) => return Ok(response),
            Err(FailedAttempt { failure, response }) => {
                failed_response = response.or(failed_response);
                failure
            }
        };
        match request.retry(failure).await {
            Ok(next) => result = send_to(next).await,
            Err(reason) => return failed_response.ok_or_else(|| request.final_response(reason)),
        }
    }
}

/// A send after which the request may be retried.
struct FailedAttempt {
    failure: Failure,
    /// The response, if it is an error of the upstream.
    response: Option<(Parts, Bytes)>,
}

impl FailedAttempt {
    fn merge(self, other: Self) -> Self {
        let failure = self.failure.gravest(other.failure);
        Self { failure, response: self.response.or(other.response) }
    }
}

/// Sends the request once and reports how that ended.
async fn attempt<P>(
    request: &InFlightRequest<P>,
    upstream: Arc<Upstream>,
) -> Result<(Parts, Bytes), FailedAttempt>
where
    P: Platform,
{
    let (parts, body, keep_alive) = send(request, &upstream)
        .await
        .map_err(|failure| FailedAttempt { failure, response: None })?;
    let id = request.assignment_id();
    let started = upstream.id.clone();
    request.send(HubMessage::RequestStarted { id, upstream: started, connection_age: None }).await;
    let is_failure = parts.status.is_server_error();
    let outcome = if is_failure { SendOutcome::Failed } else { SendOutcome::Responded };
    request.report_outcome(&upstream, outcome, keep_alive).await;
    if !is_failure {
        request.send(HubMessage::RequestSucceeded { id }).await;
    }
    if is_failure && request.authorized.route.retry_safety == RetrySafety::Idempotent {
        return Err(FailedAttempt { failure: Failure::Spoilt, response: Some((parts, body)) });
    }
    Ok((parts, body))
}

async fn send<P>(
    request: &InFlightRequest<P>,
    upstream: &Arc<Upstream>,
) -> Result<BufferedResponse, Failure>
where
    P: Platform,
{
    request.mark_may_have_run();
    let client = &request.shared.client;
    let operation = Operation::Serve { prefilled: None, after_event: None };
    let response = exchange(
        &request.shared,
        &request.caller_request,
        &request.upstream_request(upstream, operation),
    )
    .await;
    let result = match response {
        Ok(response) => buffer_response(&request.caller_request, upstream, client, response).await,
        Err(failure) => Err(failure),
    };
    if let Err(failure) = result {
        request.on_failure(upstream, failure).await;
    }
    result
}

/// Counts a complete response and builds the caller's response from it.
pub(super) fn caller_response<P>(
    request: &InFlightRequest<P>,
    parts: Parts,
    body: Bytes,
) -> Response<Body>
where
    P: Platform,
{
    let elapsed_ms = request.shared.clock.now_ms().saturating_sub(request.started_ms);
    request.shared.metrics.response_s.observe(elapsed_ms as f64 / 1_000.0);
    request.shared.metrics.requests.with_label_values(&["answered"]).inc();
    let platform = &request.shared.platform;
    platform
        .caller_response_head(parts)
        .body(full_body(body))
        .unwrap_or_else(|_| platform.error_response(&ErrorResponse::OUTCOME_UNKNOWN))
}
