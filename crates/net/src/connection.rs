//! The open connections of a server, and which of them to close.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use cowslip_budget::{ConnectionAge, ConnectionPhase, Party, connection_to_close};

use crate::memory::{Account, CloseCause, Memory, MemoryEvent};

/// Interval between checks for responses that are not read.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// State of a connection, which its tasks share with the server.
#[derive(Debug)]
pub(crate) struct ServedConnection {
    address: IpAddr,
    close: Sender<()>,
    phase: Cell<(ConnectionPhase, Instant)>,
    /// Time since which the caller has read nothing of what is ready for it.
    unread_since: Cell<Option<Instant>>,
    is_closing: Cell<bool>,
}

impl ServedConnection {
    pub(crate) fn new(address: IpAddr, close: Sender<()>) -> Self {
        Self {
            address,
            close,
            phase: Cell::new((ConnectionPhase::Idle, Instant::now())),
            unread_since: Cell::new(None),
            is_closing: Cell::new(false),
        }
    }

    pub(crate) fn set_phase(&self, phase: ConnectionPhase) {
        self.phase.set((phase, Instant::now()));
    }

    /// Records that bytes have arrived: a body among them has not paused.
    pub(crate) fn on_read(&self) {
        if self.phase.get().0 == ConnectionPhase::Receiving {
            self.set_phase(ConnectionPhase::Receiving);
        }
    }

    /// Records whether bytes for the caller wait to be written.
    pub(crate) fn set_unread(&self, is_unread: bool) {
        let since = self.unread_since.get().or_else(|| Some(Instant::now()));
        self.unread_since.set(since.filter(|_| is_unread));
    }

    fn age(&self) -> ConnectionAge {
        let (phase, since) = self.phase.get();
        let unread_ms = self.unread_since.get().map_or(0, millis_since);
        // The end of a response may still be written.
        let phase = if unread_ms > 0 { ConnectionPhase::Busy } else { phase };
        ConnectionAge { phase, phase_ms: millis_since(since), unread_ms }
    }

    fn close(&self) {
        self.is_closing.set(true);
        let _ = self.close.try_send(());
    }
}

fn millis_since(instant: Instant) -> u64 {
    u64::try_from(instant.elapsed().as_millis()).unwrap_or(u64::MAX)
}

/// The caller of a request.
#[derive(Clone, Debug)]
pub struct Caller {
    connection: Rc<ServedConnection>,
    memory: Memory,
}

impl Caller {
    pub(crate) fn new(connection: Rc<ServedConnection>, memory: Memory) -> Self {
        Self { connection, memory }
    }

    /// Returns the account of the caller's bytes.
    #[must_use]
    pub fn account(&self, workspace: Option<Arc<str>>) -> Account {
        let party = Party { address: self.connection.address, workspace };
        Account::new(self.memory.clone(), party, self.connection.close.clone())
    }

    /// Reports that the body of the request has arrived.
    pub fn body_arrived(&self) {
        self.connection.set_phase(ConnectionPhase::Busy);
    }
}

/// The open connections of a server.
#[derive(Clone, Debug)]
pub(crate) struct Connections {
    open: Rc<RefCell<Vec<Weak<ServedConnection>>>>,
    limit: usize,
    memory: Option<Memory>,
}

impl Connections {
    pub(crate) fn new(limit: usize, memory: Option<Memory>) -> Self {
        Self { open: Rc::default(), limit, memory }
    }

    /// Adds a connection, and closes another one if there are too many. Returns `false` if none of
    /// them can be closed.
    pub(crate) fn admit(&self, connection: &Rc<ServedConnection>) -> bool {
        if self.open.borrow().len() >= self.limit {
            let open = self.remaining();
            if open.len() >= self.limit {
                let ages = open.iter().map(|other| (other.clone(), other.age()));
                let Some(other) = connection_to_close(ages) else {
                    self.report(connection, CloseCause::NoRoom);
                    return false;
                };
                other.close();
                self.report(&other, CloseCause::Displaced);
            }
        }
        self.open.borrow_mut().push(Rc::downgrade(connection));
        true
    }

    /// Forgets closed connections and returns the others.
    fn remaining(&self) -> Vec<Rc<ServedConnection>> {
        let mut open = self.open.borrow_mut();
        let remaining: Vec<Rc<ServedConnection>> = open
            .iter()
            .filter_map(Weak::upgrade)
            .filter(|connection| !connection.is_closing.get())
            .collect();
        *open = remaining.iter().map(Rc::downgrade).collect();
        remaining
    }

    fn report(&self, connection: &ServedConnection, cause: CloseCause) {
        if let Some(memory) = &self.memory {
            memory.report(MemoryEvent::Closed { address: connection.address, cause });
        }
    }

    /// Closes connections whose callers read nothing for `unread_timeout`, until the server is gone.
    pub(crate) async fn sweep(self, unread_timeout: Duration) {
        let limit_ms = u64::try_from(unread_timeout.as_millis()).unwrap_or(u64::MAX);
        while Rc::strong_count(&self.open) > 1 {
            compio::time::sleep(SWEEP_INTERVAL).await;
            for connection in self.remaining() {
                if connection.age().unread_ms >= limit_ms {
                    connection.close();
                    self.report(&connection, CloseCause::Unread);
                }
            }
        }
    }
}
