//! Sends requests to upstreams.

use cowslip_net::{Body, SendError, full_body};
use http::{Request, Response};
use hyper::body::Incoming;

use super::context::{HandlerContext, UpstreamPermit};
use super::request::CallerRequest;
use crate::events::Event;
use crate::hub::UpstreamOutcome;
use crate::metrics::Counter;

/// Header with the call's ID, which an upstream echoes in its response.
const CALL_ID: &str = "x-call-id";
/// Header that asks an engine to resume a stream after this token.
const RESUME_AFTER: &str = "x-resume-after";

/// Reason why an attempt got no response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SendFailure {
    /// No byte of the request was sent.
    NotSent,
    /// Bytes may have been sent before the connection was lost.
    Interrupted,
    /// The response carries another call's ID.
    CallIdMismatch,
}

impl SendFailure {
    /// Returns the outcome to report for the upstream.
    pub(crate) fn outcome(self) -> UpstreamOutcome {
        match self {
            Self::NotSent => UpstreamOutcome::Unreachable,
            Self::Interrupted => UpstreamOutcome::Lost,
            Self::CallIdMismatch => UpstreamOutcome::Failed,
        }
    }
}

/// Sends the request once to the granted upstream.
///
/// Only the headers set here are sent: the caller's other headers, with its API key, are not
/// forwarded. A response with another call's ID is dropped.
pub(crate) async fn send_once(
    context: &HandlerContext,
    permit: &UpstreamPermit,
    request: &CallerRequest,
    path: &str,
    resume_after: Option<u64>,
) -> Result<Response<Incoming>, SendFailure> {
    let call_id = uuid::Uuid::new_v4().to_string();
    let upstream_request = build_request(permit, request, path, resume_after, &call_id)
        .map_err(|_| SendFailure::NotSent)?;
    let response =
        context.client.send(permit.grant().address, upstream_request).await.map_err(|error| {
            match error {
                SendError::NotSent(_) => SendFailure::NotSent,
                SendError::MaybeSent(_) => SendFailure::Interrupted,
            }
        })?;
    let response_call_id = response.headers().get(CALL_ID).map(http::HeaderValue::as_bytes);
    if response_call_id.is_some_and(|response_call_id| response_call_id != call_id.as_bytes()) {
        context.metrics.increment(Counter::CallIdMismatch);
        Event::CallIdMismatch
            .emit(&context.instance_name, format_args!("from {}", permit.grant().upstream));
        return Err(SendFailure::CallIdMismatch);
    }
    Ok(response)
}

fn build_request(
    permit: &UpstreamPermit,
    request: &CallerRequest,
    path: &str,
    resume_after: Option<u64>,
    call_id: &str,
) -> Result<Request<Body>, http::Error> {
    let mut builder = Request::builder()
        .method(request.method.clone())
        .uri(path)
        .header("host", permit.grant().address.to_string())
        .header(CALL_ID, call_id);
    if let Some(content_type) = &request.content_type {
        builder = builder.header("content-type", content_type);
    }
    if let Some(token) = resume_after {
        builder = builder.header(RESUME_AFTER, token.to_string());
    }
    builder.body(full_body(request.body.clone()))
}
