//! The state built from all records of the log.

use std::sync::Arc;

use cowslip_authority::{
    Holder, LeaseRecord, LeaseRecordResult, OrderTable, Target, Term, TermTable,
};
use cowslip_config::{ConfigState, Role, Ticket, TicketResult};
use cowslip_idempotency::{AttemptOutcome, CallId, CallStart, CallTable, StartResult};
use cowslip_name::Name;
use cowslip_usage::{UsageState, UsageTotals};

/// Maximum number of calls with an idempotency key that are remembered for retries.
pub const REMEMBERED_CALLS: usize = 50_000;

/// Action that an order makes an upstream carry out.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OrderAction {
    /// Serve in this role.
    Role(Role),
    /// Accept no new requests.
    Drain,
    /// Accept new requests after a drain.
    Resume,
}

/// A record in the log that changes the state.
#[derive(Clone, Debug, PartialEq)]
pub enum StateRecord {
    /// An operator's change of the configuration.
    Ticket(Ticket),
    /// A lease record of the named scope, which may change the scope's term.
    Lease(Name, LeaseRecord),
    /// The intent to send an order, recorded before the order is sent.
    OrderIntent {
        /// Upstream of the order and scope of the writer's term.
        target: Target,
        /// Term under which the writer sends the order.
        term: Term,
        /// Sequence number of the order.
        sequence: u64,
        /// Action that the order requests.
        action: OrderAction,
    },
    /// The completion of an order by its upstream.
    OrderCompletion {
        /// Upstream of the order and scope of the writer's term.
        target: Target,
        /// Term under which the writer sends the order.
        term: Term,
        /// Sequence number of the order.
        sequence: u64,
    },
    /// The start of an attempt to run a call that has an idempotency key.
    CallStart(CallStart),
    /// The end of an attempt.
    CallEnd {
        /// Call that the attempt belongs to.
        call: CallId,
        /// Identifier of the attempt.
        attempt: Arc<str>,
        /// Outcome of the attempt.
        outcome: AttemptOutcome,
    },
    /// A batch of usage counted by an instance.
    UsageCount {
        /// Incarnation of the instance that counted it.
        writer: Holder,
        /// Number of the batch within that incarnation.
        sequence: u64,
        /// Usage in the batch, by workspace.
        totals: UsageTotals,
    },
    /// The close of the open usage window: counts after this record belong to the next one.
    WindowFinalized(WindowRef),
    /// The platform's receipt of the report of a usage window.
    WindowReported(WindowRef),
}

/// A usage window, and the term under which a record about it was written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WindowRef {
    /// Scope that the term belongs to.
    pub scope: Name,
    /// Term under which the record was written.
    pub term: Term,
    /// Number of the usage window.
    pub window: u64,
}

/// Result of applying a record.
#[derive(Clone, Debug, PartialEq)]
pub enum ApplyResult {
    /// Number of the ticket and the result of applying it.
    Ticket(u64, TicketResult),
    /// Result of the lease record.
    Lease(LeaseRecordResult),
    /// Whether the intent or the completion of the order counts.
    Order(bool),
    /// Result of the start of the attempt.
    CallStart(StartResult),
    /// Whether the end of the attempt counts.
    CallEnd(bool),
    /// Whether the usage record counts.
    Usage(bool),
}

/// The state as of an offset in the log.
#[derive(Clone, Debug, PartialEq)]
pub struct State {
    /// Configuration set by operators' tickets.
    pub config: ConfigState,
    /// Current term of each scope.
    pub terms: TermTable,
    /// Newest order to each upstream under each scope.
    pub orders: OrderTable<OrderAction>,
    /// Calls with an idempotency key, which must not run twice.
    pub calls: CallTable,
    /// Usage of workspaces by window.
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
    /// Applies the record at `offset` of the log. Records must be applied in the order of the log.
    pub fn apply(&mut self, offset: u64, record: &StateRecord) -> ApplyResult {
        match record {
            StateRecord::Ticket(ticket) => {
                ApplyResult::Ticket(ticket.number, self.config.apply(ticket))
            }
            StateRecord::Lease(scope, record) => {
                ApplyResult::Lease(self.terms.apply(scope, offset, record))
            }
            StateRecord::OrderIntent { target, term, sequence, action } => ApplyResult::Order(
                self.orders.apply_intent(&self.terms, offset, target, *term, *sequence, action),
            ),
            StateRecord::OrderCompletion { target, term, sequence } => ApplyResult::Order(
                self.orders.apply_completion(&self.terms, target, *term, *sequence),
            ),
            StateRecord::CallStart(start) => {
                ApplyResult::CallStart(self.calls.apply_start(offset, start))
            }
            StateRecord::CallEnd { call, attempt, outcome } => {
                ApplyResult::CallEnd(self.calls.apply_end(call, attempt, outcome))
            }
            StateRecord::UsageCount { writer, sequence, totals } => {
                ApplyResult::Usage(self.usage.apply_count(writer, *sequence, totals))
            }
            StateRecord::WindowFinalized(window_ref) => {
                let is_current = self.terms.is_current(&window_ref.scope, window_ref.term);
                ApplyResult::Usage(self.usage.apply_finalized(is_current, window_ref.window))
            }
            StateRecord::WindowReported(window_ref) => {
                let is_current = self.terms.is_current(&window_ref.scope, window_ref.term);
                ApplyResult::Usage(self.usage.apply_reported(is_current, window_ref.window))
            }
        }
    }
}
