//! The task that owns the budget of bytes held for callers, and the holders' side of it.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::{Arc, Weak};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use cowslip_budget::{Action, Budget, BudgetLimits, Party, Purpose};
use cowslip_clock::Clock;

/// Bytes that each connection may hold outside the budget, so that ordinary requests need none.
const FREE_BYTES: usize = 16_384;
/// Bytes that are reserved at a time.
const STEP_BYTES: usize = 65_536;
/// Interval between decisions while reservations wait.
const DECISION_INTERVAL: Duration = Duration::from_millis(250);

/// What happened to a caller's bytes or connection, for metrics and the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemoryEvent {
    /// The number of reserved bytes changed.
    Held {
        /// Bytes that are reserved now.
        bytes: u64,
    },
    /// A body or a response was refused memory.
    Refused {
        /// Caller that it belongs to.
        party: Party,
    },
    /// A body or a response was closed, since others need its memory.
    Evicted {
        /// Caller that it belongs to.
        party: Party,
        /// Bytes that it held.
        bytes: u64,
    },
    /// A connection was closed.
    Closed {
        /// Address of the caller.
        address: std::net::IpAddr,
        /// Why it was closed.
        cause: CloseCause,
    },
}

/// Why the server closed a caller's connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CloseCause {
    /// A new connection took its place.
    Displaced,
    /// No connection could give way to it.
    NoRoom,
    /// The caller did not read its response.
    Unread,
}

impl CloseCause {
    /// Returns the name of the cause in metrics and the log.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Displaced => "displaced",
            Self::NoRoom => "no_room",
            Self::Unread => "unread",
        }
    }
}

#[derive(Debug)]
enum Message {
    Open { id: u64, party: Party, purpose: Purpose, evicted: Sender<()>, held: Weak<()> },
    Reserve { id: u64, bytes: usize, reply: Sender<bool> },
    Complete { id: u64 },
    Close { id: u64 },
    Report(MemoryEvent),
}

/// Handle to the task that owns the budget.
#[derive(Clone, Debug)]
pub struct Memory {
    inbox: Sender<Message>,
    holders: Rc<Cell<u64>>,
}

impl Memory {
    /// Starts the task. `observe` gets what happens to callers.
    pub fn start<F>(limits: BudgetLimits, clock: Clock, observe: F) -> Self
    where
        F: Fn(MemoryEvent) + 'static,
    {
        // Each holder has one message in the inbox, beside that of its end.
        let (inbox, messages) = async_channel::unbounded();
        let owner = Owner {
            budget: Budget::new(limits),
            clock,
            replies: HashMap::new(),
            evictions: HashMap::new(),
            observe,
        };
        compio::runtime::spawn(owner.run(messages)).detach();
        Self { inbox, holders: Rc::default() }
    }

    pub(crate) fn report(&self, event: MemoryEvent) {
        // The task ends with the process.
        let _ = self.inbox.try_send(Message::Report(event));
    }

    /// Returns a holder without bytes. `evicted` closes the caller's connection or its request.
    fn holder(&self, party: Party, purpose: Purpose) -> Holder {
        let id = self.holders.get() + 1;
        self.holders.set(id);
        let inbox = self.inbox.clone();
        Holder {
            id,
            inbox,
            party,
            purpose,
            reserved_bytes: 0,
            is_open: false,
            held: Arc::default(),
        }
    }
}

/// The part of the budget that one caller's requests and responses use.
#[derive(Clone, Debug)]
pub struct Account {
    owner: Rc<AccountOwner>,
}

#[derive(Debug)]
struct AccountOwner {
    memory: Memory,
    party: Party,
    close_connection: Sender<()>,
}

impl Account {
    pub(crate) fn new(memory: Memory, party: Party, close_connection: Sender<()>) -> Self {
        Self { owner: Rc::new(AccountOwner { memory, party, close_connection }) }
    }

    fn holder(&self, purpose: Purpose) -> Holder {
        self.owner.memory.holder(self.owner.party.clone(), purpose)
    }

    /// Returns the holder of a request's body, and the signal that it must give way.
    pub(crate) fn request_holder(&self) -> (Holder, Sender<()>, Receiver<()>) {
        let (sender, evicted) = async_channel::bounded(1);
        (self.holder(Purpose::Request), sender, evicted)
    }

    /// Returns the holder of a response, which gives way with its connection.
    pub(crate) fn response_holder(&self) -> (Holder, Sender<()>) {
        (self.holder(Purpose::Response), self.owner.close_connection.clone())
    }
}

/// Reserved bytes; dropping it returns them.
#[derive(Debug)]
pub(crate) struct Holder {
    id: u64,
    inbox: Sender<Message>,
    party: Party,
    purpose: Purpose,
    reserved_bytes: usize,
    is_open: bool,
    /// Tells the task that the holder exists, before its end arrives in the inbox.
    held: Arc<()>,
}

impl Holder {
    /// Reserves memory up to a total, in steps. Returns whether it may be used.
    pub(crate) async fn reserve(&mut self, total_bytes: usize, evicted: &Sender<()>) -> bool {
        if total_bytes <= FREE_BYTES.max(self.reserved_bytes) {
            return true;
        }
        if !std::mem::replace(&mut self.is_open, true) {
            let (id, party, evicted) = (self.id, self.party.clone(), evicted.clone());
            let held = Arc::downgrade(&self.held);
            let opening = Message::Open { id, party, purpose: self.purpose, evicted, held };
            let _ = self.inbox.try_send(opening);
        }
        let target_bytes = total_bytes.next_multiple_of(STEP_BYTES);
        let bytes = target_bytes - self.reserved_bytes;
        let (reply, replied) = async_channel::bounded(1);
        let _ = self.inbox.try_send(Message::Reserve { id: self.id, bytes, reply });
        let is_granted = replied.recv().await.unwrap_or(false);
        if is_granted {
            self.reserved_bytes = target_bytes;
        }
        is_granted
    }

    /// Whether bytes of the budget are reserved.
    pub(crate) fn is_open(&self) -> bool {
        self.is_open
    }

    /// Reports that all bytes have arrived.
    pub(crate) fn complete(&self) {
        if self.is_open {
            let _ = self.inbox.try_send(Message::Complete { id: self.id });
        }
    }
}

impl Drop for Holder {
    fn drop(&mut self) {
        if self.is_open {
            let _ = self.inbox.try_send(Message::Close { id: self.id });
        }
    }
}

/// The state of the task.
struct Owner<F> {
    budget: Budget,
    clock: Clock,
    replies: HashMap<u64, Sender<bool>>,
    evictions: HashMap<u64, (Sender<()>, Weak<()>)>,
    observe: F,
}

impl<F> Owner<F>
where
    F: Fn(MemoryEvent),
{
    async fn run(mut self, messages: Receiver<Message>) {
        loop {
            let message = if self.budget.has_waiting() {
                compio::time::timeout(DECISION_INTERVAL, messages.recv()).await.ok()
            } else {
                Some(messages.recv().await)
            };
            match message {
                Some(Ok(message)) => self.handle(message),
                Some(Err(_)) => return,
                None => {
                    let actions = self.budget.decide(self.clock.now_ms());
                    self.apply(&actions);
                }
            }
        }
    }

    fn handle(&mut self, message: Message) {
        let now_ms = self.clock.now_ms();
        let held_bytes = self.budget.held_bytes();
        let actions = match message {
            Message::Open { id, party, purpose, evicted, held } => {
                self.budget.open(id, party, purpose, now_ms);
                self.evictions.insert(id, (evicted, held));
                Vec::new()
            }
            Message::Reserve { id, bytes, reply } => {
                self.replies.insert(id, reply);
                self.budget.reserve(id, bytes as u64, now_ms)
            }
            Message::Complete { id } => self.budget.complete(id, now_ms),
            Message::Close { id } => {
                self.replies.remove(&id);
                self.evictions.remove(&id);
                self.budget.close(id, now_ms)
            }
            Message::Report(event) => {
                (self.observe)(event);
                Vec::new()
            }
        };
        self.apply(&actions);
        if self.budget.held_bytes() != held_bytes {
            (self.observe)(MemoryEvent::Held { bytes: self.budget.held_bytes() });
        }
    }

    fn apply(&mut self, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Grant(id) => self.reply(id, true),
                Action::Refuse(id) => {
                    if let Some((party, _)) = self.budget.holder(id) {
                        (self.observe)(MemoryEvent::Refused { party: party.clone() });
                    }
                    self.reply(id, false);
                }
                Action::Evict(id) => self.evict(id),
            }
        }
    }

    /// Tells a holder to close. One whose end is in the inbox closes nothing: the connection of a
    /// response may carry the next request by now.
    fn evict(&self, id: u64) {
        let Some((evicted, held)) = self.evictions.get(&id) else { return };
        if held.strong_count() == 0 {
            return;
        }
        if let Some((party, bytes)) = self.budget.holder(id) {
            (self.observe)(MemoryEvent::Evicted { party: party.clone(), bytes });
        }
        let _ = evicted.try_send(());
    }

    fn reply(&mut self, id: u64, is_granted: bool) {
        if let Some(reply) = self.replies.remove(&id) {
            let _ = reply.try_send(is_granted);
        }
    }
}
