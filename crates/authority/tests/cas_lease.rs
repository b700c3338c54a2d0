//! Processes that compete for one `CasLease` over a store that is slow, loses replies, executes
//! writes after their callers timed out and comes back from older copies of itself.
//!
//! No two processes may act at once, fencing tokens must rise from holder to holder and never fall,
//! a process must not act under an era that it knows to be over, and a takeover must wait for the
//! lease and the drift margin, so that holders cannot alternate within a lease.

use cowslip_authority::{
    AppendResult, CasLease, CasLeaseRecord, CasLeaseStep, CasLeaseView, Holder, LeaseTimes,
    UsableLease,
};
use cowslip_era::{Position, StoreEra};
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
    /// A record that was decided before a restore and appended after it acquires the lease.
    LateWritesCount,
    /// A holder goes on as if the store had not been restored.
    HolderIgnoresRestores,
    /// A holder acts before its renewal in the new era.
    HolderActsBeforeRenewal,
    /// Others than the holder take a peer's record of an earlier era for a release.
    OthersDoNotWait,
    /// A former holder that reads its own record of an earlier era goes on as the holder.
    FormerHolderRenews,
}

#[derive(Clone, Debug)]
enum Step {
    AdvanceClock(u64),
    /// A process takes its next step; a call to the store that it starts stays pending.
    Poll(usize),
    /// The store executes the pending call; its reply is under way.
    Execute(usize),
    /// The process gets the reply to the pending call.
    Reply(usize),
    /// A process takes its next step and gets the reply to its call.
    Call(usize),
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
    /// The store loses a number of its newest records, and its era rises.
    Restore(usize),
    /// The process learns the store's era otherwise than by its own calls.
    LearnEra(usize),
}

enum PendingCall {
    Read {
        sent_at_ms: u64,
    },
    Write {
        expected_end: u64,
        record: CasLeaseRecord,
    },
    /// `is_late` tells whether the newest record was appended in a later era than its own.
    ExecutedRead {
        sent_at_ms: u64,
        view: CasLeaseView,
        is_late: bool,
    },
    ExecutedWrite {
        record: CasLeaseRecord,
        era: StoreEra,
        result: AppendResult,
    },
}

/// An action of a process under its lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Action {
    process: usize,
    at_ms: u64,
    position: Position,
    /// Highest era that the process had been told.
    told_era: StoreEra,
}

#[derive(Clone)]
struct StoredRecord {
    record: CasLeaseRecord,
    /// Era in which the store appended the record.
    appended_in: StoreEra,
}

struct Simulation {
    now_ms: u64,
    era: StoreEra,
    records: Vec<StoredRecord>,
    processes: Vec<CasLease>,
    calls: Vec<Option<PendingCall>>,
    /// Highest era that each process has been told, `None` before its first view.
    told_eras: Vec<Option<StoreEra>>,
    timed_out_writes: Vec<(u64, CasLeaseRecord)>,
    incarnations: u64,
    current_incarnations: [u64; PROCESSES],
    fault: Fault,
    actions: Vec<Action>,
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
            era: StoreEra::default(),
            records: Vec::new(),
            processes: Vec::new(),
            calls: (0..PROCESSES).map(|_| None).collect(),
            told_eras: vec![None; PROCESSES],
            timed_out_writes: Vec::new(),
            incarnations: 0,
            current_incarnations: [0; PROCESSES],
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
        self.current_incarnations[index] = self.incarnations;
        CasLease::new(self.holder(index), times(self.fault, index), self.now_ms)
    }

    fn holder(&self, index: usize) -> Holder {
        let instance = Name::new(&format!("entry-{index}")).expect("valid name");
        Holder { instance, incarnation: self.current_incarnations[index] }
    }

    fn append(&mut self, expected_end: u64, record: CasLeaseRecord) -> AppendResult {
        let end = self.records.len() as u64;
        if expected_end != end && self.fault != Fault::AppendAtAnyOffset {
            return AppendResult::Conflict;
        }
        self.records.push(StoredRecord { record, appended_in: self.era });
        AppendResult::Appended { offset: end, end: end + 1 }
    }

    fn view(&self) -> CasLeaseView {
        let newest = self.records.last().map(|stored| stored.record.clone());
        let end = self.records.len() as u64;
        CasLeaseView { era: self.era, end, newest: newest.map(|record| (end - 1, record)) }
    }

    /// Returns the pending call of a process after the store has executed it.
    fn execute(&mut self, index: usize) -> Option<PendingCall> {
        Some(match self.calls[index].take()? {
            PendingCall::Read { sent_at_ms } => {
                let newest = self.records.last();
                let is_late = newest.is_some_and(|it| it.record.era < it.appended_in);
                PendingCall::ExecutedRead { sent_at_ms, view: self.view(), is_late }
            }
            PendingCall::Write { expected_end, record } => {
                let result = self.append(expected_end, record.clone());
                PendingCall::ExecutedWrite { record, era: self.era, result }
            }
            executed => executed,
        })
    }

    fn reply(&mut self, index: usize) {
        let now_ms = self.now_ms;
        match self.execute(index) {
            Some(PendingCall::ExecutedRead { sent_at_ms, view, is_late }) => {
                let view = self.presented(index, view, is_late);
                if !self.ignores_restores(index) {
                    self.told_eras[index] = self.told_eras[index].max(Some(view.era));
                }
                self.processes[index].on_view(now_ms, sent_at_ms, view);
            }
            Some(PendingCall::ExecutedWrite { record, era, result }) => {
                if self.ignores_restores(index) {
                    self.processes[index].on_written(now_ms, record, result);
                    return;
                }
                let result = if era == record.era { result } else { AppendResult::Unknown };
                self.processes[index].on_written(now_ms, record, result);
                self.tell_era(index, era);
            }
            _ => {}
        }
    }

    fn tell_era(&mut self, index: usize, era: StoreEra) {
        if let Some(told) = &mut self.told_eras[index] {
            *told = era.max(*told);
        }
        self.processes[index].on_era(era);
    }

    fn ignores_restores(&self, index: usize) -> bool {
        self.fault == Fault::HolderIgnoresRestores && self.processes[index].is_holder(self.now_ms)
    }

    /// Returns a view as the process reads it when the rule of the fault is omitted.
    fn presented(&self, index: usize, mut view: CasLeaseView, is_late: bool) -> CasLeaseView {
        let process = &self.processes[index];
        let is_holder = process.is_holder(self.now_ms);
        let era = view.era;
        if self.ignores_restores(index) {
            view.era = process.era();
        }
        let Some((_, record)) = &mut view.newest else { return view };
        let is_own = record.holder == self.holder(index);
        match self.fault {
            Fault::LateWritesCount if is_late => record.era = era,
            Fault::HolderIgnoresRestores if is_holder && record.era == era => {
                record.era = view.era;
            }
            Fault::OthersDoNotWait if !is_holder && !is_own && record.era < era => {
                record.era = era;
                record.is_released = true;
            }
            Fault::FormerHolderRenews if !is_holder && is_own && !is_late => record.era = era,
            _ => {}
        }
        view
    }

    fn write_late(&mut self, index: usize) -> Option<CasLeaseRecord> {
        match self.calls[index].take()? {
            PendingCall::Write { expected_end, record } => {
                self.timed_out_writes.push((expected_end, record.clone()));
                Some(record)
            }
            PendingCall::ExecutedWrite { record, .. } => Some(record),
            PendingCall::Read { .. } | PendingCall::ExecutedRead { .. } => None,
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::AdvanceClock(ms) => self.now_ms += ms,
            Step::Poll(index) => self.poll(index),
            Step::Execute(index) => self.calls[index] = self.execute(index),
            Step::Reply(index) => self.reply(index),
            Step::Call(index) => {
                self.poll(index);
                self.reply(index);
            }
            Step::LoseReply(index) => {
                if let Some(PendingCall::ExecutedWrite { record, .. }) = self.execute(index) {
                    self.processes[index].on_written(self.now_ms, record, AppendResult::Unknown);
                }
            }
            Step::TimeOut(index) => {
                if let Some(record) = self.write_late(index) {
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
                self.write_late(index);
                self.processes[index] = self.new_incarnation(index);
                self.told_eras[index] = None;
            }
            Step::Release(index) => self.processes[index].step_down(),
            Step::Restore(lost) => {
                self.records.truncate(self.records.len().saturating_sub(lost));
                self.era = era(self.era.number() + 1);
            }
            Step::LearnEra(index) => {
                if !self.ignores_restores(index) {
                    self.tell_era(index, self.era);
                }
            }
        }
        self.record_actions();
    }

    fn poll(&mut self, index: usize) {
        if self.calls[index].is_none() {
            self.calls[index] = match self.processes[index].next_step(self.now_ms) {
                CasLeaseStep::Wait => None,
                CasLeaseStep::Read => Some(PendingCall::Read { sent_at_ms: self.now_ms }),
                CasLeaseStep::Write { expected_end, record } => {
                    Some(PendingCall::Write { expected_end, record })
                }
            };
        }
    }

    fn acting(&self, index: usize) -> Option<Position> {
        let process = &self.processes[index];
        let UsableLease { position, expires_at_ms } = process.usable(self.now_ms)?;
        assert!(self.now_ms < expires_at_ms, "an expired lease is usable");
        if self.fault == Fault::HolderActsBeforeRenewal {
            return Some(position);
        }
        let token = process.fence(self.now_ms)?;
        assert_eq!(token, position.fencing_token());
        Some(position)
    }

    fn record_actions(&mut self) {
        let at_ms = self.now_ms;
        for process in 0..PROCESSES {
            if let Some(position) = self.acting(process) {
                let told_era = self.told_eras[process].unwrap_or_default();
                self.actions.push(Action { process, at_ms, position, told_era });
            }
        }
    }

    fn violation(&self) -> Option<&'static str> {
        let acting = (0..PROCESSES).filter(|index| self.acting(*index).is_some()).count();
        if acting > 1 {
            return Some("two processes act at once");
        }
        let [earlier @ .., newest] = self.actions.as_slice() else { return None };
        if newest.position.era < newest.told_era {
            return Some("a process acts before its renewal in the new era");
        }
        let previous = earlier.last()?;
        let old = previous.position.fencing_token();
        let new = newest.position.fencing_token();
        if new < old {
            return Some("a fencing token falls");
        }
        (previous.process != newest.process && new <= old)
            .then_some("a fencing token does not rise from holder to holder")
    }
}

fn era(number: u64) -> StoreEra {
    StoreEra::new(number).expect("a valid era")
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let index = 0..PROCESSES;
    let step = prop_oneof![
        6 => (1u64..4).prop_map(Step::AdvanceClock),
        8 => index.clone().prop_map(Step::Poll),
        8 => index.clone().prop_map(Step::Call),
        1 => index.clone().prop_map(Step::Execute),
        8 => index.clone().prop_map(Step::Reply),
        1 => index.clone().prop_map(Step::LoseReply),
        1 => index.clone().prop_map(Step::TimeOut),
        1 => Just(Step::ExecuteLate),
        1 => index.clone().prop_map(Step::Restart),
        1 => index.clone().prop_map(Step::Release),
        1 => (0usize..4).prop_map(Step::Restore),
        1 => index.prop_map(Step::LearnEra),
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
        prop_assert_eq!(run(Fault::None, &steps).err(), None);
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
        Case { fault: Fault::LateWritesCount, cases: 2_000 },
        Case { fault: Fault::HolderIgnoresRestores, cases: 2_000 },
        Case { fault: Fault::HolderActsBeforeRenewal, cases: 2_000 },
        Case { fault: Fault::OthersDoNotWait, cases: 2_000 },
        Case { fault: Fault::FormerHolderRenews, cases: 5_000 },
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
        Case {
            name: "not written, and its record is of an earlier era",
            is_holder: true,
            calls: &[Step::TimeOut, |_| Step::Restore(0), Step::Reply, Step::Reply],
            want: false,
        },
        Case {
            name: "written in a later era",
            is_holder: true,
            calls: &[|_| Step::Restore(0), Step::Reply, Step::Reply],
            want: false,
        },
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

struct RestoreCase {
    name: &'static str,
    /// Steps after process 0 has acquired the lease and process 1 has read its record.
    steps: &'static [Step],
    /// Records of an earlier era that the store has appended after the steps.
    late_records: usize,
    /// Processes whose calls succeed after the steps, in this order.
    alive: &'static [usize],
    /// The only process that acts in the new era.
    want_process: usize,
    /// Era and offset of its first action.
    want_position: (u64, u64),
    /// Time after the steps in which no process acts in the new era.
    want_idle_ms: u64,
}

impl RestoreCase {
    fn check(&self) {
        let mut simulation = Simulation::new(Fault::None);
        let step_checked = |simulation: &mut Simulation, step: &Step| {
            simulation.step(step);
            assert_eq!(simulation.violation(), None, "{}", self.name);
        };
        for step in [Step::Call(0), Step::Call(0), Step::Call(1)].iter().chain(self.steps) {
            step_checked(&mut simulation, step);
        }
        let late = simulation.records.iter().filter(|it| it.record.era < it.appended_in).count();
        assert_eq!(late, self.late_records, "{}", self.name);
        let mut actions = Vec::new();
        let mut idle_ms = 0;
        for _ in 0..4 * TIMES.lease_ms {
            for index in self.alive {
                for _ in 0..3 {
                    step_checked(&mut simulation, &Step::Call(*index));
                }
            }
            let newest = simulation.actions.last().copied();
            match newest.filter(|action| {
                action.at_ms == simulation.now_ms && action.position.era == simulation.era
            }) {
                Some(action) => actions.push(action),
                None => idle_ms += 1,
            }
            step_checked(&mut simulation, &Step::AdvanceClock(1));
        }
        let (era_number, offset) = self.want_position;
        let want_position = Position { era: era(era_number), offset };
        assert_eq!(actions.first().map(|it| it.position), Some(want_position), "{}", self.name);
        assert!(actions.iter().all(|it| it.process == self.want_process), "{}", self.name);
        assert_eq!(idle_ms, self.want_idle_ms, "{}", self.name);
    }
}

#[test]
fn after_a_restore_the_holder_renews_at_once() {
    let cases = [
        RestoreCase {
            name: "the holder renews at once",
            steps: &[Step::AdvanceClock(3), Step::Call(0), Step::Restore(1), Step::LearnEra(0)],
            late_records: 0,
            alive: &[1, 0],
            want_process: 0,
            want_position: (1, 1),
            want_idle_ms: 0,
        },
        RestoreCase {
            name: "the holder renews at once in an empty store",
            steps: &[Step::Restore(1), Step::LearnEra(0)],
            late_records: 0,
            alive: &[1, 0],
            want_process: 0,
            want_position: (1, 0),
            want_idle_ms: 0,
        },
        RestoreCase {
            name: "the holder renews at once over the record of a former holder",
            steps: &[
                Step::AdvanceClock(12),
                Step::Call(1),
                Step::Restore(1),
                Step::LearnEra(0),
                Step::LearnEra(1),
            ],
            late_records: 0,
            alive: &[0, 1],
            want_process: 1,
            want_position: (1, 1),
            want_idle_ms: 0,
        },
        RestoreCase {
            name: "a late claim of an earlier era before the renewal",
            steps: &[
                Step::AdvanceClock(12),
                Step::Poll(1),
                Step::TimeOut(1),
                Step::Call(0),
                Step::Restore(1),
                Step::ExecuteLate,
                Step::LearnEra(0),
            ],
            late_records: 1,
            alive: &[1, 0],
            want_process: 0,
            want_position: (1, 2),
            want_idle_ms: 0,
        },
        RestoreCase {
            name: "a late claim of an earlier era after the renewal",
            steps: &[
                Step::AdvanceClock(3),
                Step::Call(0),
                Step::Call(1),
                Step::AdvanceClock(12),
                Step::Poll(1),
                Step::TimeOut(1),
                Step::Call(0),
                Step::Restore(2),
                Step::LearnEra(0),
                Step::Call(0),
                Step::Call(0),
                Step::ExecuteLate,
            ],
            late_records: 1,
            alive: &[1, 0],
            want_process: 0,
            want_position: (1, 1),
            want_idle_ms: 0,
        },
        RestoreCase {
            name: "two restores, and the holder renews",
            steps: &[
                Step::AdvanceClock(3),
                Step::Call(0),
                Step::AdvanceClock(3),
                Step::Call(0),
                Step::Restore(1),
                Step::LearnEra(0),
                Step::Restore(1),
                Step::LearnEra(0),
            ],
            late_records: 0,
            alive: &[1, 0],
            want_process: 0,
            want_position: (2, 1),
            want_idle_ms: 0,
        },
    ];
    for case in cases {
        case.check();
    }
}

#[test]
fn after_a_restore_others_wait() {
    let wait_ms = TIMES.lease_ms + TIMES.drift_margin_ms;
    let cases = [
        RestoreCase {
            name: "a holder whose lease expired before its renewal waits",
            steps: &[Step::Restore(0), Step::LearnEra(0), Step::AdvanceClock(10)],
            late_records: 0,
            alive: &[0],
            want_process: 0,
            want_position: (1, 1),
            want_idle_ms: wait_ms,
        },
        RestoreCase {
            name: "a former holder waits",
            steps: &[Step::AdvanceClock(12), Step::Call(1), Step::Restore(1), Step::LearnEra(0)],
            late_records: 0,
            alive: &[0],
            want_process: 0,
            want_position: (1, 1),
            want_idle_ms: wait_ms,
        },
        RestoreCase {
            name: "a released record of an earlier era",
            steps: &[
                Step::Release(0),
                Step::Call(0),
                Step::AdvanceClock(3),
                Step::Call(1),
                Step::Call(1),
                Step::Restore(1),
            ],
            late_records: 0,
            alive: &[2],
            want_process: 2,
            want_position: (1, 2),
            want_idle_ms: wait_ms,
        },
        RestoreCase {
            name: "a late renewal of an earlier era starts the wait again",
            steps: &[
                Step::AdvanceClock(3),
                Step::Poll(0),
                Step::TimeOut(0),
                Step::Restore(0),
                Step::Call(1),
                Step::AdvanceClock(6),
                Step::ExecuteLate,
            ],
            late_records: 1,
            alive: &[1],
            want_process: 1,
            want_position: (1, 2),
            want_idle_ms: wait_ms,
        },
        RestoreCase {
            name: "two restores, and the wait starts again",
            steps: &[
                Step::AdvanceClock(3),
                Step::Restore(0),
                Step::Call(1),
                Step::AdvanceClock(6),
                Step::Restore(0),
            ],
            late_records: 0,
            alive: &[1],
            want_process: 1,
            want_position: (2, 1),
            want_idle_ms: wait_ms,
        },
        RestoreCase {
            name: "an empty store after a rise",
            steps: &[Step::Restore(1), Step::LearnEra(1)],
            late_records: 0,
            alive: &[1],
            want_process: 1,
            want_position: (1, 0),
            want_idle_ms: wait_ms,
        },
        RestoreCase {
            name: "an empty store before the first read",
            steps: &[Step::Restart(0), Step::Restore(1), Step::LearnEra(2)],
            late_records: 0,
            alive: &[2],
            want_process: 2,
            want_position: (1, 0),
            want_idle_ms: wait_ms,
        },
    ];
    for case in cases {
        case.check();
    }
}

#[test]
fn a_holder_acts_in_a_new_era_after_its_renewal_only() {
    let mut simulation = Simulation::new(Fault::None);
    // The store has executed a renewal before the restore, and the reply arrives after it.
    for step in [
        Step::Call(0),
        Step::Call(0),
        Step::AdvanceClock(3),
        Step::Poll(0),
        Step::Execute(0),
        Step::Restore(0),
        Step::LearnEra(0),
        Step::Reply(0),
    ] {
        simulation.step(&step);
    }
    let now_ms = simulation.now_ms;
    let old_view = CasLeaseView { era: era(0), ..simulation.view() };
    let process = &mut simulation.processes[0];
    process.on_view(now_ms, now_ms, old_view);
    assert_eq!(process.next_step(now_ms), CasLeaseStep::Read, "a view of an earlier era");
    let position = Position { era: era(0), offset: 0 };
    let want = UsableLease { position, expires_at_ms: TIMES.lease_ms };
    assert_eq!((process.era(), process.usable(now_ms)), (era(1), Some(want)));
    assert_eq!((process.fence(now_ms), process.is_holder(now_ms)), (None, true));
    process.on_era(era(0));
    assert_eq!(process.era(), era(1));
    for step in [Step::Call(0), Step::Call(0)] {
        simulation.step(&step);
    }
    let renewed = Position { era: era(1), offset: 2 };
    assert_eq!(simulation.processes[0].fence(now_ms), Some(renewed.fencing_token()));
}
