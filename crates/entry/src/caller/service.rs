//! Calls of plain services.

use std::sync::Arc;

use cowslip_idempotency::{CallerReply, SendResult, StoredResponse};
use cowslip_net::{Body, full_body, read_body};
use http::{Response, StatusCode};
use hyper::body::Incoming;

use super::forward::{SendFailure, send_once};
use super::refusal::CallerError;
use super::request::CallerRequest;
use super::shared::{Lease, Shared};
use crate::hub::{CallStep, Ending, Goal, HubMessage, Refusal, Spent, Wanted};

/// A call of a service counts as a request and uses no tokens.
const ANSWERED: Spent = Spent { is_answered: true, prompt_tokens: 0, output_tokens: 0 };
/// Largest answer of a service, in bytes.
const MAX_ANSWER_BYTES: usize = 1_048_576;

/// Calls `NAME/path` of a service.
pub(crate) async fn call(
    shared: &Shared,
    request: CallerRequest,
    bearer: Option<String>,
    rest: &str,
) -> Result<Response<Body>, CallerError> {
    let (service, inner) = rest.split_once('/').unwrap_or((rest, ""));
    let goal = Goal::Service {
        service: service.to_owned(),
        method: request.method.to_string(),
        path: format!("/{inner}"),
    };
    call_goal(shared, request, bearer, goal).await
}

/// Calls what `goal` names; the upstream sees the path without the service's name.
pub(crate) async fn call_goal(
    shared: &Shared,
    request: CallerRequest,
    bearer: Option<String>,
    goal: Goal,
) -> Result<Response<Body>, CallerError> {
    let path = match &goal {
        Goal::Service { path, .. } => match request.path.split_once('?') {
            Some((_, query)) => format!("{path}?{query}"),
            None => path.clone(),
        },
        _ => request.path.clone(),
    };
    let digest = request.digest();
    let wanted = Wanted { bearer, goal, prompt_tokens: 0, cost_tokens: 1, digest };
    let lease = shared.begin(wanted).await?;
    let deadline = shared.deadline();
    let work = async {
        match (&request.idempotency_key, lease.grant().is_idempotent) {
            (_, true) => repeatable(shared, &request, &path, lease).await,
            (None, false) => single(shared, &request, &path, lease).await,
            (Some(key), false) => once(shared, &request, &path, key.clone(), lease).await,
        }
    };
    compio::time::timeout(deadline, work).await.unwrap_or(Err(CallerError::DEADLINE))
}

/// A call that may be repeated goes to one upstream after another.
async fn repeatable(
    shared: &Shared,
    request: &CallerRequest,
    path: &str,
    mut lease: Lease,
) -> Result<Response<Body>, CallerError> {
    let mut may_have_run = false;
    loop {
        let ending = match send_once(shared, &lease, request, path, None).await {
            Ok(response) => match read(response).await {
                Some(answer) => {
                    lease.end(Ending::Finished, ANSWERED).await;
                    return Ok(respond(&answer));
                }
                None => Ending::Lost,
            },
            Err(failure) => failure.ending(),
        };
        may_have_run |= ending != Ending::Unreachable;
        let moved = lease.move_on(ending).await;
        lease = moved.map_err(|error| if may_have_run { error.after_send() } else { error })?;
    }
}

/// A call that may not be repeated moves on only while nothing was sent.
async fn single(
    shared: &Shared,
    request: &CallerRequest,
    path: &str,
    mut lease: Lease,
) -> Result<Response<Body>, CallerError> {
    loop {
        match attempt(shared, request, path, &lease).await {
            (SendResult::Answered(answer), _) => {
                lease.end(Ending::Finished, ANSWERED).await;
                return Ok(respond(&answer));
            }
            (SendResult::NothingSent, ending) => lease = lease.move_on(ending).await?,
            (SendResult::Interrupted, ending) => {
                lease.end(ending, Spent::default()).await;
                return Err(CallerError::OUTCOME_UNKNOWN);
            }
        }
    }
}

/// A call with an idempotency key runs only where its start won in the log.
async fn once(
    shared: &Shared,
    request: &CallerRequest,
    path: &str,
    idempotency_key: Arc<str>,
    lease: Lease,
) -> Result<Response<Body>, CallerError> {
    let grant = lease.grant().id;
    let digest = request.digest();
    let started = shared
        .hub
        .ask(|reply| HubMessage::CallStart { grant, idempotency_key, digest, reply })
        .await;
    let step = match started {
        Some(CallStep::Send) => {
            let (result, ending) = attempt(shared, request, path, &lease).await;
            let told = shared.hub.ask(|reply| HubMessage::CallSent { grant, result, reply }).await;
            let spent = if ending == Ending::Finished { ANSWERED } else { Spent::default() };
            lease.end(ending, spent).await;
            told
        }
        other => {
            lease.end(Ending::Finished, Spent::default()).await;
            other
        }
    };
    match step {
        Some(CallStep::Tell(CallerReply::Answer(answer))) => Ok(respond(&answer)),
        Some(CallStep::Tell(CallerReply::NotRun)) => {
            Err(CallerError::from_refusal(Refusal::LogDown))
        }
        Some(CallStep::Tell(CallerReply::KeyReused)) => Err(CallerError::KEY_REUSED),
        Some(CallStep::Tell(CallerReply::OutcomeUnknown) | CallStep::Send) | None => {
            Err(CallerError::OUTCOME_UNKNOWN)
        }
    }
}

/// Sends once and reads the whole answer.
async fn attempt(
    shared: &Shared,
    request: &CallerRequest,
    path: &str,
    lease: &Lease,
) -> (SendResult, Ending) {
    match send_once(shared, lease, request, path, None).await {
        Ok(response) => match read(response).await {
            Some(answer) => (SendResult::Answered(answer), Ending::Finished),
            None => (SendResult::Interrupted, Ending::Lost),
        },
        Err(SendFailure::NothingSent) => (SendResult::NothingSent, Ending::Unreachable),
        Err(failure) => (SendResult::Interrupted, failure.ending()),
    }
}

async fn read(response: Response<Incoming>) -> Option<StoredResponse> {
    let status = response.status().as_u16();
    let content_type = response
        .headers()
        .get("content-type")
        .and_then(|value| value.to_str().ok())
        .map_or_else(|| Arc::from("application/json"), Arc::from);
    let body = read_body(response.into_body(), MAX_ANSWER_BYTES).await.ok()?;
    Some(StoredResponse { status, content_type, body: Arc::from(String::from_utf8_lossy(&body)) })
}

fn respond(answer: &StoredResponse) -> Response<Body> {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    Response::builder()
        .status(status)
        .header("content-type", &*answer.content_type)
        .body(full_body(answer.body.to_string()))
        .unwrap_or_else(|_| CallerError::OUTCOME_UNKNOWN.response())
}
