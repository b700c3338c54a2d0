//! Processes that compete for one `CasLease` over a store that is slow, loses replies and executes
//! writes after their callers timed out.
//!
//! No two processes may act at once, fencing tokens must rise from holder to holder, and a takeover
//! must wait for the lease and the drift margin, so that holders cannot alternate within a lease.

use cowslip_authority::{
    AppendResult, CasLease, CasLeaseRecord, CasLeaseStep, CasLeaseView, Holder, LeaseTimes,
};
use cowslip_name::Name;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const PROCESSES: usize = 3;
const TIMES: LeaseTimes =
    LeaseTimes { lease_ms: 10, renew_every_ms: 3, drift_margin_ms: 2, silence_ms: 0 };

/// A rule of the protocol that a run omits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// The store ignores the expected offset of an append.
    AppendAtAnyOffset,
    /// Candidates wait for a shorter time than the lease of the first process.
    CandidatesAssumeShorterLease,
}

#[derive(Clone, Debug)]
enum Step {
    AdvanceClock(u64),
    /// A process takes its next step; a call to the store that it starts stays pending.
    Poll(usize),
    /// The store executes the pending call and replies.
    Reply(usize),
    /// The store executes the pending call, and the reply is lost.
    LoseReply(usize),
    /// The pending call times out, and the store may still execute it.
    TimeOut(usize),
    /// The store executes the oldest write that timed out.
    ExecuteLate,
    /// The process stops, and its next incarnation starts.
    Restart(usize),
    /// The process steps down.
    Release(usize),
}

enum Call {
    Read { sent_at_ms: u64 },
    Write { expected_end: u64, record: CasLeaseRecord },
}

struct Simulation {
    now_ms: u64,
    records: Vec<CasLeaseRecord>,
    processes: Vec<CasLease>,
    calls: Vec<Option<Call>>,
    timed_out_writes: Vec<(u64, CasLeaseRecord)>,
    incarnations: u64,
    fault: Fault,
    /// Process, time and fencing token of each action.
    actions: Vec<(usize, u64, u64)>,
}

fn times(fault: Fault, index: usize) -> LeaseTimes {
    match fault {
        Fault::CandidatesAssumeShorterLease if index > 0 => {
            LeaseTimes { lease_ms: 3, drift_margin_ms: 0, renew_every_ms: 1, ..TIMES }
        }
        _ => TIMES,
    }
}

impl Simulation {
    fn new(fault: Fault) -> Self {
        let mut simulation = Self {
            now_ms: 0,
            records: Vec::new(),
            processes: Vec::new(),
            calls: (0..PROCESSES).map(|_| None).collect(),
            timed_out_writes: Vec::new(),
            incarnations: 0,
            fault,
            actions: Vec::new(),
        };
        for index in 0..PROCESSES {
            let process = simulation.new_incarnation(index);
            simulation.processes.push(process);
        }
        simulation
    }

    fn new_incarnation(&mut self, index: usize) -> CasLease {
        self.incarnations += 1;
        let instance = Name::new(&format!("entry-{index}")).expect("valid name");
        let holder = Holder { instance, incarnation: self.incarnations };
        CasLease::new(holder, times(self.fault, index), self.now_ms)
    }

    fn append(&mut self, expected_end: u64, record: CasLeaseRecord) -> AppendResult {
        let end = self.records.len() as u64;
        if expected_end != end && self.fault != Fault::AppendAtAnyOffset {
            return AppendResult::Conflict;
        }
        self.records.push(record);
        AppendResult::Appended { offset: end, end: end + 1 }
    }

    fn view(&self) -> CasLeaseView {
        let newest = self.records.last().cloned();
        let end = self.records.len() as u64;
        CasLeaseView { end, newest: newest.map(|record| (end - 1, record)) }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::AdvanceClock(ms) => self.now_ms += ms,
            Step::Poll(index) => {
                if self.calls[index].is_none() {
                    self.calls[index] = match self.processes[index].next_step(self.now_ms) {
                        CasLeaseStep::Wait => None,
                        CasLeaseStep::Read => Some(Call::Read { sent_at_ms: self.now_ms }),
                        CasLeaseStep::Write { expected_end, record } => {
                            Some(Call::Write { expected_end, record })
                        }
                    };
                }
            }
            Step::Reply(index) => match self.calls[index].take() {
                None => {}
                Some(Call::Read { sent_at_ms }) => {
                    let view = self.view();
                    self.processes[index].on_view(self.now_ms, sent_at_ms, view);
                }
                Some(Call::Write { expected_end, record }) => {
                    let result = self.append(expected_end, record.clone());
                    self.processes[index].on_written(self.now_ms, record, result);
                }
            },
            Step::LoseReply(index) => {
                if let Some(Call::Write { expected_end, record }) = self.calls[index].take() {
                    self.append(expected_end, record.clone());
                    self.processes[index].on_written(self.now_ms, record, AppendResult::Unknown);
                }
            }
            Step::TimeOut(index) => {
                if let Some(Call::Write { expected_end, record }) = self.calls[index].take() {
                    self.timed_out_writes.push((expected_end, record.clone()));
                    self.processes[index].on_written(self.now_ms, record, AppendResult::Unknown);
                }
            }
            Step::ExecuteLate => {
                if !self.timed_out_writes.is_empty() {
                    let (expected_end, record) = self.timed_out_writes.remove(0);
                    self.append(expected_end, record);
                }
            }
            Step::Restart(index) => {
                if let Some(Call::Write { expected_end, record }) = self.calls[index].take() {
                    self.timed_out_writes.push((expected_end, record));
                }
                self.processes[index] = self.new_incarnation(index);
            }
            Step::Release(index) => self.processes[index].step_down(),
        }
        self.record_actions();
    }

    fn record_actions(&mut self) {
        for (index, process) in self.processes.iter().enumerate() {
            if let Some(fence) = process.fence(self.now_ms) {
                self.actions.push((index, self.now_ms, fence));
            }
        }
    }

    fn violation(&self) -> Option<&'static str> {
        let acting =
            self.processes.iter().filter(|process| process.fence(self.now_ms).is_some()).count();
        if acting > 1 {
            return Some("two processes act at once");
        }
        let &[.., (before, _, old), (after, _, new)] = self.actions.as_slice() else { return None };
        (before != after && new <= old).then_some("a fencing token does not rise")
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let index = 0..PROCESSES;
    let step = prop_oneof![
        6 => (1u64..4).prop_map(Step::AdvanceClock),
        8 => index.clone().prop_map(Step::Poll),
        8 => index.clone().prop_map(Step::Reply),
        1 => index.clone().prop_map(Step::LoseReply),
        1 => index.clone().prop_map(Step::TimeOut),
        1 => Just(Step::ExecuteLate),
        1 => index.clone().prop_map(Step::Restart),
        1 => index.prop_map(Step::Release),
    ];
    prop::collection::vec(step, 0..300)
}

fn run(fault: Fault, steps: &[Step]) -> Result<usize, &'static str> {
    let mut simulation = Simulation::new(fault);
    for step in steps {
        simulation.step(step);
        if let Some(violation) = simulation.violation() {
            return Err(violation);
        }
    }
    Ok(simulation.actions.len())
}

proptest! {
    #[test]
    fn at_most_one_process_acts_at_a_time(steps in steps()) {
        prop_assert!(run(Fault::None, &steps).is_ok());
    }
}

#[test]
fn omitting_a_rule_causes_a_violation() {
    struct Case {
        fault: Fault,
        cases: u32,
    }
    let cases = [
        Case { fault: Fault::AppendAtAnyOffset, cases: 2_000 },
        Case { fault: Fault::CandidatesAssumeShorterLease, cases: 2_000 },
    ];
    for Case { fault, cases } in cases {
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
        let config = Config { cases, failure_persistence: None, ..Config::default() };
        let mut runner = TestRunner::new_with_rng(config, rng);
        let found = runner.run(&steps(), |steps| {
            prop_assert!(run(fault, &steps).is_ok());
            Ok(())
        });
        assert!(found.is_err(), "{fault:?} caused no violation");
    }
}

#[test]
fn takeover_waits_for_lease_and_drift_margin() {
    let mut simulation = Simulation::new(Fault::None);
    let poll_and_reply = |simulation: &mut Simulation, index: usize| {
        for _ in 0..3 {
            simulation.step(&Step::Poll(index));
            simulation.step(&Step::Reply(index));
        }
    };
    poll_and_reply(&mut simulation, 0);
    assert_eq!(simulation.processes[0].fence(simulation.now_ms), Some(0));
    poll_and_reply(&mut simulation, 1);
    let mut acquired_at_ms = None;
    while acquired_at_ms.is_none() && simulation.now_ms < 100 {
        simulation.step(&Step::AdvanceClock(1));
        poll_and_reply(&mut simulation, 1);
        acquired_at_ms =
            simulation.processes[1].fence(simulation.now_ms).map(|_| simulation.now_ms);
    }
    assert_eq!(acquired_at_ms, Some(TIMES.lease_ms + TIMES.drift_margin_ms));
}

#[test]
fn after_an_outage_the_holder_renews_before_others_claim() {
    struct Case {
        name: &'static str,
        is_holder_alive: bool,
        /// Process that acts at the end.
        want: usize,
    }
    let cases = [
        Case { name: "the holder is there", is_holder_alive: true, want: 0 },
        Case { name: "the holder is lost", is_holder_alive: false, want: 1 },
    ];
    for case in cases {
        let mut simulation = Simulation::new(Fault::None);
        for index in [0, 0, 1] {
            simulation.step(&Step::Poll(index));
            simulation.step(&Step::Reply(index));
        }
        assert!(simulation.processes[0].fence(0).is_some(), "{}", case.name);
        // No call gets a response, for much longer than a lease.
        for _ in 0..5 * TIMES.lease_ms {
            simulation.step(&Step::AdvanceClock(1));
            for index in 0..2 {
                simulation.step(&Step::Poll(index));
                simulation.step(&Step::TimeOut(index));
            }
        }
        // The candidate notices first that the store responds again.
        for _ in 0..3 {
            let alive = if case.is_holder_alive { [1, 0].as_slice() } else { &[1] };
            for index in alive {
                simulation.step(&Step::Poll(*index));
                simulation.step(&Step::Reply(*index));
            }
        }
        if !case.is_holder_alive {
            simulation.step(&Step::AdvanceClock(TIMES.renew_every_ms));
            simulation.step(&Step::Poll(1));
            simulation.step(&Step::Reply(1));
        }
        let now_ms = simulation.now_ms;
        let acting: Vec<usize> =
            (0..2).filter(|index| simulation.processes[*index].fence(now_ms).is_some()).collect();
        assert_eq!(acting, [case.want], "{}", case.name);
    }
}

#[test]
fn a_release_stays_due_until_it_is_written() {
    struct Case {
        name: &'static str,
        is_holder: bool,
        /// What happens to the calls after the process has stepped down.
        calls: &'static [fn(usize) -> Step],
        want: bool,
    }
    let cases = [
        Case { name: "written", is_holder: true, calls: &[Step::Reply], want: false },
        Case {
            name: "no response",
            is_holder: true,
            calls: &[Step::TimeOut, Step::TimeOut],
            want: true,
        },
        Case {
            name: "written at the second attempt",
            is_holder: true,
            calls: &[Step::TimeOut, Step::Reply, Step::Reply],
            want: false,
        },
        Case {
            name: "written, but the reply was lost",
            is_holder: true,
            calls: &[Step::LoseReply, Step::Reply],
            want: false,
        },
        Case { name: "no holder", is_holder: false, calls: &[], want: false },
    ];
    for case in cases {
        let mut simulation = Simulation::new(Fault::None);
        let index = usize::from(!case.is_holder);
        for index in [0, 0, 1] {
            simulation.step(&Step::Poll(index));
            simulation.step(&Step::Reply(index));
        }
        simulation.processes[index].step_down();
        for call in case.calls {
            simulation.step(&Step::Poll(index));
            simulation.step(&call(index));
        }
        assert_eq!(simulation.processes[index].is_release_due(), case.want, "{}", case.name);
    }
}

#[test]
fn rejected_fencing_token_is_not_reused() {
    let mut simulation = Simulation::new(Fault::None);
    let poll_and_reply = |simulation: &mut Simulation| {
        simulation.step(&Step::Poll(0));
        simulation.step(&Step::Reply(0));
    };
    poll_and_reply(&mut simulation);
    poll_and_reply(&mut simulation);
    let rejected = simulation.processes[0].fence(0).expect("the process holds the lease");
    simulation.processes[0].on_fenced(rejected);
    for _ in 0..10 {
        assert_ne!(simulation.processes[0].fence(simulation.now_ms), Some(rejected));
        simulation.step(&Step::AdvanceClock(1));
        poll_and_reply(&mut simulation);
    }
    assert!(simulation.processes[0].fence(simulation.now_ms).is_some_and(|fence| fence > rejected));
}
