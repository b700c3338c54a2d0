//! Processes that share a register over a store that is slow, loses answers and executes late: no
//! two act at once, fencing numbers rise, and nobody takes turns within a lease.

use cowslip_authority::{
    CasLease, CasLeaseRecord, CasLeaseStep, CasLeaseView, Holder, LeaseTimes, WriteResult,
};
use cowslip_name::Name;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const PROCESSES: usize = 3;
const TIMES: LeaseTimes =
    LeaseTimes { lease_ms: 10, renew_every_ms: 3, drift_margin_ms: 2, silence_ms: 0 };

/// A rule that a run leaves out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// The store appends wherever the topic ends.
    AppendAnywhere,
    /// Candidates do not wait for the lease to end.
    ImpatientCandidates,
}

#[derive(Clone, Debug)]
enum Step {
    Time(u64),
    /// A process does what is due; a call it makes stays under way.
    Work(usize),
    /// The store carries out the call and answers.
    Answer(usize),
    /// The store carries out the call, and the answer is lost.
    LoseAnswer(usize),
    /// The process gives up on the call, which the store may still carry out.
    GiveUp(usize),
    /// The store carries out the oldest call that was given up.
    Late,
    /// The process ends and another life of it starts.
    Restart(usize),
    /// The process gives the lease up.
    Retire(usize),
}

enum Call {
    Read { sent_at_ms: u64 },
    Write { expected_end: u64, record: CasLeaseRecord },
}

struct World {
    now_ms: u64,
    records: Vec<CasLeaseRecord>,
    processes: Vec<CasLease>,
    calls: Vec<Option<Call>>,
    late: Vec<(u64, CasLeaseRecord)>,
    lives: u64,
    fault: Fault,
    /// Who acted when, under which fencing number.
    acts: Vec<(usize, u64, u64)>,
}

fn times(fault: Fault, index: usize) -> LeaseTimes {
    match fault {
        Fault::ImpatientCandidates if index > 0 => {
            LeaseTimes { lease_ms: 3, drift_margin_ms: 0, renew_every_ms: 1, ..TIMES }
        }
        _ => TIMES,
    }
}

impl World {
    fn new(fault: Fault) -> Self {
        let mut world = Self {
            now_ms: 0,
            records: Vec::new(),
            processes: Vec::new(),
            calls: (0..PROCESSES).map(|_| None).collect(),
            late: Vec::new(),
            lives: 0,
            fault,
            acts: Vec::new(),
        };
        for index in 0..PROCESSES {
            let life = world.new_life(index);
            world.processes.push(life);
        }
        world
    }

    fn new_life(&mut self, index: usize) -> CasLease {
        self.lives += 1;
        let instance = Name::new(&format!("entry-{index}")).expect("a name");
        let me = Holder { instance, incarnation: self.lives };
        CasLease::new(me, times(self.fault, index), self.now_ms)
    }

    fn append(&mut self, at: u64, record: CasLeaseRecord) -> WriteResult {
        let end = self.records.len() as u64;
        if at != end && self.fault != Fault::AppendAnywhere {
            return WriteResult::Conflict;
        }
        self.records.push(record);
        WriteResult::Appended { offset: end, end: end + 1 }
    }

    fn view(&self) -> CasLeaseView {
        let newest = self.records.last().cloned();
        let end = self.records.len() as u64;
        CasLeaseView { end, newest: newest.map(|record| (end - 1, record)) }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Time(ms) => self.now_ms += ms,
            Step::Work(index) => {
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
            Step::Answer(index) => match self.calls[index].take() {
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
            Step::LoseAnswer(index) => {
                if let Some(Call::Write { expected_end, record }) = self.calls[index].take() {
                    self.append(expected_end, record.clone());
                    self.processes[index].on_written(self.now_ms, record, WriteResult::Unknown);
                }
            }
            Step::GiveUp(index) => {
                if let Some(Call::Write { expected_end, record }) = self.calls[index].take() {
                    self.late.push((expected_end, record.clone()));
                    self.processes[index].on_written(self.now_ms, record, WriteResult::Unknown);
                }
            }
            Step::Late => {
                if !self.late.is_empty() {
                    let (at, record) = self.late.remove(0);
                    self.append(at, record);
                }
            }
            Step::Restart(index) => {
                if let Some(Call::Write { expected_end, record }) = self.calls[index].take() {
                    self.late.push((expected_end, record));
                }
                self.processes[index] = self.new_life(index);
            }
            Step::Retire(index) => self.processes[index].step_down(),
        }
        self.act();
    }

    fn act(&mut self) {
        for (index, process) in self.processes.iter().enumerate() {
            if let Some(fence) = process.fence(self.now_ms) {
                self.acts.push((index, self.now_ms, fence));
            }
        }
    }

    fn broken(&self) -> Option<&'static str> {
        let acting = self.processes.iter().filter(|one| one.fence(self.now_ms).is_some()).count();
        if acting > 1 {
            return Some("two act at once");
        }
        let &[.., (former, _, old), (newer, _, new)] = self.acts.as_slice() else { return None };
        (former != newer && new <= old).then_some("a fencing number does not rise")
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let index = 0..PROCESSES;
    let step = prop_oneof![
        6 => (1u64..4).prop_map(Step::Time),
        8 => index.clone().prop_map(Step::Work),
        8 => index.clone().prop_map(Step::Answer),
        1 => index.clone().prop_map(Step::LoseAnswer),
        1 => index.clone().prop_map(Step::GiveUp),
        1 => Just(Step::Late),
        1 => index.clone().prop_map(Step::Restart),
        1 => index.prop_map(Step::Retire),
    ];
    prop::collection::vec(step, 0..300)
}

fn run(fault: Fault, steps: &[Step]) -> Result<usize, &'static str> {
    let mut world = World::new(fault);
    for step in steps {
        world.step(step);
        if let Some(why) = world.broken() {
            return Err(why);
        }
    }
    Ok(world.acts.len())
}

proptest! {
    #[test]
    fn one_acts_at_a_time(steps in steps()) {
        prop_assert!(run(Fault::None, &steps).is_ok());
    }
}

#[test]
fn each_rule_is_needed() {
    struct Case {
        fault: Fault,
        cases: u32,
    }
    let cases = [
        Case { fault: Fault::AppendAnywhere, cases: 2_000 },
        Case { fault: Fault::ImpatientCandidates, cases: 2_000 },
    ];
    for Case { fault, cases } in cases {
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
        let config = Config { cases, failure_persistence: None, ..Config::default() };
        let mut runner = TestRunner::new_with_rng(config, rng);
        let found = runner.run(&steps(), |steps| {
            prop_assert!(run(fault, &steps).is_ok());
            Ok(())
        });
        assert!(found.is_err(), "{fault:?} was not noticed");
    }
}

#[test]
fn a_takeover_takes_a_lease_and_a_margin() {
    let mut world = World::new(Fault::None);
    let work = |world: &mut World, index: usize| {
        for _ in 0..3 {
            world.step(&Step::Work(index));
            world.step(&Step::Answer(index));
        }
    };
    work(&mut world, 0);
    assert_eq!(world.processes[0].fence(world.now_ms), Some(0));
    work(&mut world, 1);
    let mut taken_at_ms = None;
    while taken_at_ms.is_none() && world.now_ms < 100 {
        world.step(&Step::Time(1));
        work(&mut world, 1);
        taken_at_ms = world.processes[1].fence(world.now_ms).map(|_| world.now_ms);
    }
    assert_eq!(taken_at_ms, Some(TIMES.lease_ms + TIMES.drift_margin_ms));
}

#[test]
fn a_refused_fencing_number_is_not_used_again() {
    let mut world = World::new(Fault::None);
    let work = |world: &mut World| {
        world.step(&Step::Work(0));
        world.step(&Step::Answer(0));
    };
    work(&mut world);
    work(&mut world);
    let refused = world.processes[0].fence(0).expect("the lease");
    world.processes[0].on_fenced(refused);
    for _ in 0..10 {
        assert_ne!(world.processes[0].fence(world.now_ms), Some(refused));
        world.step(&Step::Time(1));
        work(&mut world);
    }
    assert!(world.processes[0].fence(world.now_ms).is_some_and(|fence| fence > refused));
}
