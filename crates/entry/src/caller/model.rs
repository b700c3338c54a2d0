//! Model requests, buffered and streamed.

use bytes::Bytes;
use cowslip_net::{Body, ChunkSender, Error, body_channel, full_body, read_response_body};
use futures_util::FutureExt;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;

use super::context::{HandlerContext, UpstreamPermit};
use super::error::{CallerError, json_response};
use super::forward::send_once;
use super::request::CallerRequest;
use super::sse::SseBuffer;
use crate::events::Event;
use crate::hub::{AcquireRequest, HubMessage, RequestUsage, RequestedRoute, UpstreamOutcome};
use crate::metrics::Counter;

/// Largest buffered response of an engine, in bytes.
const MAX_RESPONSE_BYTES: usize = 8_388_608;
/// Largest single event of a stream, in bytes.
const MAX_EVENT_BYTES: usize = 1_048_576;
/// Estimated bytes per token of a prompt.
const BYTES_PER_TOKEN: u64 = 4;
/// Tokens that a request without `max_tokens` is expected to generate.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// Fields of a model request that the instance reads; all others are only forwarded.
#[derive(Debug, Deserialize)]
struct ModelFields {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
}

/// Runs a model request.
pub(crate) async fn complete(
    context: &HandlerContext,
    request: CallerRequest,
    bearer: Option<String>,
) -> Result<Response<Body>, CallerError> {
    let fields: ModelFields =
        serde_json::from_slice(&request.body).map_err(|_| CallerError::BAD_REQUEST)?;
    let acquire_request = AcquireRequest {
        bearer,
        route: RequestedRoute::Model(fields.model),
        prompt_tokens: prompt_tokens(&request),
        cost_tokens: prompt_tokens(&request) + fields.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        digest: request.digest(),
    };
    let permit = context.acquire(acquire_request).await?;
    if fields.stream {
        streamed(context, request, permit).await
    } else {
        context.within_request_timeout(buffered(context, request, permit)).await
    }
}

/// Estimates the tokens of a prompt from the size of the body.
fn prompt_tokens(request: &CallerRequest) -> u64 {
    request.body.len() as u64 / BYTES_PER_TOKEN
}

/// The part of a buffered response that holds its usage.
#[derive(Debug, Deserialize)]
struct ResponseFields {
    usage: ResponseUsage,
}

#[derive(Debug, Deserialize)]
struct ResponseUsage {
    completion_tokens: u64,
}

/// Returns the usage of a buffered response, as the engine counted it.
fn buffered_usage(request: &CallerRequest, status: StatusCode, body: &[u8]) -> RequestUsage {
    let output_tokens = serde_json::from_slice::<ResponseFields>(body)
        .map_or(0, |fields| fields.usage.completion_tokens);
    RequestUsage {
        has_response: status.is_success(),
        prompt_tokens: prompt_tokens(request),
        output_tokens,
    }
}

/// Sends the request to one upstream after another until one responds.
async fn open_response(
    context: &HandlerContext,
    request: &CallerRequest,
    mut permit: UpstreamPermit,
    resume_after: Option<u64>,
) -> Result<(Response<Incoming>, UpstreamPermit), CallerError> {
    let mut may_have_run = resume_after.is_some();
    loop {
        let outcome = match send_once(context, &permit, request, &request.path, resume_after).await
        {
            // The engine accepts no work. Any other status is a response to this request.
            Ok(response) if response.status() == StatusCode::SERVICE_UNAVAILABLE => {
                UpstreamOutcome::Failed
            }
            Ok(response) => return Ok((response, permit)),
            Err(failure) => failure.outcome(),
        };
        may_have_run |= outcome != UpstreamOutcome::Unreachable;
        let reassigned = permit.reassign(outcome).await;
        permit =
            reassigned.map_err(|error| if may_have_run { error.after_send() } else { error })?;
    }
}

async fn buffered(
    context: &HandlerContext,
    request: CallerRequest,
    mut permit: UpstreamPermit,
) -> Result<Response<Body>, CallerError> {
    loop {
        let (response, held_permit) = open_response(context, &request, permit, None).await?;
        let status = response.status();
        let account = &request.account;
        match read_response_body(response.into_body(), MAX_RESPONSE_BYTES, account).await {
            Ok(body) => {
                let usage = buffered_usage(&request, status, &body);
                held_permit.release(UpstreamOutcome::Finished, usage).await;
                return Ok(buffered_response(status, body));
            }
            // Another engine's response would need the same memory.
            Err(Error::NoMemory) => {
                held_permit.release(UpstreamOutcome::Finished, RequestUsage::default()).await;
                return Err(CallerError::OUTCOME_UNKNOWN);
            }
            Err(_) => {
                permit = held_permit
                    .reassign(UpstreamOutcome::Lost)
                    .await
                    .map_err(CallerError::after_send)?;
            }
        }
    }
}

fn buffered_response(status: StatusCode, body: Bytes) -> Response<Body> {
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(full_body(body))
        .expect("constants form a response")
}

async fn streamed(
    context: &HandlerContext,
    request: CallerRequest,
    permit: UpstreamPermit,
) -> Result<Response<Body>, CallerError> {
    let opening = open_response(context, &request, permit, None);
    let (response, permit) = context.within_request_timeout(opening).await?;
    if response.status() != StatusCode::OK {
        let status = response.status();
        let reading =
            read_response_body(response.into_body(), MAX_RESPONSE_BYTES, &request.account)
                .map(|body| body.map_err(|_| CallerError::OUTCOME_UNKNOWN));
        let body = context.within_request_timeout(reading).await?;
        permit.release(UpstreamOutcome::Finished, RequestUsage::default()).await;
        return Ok(json_response(status, String::from_utf8_lossy(&body).into_owned()));
    }
    let (chunks, body) = body_channel();
    let relay = StreamRelay { context: context.clone(), request, chunks, last_token: None };
    compio::runtime::spawn(relay.run(response, permit)).detach();
    let response = Response::builder()
        .header("content-type", "text/event-stream")
        .header("cache-control", "no-store")
        .body(body)
        .expect("constants form a response");
    Ok(response)
}

/// Result of relaying the stream of one upstream.
enum RelayResult {
    Done,
    CallerGone,
    UpstreamLost,
}

/// Relays a stream to the caller and resumes it at another upstream when one is lost.
struct StreamRelay {
    context: HandlerContext,
    request: CallerRequest,
    chunks: ChunkSender,
    last_token: Option<u64>,
}

impl StreamRelay {
    async fn run(mut self, response: Response<Incoming>, permit: UpstreamPermit) {
        let (context, chunks) = (self.context.clone(), self.chunks.clone());
        let relaying = self.relay_all(response, permit);
        let Err(error) = context.within_request_timeout(relaying).await else { return };
        // The response head is already sent: the error becomes an event of the stream, which ends
        // without `[DONE]`.
        let event = format!("event: error\ndata: {}\n\n", error.body());
        chunks.send(event.into()).await;
    }

    async fn relay_all(
        &mut self,
        mut response: Response<Incoming>,
        mut permit: UpstreamPermit,
    ) -> Result<(), CallerError> {
        loop {
            match self.relay_upstream(response, permit.grant().id).await {
                RelayResult::Done | RelayResult::CallerGone => {
                    permit.release(UpstreamOutcome::Finished, self.usage()).await;
                    return Ok(());
                }
                RelayResult::UpstreamLost => {
                    let reassigned = permit.reassign(UpstreamOutcome::Lost).await;
                    let reassigned = reassigned.map_err(CallerError::after_send)?;
                    let resume_after = Some(self.last_token.unwrap_or(0));
                    (response, permit) =
                        open_response(&self.context, &self.request, reassigned, resume_after)
                            .await?;
                    self.context.metrics.increment(Counter::Resumed);
                    Event::StreamResumed.emit(
                        &self.context.instance_name,
                        format_args!("after token {:?}", self.last_token),
                    );
                }
            }
        }
    }

    /// Returns the usage of the stream. Each token counts once, when it is sent to the caller, even
    /// if several engines generated it.
    fn usage(&self) -> RequestUsage {
        RequestUsage {
            has_response: true,
            prompt_tokens: prompt_tokens(&self.request),
            output_tokens: self.last_token.unwrap_or(0),
        }
    }

    /// Relays whole events only, so that a lost connection never leaves the caller with a partial
    /// event.
    async fn relay_upstream(&mut self, response: Response<Incoming>, grant: u64) -> RelayResult {
        let mut is_first_token_reported = false;
        let mut body = response.into_body();
        let mut buffer = SseBuffer::default();
        loop {
            let frame = {
                let next = std::pin::pin!(body.frame());
                let disconnected = std::pin::pin!(self.chunks.closed());
                match futures_util::future::select(next, disconnected).await {
                    futures_util::future::Either::Left((frame, _)) => frame,
                    futures_util::future::Either::Right(_) => return RelayResult::CallerGone,
                }
            };
            let Some(Ok(frame)) = frame else { return RelayResult::UpstreamLost };
            let Ok(data) = frame.into_data() else { continue };
            buffer.push(&data);
            while let Some(event) = buffer.next_event() {
                // An engine that resumes may repeat tokens: the caller gets each token number once.
                let is_duplicate = event.token.is_some() && event.token <= self.last_token;
                if is_duplicate {
                    continue;
                }
                self.last_token = event.token.or(self.last_token);
                if !is_first_token_reported {
                    is_first_token_reported = true;
                    self.context.hub.send(HubMessage::FirstToken { grant }).await;
                }
                if !self.chunks.send(event.bytes).await {
                    return RelayResult::CallerGone;
                }
                if event.is_done {
                    return RelayResult::Done;
                }
            }
            if buffer.len_bytes() > MAX_EVENT_BYTES {
                return RelayResult::UpstreamLost;
            }
        }
    }
}
