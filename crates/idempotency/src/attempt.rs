//! One attempt at a call that may not be repeated, at the instance that got it.

use crate::call_table::{AttemptOutcome, CallStatus, StartResult, StoredResponse};

/// What became of the bytes of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SendResult {
    /// No byte can have reached the upstream.
    NothingSent,
    /// The whole answer arrived.
    Answered(StoredResponse),
    /// Bytes may have been sent, and no whole answer arrived.
    Interrupted,
}

/// What the caller is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallerReply {
    /// The call ran, now or earlier, and this is its answer.
    Answer(StoredResponse),
    /// The call did not run.
    NotRun,
    /// The call may have run.
    OutcomeUnknown,
    /// The idempotency key belongs to another request.
    KeyReused,
}

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptStep {
    /// Send the request once.
    Send,
    /// Tell the caller, then record how the attempt ended, if anything is given.
    Reply(CallerReply, Option<AttemptOutcome>),
    /// Wait for the end of the attempt that runs, then tell the caller by its outcome.
    AwaitOther,
    /// Only record how the attempt ended: the caller has been told.
    Record(AttemptOutcome),
    /// Nothing.
    Nothing,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Starting,
    Running,
    /// The caller was told that it did not run while the start may still reach the log.
    GivenUp,
    Ended,
}

/// State of one attempt. It sends at most once, and never after its caller was told "not run".
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Attempt {
    stage: Stage,
}

impl Default for Attempt {
    fn default() -> Self {
        Self { stage: Stage::Starting }
    }
}

impl Attempt {
    /// Whether nothing can follow any more.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.stage == Stage::Ended
    }

    /// The start was read back from the log.
    pub fn on_verdict(&mut self, verdict: StartResult) -> AttemptStep {
        match (self.stage, verdict) {
            (Stage::Starting, StartResult::Won) => {
                self.stage = Stage::Running;
                AttemptStep::Send
            }
            (Stage::GivenUp, StartResult::Won) => {
                self.stage = Stage::Ended;
                AttemptStep::Record(AttemptOutcome::NotRun)
            }
            (Stage::Starting, StartResult::Lost(CallStatus::InProgress)) => {
                self.stage = Stage::Ended;
                AttemptStep::AwaitOther
            }
            (Stage::Starting, StartResult::Lost(status)) => {
                self.stage = Stage::Ended;
                AttemptStep::Reply(reply_for(status), None)
            }
            (Stage::GivenUp, StartResult::Lost(_)) => {
                self.stage = Stage::Ended;
                AttemptStep::Nothing
            }
            _ => AttemptStep::Nothing,
        }
    }

    /// The caller waits no longer, or is gone.
    pub fn on_deadline(&mut self) -> AttemptStep {
        match self.stage {
            Stage::Starting => {
                self.stage = Stage::GivenUp;
                AttemptStep::Reply(CallerReply::NotRun, None)
            }
            Stage::Running => {
                self.stage = Stage::Ended;
                AttemptStep::Reply(CallerReply::OutcomeUnknown, Some(AttemptOutcome::Unknown))
            }
            Stage::GivenUp | Stage::Ended => AttemptStep::Nothing,
        }
    }

    /// The request was sent, or was not.
    pub fn on_sent(&mut self, result: SendResult) -> AttemptStep {
        if self.stage != Stage::Running {
            return AttemptStep::Nothing;
        }
        self.stage = Stage::Ended;
        match result {
            SendResult::NothingSent => {
                AttemptStep::Reply(CallerReply::NotRun, Some(AttemptOutcome::NotRun))
            }
            SendResult::Answered(answer) => AttemptStep::Reply(
                CallerReply::Answer(answer.clone()),
                Some(AttemptOutcome::Answered(answer)),
            ),
            SendResult::Interrupted => {
                AttemptStep::Reply(CallerReply::OutcomeUnknown, Some(AttemptOutcome::Unknown))
            }
        }
    }
}

/// What the caller of an attempt that does not run is told, once it waits no longer.
#[must_use]
pub fn reply_for(status: CallStatus) -> CallerReply {
    match status {
        CallStatus::KeyReused => CallerReply::KeyReused,
        CallStatus::InProgress | CallStatus::Unknown => CallerReply::OutcomeUnknown,
        CallStatus::Answered(answer) => CallerReply::Answer(answer),
    }
}
