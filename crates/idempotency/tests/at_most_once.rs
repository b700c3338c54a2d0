//! Attempts at one call by several instances, with every delay, loss and death at random.

use std::sync::Arc;

use cowslip_idempotency::{
    Attempt, AttemptOutcome, AttemptStep, CallId, CallStart, CallTable, CallerReply, SendResult,
    StartResult, StoredResponse,
};
use cowslip_name::Name;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const ATTEMPTS: usize = 4;

/// A rule that a run leaves out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// An attempt sends as soon as its own fold knows of no other one.
    SendWithoutLog,
    /// The wait for the log ends in sending.
    SendAtDeadline,
}

#[derive(Clone, Debug)]
enum Record {
    Start(CallStart),
    End(Arc<str>, AttemptOutcome),
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Begin(usize),
    /// A record in flight reaches the log; it may do so again later.
    Land(usize, bool),
    Read(usize),
    Deadline(usize),
    Kill(usize),
    Sent(usize, u8),
}

struct Try {
    attempt: Option<Attempt>,
    fold: CallTable,
    cursor: usize,
    is_sending: bool,
    runs: u32,
    told: Vec<CallerReply>,
}

struct World {
    log: Vec<Record>,
    flights: Vec<Record>,
    tries: Vec<Try>,
    fault: Fault,
}

fn call() -> CallId {
    CallId { workspace: Name::new("co-op").expect("a name"), idempotency_key: Arc::from("k") }
}

fn start(index: usize) -> CallStart {
    CallStart { call: call(), attempt: Arc::from(index.to_string()), digest: [0; 32] }
}

fn answer(index: usize) -> StoredResponse {
    let body = Arc::from(index.to_string());
    StoredResponse { status: 200, content_type: Arc::from("text/plain"), body }
}

impl World {
    fn new(fault: Fault) -> Self {
        let new_try = |_| Try {
            attempt: None,
            fold: CallTable::new(10),
            cursor: 0,
            is_sending: false,
            runs: 0,
            told: Vec::new(),
        };
        let tries = (0..ATTEMPTS).map(new_try).collect();
        Self { log: Vec::new(), flights: Vec::new(), tries, fault }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Begin(index) if self.tries[index].told.is_empty() => self.begin(index),
            Step::Land(flight, is_repeated) if flight < self.flights.len() => {
                let record = self.flights[flight].clone();
                if !is_repeated {
                    self.flights.remove(flight);
                }
                self.log.push(record);
            }
            Step::Begin(_) | Step::Land(..) => {}
            Step::Read(index) => self.read(index),
            Step::Deadline(index) => {
                let Some(attempt) = &mut self.tries[index].attempt else { return };
                let mut step = attempt.on_deadline();
                let is_refused = matches!(step, AttemptStep::Reply(CallerReply::NotRun, _));
                if self.fault == Fault::SendAtDeadline && is_refused {
                    step = AttemptStep::Send;
                }
                self.perform(index, step);
            }
            Step::Kill(index) => {
                self.tries[index].attempt = None;
                self.tries[index].is_sending = false;
                self.tries[index].told.push(CallerReply::OutcomeUnknown);
            }
            Step::Sent(index, kind) => self.sent(index, kind),
        }
    }

    fn begin(&mut self, index: usize) {
        if self.tries[index].attempt.is_some() {
            return;
        }
        let mut attempt = Attempt::default();
        let step = match self.tries[index].fold.status(&call(), &[0; 32]) {
            Some(standing) => attempt.on_verdict(StartResult::Lost(standing)),
            None if self.fault == Fault::SendWithoutLog => attempt.on_verdict(StartResult::Won),
            None => AttemptStep::Nothing,
        };
        self.flights.push(Record::Start(start(index)));
        self.tries[index].attempt = Some(attempt);
        self.perform(index, step);
    }

    fn read(&mut self, index: usize) {
        let own = &mut self.tries[index];
        let Some(record) = self.log.get(own.cursor).cloned() else { return };
        let offset = own.cursor as u64;
        own.cursor += 1;
        match record {
            Record::Start(found) => {
                let verdict = own.fold.apply_start(offset, &found);
                if let (true, Some(attempt)) = (found == start(index), &mut own.attempt) {
                    let step = attempt.on_verdict(verdict);
                    self.perform(index, step);
                }
            }
            Record::End(attempt, outcome) => {
                own.fold.apply_end(&call(), &attempt, &outcome);
            }
        }
    }

    /// The request leaves, or its bytes are lost: the service runs it in the second case too.
    fn sent(&mut self, index: usize, kind: u8) {
        if !self.tries[index].is_sending {
            return;
        }
        self.tries[index].is_sending = false;
        let result = match kind {
            0 => SendResult::NothingSent,
            1 => SendResult::Answered(answer(index)),
            _ => SendResult::Interrupted,
        };
        self.tries[index].runs += u32::from(kind > 0);
        if let Some(attempt) = &mut self.tries[index].attempt {
            let step = attempt.on_sent(result);
            self.perform(index, step);
        }
    }

    fn perform(&mut self, index: usize, step: AttemptStep) {
        let name: Arc<str> = Arc::from(index.to_string());
        match step {
            AttemptStep::Send => self.tries[index].is_sending = true,
            AttemptStep::Reply(told, outcome) => {
                self.tries[index].told.push(told);
                self.flights.extend(outcome.map(|outcome| Record::End(name, outcome)));
            }
            AttemptStep::Record(outcome) => self.flights.push(Record::End(name, outcome)),
            AttemptStep::AwaitOther | AttemptStep::Nothing => {}
        }
    }

    fn is_violated(&self) -> bool {
        let runs: u32 = self.tries.iter().map(|own| own.runs).sum();
        let is_untrue = self
            .tries
            .iter()
            .any(|own| own.told.contains(&CallerReply::NotRun) && (own.runs > 0 || own.is_sending));
        let is_other_answer = self.tries.iter().any(|own| {
            own.told.iter().any(|told| match told {
                CallerReply::Answer(found) => {
                    let runner = found.body.parse::<usize>().expect("an index");
                    self.tries[runner].runs != 1
                }
                _ => false,
            })
        });
        runs > 1 || is_untrue || is_other_answer
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..ATTEMPTS).prop_map(Step::Begin),
        (0usize..4, any::<bool>()).prop_map(|(flight, again)| Step::Land(flight, again)),
        (0..ATTEMPTS).prop_map(Step::Read),
        (0..ATTEMPTS).prop_map(Step::Read),
        (0..ATTEMPTS).prop_map(Step::Deadline),
        (0..ATTEMPTS).prop_map(Step::Kill),
        (0..ATTEMPTS, 0u8..3).prop_map(|(index, kind)| Step::Sent(index, kind)),
    ]
}

fn find(fault: Fault) -> bool {
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let found = runner.run(&prop::collection::vec(step(), 0..80), |steps| {
        let mut world = World::new(fault);
        for step in steps {
            world.step(step);
            prop_assert!(!world.is_violated());
        }
        Ok(())
    });
    found.is_err()
}

#[test]
fn each_rule_is_needed() {
    struct Case {
        fault: Fault,
        is_found: bool,
    }
    const CASES: &[Case] = &[
        Case { fault: Fault::None, is_found: false },
        Case { fault: Fault::SendWithoutLog, is_found: true },
        Case { fault: Fault::SendAtDeadline, is_found: true },
    ];
    for case in CASES {
        assert_eq!(find(case.fault), case.is_found, "{:?}", case.fault);
    }
}

/// Who runs the call: the first start after which nothing was told to be not run.
fn naive_runner(log: &[Record]) -> Option<Arc<str>> {
    let mut runner: Option<(Arc<str>, Option<AttemptOutcome>)> = None;
    for record in log {
        match record {
            Record::Start(start) => {
                let is_free = runner.as_ref().is_none_or(|(attempt, end)| {
                    *end == Some(AttemptOutcome::NotRun) && *attempt != start.attempt
                });
                if is_free {
                    runner = Some((start.attempt.clone(), None));
                }
            }
            Record::End(attempt, outcome) => {
                if let Some((running, end @ None)) = &mut runner
                    && running == attempt
                {
                    *end = Some(outcome.clone());
                }
            }
        }
    }
    runner.map(|(attempt, _)| attempt)
}

proptest! {
    #[test]
    fn a_call_runs_at_most_once(steps in prop::collection::vec(step(), 0..120)) {
        let mut world = World::new(Fault::None);
        for step in steps {
            world.step(step);
            prop_assert!(!world.is_violated());
        }
        let mut fold = CallTable::new(10);
        for (offset, record) in (0u64..).zip(&world.log) {
            match record {
                Record::Start(start) => drop(fold.apply_start(offset, start)),
                Record::End(attempt, outcome) => drop(fold.apply_end(&call(), attempt, outcome)),
            }
        }
        let runner = fold.iter().next().map(|call| call.start.attempt.clone());
        prop_assert_eq!(runner, naive_runner(&world.log));
    }
}
