//! A small world around the product's own lease and guard: a log with unbounded append and read
//! delay, processes that may stand still at any step, and a target that ignores fencing numbers.
#![allow(dead_code)]

use cowslip_authority::{
    Holder, LeaseAction, LeaseTimes, LogLease, OrderGuard, OrderGuardStep, ScopeRecord,
    TargetState, Term, TermTable,
};
use cowslip_name::Name;

/// A rule of the protocol that a run leaves out.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Fault {
    None,
    /// A claim wins if its term is current, whatever was renewed since.
    ClaimByTermOnly,
    /// A new term orders at once.
    NoSilence,
    /// The lease is checked before the round trip only.
    NoCheckAfterRoundTrip,
    /// The lease counts from the read-back.
    LeaseFromReadBack,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Connection {
    /// When the target closes the idle connection; `None` until it answered the round trip.
    pub closes_at_ms: Option<u64>,
    pub term: Term,
    pub sequence: u64,
    pub cleared: bool,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Process {
    pub lease: LogLease,
    pub fold: TermTable,
    pub cursor: usize,
    pub connection: Option<Connection>,
    /// Orders that the process may still try.
    pub tries_left: u32,
    naive_until_ms: u64,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Flight {
    pub record: ScopeRecord,
    expected_term: Option<Term>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct World {
    pub now_ms: u64,
    pub log: Vec<ScopeRecord>,
    pub flights: Vec<Flight>,
    pub processes: Vec<Process>,
    /// Terms of the orders that the target carried out.
    pub carried_out: Vec<Term>,
    pub fault: Fault,
    pub times: LeaseTimes,
    pub idle_ms: u64,
    head: TermTable,
}

/// One step of the world.
#[derive(Clone, Copy, Debug)]
pub enum Move {
    Clock,
    Tick(usize),
    Read(usize),
    Land(usize),
    Connect(usize),
    RoundTrip(usize),
    Check(usize),
    Write(usize),
}

pub fn scope() -> Name {
    Name::new("fleet").expect("valid name")
}

impl World {
    pub fn new(
        processes: usize,
        times: LeaseTimes,
        idle_ms: u64,
        tries_left: u32,
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
                fold: TermTable::default(),
                cursor: 0,
                connection: None,
                tries_left,
                naive_until_ms: 0,
            }
        };
        Self {
            now_ms: 0,
            log: Vec::new(),
            flights: Vec::new(),
            processes: (0..processes).map(process).collect(),
            carried_out: Vec::new(),
            fault,
            times,
            idle_ms,
            head: TermTable::default(),
        }
    }

    pub fn moves(&self) -> Vec<Move> {
        let mut moves = vec![Move::Clock];
        moves.extend((0..self.flights.len()).map(Move::Land));
        for (index, process) in self.processes.iter().enumerate() {
            if process.cursor < self.log.len() {
                moves.push(Move::Read(index));
            }
            moves.push(Move::Tick(index));
            match &process.connection {
                None => moves.push(Move::Connect(index)),
                Some(open) if open.cleared => moves.push(Move::Write(index)),
                Some(open) if open.closes_at_ms.is_none() => moves.push(Move::RoundTrip(index)),
                Some(_) => moves.push(Move::Check(index)),
            }
        }
        moves
    }

    /// Makes a move; returns whether anything changed.
    pub fn step(&mut self, chosen: Move) -> bool {
        match chosen {
            Move::Clock => {
                self.now_ms += 1;
                true
            }
            Move::Tick(index) => self.tick(index),
            Move::Read(index) => self.read(index),
            Move::Land(index) => self.land(index),
            Move::Connect(index) => self.connect(index),
            Move::RoundTrip(index) => self.round_trip(index),
            Move::Check(index) => self.check(index),
            Move::Write(index) => self.write(index),
        }
    }

    fn tick(&mut self, index: usize) -> bool {
        let process = &mut self.processes[index];
        let Some(LeaseAction::Append(record)) = process.lease.on_tick(self.now_ms, &process.fold)
        else {
            return false;
        };
        let expected_term = process.fold.newest(&scope()).map(|newest| newest.term);
        self.flights.push(Flight { record, expected_term });
        true
    }

    fn land(&mut self, index: usize) -> bool {
        if index >= self.flights.len() {
            return false;
        }
        let Flight { mut record, expected_term } = self.flights.remove(index);
        if let (Fault::ClaimByTermOnly, ScopeRecord::Claim { expected_offset, .. }) =
            (self.fault, &mut record)
        {
            let newest = self.head.newest(&scope());
            if newest.map(|newest| newest.term) == expected_term {
                *expected_offset = newest.map(|newest| newest.last_offset);
            }
        }
        self.head.apply(&scope(), self.log.len() as u64, &record);
        self.log.push(record);
        true
    }

    fn read(&mut self, index: usize) -> bool {
        let process = &mut self.processes[index];
        let Some(record) = self.log.get(process.cursor) else { return false };
        let verdict = process.fold.apply(&scope(), process.cursor as u64, record);
        process.lease.on_record(self.now_ms, record, verdict, &process.fold);
        process.cursor += 1;
        if process.lease.silent_until_ms().is_some() {
            process.naive_until_ms = self.now_ms + self.times.lease_ms;
        }
        true
    }

    /// The term that the process acts under.
    pub fn authority(&self, index: usize) -> Option<Term> {
        let process = &self.processes[index];
        let newest = process.fold.newest(&scope())?;
        match self.fault {
            Fault::LeaseFromReadBack => {
                let believes = process.lease.silent_until_ms().is_some();
                (believes && self.now_ms < process.naive_until_ms).then_some(newest.term)
            }
            _ => process.lease.valid_term(self.now_ms),
        }
    }

    fn connect(&mut self, index: usize) -> bool {
        let Some(term) = self.authority(index) else { return false };
        let silent_until_ms = self.processes[index].lease.silent_until_ms().unwrap_or(0);
        if self.now_ms < silent_until_ms || self.processes[index].tries_left == 0 {
            return false;
        }
        self.processes[index].tries_left -= 1;
        let sequence = self.carried_out.len() as u64 + 1;
        self.processes[index].connection =
            Some(Connection { closes_at_ms: None, term, sequence, cleared: false });
        true
    }

    fn round_trip(&mut self, index: usize) -> bool {
        let closes_at_ms = self.now_ms + self.idle_ms;
        let Some(open) = self.processes[index].connection.as_mut() else { return false };
        open.closes_at_ms = Some(closes_at_ms);
        true
    }

    fn check(&mut self, index: usize) -> bool {
        let authority = self.authority(index);
        let process = &mut self.processes[index];
        let Some(open) = process.connection.as_mut() else { return false };
        let guard = OrderGuard::new(open.term, open.sequence, false);
        let view = TargetState { fence: 0, sequence: 0 };
        let step = match self.fault {
            Fault::NoCheckAfterRoundTrip => OrderGuardStep::Write,
            Fault::LeaseFromReadBack if authority == Some(open.term) => OrderGuardStep::Write,
            _ => guard.before_write(&process.lease, self.now_ms, view),
        };
        match step {
            OrderGuardStep::Write => open.cleared = true,
            _ => process.connection = None,
        }
        true
    }

    fn write(&mut self, index: usize) -> bool {
        let Some(open) = self.processes[index].connection.take() else { return false };
        if open.cleared && open.closes_at_ms.is_some_and(|at_ms| self.now_ms < at_ms) {
            self.carried_out.push(open.term);
        }
        true
    }

    /// What is wrong with the present state, if anything.
    pub fn violation(&self) -> Option<&'static str> {
        let believers = (0..self.processes.len()).filter(|index| self.authority(*index).is_some());
        if believers.count() > 1 {
            return Some("two processes believe that they are in charge");
        }
        if self.carried_out.windows(2).any(|pair| pair[0] > pair[1]) {
            return Some("an order of an older term was carried out after one of a newer term");
        }
        None
    }
}
