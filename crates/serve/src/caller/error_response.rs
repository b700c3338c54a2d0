//! Error responses that the daemon itself sends to callers.

use http::StatusCode;

use crate::hub::Rejection;
use crate::platform::ErrorResponse;

/// Retry delay of requests that did not run.
const RETRY_AFTER_MS: u64 = 400; // by then the routing knows which upstreams have left or failed
/// Retry delay of requests that may crash upstreams: most are refused for minutes, but one that was
/// suspected by chance is cleared sooner.
const QUARANTINED_AFTER_MS: u64 = 30_000;
/// Retry delay while no declared configuration is known.
const NOT_READY_AFTER_MS: u64 = 700; // the interval at which the store is read
/// Retry delay of requests at an instance that stops: others accept them at once.
const STOPPING_AFTER_MS: u64 = 0;

const fn not_run(reason: &'static str, retry_after_ms: u64) -> ErrorResponse {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    ErrorResponse { status, reason, retry_after_ms: Some(retry_after_ms) }
}

const fn error(status: StatusCode, reason: &'static str) -> ErrorResponse {
    ErrorResponse { status, reason, retry_after_ms: None }
}

impl ErrorResponse {
    /// The body is longer than allowed.
    pub(crate) const TOO_LARGE: Self = error(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large");
    /// Others need the memory of the body; other instances have their own.
    pub(crate) const NO_MEMORY: Self = not_run("no_memory", RETRY_AFTER_MS);
    /// The body ended early.
    pub(crate) const INCOMPLETE_BODY: Self = error(StatusCode::BAD_REQUEST, "body_incomplete");
    /// The body did not arrive in time; nothing was sent to an upstream.
    pub(crate) const LATE_BODY: Self = error(StatusCode::REQUEST_TIMEOUT, "body_late");
    /// The request may have run, but its response is unavailable.
    pub(crate) const OUTCOME_UNKNOWN: Self = error(StatusCode::BAD_GATEWAY, "outcome_unknown");
    /// The request may have run, and its deadline has passed.
    pub(crate) const TIMED_OUT: Self = error(StatusCode::GATEWAY_TIMEOUT, "timed_out");
    /// The deadline passed before the request ran.
    pub(crate) const NOT_RUN_IN_TIME: Self = not_run("not_run_in_time", RETRY_AFTER_MS);

    /// Returns the response to a malformed request head.
    pub(crate) fn bad_head(reason: &'static str) -> Self {
        error(StatusCode::BAD_REQUEST, reason)
    }

    /// Returns the response to a request that did not run.
    pub(crate) fn from_rejection(rejection: Rejection) -> Self {
        match rejection {
            Rejection::NotReady => not_run("not_ready", NOT_READY_AFTER_MS),
            Rejection::NoRoute { .. } => error(StatusCode::NOT_FOUND, "no_route"),
            Rejection::BadKey { .. } => error(StatusCode::UNAUTHORIZED, "bad_key"),
            Rejection::NoUpstream => not_run("no_upstream", RETRY_AFTER_MS),
            Rejection::AllHold { retry_after_ms } => not_run("upstreams_hold", retry_after_ms),
            Rejection::OverAllowance { retry_after_ms } => Self {
                status: StatusCode::TOO_MANY_REQUESTS,
                reason: "over_allowance",
                retry_after_ms: Some(retry_after_ms),
            },
            Rejection::Quarantined => not_run("suspected_of_crashes", QUARANTINED_AFTER_MS),
            Rejection::NoRetries => not_run("no_repeat_left", RETRY_AFTER_MS),
            Rejection::Stopping => not_run("stopping", STOPPING_AFTER_MS),
        }
    }

    /// Returns the response to a request that is not retried any more.
    pub(crate) fn after_last_attempt(rejection: Rejection, may_have_run: bool) -> Self {
        if may_have_run { Self::OUTCOME_UNKNOWN } else { Self::from_rejection(rejection) }
    }
}
