//! Model calls: whole and streamed.

use bytes::Bytes;
use cowslip_net::{Body, ChunkSender, body_channel, full_body, read_body};
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Deserialize;

use super::forward::send_once;
use super::refusal::{CallerError, json_response};
use super::request::CallerRequest;
use super::shared::{Lease, Shared};
use super::sse::SseBuffer;
use crate::events::Event;
use crate::hub::{Ending, Goal, HubMessage, Spent, Wanted};
use crate::metrics::Count;

/// Largest whole answer of an engine, in bytes.
const MAX_ANSWER_BYTES: usize = 8_388_608;
/// Largest single event of a stream, in bytes.
const MAX_EVENT_BYTES: usize = 1_048_576;
/// Bytes of a prompt that make about one token.
const BYTES_PER_TOKEN: u64 = 4;
/// Tokens that a request without a limit is expected to generate.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// The fields of a model request that matter here; all others go to the engine unread.
#[derive(Debug, Deserialize)]
struct ModelFields {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u64>,
}

/// Runs a model call.
pub(crate) async fn complete(
    shared: &Shared,
    request: CallerRequest,
    bearer: Option<String>,
) -> Result<Response<Body>, CallerError> {
    let fields: ModelFields =
        serde_json::from_slice(&request.body).map_err(|_| CallerError::BAD_REQUEST)?;
    let wanted = Wanted {
        bearer,
        goal: Goal::Model(fields.model),
        prompt_tokens: prompt_tokens(&request),
        cost_tokens: prompt_tokens(&request) + fields.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        digest: request.digest(),
    };
    let lease = shared.begin(wanted).await?;
    if fields.stream {
        streamed(shared, request, lease).await
    } else {
        let deadline = shared.deadline();
        let work = whole(shared, request, lease);
        compio::time::timeout(deadline, work).await.unwrap_or(Err(CallerError::DEADLINE))
    }
}

/// Expected tokens of a prompt.
fn prompt_tokens(request: &CallerRequest) -> u64 {
    request.body.len() as u64 / BYTES_PER_TOKEN
}

/// The part of a whole answer that says what was used.
#[derive(Debug, Deserialize)]
struct AnswerFields {
    usage: AnswerUsage,
}

#[derive(Debug, Deserialize)]
struct AnswerUsage {
    completion_tokens: u64,
}

/// What a whole answer has used, by the engine's own count.
fn whole_spent(request: &CallerRequest, status: StatusCode, body: &[u8]) -> Spent {
    let output_tokens = serde_json::from_slice::<AnswerFields>(body)
        .map_or(0, |fields| fields.usage.completion_tokens);
    Spent { is_answered: status.is_success(), prompt_tokens: prompt_tokens(request), output_tokens }
}

/// Sends to one upstream after another until one answers.
async fn open(
    shared: &Shared,
    request: &CallerRequest,
    mut lease: Lease,
    resume_after: Option<u64>,
) -> Result<(Response<Incoming>, Lease), CallerError> {
    let mut may_have_run = resume_after.is_some();
    loop {
        let ending = match send_once(shared, &lease, request, &request.path, resume_after).await {
            // The engine takes no work now. Any other status is its answer to this request.
            Ok(response) if response.status() == StatusCode::SERVICE_UNAVAILABLE => Ending::Failed,
            Ok(response) => return Ok((response, lease)),
            Err(failure) => failure.ending(),
        };
        may_have_run |= ending != Ending::Unreachable;
        let moved = lease.move_on(ending).await;
        lease = moved.map_err(|error| if may_have_run { error.after_send() } else { error })?;
    }
}

async fn whole(
    shared: &Shared,
    request: CallerRequest,
    mut lease: Lease,
) -> Result<Response<Body>, CallerError> {
    loop {
        let (response, held) = open(shared, &request, lease, None).await?;
        let status = response.status();
        match read_body(response.into_body(), MAX_ANSWER_BYTES).await {
            Ok(body) => {
                let spent = whole_spent(&request, status, &body);
                held.end(Ending::Finished, spent).await;
                return Ok(answer(status, body));
            }
            Err(_) => {
                lease = held.move_on(Ending::Lost).await.map_err(CallerError::after_send)?;
            }
        }
    }
}

fn answer(status: StatusCode, body: Bytes) -> Response<Body> {
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(full_body(body))
        .expect("constants form a response")
}

async fn streamed(
    shared: &Shared,
    request: CallerRequest,
    lease: Lease,
) -> Result<Response<Body>, CallerError> {
    let (response, lease) = open(shared, &request, lease, None).await?;
    if response.status() != StatusCode::OK {
        let status = response.status();
        let body = read_body(response.into_body(), MAX_ANSWER_BYTES)
            .await
            .map_err(|_| CallerError::OUTCOME_UNKNOWN)?;
        lease.end(Ending::Finished, Spent::default()).await;
        return Ok(json_response(status, String::from_utf8_lossy(&body).into_owned()));
    }
    let (chunks, body) = body_channel();
    let pump = Pump { shared: shared.clone(), request, chunks, last_token: None };
    compio::runtime::spawn(pump.run(response, lease)).detach();
    let response = Response::builder()
        .header("content-type", "text/event-stream")
        .header("cache-control", "no-store")
        .body(body)
        .expect("constants form a response");
    Ok(response)
}

/// How the copying of one upstream's stream ended.
enum Copied {
    Done,
    CallerGone,
    Broken,
}

/// Copies a stream to the caller, over several upstreams if need be.
struct Pump {
    shared: Shared,
    request: CallerRequest,
    chunks: ChunkSender,
    last_token: Option<u64>,
}

impl Pump {
    async fn run(mut self, response: Response<Incoming>, lease: Lease) {
        let deadline = self.shared.deadline();
        let chunks = self.chunks.clone();
        let work = self.copy_all(response, lease);
        let failed = match compio::time::timeout(deadline, work).await {
            Ok(Ok(())) => return,
            Ok(Err(error)) => error,
            Err(_) => CallerError::DEADLINE,
        };
        // The head of the answer is out: the error goes into the stream, which ends without DONE.
        let event = format!("event: error\ndata: {}\n\n", failed.body());
        chunks.send(event.into()).await;
    }

    async fn copy_all(
        &mut self,
        mut response: Response<Incoming>,
        mut lease: Lease,
    ) -> Result<(), CallerError> {
        loop {
            match self.copy(response, lease.grant().id).await {
                Copied::Done | Copied::CallerGone => {
                    lease.end(Ending::Finished, self.spent()).await;
                    return Ok(());
                }
                Copied::Broken => {
                    let moved = lease.move_on(Ending::Lost).await;
                    let moved = moved.map_err(CallerError::after_send)?;
                    let resume_after = Some(self.last_token.unwrap_or(0));
                    (response, lease) =
                        open(&self.shared, &self.request, moved, resume_after).await?;
                    self.shared.metrics.count(Count::Resumed);
                    Event::StreamResumed
                        .emit(&self.shared.me, format_args!("after token {:?}", self.last_token));
                }
            }
        }
    }

    /// Tokens are counted as they reach the caller, once each, whatever the engines did.
    fn spent(&self) -> Spent {
        Spent {
            is_answered: true,
            prompt_tokens: prompt_tokens(&self.request),
            output_tokens: self.last_token.unwrap_or(0),
        }
    }

    /// Copies whole events only, so that a break never leaves half of one with the caller.
    async fn copy(&mut self, response: Response<Incoming>, grant: u64) -> Copied {
        let mut has_begun = false;
        let mut body = response.into_body();
        let mut buffer = SseBuffer::default();
        loop {
            let frame = {
                let next = std::pin::pin!(body.frame());
                let gone = std::pin::pin!(self.chunks.closed());
                match futures_util::future::select(next, gone).await {
                    futures_util::future::Either::Left((frame, _)) => frame,
                    futures_util::future::Either::Right(_) => return Copied::CallerGone,
                }
            };
            let Some(Ok(frame)) = frame else { return Copied::Broken };
            let Ok(data) = frame.into_data() else { continue };
            buffer.push(&data);
            while let Some(event) = buffer.next_event() {
                // A resumed engine may repeat a token: the caller gets each number once.
                let is_repeat = event.token.is_some() && event.token <= self.last_token;
                if is_repeat {
                    continue;
                }
                self.last_token = event.token.or(self.last_token);
                if !has_begun {
                    has_begun = true;
                    self.shared.hub.tell(HubMessage::FirstToken { grant }).await;
                }
                if !self.chunks.send(event.bytes).await {
                    return Copied::CallerGone;
                }
                if event.is_done {
                    return Copied::Done;
                }
            }
            if buffer.len_bytes() > MAX_EVENT_BYTES {
                return Copied::Broken;
            }
        }
    }
}
