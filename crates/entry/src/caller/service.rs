//! Service calls, with and without an idempotency key.

use std::sync::Arc;

use cowslip_idempotency::{CallerReply, SendResult, StoredResponse};
use cowslip_net::{Account, Body, Error, full_body, read_response_body};
use http::{Response, StatusCode};
use hyper::body::Incoming;

use super::context::{HandlerContext, UpstreamPermit};
use super::error::CallerError;
use super::forward::{SendFailure, send_once};
use super::request::CallerRequest;
use crate::hub::{
    AcquireRequest, AdmissionError, CallAction, HubMessage, RequestUsage, RequestedRoute,
    UpstreamOutcome,
};

/// Usage of a service call: one request and no tokens.
const SERVICE_USAGE: RequestUsage =
    RequestUsage { has_response: true, prompt_tokens: 0, output_tokens: 0 };
/// Largest response of a service, in bytes.
const MAX_RESPONSE_BYTES: usize = 1_048_576;

/// Calls a service; `service_and_path` is `NAME/path`.
pub(crate) async fn call(
    context: &HandlerContext,
    request: CallerRequest,
    bearer: Option<String>,
    service_and_path: &str,
) -> Result<Response<Body>, CallerError> {
    let (service, inner) = service_and_path.split_once('/').unwrap_or((service_and_path, ""));
    let route = RequestedRoute::Service {
        service: service.to_owned(),
        method: request.method.to_string(),
        path: format!("/{inner}"),
    };
    call_route(context, request, bearer, route).await
}

/// Calls a route; the upstream gets the path without the service's name.
pub(crate) async fn call_route(
    context: &HandlerContext,
    request: CallerRequest,
    bearer: Option<String>,
    route: RequestedRoute,
) -> Result<Response<Body>, CallerError> {
    let path = match &route {
        RequestedRoute::Service { path, .. } => match request.path.split_once('?') {
            Some((_, query)) => format!("{path}?{query}"),
            None => path.clone(),
        },
        _ => request.path.clone(),
    };
    let digest = request.digest();
    let acquire_request =
        AcquireRequest { bearer, route, prompt_tokens: 0, cost_tokens: 1, digest };
    let permit = context.acquire(acquire_request).await?;
    let work = async {
        match (&request.idempotency_key, permit.grant().is_idempotent) {
            (_, true) => call_with_retries(context, &request, &path, permit).await,
            (None, false) => call_at_most_once(context, &request, &path, permit).await,
            (Some(key), false) => {
                call_with_idempotency_key(context, &request, &path, key.clone(), permit).await
            }
        }
    };
    context.within_request_timeout(work).await
}

/// Sends a call that is safe to retry to one upstream after another until one responds.
async fn call_with_retries(
    context: &HandlerContext,
    request: &CallerRequest,
    path: &str,
    mut permit: UpstreamPermit,
) -> Result<Response<Body>, CallerError> {
    let mut may_have_run = false;
    loop {
        let outcome = match send_once(context, &permit, request, path, None).await {
            Ok(response) => match read_response(response, &request.account).await {
                Ok(stored) => {
                    permit.release(UpstreamOutcome::Finished, SERVICE_USAGE).await;
                    return Ok(caller_response(&stored));
                }
                // Another upstream's response would need the same memory.
                Err(Error::NoMemory) => {
                    permit.release(UpstreamOutcome::Finished, RequestUsage::default()).await;
                    return Err(CallerError::OUTCOME_UNKNOWN);
                }
                Err(_) => UpstreamOutcome::Lost,
            },
            Err(failure) => failure.outcome(),
        };
        may_have_run |= outcome != UpstreamOutcome::Unreachable;
        let reassigned = permit.reassign(outcome).await;
        permit =
            reassigned.map_err(|error| if may_have_run { error.after_send() } else { error })?;
    }
}

/// Sends a call that is not safe to retry; it is reassigned only if nothing was sent.
async fn call_at_most_once(
    context: &HandlerContext,
    request: &CallerRequest,
    path: &str,
    mut permit: UpstreamPermit,
) -> Result<Response<Body>, CallerError> {
    loop {
        match attempt(context, request, path, &permit).await {
            (SendResult::Responded(stored), _) => {
                permit.release(UpstreamOutcome::Finished, SERVICE_USAGE).await;
                return Ok(caller_response(&stored));
            }
            (SendResult::NotSent, outcome) => permit = permit.reassign(outcome).await?,
            (SendResult::Interrupted, outcome) => {
                permit.release(outcome, RequestUsage::default()).await;
                return Err(CallerError::OUTCOME_UNKNOWN);
            }
        }
    }
}

/// Sends a call with an idempotency key only if its start was the first in the log.
async fn call_with_idempotency_key(
    context: &HandlerContext,
    request: &CallerRequest,
    path: &str,
    idempotency_key: Arc<str>,
    permit: UpstreamPermit,
) -> Result<Response<Body>, CallerError> {
    let grant = permit.grant().id;
    let digest = request.digest();
    let action = context
        .hub
        .request(|reply| HubMessage::BeginIdempotentCall { grant, idempotency_key, digest, reply })
        .await;
    let action = match action {
        Some(CallAction::Send) => {
            let (result, outcome) = attempt(context, request, path, &permit).await;
            let has_response = matches!(result, SendResult::Responded(_));
            let action = context
                .hub
                .request(|reply| HubMessage::CallAttempted { grant, result, reply })
                .await;
            let usage = if has_response { SERVICE_USAGE } else { RequestUsage::default() };
            permit.release(outcome, usage).await;
            action
        }
        action => {
            permit.release(UpstreamOutcome::Finished, RequestUsage::default()).await;
            action
        }
    };
    match action {
        Some(CallAction::Respond(CallerReply::Response(stored))) => Ok(caller_response(&stored)),
        Some(CallAction::Respond(CallerReply::NotRun)) => {
            Err(CallerError::from_admission_error(AdmissionError::LogUnavailable))
        }
        Some(CallAction::Respond(CallerReply::KeyReused)) => Err(CallerError::KEY_REUSED),
        Some(CallAction::Respond(CallerReply::OutcomeUnknown) | CallAction::Send) | None => {
            Err(CallerError::OUTCOME_UNKNOWN)
        }
    }
}

/// Sends the call once and reads the whole response.
async fn attempt(
    context: &HandlerContext,
    request: &CallerRequest,
    path: &str,
    permit: &UpstreamPermit,
) -> (SendResult, UpstreamOutcome) {
    match send_once(context, permit, request, path, None).await {
        Ok(response) => match read_response(response, &request.account).await {
            Ok(stored) => (SendResult::Responded(stored), UpstreamOutcome::Finished),
            // It says nothing about the upstream.
            Err(Error::NoMemory) => (SendResult::Interrupted, UpstreamOutcome::Finished),
            Err(_) => (SendResult::Interrupted, UpstreamOutcome::Lost),
        },
        Err(SendFailure::NotSent) => (SendResult::NotSent, UpstreamOutcome::Unreachable),
        Err(failure) => (SendResult::Interrupted, failure.outcome()),
    }
}

async fn read_response(
    response: Response<Incoming>,
    account: &Account,
) -> Result<StoredResponse, Error> {
    let status = response.status().as_u16();
    let content_type = response
        .headers()
        .get("content-type")
        .and_then(|value| value.to_str().ok())
        .map_or_else(|| Arc::from("application/json"), Arc::from);
    let reading = read_response_body(response.into_body(), MAX_RESPONSE_BYTES, account);
    let body = reading.await?;
    Ok(StoredResponse { status, content_type, body: Arc::from(String::from_utf8_lossy(&body)) })
}

fn caller_response(stored: &StoredResponse) -> Response<Body> {
    let status = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::BAD_GATEWAY);
    Response::builder()
        .status(status)
        .header("content-type", &*stored.content_type)
        .body(full_body(stored.body.to_string()))
        .unwrap_or_else(|_| CallerError::OUTCOME_UNKNOWN.response())
}
