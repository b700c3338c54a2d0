//! A request under way: its grant, its time, and what may have run.

use std::cell::Cell;
use std::sync::Arc;
use std::time::Duration;

use cowslip_fleet::{Authorized, SendOutcome, Upstream};

use super::exchange::Failure;
use super::shared::Shared;
use crate::events::{Event, event};
use crate::hub::{Again, HubMessage, Refusal};
use crate::platform::{CallerRequest, ErrorResponse, Operation, Platform, UpstreamRequest};

/// A request that was granted; dropping it gives the grant back.
pub(super) struct Job<E>
where
    E: Platform,
{
    pub(super) shared: Shared<E>,
    pub(super) call: CallerRequest,
    pub(super) allowed: Authorized,
    pub(super) started_ms: u64,
    pub(super) deadline_ms: u64,
    pub(super) grant: u64,
    may_have_run: Cell<bool>,
}

impl<E> Job<E>
where
    E: Platform,
{
    pub(super) fn new(
        shared: Shared<E>,
        call: CallerRequest,
        allowed: Authorized,
        started_ms: u64,
        deadline_ms: u64,
        grant: u64,
    ) -> Self {
        let may_have_run = Cell::new(false);
        Self { shared, call, allowed, started_ms, deadline_ms, grant, may_have_run }
    }

    /// Time that is left.
    pub(super) fn left(&self) -> Duration {
        Duration::from_millis(self.deadline_ms.saturating_sub(self.shared.clock.now_ms()))
    }

    /// How the request is sent to an upstream now.
    pub(super) fn upstream_request<'a>(
        &'a self,
        upstream: &'a Upstream,
        operation: Operation<'a>,
    ) -> UpstreamRequest<'a> {
        UpstreamRequest {
            upstream,
            workspace: self.allowed.workspace.as_deref(),
            priority: self.allowed.priority,
            remaining_ms: u64::try_from(self.left().as_millis()).unwrap_or(u64::MAX),
            operation,
        }
    }

    /// From now on the request may run.
    pub(super) fn on_sending(&self) {
        self.may_have_run.set(true);
    }

    /// Whether an upstream may have run it.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run.get()
    }

    /// Notes a failed send of the request itself; `may_have_run` is as before the send, if it
    /// shows that nothing ran.
    pub(super) async fn on_failure(&self, upstream: &Upstream, failure: Failure, ran_before: bool) {
        if failure.is_not_run() {
            self.may_have_run.set(ran_before);
        }
        self.note_failure(upstream, failure).await;
    }

    /// Notes what a failed send says of the upstream.
    pub(super) async fn note_failure(&self, upstream: &Upstream, failure: Failure) {
        let id = upstream.id.clone();
        match failure {
            Failure::Broken => {
                self.tell(HubMessage::Lost { grant: self.grant, upstream: id }).await;
            }
            Failure::Misdirected => self.tell(HubMessage::Misdirected { upstream: id }).await,
            Failure::NotArrived | Failure::NotRun | Failure::Spoilt => {}
        }
        self.on_outcome(upstream, failure.outcome(), None).await;
    }

    /// Notes what became of a send, and how long its connection is kept.
    pub(super) async fn on_outcome(
        &self,
        upstream: &Upstream,
        outcome: SendOutcome,
        kept_for: Option<Duration>,
    ) {
        let label = match outcome {
            SendOutcome::Answered => "answered",
            SendOutcome::Failed => "failed",
            SendOutcome::Refused => "refused",
            SendOutcome::ConnectionFailed => "broken",
        };
        self.shared.metrics.sends.with_label_values(&[label]).inc();
        let upstream = upstream.id.clone();
        self.tell(HubMessage::Outcome { upstream, outcome, kept_for }).await;
    }

    /// Another upstream for the request, after this failure.
    pub(super) async fn again(&self, failure: Failure) -> Result<Arc<Upstream>, Refusal> {
        let why = match failure {
            Failure::NotArrived => Again::NotArrived,
            Failure::NotRun | Failure::Misdirected => Again::NotRun,
            Failure::Broken | Failure::Spoilt => Again::MayHaveRun,
        };
        let grant = self.grant;
        let hub = &self.shared.hub;
        hub.ask(|reply| HubMessage::Again { grant, why, reply })
            .await
            .unwrap_or(Err(Refusal::NotReady))
    }

    /// The engine that answers, now that the prompt is read or will not be.
    pub(super) async fn answerer_after_read(&self) -> Result<Arc<Upstream>, ErrorResponse> {
        let grant = self.grant;
        let hub = &self.shared.hub;
        hub.ask(|reply| HubMessage::PromptRead { grant, reply })
            .await
            .unwrap_or(Err(Refusal::NotReady))
            .map_err(ErrorResponse::from_refusal)
    }

    /// Whether the answering engine may read the prompt, after another did not. What that one got
    /// counts as a send, so the request itself is a repeat of it.
    pub(super) async fn after_unread(&self, failure: Failure) -> Result<(), ErrorResponse> {
        if failure == Failure::NotArrived {
            return Ok(());
        }
        let grant = self.grant;
        let hub = &self.shared.hub;
        let is_left = hub.ask(|reply| HubMessage::TakeRepeat { grant, reply }).await;
        if is_left == Some(true) {
            Ok(())
        } else {
            Err(ErrorResponse::from_refusal(Refusal::NoRepeat))
        }
    }

    pub(super) async fn tell(&self, message: HubMessage) {
        self.shared.hub.tell(message).await;
    }

    /// The answer when the time is over.
    pub(super) fn out_of_time(&self) -> ErrorResponse {
        if self.may_have_run() { ErrorResponse::TIMED_OUT } else { ErrorResponse::NOT_RUN_IN_TIME }
    }

    /// The last answer when no upstream is left to be tried.
    pub(super) fn out_of_upstreams(&self, refusal: Refusal) -> ErrorResponse {
        ErrorResponse::final_answer(refusal, self.may_have_run())
    }

    /// Logs and counts the end of the request.
    pub(super) fn on_refused(&self, refused: &ErrorResponse) {
        let elapsed_ms = self.shared.clock.now_ms().saturating_sub(self.started_ms);
        let is_not_run = !self.may_have_run();
        let what = if is_not_run { Event::RequestRefused } else { Event::RequestFailed };
        event!(
            what,
            request = self.call.head.attempt_id,
            reason = refused.reason,
            status = refused.status.as_u16(),
            elapsed_ms = elapsed_ms
        );
        let end = if is_not_run { "refused" } else { "failed" };
        self.shared.metrics.requests.with_label_values(&[end]).inc();
    }
}

impl<E> Drop for Job<E>
where
    E: Platform,
{
    fn drop(&mut self) {
        self.shared.hub.tell_detached(HubMessage::End { grant: self.grant });
    }
}
