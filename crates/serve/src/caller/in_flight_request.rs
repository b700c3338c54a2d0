//! A request in flight: its assignment, its deadline, and whether it may have run.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use cowslip_fleet::{Authorized, Failure, SendOutcome, Upstream};
use cowslip_task::Expiry;

use super::assignment_guard::AssignmentGuard;
use super::shared::Shared;
use crate::events::{Event, event};
use crate::hub::{HubMessage, Rejection, RetryReason};
use crate::platform::{CallerRequest, ErrorResponse, Operation, Platform, UpstreamRequest};

/// A request that was placed on an upstream.
pub(super) struct InFlightRequest<P>
where
    P: Platform,
{
    pub(super) shared: Shared<P>,
    pub(super) caller_request: CallerRequest,
    pub(super) authorized: Authorized,
    pub(super) started_ms: u64,
    pub(super) deadline_ms: u64,
    assignment: AssignmentGuard,
    /// Sends that run the request or may have run it.
    possible_runs: Cell<u32>,
}

impl<P> InFlightRequest<P>
where
    P: Platform,
{
    pub(super) fn new(
        shared: Shared<P>,
        caller_request: CallerRequest,
        authorized: Authorized,
        started_ms: u64,
        deadline_ms: u64,
        assignment: AssignmentGuard,
    ) -> Self {
        Self {
            shared,
            caller_request,
            authorized,
            started_ms,
            deadline_ms,
            assignment,
            possible_runs: Cell::new(0),
        }
    }

    /// Returns the id of the request's assignment.
    pub(super) fn assignment_id(&self) -> u64 {
        self.assignment.id()
    }

    /// Runs `work` until it ends, the deadline of the request passes, or service ends.
    pub(super) async fn within_deadline<F>(&self, work: F) -> Result<F::Output, Expiry>
    where
        F: Future,
    {
        self.shared.service_end.within(self.remaining(), work).await
    }

    /// Returns the time until the deadline.
    pub(super) fn remaining(&self) -> Duration {
        Duration::from_millis(self.deadline_ms.saturating_sub(self.shared.clock.now_ms()))
    }

    /// Returns the parameters of a send to an upstream that starts now.
    pub(super) fn upstream_request<'a>(
        &'a self,
        upstream: &'a Arc<Upstream>,
        operation: Operation<'a>,
    ) -> UpstreamRequest<'a> {
        UpstreamRequest {
            upstream,
            workspace: self.authorized.workspace.as_deref(),
            priority: self.authorized.priority,
            remaining_ms: u64::try_from(self.remaining().as_millis()).unwrap_or(u64::MAX),
            operation,
        }
    }

    /// Records that the request is about to be sent, so this send may run it from now on.
    pub(super) fn mark_may_have_run(&self) {
        self.possible_runs.update(|runs| runs + 1);
    }

    /// Returns whether an upstream may have run the request.
    pub(super) fn may_have_run(&self) -> bool {
        self.possible_runs.get() > 0
    }

    /// Reports a failed send of the request, which no longer counts as a possible run if the failure
    /// shows that it was none.
    pub(super) async fn on_failure(&self, upstream: &Upstream, failure: Failure) {
        if failure.is_not_run() {
            self.possible_runs.update(|runs| runs.saturating_sub(1));
        }
        self.report_failure(upstream, failure).await;
    }

    /// Reports a failed send to the hub, which counts it for the upstream's health.
    pub(super) async fn report_failure(&self, upstream: &Upstream, failure: Failure) {
        if failure.is_loss() {
            let lost = HubMessage::UpstreamLost {
                id: self.assignment.id(),
                upstream: upstream.id.clone(),
                started_at_ms: upstream.started_at_ms,
            };
            self.send(lost).await;
        }
        if let Some(outcome) = failure.outcome() {
            self.report_outcome(upstream, outcome, None).await;
        }
    }

    /// Counts the outcome of a send and reports it to the hub, with the keep-alive time of its
    /// connection.
    pub(super) async fn report_outcome(
        &self,
        upstream: &Upstream,
        outcome: SendOutcome,
        keep_alive: Option<Duration>,
    ) {
        let label = match outcome {
            SendOutcome::Responded => "answered",
            SendOutcome::Failed => "failed",
            SendOutcome::Refused => "refused",
            SendOutcome::ConnectionFailed => "broken",
        };
        self.shared.metrics.sends.with_label_values(&[label]).inc();
        let upstream = upstream.id.clone();
        self.send(HubMessage::SendEnded { upstream, outcome, keep_alive }).await;
    }

    /// Asks the hub for another upstream after a failed send.
    pub(super) async fn retry(&self, failure: Failure) -> Result<Arc<Upstream>, Rejection> {
        let reason = match failure {
            Failure::NotArrived => RetryReason::NotArrived,
            Failure::NotRun | Failure::Misdirected => RetryReason::NotRun,
            Failure::Unmet => RetryReason::Unmet,
            Failure::Broken | Failure::Malformed | Failure::Spoilt => RetryReason::MayHaveRun,
            // Another upstream's response would need the same memory.
            Failure::NoMemory => return Err(Rejection::NoRetries),
        };
        let id = self.assignment.id();
        let hub = &self.shared.hub;
        hub.request(|reply| HubMessage::Retry { id, reason, reply })
            .await
            .unwrap_or(Err(Rejection::NotReady))
    }

    /// Asks the hub for the engine that serves the request after the prefill ended.
    pub(super) async fn upstream_after_prefill(
        &self,
        has_succeeded: bool,
    ) -> Result<Arc<Upstream>, ErrorResponse> {
        let id = self.assignment.id();
        let hub = &self.shared.hub;
        hub.request(|reply| HubMessage::PrefillEnded { id, has_succeeded, reply })
            .await
            .unwrap_or(Err(Rejection::NotReady))
            .map_err(ErrorResponse::from_rejection)
    }

    /// Acquires the retry that is needed to send the request without a prefilled prompt. A prefill
    /// request that may have arrived counts as a send, so the request after it is a retry.
    pub(super) async fn acquire_prefill_fallback(
        &self,
        failure: Failure,
    ) -> Result<(), ErrorResponse> {
        if failure == Failure::NotArrived {
            return Ok(());
        }
        let id = self.assignment.id();
        let hub = &self.shared.hub;
        let is_acquired = hub.request(|reply| HubMessage::AcquireRetry { id, reply }).await;
        if is_acquired == Some(true) {
            Ok(())
        } else {
            Err(ErrorResponse::from_rejection(Rejection::NoRetries))
        }
    }

    pub(super) async fn send(&self, message: HubMessage) {
        self.shared.hub.send(message).await;
    }

    /// Returns the error response for a request that was given up.
    pub(super) fn expiry_response(&self, expiry: Expiry) -> ErrorResponse {
        match (expiry, self.may_have_run()) {
            (Expiry::Deadline, true) => ErrorResponse::TIMED_OUT,
            (Expiry::Deadline, false) => ErrorResponse::NOT_RUN_IN_TIME,
            (Expiry::ServiceEnd, true) => ErrorResponse::OUTCOME_UNKNOWN,
            (Expiry::ServiceEnd, false) => ErrorResponse::from_rejection(Rejection::Stopping),
        }
    }

    /// Returns the error response for a request that gets no other upstream.
    pub(super) fn final_response(&self, rejection: Rejection) -> ErrorResponse {
        ErrorResponse::after_last_attempt(rejection, self.may_have_run())
    }

    /// Logs and counts a request that ends with an error response.
    pub(super) fn on_error_response(&self, error_response: &ErrorResponse) {
        let elapsed_ms = self.shared.clock.now_ms().saturating_sub(self.started_ms);
        let is_not_run = !self.may_have_run();
        let kind = if is_not_run { Event::RequestRefused } else { Event::RequestFailed };
        event!(
            kind,
            request = self.caller_request.head.attempt_id,
            reason = error_response.reason,
            status = error_response.status.as_u16(),
            elapsed_ms = elapsed_ms
        );
        let label = if is_not_run { "refused" } else { "failed" };
        self.shared.metrics.requests.with_label_values(&[label]).inc();
    }
}
