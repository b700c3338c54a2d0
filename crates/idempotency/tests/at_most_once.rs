//! Attempts at one call by several instances, with random delays, losses, repeated appends and
//! crashes.
//!
//! The call may run at most once, a caller may get "not run" only if its attempt neither ran the
//! call nor is sending it, and a stored response must come from the attempt that ran the call.

use std::sync::Arc;

use cowslip_idempotency::{
    Attempt, AttemptOutcome, AttemptStep, CallId, CallStart, CallTable, CallerReply, SendResult,
    StartResult, StoredResponse,
};
use cowslip_name::Name;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const ATTEMPTS: usize = 4;

/// A rule of the protocol that a run omits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// An attempt sends without waiting for the log if its instance's table contains no call.
    SendWithoutLog,
    /// An attempt sends when its wait for the log times out.
    SendAtDeadline,
}

#[derive(Clone, Debug)]
enum Record {
    Start(CallStart),
    End(Arc<str>, AttemptOutcome),
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Start(usize),
    /// A pending record reaches the log. If the flag is set, it may reach the log again later.
    Append(usize, bool),
    Read(usize),
    Deadline(usize),
    Crash(usize),
    FinishSend(usize, u8),
}

struct Participant {
    attempt: Option<Attempt>,
    table: CallTable,
    cursor: usize,
    is_sending: bool,
    runs: u32,
    replies: Vec<CallerReply>,
}

struct Simulation {
    log: Vec<Record>,
    pending_appends: Vec<Record>,
    participants: Vec<Participant>,
    fault: Fault,
}

fn call() -> CallId {
    CallId { workspace: Name::new("co-op").expect("valid name"), idempotency_key: Arc::from("k") }
}

fn start_record(index: usize) -> CallStart {
    CallStart { call: call(), attempt: Arc::from(index.to_string()), digest: [0; 32] }
}

fn response(index: usize) -> StoredResponse {
    let body = Arc::from(index.to_string());
    StoredResponse { status: 200, content_type: Arc::from("text/plain"), body }
}

impl Simulation {
    fn new(fault: Fault) -> Self {
        let participant = |_| Participant {
            attempt: None,
            table: CallTable::new(10),
            cursor: 0,
            is_sending: false,
            runs: 0,
            replies: Vec::new(),
        };
        let participants = (0..ATTEMPTS).map(participant).collect();
        Self { log: Vec::new(), pending_appends: Vec::new(), participants, fault }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Start(index) if self.participants[index].replies.is_empty() => self.start(index),
            Step::Append(index, is_repeated) if index < self.pending_appends.len() => {
                let record = self.pending_appends[index].clone();
                if !is_repeated {
                    self.pending_appends.remove(index);
                }
                self.log.push(record);
            }
            Step::Start(_) | Step::Append(..) => {}
            Step::Read(index) => self.read(index),
            Step::Deadline(index) => {
                let Some(attempt) = &mut self.participants[index].attempt else { return };
                let mut step = attempt.on_deadline();
                let is_not_run = matches!(step, AttemptStep::Reply(CallerReply::NotRun, _));
                if self.fault == Fault::SendAtDeadline && is_not_run {
                    step = AttemptStep::Send;
                }
                self.perform(index, step);
            }
            Step::Crash(index) => {
                self.participants[index].attempt = None;
                self.participants[index].is_sending = false;
                self.participants[index].replies.push(CallerReply::OutcomeUnknown);
            }
            Step::FinishSend(index, kind) => self.finish_send(index, kind),
        }
    }

    fn start(&mut self, index: usize) {
        if self.participants[index].attempt.is_some() {
            return;
        }
        let mut attempt = Attempt::default();
        let step = match self.participants[index].table.status(&call(), &[0; 32]) {
            Some(status) => attempt.on_start_result(StartResult::OwnedByOther(status)),
            None if self.fault == Fault::SendWithoutLog => {
                attempt.on_start_result(StartResult::Acquired)
            }
            None => AttemptStep::Wait,
        };
        self.pending_appends.push(Record::Start(start_record(index)));
        self.participants[index].attempt = Some(attempt);
        self.perform(index, step);
    }

    fn read(&mut self, index: usize) {
        let participant = &mut self.participants[index];
        let Some(record) = self.log.get(participant.cursor).cloned() else { return };
        let offset = participant.cursor as u64;
        participant.cursor += 1;
        match record {
            Record::Start(found) => {
                let result = participant.table.apply_start(offset, &found);
                if let (true, Some(attempt)) =
                    (found == start_record(index), &mut participant.attempt)
                {
                    let step = attempt.on_start_result(result);
                    self.perform(index, step);
                }
            }
            Record::End(attempt, outcome) => {
                participant.table.apply_end(&call(), &attempt, &outcome);
            }
        }
    }

    /// Completes a send: nothing was sent, a response arrived, or the connection broke after the
    /// service had run the request.
    fn finish_send(&mut self, index: usize, kind: u8) {
        if !self.participants[index].is_sending {
            return;
        }
        self.participants[index].is_sending = false;
        let result = match kind {
            0 => SendResult::NotSent,
            1 => SendResult::Responded(response(index)),
            _ => SendResult::Interrupted,
        };
        self.participants[index].runs += u32::from(kind > 0);
        if let Some(attempt) = &mut self.participants[index].attempt {
            let step = attempt.on_sent(result);
            self.perform(index, step);
        }
    }

    fn perform(&mut self, index: usize, step: AttemptStep) {
        let id: Arc<str> = Arc::from(index.to_string());
        match step {
            AttemptStep::Send => self.participants[index].is_sending = true,
            AttemptStep::Reply(reply, outcome) => {
                self.participants[index].replies.push(reply);
                self.pending_appends.extend(outcome.map(|outcome| Record::End(id, outcome)));
            }
            AttemptStep::Record(outcome) => self.pending_appends.push(Record::End(id, outcome)),
            AttemptStep::AwaitOther | AttemptStep::Wait => {}
        }
    }

    fn violates_invariant(&self) -> bool {
        let runs: u32 = self.participants.iter().map(|participant| participant.runs).sum();
        let is_false_not_run = self.participants.iter().any(|participant| {
            participant.replies.contains(&CallerReply::NotRun)
                && (participant.runs > 0 || participant.is_sending)
        });
        let is_false_response = self.participants.iter().any(|participant| {
            participant.replies.iter().any(|reply| match reply {
                CallerReply::Response(found) => {
                    let owner = found.body.parse::<usize>().expect("index of a participant");
                    self.participants[owner].runs != 1
                }
                _ => false,
            })
        });
        runs > 1 || is_false_not_run || is_false_response
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..ATTEMPTS).prop_map(Step::Start),
        (0usize..4, any::<bool>())
            .prop_map(|(index, is_repeated)| Step::Append(index, is_repeated)),
        (0..ATTEMPTS).prop_map(Step::Read),
        (0..ATTEMPTS).prop_map(Step::Read),
        (0..ATTEMPTS).prop_map(Step::Deadline),
        (0..ATTEMPTS).prop_map(Step::Crash),
        (0..ATTEMPTS, 0u8..3).prop_map(|(index, kind)| Step::FinishSend(index, kind)),
    ]
}

fn finds_violation(fault: Fault) -> bool {
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let found = runner.run(&prop::collection::vec(step(), 0..80), |steps| {
        let mut simulation = Simulation::new(fault);
        for step in steps {
            simulation.step(step);
            prop_assert!(!simulation.violates_invariant());
        }
        Ok(())
    });
    found.is_err()
}

#[test]
fn omitting_a_rule_causes_a_violation() {
    struct Case {
        fault: Fault,
        is_violated: bool,
    }
    const CASES: &[Case] = &[
        Case { fault: Fault::None, is_violated: false },
        Case { fault: Fault::SendWithoutLog, is_violated: true },
        Case { fault: Fault::SendAtDeadline, is_violated: true },
    ];
    for case in CASES {
        assert_eq!(finds_violation(case.fault), case.is_violated, "{:?}", case.fault);
    }
}

/// Returns the attempt that owns the call: that of the first start, or of the first one after the
/// owner ended as not run.
fn naive_owner(log: &[Record]) -> Option<Arc<str>> {
    let mut owner: Option<(Arc<str>, Option<AttemptOutcome>)> = None;
    for record in log {
        match record {
            Record::Start(start) => {
                let is_free = owner.as_ref().is_none_or(|(attempt, end)| {
                    *end == Some(AttemptOutcome::NotRun) && *attempt != start.attempt
                });
                if is_free {
                    owner = Some((start.attempt.clone(), None));
                }
            }
            Record::End(attempt, outcome) => {
                if let Some((current, end @ None)) = &mut owner
                    && current == attempt
                {
                    *end = Some(outcome.clone());
                }
            }
        }
    }
    owner.map(|(attempt, _)| attempt)
}

proptest! {
    #[test]
    fn call_runs_at_most_once(steps in prop::collection::vec(step(), 0..120)) {
        let mut simulation = Simulation::new(Fault::None);
        for step in steps {
            simulation.step(step);
            prop_assert!(!simulation.violates_invariant());
        }
        let mut table = CallTable::new(10);
        for (offset, record) in (0u64..).zip(&simulation.log) {
            match record {
                Record::Start(start) => drop(table.apply_start(offset, start)),
                Record::End(attempt, outcome) => drop(table.apply_end(&call(), attempt, outcome)),
            }
        }
        let owner = table.iter().next().map(|call| call.start.attempt.clone());
        prop_assert_eq!(owner, naive_owner(&simulation.log));
    }
}
