//! Orders to upstreams: decides which are needed and sends each once its upstream is drained.

use cowslip_authority::{LeaseAction, OrderGuard, OrderGuardStep, Target, TargetState};
use cowslip_config::{Fencing, Upstream};
use cowslip_name::Name;
use cowslip_state::{OrderAction, StateRecord};

use super::{FencedWrite, FencedWriteKind, Hub, ReplySender, send_reply};
use crate::events::Event;

impl Hub {
    fn target(&self, upstream: &Name) -> Target {
        Target { scope: self.lease.scope().clone(), upstream: upstream.clone() }
    }

    /// Whether the upstream has an open order and must get no new requests.
    pub(super) fn has_open_order(&self, upstream: &Name) -> bool {
        self.state.orders.newest(&self.target(upstream)).is_some_and(|order| order.open)
    }

    /// Returns upstreams with an open order and no request in flight from this instance.
    pub(super) fn drained_targets(&self) -> Vec<Name> {
        self.state
            .orders
            .iter()
            .filter(|(_, order)| order.open)
            .map(|(target, _)| &target.upstream)
            .filter(|upstream| self.requests.in_flight_at(upstream) == 0)
            .cloned()
            .collect()
    }

    /// Records an intent for each engine whose role differs from the configuration, and sends open
    /// orders. Only the lease holder does so.
    pub(super) fn tick_orders(&mut self, now_ms: u64) {
        let Some(term) = self.lease.valid_term(now_ms) else { return };
        if self.is_stopping {
            return;
        }
        let engines: Vec<Upstream> = self
            .state
            .config
            .deployments()
            .flat_map(|deployment| deployment.upstreams.iter().cloned())
            .collect();
        for engine in engines {
            let target = self.target(&engine.name);
            match self.state.orders.newest(&target) {
                Some(order) if order.open => {
                    let (action, offset) = (order.action, order.offset);
                    let write = FencedWrite {
                        term,
                        sequence: order.sequence,
                        checks_fencing: engine.fencing == Fencing::Checked,
                        address: engine.address,
                        kind: FencedWriteKind::Order { target, action },
                    };
                    self.send_order(now_ms, &engine.name, write, offset);
                }
                newest => {
                    let action = OrderAction::Role(engine.role);
                    let is_mixed_from_start =
                        newest.is_none() && engine.role == cowslip_config::Role::Mixed;
                    let is_needed = newest.is_none_or(|order| order.action != action);
                    if is_needed && !is_mixed_from_start {
                        self.write_intent(target, term, action);
                    }
                }
            }
        }
    }

    /// Appends an intent. Each tick appends it until it is read back; only the first copy takes
    /// effect.
    fn write_intent(&self, target: Target, term: u64, action: OrderAction) {
        if let Some(sequence) = self.state.orders.next_sequence(&target) {
            self.append_state(&StateRecord::OrderIntent { target, term, sequence, action });
        }
    }

    /// Passes an order to the fenced writer once every instance has drained the upstream.
    fn send_order(&mut self, now_ms: u64, upstream: &Name, write: FencedWrite, offset: u64) {
        let is_drained = self.requests.in_flight_at(upstream) == 0
            && self.members.is_drained_everywhere(now_ms, upstream, offset);
        if !is_drained || self.active_orders.contains(upstream) {
            return;
        }
        if self.outbound.fenced_writes.try_send(write).is_ok() {
            self.active_orders.insert(upstream.clone());
        }
    }

    fn guard(write: &FencedWrite) -> OrderGuard {
        OrderGuard::new(write.term, write.sequence, write.checks_fencing)
    }

    pub(super) fn before_connect(&self, write: &FencedWrite) -> OrderGuardStep {
        Self::guard(write).before_connect(&self.lease, self.clock.now_ms())
    }

    pub(super) fn before_write(
        &self,
        write: &FencedWrite,
        target_state: TargetState,
    ) -> OrderGuardStep {
        Self::guard(write).before_write(&self.lease, self.clock.now_ms(), target_state)
    }

    pub(super) fn on_fenced_write_ended(&mut self, write: &FencedWrite, is_done: bool) {
        let (term, sequence) = (write.term, write.sequence);
        match &write.kind {
            FencedWriteKind::Order { target, .. } => {
                self.active_orders.remove(&target.upstream);
                if is_done {
                    let target = target.clone();
                    Event::OrderCompleted.emit(
                        &self.own_id.instance,
                        format_args!("{} {sequence}", target.upstream),
                    );
                    self.append_state(&StateRecord::OrderCompletion { target, term, sequence });
                }
            }
            FencedWriteKind::Report { .. } => self.on_usage_report_ended(term, sequence, is_done),
        }
    }

    /// Releases the lease, unless a fenced write is in flight: then the lease expires instead.
    pub(super) fn on_stop(&mut self, reply: &ReplySender<()>) {
        self.is_stopping = true;
        self.flush_usage();
        if self.active_orders.is_empty()
            && !self.usage_reporter.is_reporting()
            && let Some(LeaseAction::Append(record)) = self.lease.step_down(&self.state.terms)
        {
            let scope = self.lease.scope().clone();
            self.append_state(&StateRecord::Lease(scope, record));
        }
        send_reply(reply, ());
    }
}
