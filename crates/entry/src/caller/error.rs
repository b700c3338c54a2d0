//! Error responses to callers, in the format of the OpenAI-compatible API.

use cowslip_ingress::Defect;
use cowslip_net::{Body, full_body};
use http::{Response, StatusCode};
use serde_json::json;

use crate::hub::AdmissionError;

/// Value of the `retry-after` header, in seconds.
const RETRY_AFTER_S: &str = "1";

/// An error response to a caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct CallerError {
    pub(crate) status: StatusCode,
    pub(crate) code: &'static str,
    pub(crate) message: &'static str,
    /// Whether it is certain that no byte of the request reached an upstream.
    pub(crate) is_not_run: bool,
}

impl CallerError {
    const fn not_run(status: StatusCode, code: &'static str, message: &'static str) -> Self {
        Self { status, code, message, is_not_run: true }
    }

    pub(crate) const BAD_REQUEST: Self =
        Self::not_run(StatusCode::BAD_REQUEST, "bad_request", "the request is malformed");
    pub(crate) const TOO_LARGE: Self =
        Self::not_run(StatusCode::PAYLOAD_TOO_LARGE, "too_large", "the body is too large");
    pub(crate) const NO_MEMORY: Self = Self::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "no_memory",
        "others need the memory that the body takes",
    );
    pub(crate) const LATE_BODY: Self =
        Self::not_run(StatusCode::REQUEST_TIMEOUT, "body_late", "the body did not arrive in time");
    pub(crate) const KEY_REUSED: Self = Self::not_run(
        StatusCode::UNPROCESSABLE_ENTITY,
        "idempotency_key_reused",
        "the idempotency key belongs to another request",
    );
    pub(crate) const OUTCOME_UNKNOWN: Self = Self {
        status: StatusCode::BAD_GATEWAY,
        code: "outcome_unknown",
        message: "the request may have run; its answer is not known",
        is_not_run: false,
    };
    pub(crate) const DEADLINE: Self = Self {
        status: StatusCode::GATEWAY_TIMEOUT,
        code: "deadline_exceeded",
        message: "the request took too long; it may have run",
        is_not_run: false,
    };

    /// Returns the error for a request that is refused before any rule looks at it.
    pub(crate) const fn from_defect(defect: Defect) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, defect.code(), defect.message())
    }

    /// Returns the error for a request that was not admitted.
    pub(crate) const fn from_admission_error(error: AdmissionError) -> Self {
        let (status, code, message) = match error {
            AdmissionError::InvalidApiKey => {
                (StatusCode::UNAUTHORIZED, "invalid_api_key", "the key is missing or not valid")
            }
            AdmissionError::NotAllowed => {
                (StatusCode::FORBIDDEN, "not_allowed", "the key's workspace may not call this")
            }
            AdmissionError::NotFound => {
                (StatusCode::NOT_FOUND, "not_found", "there is no such target")
            }
            AdmissionError::TooManyInFlight => (
                StatusCode::TOO_MANY_REQUESTS,
                "rate_limit_exceeded",
                "the workspace has too many requests in flight",
            ),
            AdmissionError::NoCapacity => {
                (StatusCode::SERVICE_UNAVAILABLE, "no_capacity", "no upstream is free")
            }
            AdmissionError::NotReady => (
                StatusCode::SERVICE_UNAVAILABLE,
                "not_ready",
                "this instance admits no requests now",
            ),
            AdmissionError::PoisonRequest => (
                StatusCode::UNPROCESSABLE_ENTITY,
                "request_refused",
                "upstreams failed while they ran this request",
            ),
            AdmissionError::LogUnavailable => (
                StatusCode::SERVICE_UNAVAILABLE,
                "log_unavailable",
                "the call cannot be recorded and was not started",
            ),
        };
        Self::not_run(status, code, message)
    }

    /// Returns the same error for a request whose bytes may have reached an upstream.
    pub(crate) const fn after_send(self) -> Self {
        Self { is_not_run: false, ..self }
    }

    /// Returns the error as a JSON body.
    pub(crate) fn body(&self) -> String {
        let kind =
            if self.status.is_client_error() { "invalid_request_error" } else { "server_error" };
        json!({ "error": {
            "message": self.message,
            "type": kind,
            "code": self.code,
            "not_run": self.is_not_run,
            "outcome_unknown": !self.is_not_run,
        } })
        .to_string()
    }

    /// Builds the HTTP response.
    pub(crate) fn response(&self) -> Response<Body> {
        let mut builder =
            Response::builder().status(self.status).header("content-type", "application/json");
        let may_retry = self.status == StatusCode::TOO_MANY_REQUESTS
            || self.status == StatusCode::SERVICE_UNAVAILABLE;
        if may_retry {
            builder = builder.header("retry-after", RETRY_AFTER_S);
        }
        builder.body(full_body(self.body())).expect("constants form a response")
    }
}

/// Builds a response with a JSON body.
pub(crate) fn json_response(status: StatusCode, body: String) -> Response<Body> {
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(full_body(body))
        .expect("constants form a response")
}
