//! Attempts at calls that may run at most once, at the instance that received the request.

use crate::call_table::{AttemptOutcome, CallStatus, StartResult, StoredResponse};

/// Result of sending a request to an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SendResult {
    /// No byte of the request can have reached the upstream.
    NotSent,
    /// The complete response arrived.
    Responded(StoredResponse),
    /// Bytes may have been sent, and no complete response arrived.
    Interrupted,
}

/// Reply to the caller of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerReply {
    /// The call ran, in this or an earlier attempt, with this response.
    Response(StoredResponse),
    /// The call did not run.
    NotRun,
    /// The call may have run.
    OutcomeUnknown,
    /// The idempotency key was used for another request.
    KeyReused,
}

/// Next action for the owner of an [`Attempt`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptStep {
    /// Send the request to an upstream, once.
    Send,
    /// Reply to the caller, then record the outcome of the attempt in the log, if one is given.
    Reply(CallerReply, Option<AttemptOutcome>),
    /// Wait until the attempt that runs the call ends, then reply to the caller with its outcome.
    AwaitOther,
    /// Record the outcome of the attempt in the log; the caller already has a reply.
    Record(AttemptOutcome),
    /// No action is due.
    Wait,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    AwaitingStart,
    Sending,
    /// The caller got the reply that the call did not run, but the start may still reach the log.
    TimedOut,
    Ended,
}

/// State of one attempt, which sends at most once, and never after its caller got the reply
/// [`CallerReply::NotRun`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attempt {
    stage: Stage,
}

impl Default for Attempt {
    fn default() -> Self {
        Self { stage: Stage::AwaitingStart }
    }
}

impl Attempt {
    /// Whether the attempt has ended, so that no further action follows.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.stage == Stage::Ended
    }

    /// Applies the result of the attempt's start, which was read back from the log.
    pub fn on_start_result(&mut self, result: StartResult) -> AttemptStep {
        match (self.stage, result) {
            (Stage::AwaitingStart, StartResult::Acquired) => {
                self.stage = Stage::Sending;
                AttemptStep::Send
            }
            (Stage::TimedOut, StartResult::Acquired) => {
                self.stage = Stage::Ended;
                AttemptStep::Record(AttemptOutcome::NotRun)
            }
            (Stage::AwaitingStart, StartResult::OwnedByOther(CallStatus::InProgress)) => {
                self.stage = Stage::Ended;
                AttemptStep::AwaitOther
            }
            (Stage::AwaitingStart, StartResult::OwnedByOther(status)) => {
                self.stage = Stage::Ended;
                AttemptStep::Reply(reply_for(status), None)
            }
            (Stage::TimedOut, StartResult::OwnedByOther(_)) => {
                self.stage = Stage::Ended;
                AttemptStep::Wait
            }
            _ => AttemptStep::Wait,
        }
    }

    /// Ends the wait of the caller, whose deadline passed or whose connection closed.
    pub fn on_deadline(&mut self) -> AttemptStep {
        match self.stage {
            Stage::AwaitingStart => {
                self.stage = Stage::TimedOut;
                AttemptStep::Reply(CallerReply::NotRun, None)
            }
            Stage::Sending => {
                self.stage = Stage::Ended;
                AttemptStep::Reply(CallerReply::OutcomeUnknown, Some(AttemptOutcome::Unknown))
            }
            Stage::TimedOut | Stage::Ended => AttemptStep::Wait,
        }
    }

    /// Applies the result of sending the request.
    pub fn on_sent(&mut self, result: SendResult) -> AttemptStep {
        if self.stage != Stage::Sending {
            return AttemptStep::Wait;
        }
        self.stage = Stage::Ended;
        match result {
            SendResult::NotSent => {
                AttemptStep::Reply(CallerReply::NotRun, Some(AttemptOutcome::NotRun))
            }
            SendResult::Responded(response) => AttemptStep::Reply(
                CallerReply::Response(response.clone()),
                Some(AttemptOutcome::Responded(response)),
            ),
            SendResult::Interrupted => {
                AttemptStep::Reply(CallerReply::OutcomeUnknown, Some(AttemptOutcome::Unknown))
            }
        }
    }
}

/// Returns the reply to the caller of an attempt that does not run the call, by the status of the
/// call at the end of the wait.
#[must_use]
pub fn reply_for(status: CallStatus) -> CallerReply {
    match status {
        CallStatus::KeyReused => CallerReply::KeyReused,
        CallStatus::InProgress | CallStatus::Unknown => CallerReply::OutcomeUnknown,
        CallStatus::Responded(response) => CallerReply::Response(response),
    }
}
