//! Sending a request to an upstream.

use cowslip_net::{Body, SendError, full_body};
use http::{Request, Response};
use hyper::body::Incoming;

use super::request::CallerRequest;
use super::shared::{Lease, Shared};
use crate::events::Event;
use crate::hub::Ending;
use crate::metrics::Count;

/// Header that names the call towards the upstream and back.
const CALL_ID: &str = "x-call-id";
/// Header that asks an engine to go on after this token.
const RESUME_AFTER: &str = "x-resume-after";

/// Why no answer came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SendFailure {
    /// No byte was sent.
    NothingSent,
    /// Bytes may have been sent, and the connection broke.
    Broken,
    /// The answer names another call.
    Crossed,
}

impl SendFailure {
    /// What the failure means for the upstream.
    pub(crate) fn ending(self) -> Ending {
        match self {
            Self::NothingSent => Ending::Unreachable,
            Self::Broken => Ending::Lost,
            Self::Crossed => Ending::Failed,
        }
    }
}

/// Sends the request once to the granted upstream.
///
/// Only these headers go on: the caller's key and everything else stay here. An answer that names
/// another call is dropped.
pub(crate) async fn send_once(
    shared: &Shared,
    lease: &Lease,
    request: &CallerRequest,
    path: &str,
    resume_after: Option<u64>,
) -> Result<Response<Incoming>, SendFailure> {
    let call_id = uuid::Uuid::new_v4().to_string();
    let upstream_request = build(lease, request, path, resume_after, &call_id)
        .map_err(|_| SendFailure::NothingSent)?;
    let response = shared.client.send(lease.grant().address, upstream_request).await.map_err(
        |sent| match sent {
            SendError::NotSent(_) => SendFailure::NothingSent,
            SendError::MaybeSent(_) => SendFailure::Broken,
        },
    )?;
    let answered = response.headers().get(CALL_ID).map(http::HeaderValue::as_bytes);
    if answered.is_some_and(|answered| answered != call_id.as_bytes()) {
        shared.metrics.count(Count::Crossed);
        Event::AnswerCrossed.emit(&shared.me, format_args!("from {}", lease.grant().upstream));
        return Err(SendFailure::Crossed);
    }
    Ok(response)
}

fn build(
    lease: &Lease,
    request: &CallerRequest,
    path: &str,
    resume_after: Option<u64>,
    call_id: &str,
) -> Result<Request<Body>, http::Error> {
    let mut builder = Request::builder()
        .method(request.method.clone())
        .uri(path)
        .header("host", lease.grant().address.to_string())
        .header(CALL_ID, call_id);
    if let Some(content_type) = &request.content_type {
        builder = builder.header("content-type", content_type);
    }
    if let Some(token) = resume_after {
        builder = builder.header(RESUME_AFTER, token.to_string());
    }
    builder.body(full_body(request.body.clone()))
}
