//! One attempt at a call that may not be repeated, at the instance that got it.

use crate::fold::{Answer, Outcome, Standing, StartVerdict};

/// What became of the bytes of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SendResult {
    /// No byte can have reached the upstream.
    NothingSent,
    /// The whole answer arrived.
    Answered(Answer),
    /// Bytes may have been sent, and no whole answer arrived.
    Broken,
}

/// What the caller is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Told {
    /// The call ran, now or earlier, and this is its answer.
    Answer(Answer),
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
    Tell(Told, Option<Outcome>),
    /// Wait for the end of the attempt that runs, then tell the caller by its outcome.
    Follow,
    /// Only record how the attempt ended: the caller has been told.
    Record(Outcome),
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
    pub fn on_verdict(&mut self, verdict: StartVerdict) -> AttemptStep {
        match (self.stage, verdict) {
            (Stage::Starting, StartVerdict::Won) => {
                self.stage = Stage::Running;
                AttemptStep::Send
            }
            (Stage::GivenUp, StartVerdict::Won) => {
                self.stage = Stage::Ended;
                AttemptStep::Record(Outcome::NotRun)
            }
            (Stage::Starting, StartVerdict::Lost(Standing::InProgress)) => {
                self.stage = Stage::Ended;
                AttemptStep::Follow
            }
            (Stage::Starting, StartVerdict::Lost(standing)) => {
                self.stage = Stage::Ended;
                AttemptStep::Tell(told(standing), None)
            }
            (Stage::GivenUp, StartVerdict::Lost(_)) => {
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
                AttemptStep::Tell(Told::NotRun, None)
            }
            Stage::Running => {
                self.stage = Stage::Ended;
                AttemptStep::Tell(Told::OutcomeUnknown, Some(Outcome::Unknown))
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
            SendResult::NothingSent => AttemptStep::Tell(Told::NotRun, Some(Outcome::NotRun)),
            SendResult::Answered(answer) => {
                AttemptStep::Tell(Told::Answer(answer.clone()), Some(Outcome::Answered(answer)))
            }
            SendResult::Broken => AttemptStep::Tell(Told::OutcomeUnknown, Some(Outcome::Unknown)),
        }
    }
}

/// What the caller of an attempt that does not run is told, once it waits no longer.
#[must_use]
pub fn told(standing: Standing) -> Told {
    match standing {
        Standing::OtherRequest => Told::KeyReused,
        Standing::InProgress | Standing::Unknown => Told::OutcomeUnknown,
        Standing::Answered(answer) => Told::Answer(answer),
    }
}
