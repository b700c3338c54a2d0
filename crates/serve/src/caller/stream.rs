//! Streams up to their first byte: the prefill, if it is disaggregated, and the request for the
//! stream.

use std::sync::Arc;

use cowslip_fleet::{Failure, SendOutcome, Upstream};
use cowslip_net::{Body, Client, body_channel, read_body};
use http::Response;

use super::buffered::caller_response;
use super::exchange::{UpstreamResponse, buffer_response, exchange};
use super::hedge::hedged;
use super::in_flight_request::InFlightRequest;
use super::relay::Relay;
use crate::events::{Event, event};
use crate::platform::{ErrorResponse, Operation, Platform, PrefilledPrompt};

/// Timeout of the request that releases an unused prefilled prompt.
const RELEASE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);
/// Largest response to a release of a prefilled prompt, in bytes.
const MAX_RELEASE_RESPONSE_BYTES: usize = 65_536;

/// Opens a stream and starts the task that relays it, or returns an error response.
pub(super) async fn serve<P>(
    request: InFlightRequest<P>,
    prefill_upstream: Option<Arc<Upstream>>,
    upstream: Arc<Upstream>,
    hedge_after_ms: Option<u64>,
) -> Response<Body>
where
    P: Platform,
{
    let opening = open_stream(&request, prefill_upstream, upstream, hedge_after_ms);
    let opened = request.within_deadline(opening).await;
    match opened.unwrap_or_else(|expiry| Err(request.expiry_response(expiry))) {
        Ok((upstream, response)) if response.parts.status.is_success() => {
            let (parts, upstream_body) = response.split();
            let head = request.shared.platform.caller_response_head(parts);
            let (sender, body) = body_channel();
            let platform = request.shared.platform.clone();
            let relay = Relay::new(request, upstream, sender);
            compio::runtime::spawn(relay.run(upstream_body)).detach();
            head.body(body)
                .unwrap_or_else(|_| platform.error_response(&ErrorResponse::OUTCOME_UNKNOWN))
        }
        Ok((upstream, response)) => {
            let client = &request.shared.client;
            let reading = buffer_response(&request.caller_request, &upstream, client, response);
            match request.within_deadline(reading).await {
                Ok(Ok((parts, body, _))) => caller_response(&request, parts, body),
                Ok(Err(failure)) => {
                    request.report_failure(&upstream, failure).await;
                    reject(&request, &ErrorResponse::OUTCOME_UNKNOWN)
                }
                Err(expiry) => reject(&request, &request.expiry_response(expiry)),
            }
        }
        Err(error_response) => reject(&request, &error_response),
    }
}

fn reject<P>(request: &InFlightRequest<P>, error_response: &ErrorResponse) -> Response<Body>
where
    P: Platform,
{
    request.on_error_response(error_response);
    request.shared.platform.error_response(error_response)
}

/// Runs the prefill, if that is disaggregated, and sends the request until an engine responds.
async fn open_stream<P>(
    request: &InFlightRequest<P>,
    prefill_upstream: Option<Arc<Upstream>>,
    mut upstream: Arc<Upstream>,
    hedge_after_ms: Option<u64>,
) -> Result<(Arc<Upstream>, UpstreamResponse), ErrorResponse>
where
    P: Platform,
{
    let mut held_prefill = None;
    let mut refusals = 0;
    if let Some(prefill_upstream) = prefill_upstream {
        let send_to = |upstream| Box::pin(run_prefill(request, upstream));
        let first = send_to(prefill_upstream);
        let result =
            hedged(request, hedge_after_ms, first, send_to, |failure| *failure, Failure::gravest)
                .await;
        upstream = request.upstream_after_prefill(result.is_ok()).await?;
        match result {
            Ok(prefill) => held_prefill = Some(prefill),
            Err(failure) => request.acquire_prefill_fallback(failure).await?,
        }
    }
    loop {
        request.mark_may_have_run();
        let operation = Operation::Serve {
            prefilled: held_prefill.as_ref().map(|prefill| &prefill.prefilled),
            after_event: None,
        };
        let result = exchange(
            &request.shared,
            &request.caller_request,
            &request.upstream_request(&upstream, operation),
        )
        .await;
        let failure = match result {
            Ok(response) => {
                if let Some(prefill) = &mut held_prefill {
                    prefill.is_consumed = true;
                }
                return Ok((upstream, response));
            }
            Err(failure) => failure,
        };
        request.on_failure(&upstream, failure).await;
        let is_usable = match failure {
            Failure::NotArrived => true,
            // An engine that is full or changes its role has not consumed the prefilled prompt.
            // After a second refusal the prompt itself may be the cause, since it may have expired.
            Failure::NotRun | Failure::Misdirected | Failure::Unmet => {
                refusals += 1;
                refusals < 2
            }
            Failure::Broken | Failure::Malformed | Failure::Spoilt | Failure::NoMemory => false,
        };
        if !is_usable {
            held_prefill = None;
        }
        upstream =
            request.retry(failure).await.map_err(|rejection| request.final_response(rejection))?;
    }
}

/// A prefilled prompt, which is released when dropped unless an engine has consumed it.
struct HeldPrefill<P>
where
    P: Platform,
{
    prefilled: PrefilledPrompt,
    is_consumed: bool,
    platform: P,
    client: Client,
}

impl<P> Drop for HeldPrefill<P>
where
    P: Platform,
{
    fn drop(&mut self) {
        if self.is_consumed {
            return;
        }
        let request = self.platform.release_prefilled(&self.prefilled);
        let (client, address) = (self.client.clone(), self.prefilled.address);
        compio::runtime::spawn(async move {
            let releasing = async {
                if let Ok(response) = client.send(address, request).await {
                    // The connection is reused only after its response was read.
                    let _ = read_body(response.into_body(), MAX_RELEASE_RESPONSE_BYTES).await;
                }
            };
            // A prompt that is not released expires at its engine.
            let _ = compio::time::timeout(RELEASE_TIMEOUT, releasing).await;
        })
        .detach();
    }
}

/// Has an engine prefill the prompt and keep the result for another engine.
async fn run_prefill<P>(
    request: &InFlightRequest<P>,
    prefill_upstream: Arc<Upstream>,
) -> Result<HeldPrefill<P>, Failure>
where
    P: Platform,
{
    let (platform, client) = (&request.shared.platform, &request.shared.client);
    let upstream_request = request.upstream_request(&prefill_upstream, Operation::Prefill);
    let exchanging = async {
        let response =
            exchange(&request.shared, &request.caller_request, &upstream_request).await?;
        buffer_response(&request.caller_request, &prefill_upstream, client, response).await
    };
    let started_ms = request.shared.clock.now_ms();
    let result = exchanging.await.and_then(|(parts, body, keep_alive)| {
        let prefilled =
            parts.status.is_success().then(|| platform.decode_prefilled(&prefill_upstream, &body));
        let prefilled = prefilled.flatten().ok_or(Failure::Spoilt)?;
        let (platform, client) = (platform.clone(), client.clone());
        Ok((HeldPrefill { prefilled, is_consumed: false, platform, client }, keep_alive))
    });
    let took_ms = request.shared.clock.now_ms().saturating_sub(started_ms);
    event!(
        Event::PrefillEnded,
        request = request.caller_request.head.attempt_id,
        upstream = prefill_upstream.id,
        took_ms = took_ms,
        tokens = request.caller_request.head.prompt.as_ref().map_or(0, |prompt| prompt.tokens),
        outcome = format_args!("{:?}", result.as_ref().err())
    );
    match result {
        Ok((prefill, keep_alive)) => {
            request.report_outcome(&prefill_upstream, SendOutcome::Responded, keep_alive).await;
            Ok(prefill)
        }
        Err(failure) => {
            request.report_failure(&prefill_upstream, failure).await;
            Err(failure)
        }
    }
}
