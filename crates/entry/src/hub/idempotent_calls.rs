//! Calls that are not safe to retry and carry an idempotency key.

use std::collections::BTreeMap;
use std::sync::Arc;

use cowslip_idempotency::{
    Attempt, AttemptOutcome, AttemptStep, CallId, CallStart, CallStatus, CallerReply, SendResult,
    StartResult, reply_for,
};
use cowslip_state::StateRecord;

use super::{CallAction, Hub, ReplySender, send_reply};

/// Longest time that an attempt is kept after its deadline until its start is read back.
const READ_BACK_TIMEOUT_MS: u64 = 600_000;

/// A call with an attempt of this instance whose outcome is not recorded yet.
#[derive(Debug)]
struct OpenCall {
    grant: u64,
    start: CallStart,
    attempt: Attempt,
    deadline_ms: u64,
    reply: Option<ReplySender<CallAction>>,
}

/// A duplicate call that waits for the outcome of the attempt in progress.
#[derive(Debug)]
struct DuplicateWaiter {
    call: CallId,
    digest: [u8; 32],
    deadline_ms: u64,
    reply: ReplySender<CallAction>,
}

/// Attempts of this instance and the duplicates that wait for an outcome.
#[derive(Debug, Default)]
pub(super) struct IdempotentCalls {
    duplicate_waiters: Vec<DuplicateWaiter>,
    by_attempt: BTreeMap<Arc<str>, OpenCall>,
    by_grant: BTreeMap<u64, Arc<str>>,
}

impl Hub {
    pub(super) fn begin_idempotent_call(
        &mut self,
        grant: u64,
        idempotency_key: Arc<str>,
        digest: [u8; 32],
        reply: ReplySender<CallAction>,
    ) {
        let Some(workspace) = self.requests.workspace(grant).cloned() else {
            return send_reply(&reply, CallAction::Respond(CallerReply::NotRun));
        };
        let call = CallId { workspace, idempotency_key };
        if let Some(status) = self.state.calls.status(&call, &digest) {
            let step = Attempt::default().on_start_result(StartResult::OwnedByOther(status));
            return self.perform_lost(call, digest, step, reply);
        }
        let attempt_id: Arc<str> = Arc::from(uuid::Uuid::new_v4().to_string());
        let start = CallStart { call, attempt: attempt_id.clone(), digest };
        if !self.append_state(&StateRecord::CallStart(start.clone())) {
            return send_reply(&reply, CallAction::Respond(CallerReply::NotRun));
        }
        let deadline_ms = self.call_deadline_ms();
        let call =
            OpenCall { grant, start, attempt: Attempt::default(), deadline_ms, reply: Some(reply) };
        self.calls.by_grant.insert(grant, attempt_id.clone());
        self.calls.by_attempt.insert(attempt_id, call);
    }

    /// Handles a call start, of this instance or a peer, that was read back from the log.
    pub(super) fn on_call_start_result(&mut self, start: &CallStart, result: StartResult) {
        let Some(call) = self.calls.by_attempt.get_mut(&start.attempt) else { return };
        let step = call.attempt.on_start_result(result);
        match (step, call.reply.take()) {
            (AttemptStep::AwaitOther, Some(reply)) => {
                self.remove_lost_attempt(&start.attempt);
                self.perform_lost(start.call.clone(), start.digest, AttemptStep::AwaitOther, reply);
            }
            (step, reply) => self.perform(&start.attempt.clone(), step, reply.as_ref()),
        }
    }

    fn call_deadline_ms(&self) -> u64 {
        self.clock.now_ms() + self.config.settings.platform.request_timeout_ms
    }

    /// Performs the step of an attempt that lost to another attempt.
    fn perform_lost(
        &mut self,
        call: CallId,
        digest: [u8; 32],
        step: AttemptStep,
        reply: ReplySender<CallAction>,
    ) {
        match step {
            AttemptStep::AwaitOther => {
                let deadline_ms = self.call_deadline_ms();
                self.calls.duplicate_waiters.push(DuplicateWaiter {
                    call,
                    digest,
                    deadline_ms,
                    reply,
                });
            }
            AttemptStep::Reply(response, _) => send_reply(&reply, CallAction::Respond(response)),
            AttemptStep::Send | AttemptStep::Record(_) | AttemptStep::Wait => {}
        }
    }

    /// Replies to the duplicates whose call has ended or whose deadline has passed.
    pub(super) fn tick_duplicate_waiters(&mut self, now_ms: u64) {
        for waiter in std::mem::take(&mut self.calls.duplicate_waiters) {
            let status = self.state.calls.status(&waiter.call, &waiter.digest);
            let response = match status {
                Some(CallStatus::InProgress) if now_ms < waiter.deadline_ms => {
                    self.calls.duplicate_waiters.push(waiter);
                    continue;
                }
                Some(status) => reply_for(status),
                // The attempt ended without running: the caller may retry the call.
                None => CallerReply::NotRun,
            };
            send_reply(&waiter.reply, CallAction::Respond(response));
        }
    }

    pub(super) fn on_call_attempted(
        &mut self,
        grant: u64,
        result: SendResult,
        reply: &ReplySender<CallAction>,
    ) {
        let Some(attempt_id) = self.calls.by_grant.get(&grant).cloned() else {
            return send_reply(reply, CallAction::Respond(CallerReply::OutcomeUnknown));
        };
        let Some(call) = self.calls.by_attempt.get_mut(&attempt_id) else { return };
        let step = call.attempt.on_sent(result);
        self.perform(&attempt_id, step, Some(reply));
    }

    /// Handles the release of a grant: its caller has the response or has disconnected.
    pub(super) fn on_call_released(&mut self, grant: u64) {
        let Some(attempt_id) = self.calls.by_grant.remove(&grant) else { return };
        let Some(call) = self.calls.by_attempt.get_mut(&attempt_id) else { return };
        let step = call.attempt.on_deadline();
        let reply = call.reply.take();
        self.perform(&attempt_id, step, reply.as_ref());
    }

    fn perform(
        &mut self,
        attempt_id: &Arc<str>,
        step: AttemptStep,
        reply: Option<&ReplySender<CallAction>>,
    ) {
        match step {
            AttemptStep::Send => {
                // The call is not sent if its caller has disconnected.
                let is_delivered =
                    reply.is_some_and(|reply| reply.try_send(CallAction::Send).is_ok());
                if !is_delivered {
                    self.end_call(attempt_id, AttemptOutcome::NotRun);
                }
            }
            AttemptStep::Reply(response, outcome) => {
                if let Some(reply) = reply {
                    send_reply(reply, CallAction::Respond(response));
                }
                match outcome {
                    Some(outcome) => self.end_call(attempt_id, outcome),
                    None => self.remove_lost_attempt(attempt_id),
                }
            }
            AttemptStep::Record(outcome) => self.end_call(attempt_id, outcome),
            AttemptStep::AwaitOther | AttemptStep::Wait => {}
        }
    }

    fn end_call(&mut self, attempt_id: &Arc<str>, outcome: AttemptOutcome) {
        let Some(call) = self.calls.by_attempt.remove(attempt_id) else { return };
        self.calls.by_grant.remove(&call.grant);
        let (call, attempt) = (call.start.call, call.start.attempt);
        // If the queue is full, the call stays open in the log and a duplicate gets an unknown
        // outcome, which is safe.
        self.append_state(&StateRecord::CallEnd { call, attempt, outcome });
    }

    /// Removes an attempt that lost to another one. An attempt that timed out is kept until its
    /// start is read back.
    fn remove_lost_attempt(&mut self, attempt_id: &Arc<str>) {
        if self.calls.by_attempt.get(attempt_id).is_some_and(|call| call.attempt.has_ended())
            && let Some(call) = self.calls.by_attempt.remove(attempt_id)
        {
            self.calls.by_grant.remove(&call.grant);
        }
    }

    pub(super) fn tick_calls(&mut self, now_ms: u64) {
        self.tick_duplicate_waiters(now_ms);
        self.calls.by_attempt.retain(|_, call| now_ms < call.deadline_ms + READ_BACK_TIMEOUT_MS);
        let expired: Vec<Arc<str>> = self
            .calls
            .by_attempt
            .iter()
            .filter(|(_, call)| call.reply.is_some() && now_ms >= call.deadline_ms)
            .map(|(attempt_id, _)| attempt_id.clone())
            .collect();
        for attempt_id in expired {
            let Some(call) = self.calls.by_attempt.get_mut(&attempt_id) else { continue };
            let step = call.attempt.on_deadline();
            let reply = call.reply.take();
            self.perform(&attempt_id, step, reply.as_ref());
        }
    }
}
