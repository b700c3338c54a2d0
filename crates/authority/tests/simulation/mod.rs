//! A simulation around [`LogLease`] and [`OrderGuard`]: a log with unbounded append and read
//! delays, processes that may freeze before any step, and a target that ignores fencing tokens.
#![allow(dead_code)]

use cowslip_authority::{
    Holder, LeaseAction, LeaseRecord, LeaseTimes, LogLease, OrderGuard, OrderGuardStep,
    TargetState, Term, TermTable,
};
use cowslip_name::Name;

/// A rule of the protocol that a run omits.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Fault {
    None,
    /// A claim acquires the lease if the term that it expects is current, even after a renewal.
    ClaimByTermOnly,
    /// A new term sends orders immediately.
    NoSilence,
    /// The lease is checked only before the round trip.
    NoCheckAfterRoundTrip,
    /// The lease runs from the read-back of a record instead of from its send.
    LeaseFromReadBack,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Connection {
    /// When the target closes the idle connection; `None` until the round trip is complete.
    pub closes_at_ms: Option<u64>,
    pub term: Term,
    pub sequence: u64,
    pub passed_check: bool,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Process {
    pub lease: LogLease,
    pub terms: TermTable,
    pub cursor: usize,
    pub connection: Option<Connection>,
    /// Number of orders that the process may still attempt.
    pub attempts_left: u32,
    read_back_expires_at_ms: u64,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct PendingAppend {
    pub record: LeaseRecord,
    expected_term: Option<Term>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Simulation {
    pub now_ms: u64,
    pub log: Vec<LeaseRecord>,
    pub pending_appends: Vec<PendingAppend>,
    pub processes: Vec<Process>,
    /// Terms of the orders that the target executed, in order.
    pub executed_terms: Vec<Term>,
    pub fault: Fault,
    pub times: LeaseTimes,
    pub idle_timeout_ms: u64,
    log_terms: TermTable,
}

/// A step of the process, or for `Append` of the pending append, with the given index.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    AdvanceClock,
    Tick(usize),
    Read(usize),
    Append(usize),
    Connect(usize),
    RoundTrip(usize),
    Check(usize),
    Write(usize),
}

pub fn scope() -> Name {
    Name::new("fleet").expect("valid name")
}

impl Simulation {
    pub fn new(
        processes: usize,
        times: LeaseTimes,
        idle_timeout_ms: u64,
        attempts_left: u32,
        fault: Fault,
    ) -> Self {
        let times = match fault {
            Fault::NoSilence => LeaseTimes { silence_ms: 0, ..times },
            _ => times,
        };
        let process = |index| {
            let instance = Name::new(&format!("entry-{index}")).expect("valid name");
            Process {
                lease: LogLease::new(scope(), Holder { instance, incarnation: 1 }, times, 0),
                terms: TermTable::default(),
                cursor: 0,
                connection: None,
                attempts_left,
                read_back_expires_at_ms: 0,
            }
        };
        Self {
            now_ms: 0,
            log: Vec::new(),
            pending_appends: Vec::new(),
            processes: (0..processes).map(process).collect(),
            executed_terms: Vec::new(),
            fault,
            times,
            idle_timeout_ms,
            log_terms: TermTable::default(),
        }
    }

    pub fn steps(&self) -> Vec<Step> {
        let mut steps = vec![Step::AdvanceClock];
        steps.extend((0..self.pending_appends.len()).map(Step::Append));
        for (index, process) in self.processes.iter().enumerate() {
            if process.cursor < self.log.len() {
                steps.push(Step::Read(index));
            }
            steps.push(Step::Tick(index));
            match &process.connection {
                None => steps.push(Step::Connect(index)),
                Some(open) if open.passed_check => steps.push(Step::Write(index)),
                Some(open) if open.closes_at_ms.is_none() => steps.push(Step::RoundTrip(index)),
                Some(_) => steps.push(Step::Check(index)),
            }
        }
        steps
    }

    /// Takes a step and returns whether anything changed.
    pub fn step(&mut self, step: Step) -> bool {
        match step {
            Step::AdvanceClock => {
                self.now_ms += 1;
                true
            }
            Step::Tick(index) => self.tick(index),
            Step::Read(index) => self.read(index),
            Step::Append(index) => self.append(index),
            Step::Connect(index) => self.connect(index),
            Step::RoundTrip(index) => self.round_trip(index),
            Step::Check(index) => self.check(index),
            Step::Write(index) => self.write(index),
        }
    }

    fn tick(&mut self, index: usize) -> bool {
        let process = &mut self.processes[index];
        let Some(LeaseAction::Append(record)) = process.lease.on_tick(self.now_ms, &process.terms)
        else {
            return false;
        };
        let expected_term = process.terms.newest(&scope()).map(|newest| newest.term);
        self.pending_appends.push(PendingAppend { record, expected_term });
        true
    }

    fn append(&mut self, index: usize) -> bool {
        if index >= self.pending_appends.len() {
            return false;
        }
        let PendingAppend { mut record, expected_term } = self.pending_appends.remove(index);
        if let (Fault::ClaimByTermOnly, LeaseRecord::Claim { expected_offset, .. }) =
            (self.fault, &mut record)
        {
            let newest = self.log_terms.newest(&scope());
            if newest.map(|newest| newest.term) == expected_term {
                *expected_offset = newest.map(|newest| newest.last_offset);
            }
        }
        self.log_terms.apply(&scope(), self.log.len() as u64, &record);
        self.log.push(record);
        true
    }

    fn read(&mut self, index: usize) -> bool {
        let process = &mut self.processes[index];
        let Some(record) = self.log.get(process.cursor) else { return false };
        let result = process.terms.apply(&scope(), process.cursor as u64, record);
        process.lease.on_record(self.now_ms, record, result, &process.terms);
        process.cursor += 1;
        if process.lease.silent_until_ms().is_some() {
            process.read_back_expires_at_ms = self.now_ms + self.times.lease_ms;
        }
        true
    }

    /// Returns the term that the process acts under.
    pub fn valid_term(&self, index: usize) -> Option<Term> {
        let process = &self.processes[index];
        let newest = process.terms.newest(&scope())?;
        match self.fault {
            Fault::LeaseFromReadBack => {
                let has_term = process.lease.silent_until_ms().is_some();
                (has_term && self.now_ms < process.read_back_expires_at_ms).then_some(newest.term)
            }
            _ => process.lease.valid_term(self.now_ms),
        }
    }

    fn connect(&mut self, index: usize) -> bool {
        let Some(term) = self.valid_term(index) else { return false };
        let silent_until_ms = self.processes[index].lease.silent_until_ms().unwrap_or(0);
        if self.now_ms < silent_until_ms || self.processes[index].attempts_left == 0 {
            return false;
        }
        self.processes[index].attempts_left -= 1;
        let sequence = self.executed_terms.len() as u64 + 1;
        self.processes[index].connection =
            Some(Connection { closes_at_ms: None, term, sequence, passed_check: false });
        true
    }

    fn round_trip(&mut self, index: usize) -> bool {
        let closes_at_ms = self.now_ms + self.idle_timeout_ms;
        let Some(open) = self.processes[index].connection.as_mut() else { return false };
        open.closes_at_ms = Some(closes_at_ms);
        true
    }

    fn check(&mut self, index: usize) -> bool {
        let term = self.valid_term(index);
        let process = &mut self.processes[index];
        let Some(open) = process.connection.as_mut() else { return false };
        let guard = OrderGuard::new(open.term, open.sequence, false);
        let state = TargetState { fence: 0, sequence: 0 };
        let step = match self.fault {
            Fault::NoCheckAfterRoundTrip => OrderGuardStep::Write,
            Fault::LeaseFromReadBack if term == Some(open.term) => OrderGuardStep::Write,
            _ => guard.before_write(&process.lease, self.now_ms, state),
        };
        match step {
            OrderGuardStep::Write => open.passed_check = true,
            _ => process.connection = None,
        }
        true
    }

    fn write(&mut self, index: usize) -> bool {
        let Some(open) = self.processes[index].connection.take() else { return false };
        if open.passed_check && open.closes_at_ms.is_some_and(|at_ms| self.now_ms < at_ms) {
            self.executed_terms.push(open.term);
        }
        true
    }

    /// Returns the invariant that the current state violates, if any.
    pub fn violation(&self) -> Option<&'static str> {
        let holders = (0..self.processes.len()).filter(|index| self.valid_term(*index).is_some());
        if holders.count() > 1 {
            return Some("two processes hold the lease");
        }
        if self.executed_terms.windows(2).any(|pair| pair[0] > pair[1]) {
            return Some("an order of an older term was executed after one of a newer term");
        }
        None
    }
}
