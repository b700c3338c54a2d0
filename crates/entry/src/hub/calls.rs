//! Calls that may not be repeated and carry an idempotency key.

use std::collections::BTreeMap;
use std::sync::Arc;

use cowslip_idempotency::{
    Attempt, AttemptOutcome, AttemptStep, CallId, CallStart, CallStatus, CallerReply, SendResult,
    StartResult, reply_for,
};
use cowslip_state::StateRecord;

use super::{CallStep, Hub, ReplySender, send_reply};

/// How long a start whose caller has been answered is waited for.
const READ_BACK_MS: u64 = 600_000;

#[derive(Debug)]
struct Call {
    grant: u64,
    start: CallStart,
    attempt: Attempt,
    deadline_ms: u64,
    reply: Option<ReplySender<CallStep>>,
}

/// A repeat that waits for the answer of the attempt that runs.
#[derive(Debug)]
struct Follower {
    call: CallId,
    digest: [u8; 32],
    deadline_ms: u64,
    reply: ReplySender<CallStep>,
}

/// Attempts of this instance.
#[derive(Debug, Default)]
pub(super) struct Calls {
    followers: Vec<Follower>,
    by_attempt: BTreeMap<Arc<str>, Call>,
    by_grant: BTreeMap<u64, Arc<str>>,
}

impl Hub {
    pub(super) fn on_call_start(
        &mut self,
        grant: u64,
        idempotency_key: Arc<str>,
        digest: [u8; 32],
        reply: ReplySender<CallStep>,
    ) {
        let Some(workspace) = self.requests.workspace(grant).cloned() else {
            return send_reply(&reply, CallStep::Tell(CallerReply::NotRun));
        };
        let call = CallId { workspace, idempotency_key };
        if let Some(standing) = self.state.calls.status(&call, &digest) {
            let step = Attempt::default().on_verdict(StartResult::Lost(standing));
            return self.perform_lost(call, digest, step, reply);
        }
        let attempt: Arc<str> = Arc::from(uuid::Uuid::new_v4().to_string());
        let start = CallStart { call, attempt: attempt.clone(), digest };
        if !self.append_state(&StateRecord::CallStart(start.clone())) {
            return send_reply(&reply, CallStep::Tell(CallerReply::NotRun));
        }
        let deadline_ms = self.call_deadline_ms();
        let call =
            Call { grant, start, attempt: Attempt::default(), deadline_ms, reply: Some(reply) };
        self.calls.by_grant.insert(grant, attempt.clone());
        self.calls.by_attempt.insert(attempt, call);
    }

    /// A start was read back, of this instance or another.
    pub(super) fn on_call_verdict(&mut self, start: &CallStart, verdict: StartResult) {
        let Some(call) = self.calls.by_attempt.get_mut(&start.attempt) else { return };
        let step = call.attempt.on_verdict(verdict);
        match (step, call.reply.take()) {
            (AttemptStep::AwaitOther, Some(reply)) => {
                self.forget_lost_call(&start.attempt);
                self.perform_lost(start.call.clone(), start.digest, AttemptStep::AwaitOther, reply);
            }
            (step, reply) => self.perform(&start.attempt.clone(), step, reply.as_ref()),
        }
    }

    fn call_deadline_ms(&self) -> u64 {
        self.clock.now_ms() + self.config.settings.platform.request_timeout_ms
    }

    /// Performs the step of an attempt that does not run.
    fn perform_lost(
        &mut self,
        call: CallId,
        digest: [u8; 32],
        step: AttemptStep,
        reply: ReplySender<CallStep>,
    ) {
        match step {
            AttemptStep::AwaitOther => {
                let deadline_ms = self.call_deadline_ms();
                self.calls.followers.push(Follower { call, digest, deadline_ms, reply });
            }
            AttemptStep::Reply(told, _) => send_reply(&reply, CallStep::Tell(told)),
            AttemptStep::Send | AttemptStep::Record(_) | AttemptStep::Nothing => {}
        }
    }

    /// An end was read back: repeats that waited for it are told.
    pub(super) fn tick_followers(&mut self, now_ms: u64) {
        for follower in std::mem::take(&mut self.calls.followers) {
            let standing = self.state.calls.status(&follower.call, &follower.digest);
            let told = match standing {
                Some(CallStatus::InProgress) if now_ms < follower.deadline_ms => {
                    self.calls.followers.push(follower);
                    continue;
                }
                Some(standing) => reply_for(standing),
                // The attempt ended without running: the caller may send the call again.
                None => CallerReply::NotRun,
            };
            send_reply(&follower.reply, CallStep::Tell(told));
        }
    }

    pub(super) fn on_call_sent(
        &mut self,
        grant: u64,
        result: SendResult,
        reply: &ReplySender<CallStep>,
    ) {
        let Some(attempt) = self.calls.by_grant.get(&grant).cloned() else {
            return send_reply(reply, CallStep::Tell(CallerReply::OutcomeUnknown));
        };
        let Some(call) = self.calls.by_attempt.get_mut(&attempt) else { return };
        let step = call.attempt.on_sent(result);
        self.perform(&attempt, step, Some(reply));
    }

    /// The caller of a granted call is gone, or has its answer.
    pub(super) fn on_call_gone(&mut self, grant: u64) {
        let Some(attempt) = self.calls.by_grant.remove(&grant) else { return };
        let Some(call) = self.calls.by_attempt.get_mut(&attempt) else { return };
        let step = call.attempt.on_deadline();
        let reply = call.reply.take();
        self.perform(&attempt, step, reply.as_ref());
    }

    fn perform(
        &mut self,
        attempt: &Arc<str>,
        step: AttemptStep,
        reply: Option<&ReplySender<CallStep>>,
    ) {
        match step {
            AttemptStep::Send => {
                // A caller that is gone by now leaves the attempt unsent.
                let is_heard = reply.is_some_and(|reply| reply.try_send(CallStep::Send).is_ok());
                if !is_heard {
                    self.end_call(attempt, AttemptOutcome::NotRun);
                }
            }
            AttemptStep::Reply(told, outcome) => {
                if let Some(reply) = reply {
                    send_reply(reply, CallStep::Tell(told));
                }
                match outcome {
                    Some(outcome) => self.end_call(attempt, outcome),
                    None => self.forget_lost_call(attempt),
                }
            }
            AttemptStep::Record(outcome) => self.end_call(attempt, outcome),
            AttemptStep::AwaitOther | AttemptStep::Nothing => {}
        }
    }

    fn end_call(&mut self, attempt: &Arc<str>, outcome: AttemptOutcome) {
        let Some(call) = self.calls.by_attempt.remove(attempt) else { return };
        self.calls.by_grant.remove(&call.grant);
        let (call, attempt) = (call.start.call, call.start.attempt);
        // A full queue leaves the call open in the log: a repeat is told that its outcome is
        // unknown, which is safe.
        self.append_state(&StateRecord::CallEnd { call, attempt, outcome });
    }

    /// An attempt that lost is over; one that gave up still waits for its start to be read back.
    fn forget_lost_call(&mut self, attempt: &Arc<str>) {
        if self.calls.by_attempt.get(attempt).is_some_and(|call| call.attempt.is_over())
            && let Some(call) = self.calls.by_attempt.remove(attempt)
        {
            self.calls.by_grant.remove(&call.grant);
        }
    }

    pub(super) fn tick_calls(&mut self, now_ms: u64) {
        self.tick_followers(now_ms);
        self.calls.by_attempt.retain(|_, call| now_ms < call.deadline_ms + READ_BACK_MS);
        let expired: Vec<Arc<str>> = self
            .calls
            .by_attempt
            .iter()
            .filter(|(_, call)| call.reply.is_some() && now_ms >= call.deadline_ms)
            .map(|(attempt, _)| attempt.clone())
            .collect();
        for attempt in expired {
            let Some(call) = self.calls.by_attempt.get_mut(&attempt) else { continue };
            let step = call.attempt.on_deadline();
            let reply = call.reply.take();
            self.perform(&attempt, step, reply.as_ref());
        }
    }
}
