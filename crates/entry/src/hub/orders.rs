//! Orders to upstreams: which are due, when they may be sent, and the drain before them.

use cowslip_authority::{LeaseAction, OrderGuard, OrderGuardStep, Target, TargetState};
use cowslip_config::{Fencing, Upstream};
use cowslip_name::Name;
use cowslip_state::{OrderAction, StateRecord};

use super::{Errand, ErrandTask, Hub, ReplySender, send_reply};
use crate::events::Event;

impl Hub {
    fn target(&self, upstream: &Name) -> Target {
        Target { scope: self.lease.scope().clone(), upstream: upstream.clone() }
    }

    /// Whether an open order keeps new work away from the upstream.
    pub(super) fn is_ordered(&self, upstream: &Name) -> bool {
        self.state.orders.newest(&self.target(upstream)).is_some_and(|order| order.open)
    }

    /// Upstreams with an open order to which this instance has nothing in flight.
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

    /// The holder writes intents for what differs from the configuration, and sends open ones.
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
                    let errand = Errand {
                        term,
                        sequence: order.sequence,
                        checks_fencing: engine.fencing == Fencing::Checked,
                        address: engine.address,
                        task: ErrandTask::Order { target, action },
                    };
                    self.send_order(now_ms, &engine.name, errand, offset);
                }
                newest => {
                    let action = OrderAction::Role(engine.role);
                    let is_mixed_from_start =
                        newest.is_none() && engine.role == cowslip_config::Role::Mixed;
                    let is_wanted = newest.is_none_or(|order| order.action != action);
                    if is_wanted && !is_mixed_from_start {
                        self.write_intent(target, term, action);
                    }
                }
            }
        }
    }

    /// An intent is repeated each tick until it is read back; only the first one counts.
    fn write_intent(&self, target: Target, term: u64, action: OrderAction) {
        if let Some(sequence) = self.state.orders.next_sequence(&target) {
            self.append_state(&StateRecord::Intent { target, term, sequence, action });
        }
    }

    /// Hands an order to its sender once every instance has drained the upstream.
    fn send_order(&mut self, now_ms: u64, upstream: &Name, errand: Errand, offset: u64) {
        let is_drained = self.requests.in_flight_at(upstream) == 0
            && self.members.is_drained_everywhere(now_ms, upstream, offset);
        if !is_drained || self.active_orders.contains(upstream) {
            return;
        }
        if self.outlets.errands.try_send(errand).is_ok() {
            self.active_orders.insert(upstream.clone());
        }
    }

    fn guard(errand: &Errand) -> OrderGuard {
        OrderGuard::new(errand.term, errand.sequence, errand.checks_fencing)
    }

    pub(super) fn before_connect(&self, errand: &Errand) -> OrderGuardStep {
        Self::guard(errand).before_connect(&self.lease, self.clock.now_ms())
    }

    pub(super) fn before_write(&self, errand: &Errand, view: TargetState) -> OrderGuardStep {
        Self::guard(errand).before_write(&self.lease, self.clock.now_ms(), view)
    }

    pub(super) fn on_errand_ended(&mut self, errand: &Errand, is_done: bool) {
        let (term, sequence) = (errand.term, errand.sequence);
        match &errand.task {
            ErrandTask::Order { target, .. } => {
                self.active_orders.remove(&target.upstream);
                if is_done {
                    let target = target.clone();
                    Event::OrderDone
                        .emit(&self.me.instance, format_args!("{} {sequence}", target.upstream));
                    self.append_state(&StateRecord::Done { target, term, sequence });
                }
            }
            ErrandTask::Report { .. } => self.on_report_ended(term, sequence, is_done),
        }
    }

    /// Gives the term up, unless an errand is under way: then the lease runs out instead.
    pub(super) fn on_stop(&mut self, reply: &ReplySender<()>) {
        self.is_stopping = true;
        self.flush_usage();
        if self.active_orders.is_empty()
            && !self.billing.is_reporting()
            && let Some(LeaseAction::Append(record)) = self.lease.step_down(&self.state.terms)
        {
            let scope = self.lease.scope().clone();
            self.append_state(&StateRecord::Scope(scope, record));
        }
        send_reply(reply, ());
    }
}
