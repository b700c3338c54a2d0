//! One fold over all records.

use std::sync::Arc;

use cowslip_authority::{
    Holder, LeaseRecordResult, OrderTable, ScopeRecord, Target, Term, TermTable,
};
use cowslip_config::{ConfigState, Role, Ticket, TicketVerdict};
use cowslip_idempotency::{AttemptOutcome, CallId, CallStart, CallTable, StartResult};
use cowslip_name::Name;
use cowslip_usage::{UsageState, UsageTotals};

/// Calls that may not be repeated and are remembered for repeats.
pub const REMEMBERED_CALLS: usize = 50_000;

/// What an upstream is told to do.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OrderAction {
    /// Take a role.
    Role(Role),
    /// Take no new work.
    Drain,
    /// Take work again.
    Resume,
}

/// A record that changes the state.
#[derive(Clone, Debug, PartialEq)]
pub enum StateRecord {
    /// A change of configuration.
    Ticket(Ticket),
    /// A record of a scope's term.
    Scope(Name, ScopeRecord),
    /// An order, before it is sent.
    Intent {
        /// Upstream and scope.
        target: Target,
        /// Term of the writer.
        term: Term,
        /// Number of the order.
        sequence: u64,
        /// Its content.
        action: OrderAction,
    },
    /// An order was carried out.
    Done {
        /// Upstream and scope.
        target: Target,
        /// Term of the writer.
        term: Term,
        /// Number of the order.
        sequence: u64,
    },
    /// An attempt wants to run a call.
    CallStart(CallStart),
    /// An attempt ended.
    CallEnd {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: Arc<str>,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// An instance has counted usage.
    UsageCount {
        /// The instance.
        writer: Holder,
        /// Number of the batch.
        sequence: u64,
        /// The usage.
        figures: UsageTotals,
    },
    /// The open usage window ends here.
    WindowFixed(WindowRef),
    /// The platform has a usage window.
    WindowReported(WindowRef),
}

/// A usage window in a term.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WindowRef {
    /// Scope of the term.
    pub scope: Name,
    /// Term of the writer.
    pub term: Term,
    /// Number of the window.
    pub window: u64,
}

/// What a record did.
#[derive(Clone, Debug, PartialEq)]
pub enum ApplyResult {
    /// A ticket was judged.
    Ticket(u64, TicketVerdict),
    /// A record of a scope was judged.
    Scope(LeaseRecordResult),
    /// An intent or its end was judged.
    Order(bool),
    /// A start was judged.
    CallStart(StartResult),
    /// An end was judged.
    CallEnd(bool),
    /// A usage record was judged.
    Usage(bool),
}

/// All folded state as of a place in the log.
#[derive(Clone, Debug, PartialEq)]
pub struct State {
    /// Operators' configuration.
    pub config: ConfigState,
    /// Terms of scopes.
    pub terms: TermTable,
    /// Orders to upstreams.
    pub orders: OrderTable<OrderAction>,
    /// Calls that may not be repeated.
    pub calls: CallTable,
    /// Usage of workspaces.
    pub usage: UsageState,
}

impl Default for State {
    fn default() -> Self {
        Self {
            config: ConfigState::default(),
            terms: TermTable::default(),
            orders: OrderTable::default(),
            calls: CallTable::new(REMEMBERED_CALLS),
            usage: UsageState::default(),
        }
    }
}

impl State {
    /// Applies a record found at `offset`.
    pub fn apply(&mut self, offset: u64, record: &StateRecord) -> ApplyResult {
        match record {
            StateRecord::Ticket(ticket) => {
                ApplyResult::Ticket(ticket.number, self.config.apply(ticket))
            }
            StateRecord::Scope(scope, record) => {
                ApplyResult::Scope(self.terms.apply(scope, offset, record))
            }
            StateRecord::Intent { target, term, sequence, action } => ApplyResult::Order(
                self.orders.apply_intent(&self.terms, offset, target, *term, *sequence, action),
            ),
            StateRecord::Done { target, term, sequence } => {
                ApplyResult::Order(self.orders.apply_done(&self.terms, target, *term, *sequence))
            }
            StateRecord::CallStart(start) => {
                ApplyResult::CallStart(self.calls.apply_start(offset, start))
            }
            StateRecord::CallEnd { call, attempt, outcome } => {
                ApplyResult::CallEnd(self.calls.apply_end(call, attempt, outcome))
            }
            StateRecord::UsageCount { writer, sequence, figures } => {
                ApplyResult::Usage(self.usage.apply_count(writer, *sequence, figures))
            }
            StateRecord::WindowFixed(mark) => {
                let is_current = self.terms.is_current(&mark.scope, mark.term);
                ApplyResult::Usage(self.usage.apply_fixed(is_current, mark.window))
            }
            StateRecord::WindowReported(mark) => {
                let is_current = self.terms.is_current(&mark.scope, mark.term);
                ApplyResult::Usage(self.usage.apply_reported(is_current, mark.window))
            }
        }
    }
}
