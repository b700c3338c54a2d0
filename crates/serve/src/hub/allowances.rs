//! Allowances of workspaces: their state at this instance, and the admission of requests.

use std::collections::HashMap;
use std::sync::Arc;

use async_channel::Sender;
use cowslip_allowance::{
    Admission, Allowance, Bounds, Broker, Budget, Granter, Reservation, Shortage, Step,
};
use cowslip_name::Name;
use cowslip_task::send_reply;

use super::message::ReplySender;
use super::reservations::{BrokerLink, HeldReservation, Reserved};
use super::{Assignment, Hub, Rejection, ReservationCall, UnplacedRequest};
use crate::config::Config;
use crate::events::{Event, event};
use crate::platform::Platform;

/// Time in addition to a lease for which a grant is valid: it bridges the loss of the lease holder
/// until a feed from the next one arrives.
const GRANT_MARGIN_MS: u64 = 2_000;

/// Longest time in milliseconds that a request waits for reservations: enough to ask another broker
/// after a call that timed out.
const MAX_WAIT_MS: u64 = 400;

/// Time in milliseconds after which the caller of such a request may return, before it is spread.
const GIVEN_UP_RETRY_MS: u64 = 1_000;

/// Time in milliseconds after which no more requests wait for a call.
const OVERDUE_MS: u64 = 100;

/// State of the allowances at this instance.
#[derive(Debug)]
pub(super) struct Allowances {
    bounds: Bounds,
    pub(super) grant_ms: u64,
    pub(super) admission: Admission,
    pub(super) broker: Broker,
    pub(super) granter: Option<Granter>,
    /// Time of the newest grant that this instance gave itself.
    pub(super) own_grant_at_ms: u64,
    /// Time of the newest grant of a lease holder, or of the start.
    pub(super) granted_at_ms: u64,
    /// Brokers in the order in which this instance asks them.
    pub(super) brokers: Vec<Name>,
    /// Requests that wait for a reservation, by the id of their assignment.
    pub(super) waiting: HashMap<u64, WaitingRequest>,
    pub(super) links: HashMap<Name, BrokerLink>,
    /// Reservations of placed requests, by the id of their assignment.
    pub(super) held: HashMap<u64, HeldReservation>,
    pub(super) calls: Sender<ReservationCall>,
}

/// A checked request that waits for a reservation.
#[derive(Debug)]
pub(super) struct WaitingRequest {
    unplaced: UnplacedRequest,
    is_probe: bool,
    pub(super) reservation: Reservation,
    /// Time after which it waits no longer.
    until_ms: u64,
    /// Brokers that were asked.
    pub(super) tried: Vec<Name>,
    reply: ReplySender<Result<Assignment, Rejection>>,
}

impl Allowances {
    pub(super) fn new(config: &Config, calls: Sender<ReservationCall>) -> Self {
        let lease = config.lease_times();
        Self {
            bounds: config.allowance_bounds(),
            grant_ms: lease.lease_ms + lease.drift_margin_ms + GRANT_MARGIN_MS,
            admission: Admission::default(),
            broker: Broker::default(),
            granter: None,
            own_grant_at_ms: 0,
            granted_at_ms: 0,
            brokers: Vec::new(),
            waiting: HashMap::new(),
            links: HashMap::new(),
            held: HashMap::new(),
            calls,
        }
    }

    pub(super) fn is_enforced(&self) -> bool {
        self.bounds.window_s > 0.0
    }

    /// Returns whether the call to a broker takes longer than calls to other regions.
    fn is_overdue(&self, now_ms: u64, broker: &Name) -> bool {
        let in_call = self.links.get(broker).and_then(|link| link.in_call.as_ref());
        in_call.is_some_and(|(_, called_at_ms)| now_ms >= called_at_ms + OVERDUE_MS)
    }
}

impl<P> Hub<P>
where
    P: Platform,
{
    /// Applies the allowances of the declared configuration.
    pub(super) fn apply_allowances(&mut self) {
        let Some(config) = &self.declared_config else { return };
        if !self.allowances.is_enforced() {
            return;
        }
        for why in &config.ignored {
            event!(Event::AllowanceIgnored, version = config.version, why = why);
        }
        let now_ms = self.clock.now_ms();
        let bounds = self.allowances.bounds;
        let budget = |allowance: &Allowance| Budget::new(allowance, &bounds);
        let rows = config.allowances.iter();
        let budgets: HashMap<Arc<str>, Budget> =
            rows.map(|(workspace, allowance)| (workspace.clone(), budget(allowance))).collect();
        self.allowances.admission.set_budgets(now_ms, budgets.clone());
        self.allowances.broker.set_budgets(now_ms, budgets);
    }

    /// Checks a request, charges its workspace's allowance and places it. The reply is sent later if
    /// the cost has to be reserved at another instance.
    pub(super) fn admit(
        &mut self,
        unplaced: UnplacedRequest,
        reply: ReplySender<Result<Assignment, Rejection>>,
    ) {
        let is_probe = match self.check(&unplaced) {
            Ok(is_probe) => is_probe,
            Err(rejection) => return send_reply(&reply, Err(rejection)),
        };
        let Some(reservation) = self.cost_of(&unplaced) else {
            return send_reply(&reply, self.place(unplaced, is_probe));
        };
        let until_ms = unplaced.deadline_ms.min(self.clock.now_ms() + MAX_WAIT_MS);
        let tried = Vec::new();
        self.advance(WaitingRequest { unplaced, is_probe, reservation, until_ms, tried, reply });
    }

    /// Returns the cost of a request whose workspace has an allowance.
    fn cost_of(&self, unplaced: &UnplacedRequest) -> Option<Reservation> {
        let workspace = unplaced.authorized.workspace.as_ref()?;
        let allowance = self.declared_config.as_ref()?.allowances.get(workspace)?;
        let cost = allowance.cost(unplaced.stated_tokens);
        let reservation = Reservation { workspace: workspace.clone(), cost };
        self.allowances.is_enforced().then_some(reservation)
    }

    /// Takes the next steps for a request until it is placed, refused or waits for a broker.
    pub(super) fn advance(&mut self, mut waiting: WaitingRequest) {
        let now_ms = self.clock.now_ms();
        let instances = self.instances.known_count();
        if self.is_stopping_for(now_ms, &waiting.unplaced) {
            return send_reply(&waiting.reply, Err(Rejection::Stopping));
        }
        loop {
            let step = self.allowances.admission.next_step(
                now_ms,
                &waiting.reservation,
                instances,
                &self.allowances.brokers,
                &waiting.tried,
            );
            match step {
                Step::Covered => {
                    self.count_check("floor");
                    return self.place_admitted(waiting, None);
                }
                Step::Reserve(broker) if broker == self.identity.instance => {
                    match self.allowances.broker.reserve(now_ms, &waiting.reservation) {
                        Ok(()) => {
                            let incarnation = self.identity.incarnation;
                            let reserved = Reserved { incarnation, at_ms: now_ms };
                            return self.place_admitted(waiting, Some((broker, reserved)));
                        }
                        Err(shortage) => self.on_shortage(&mut waiting, broker, shortage),
                    }
                }
                Step::Reserve(_) if now_ms >= waiting.until_ms => {
                    return self.give_up(&waiting);
                }
                Step::Reserve(broker) if self.allowances.is_overdue(now_ms, &broker) => {
                    waiting.tried.push(broker);
                }
                Step::Reserve(broker) => {
                    let id = waiting.unplaced.id;
                    self.allowances.waiting.insert(id, waiting);
                    self.allowances.links.entry(broker.clone()).or_default().queued.push(id);
                    return self.flush(&broker);
                }
                Step::Refuse { retry_after_ms, left } => {
                    return self.refuse(&waiting, retry_after_ms, left);
                }
            }
        }
    }

    /// Refuses the requests that have waited too long.
    pub(super) fn give_up_waiting(&mut self, now_ms: u64) {
        let waiting = &mut self.allowances.waiting;
        let overdue: Vec<WaitingRequest> = waiting
            .extract_if(|_, waiting| now_ms >= waiting.until_ms)
            .map(|(_, waiting)| waiting)
            .collect();
        for waiting in &overdue {
            self.give_up(waiting);
        }
    }

    /// Refuses a request whose brokers did not respond in time.
    fn give_up(&self, waiting: &WaitingRequest) {
        self.refuse(waiting, GIVEN_UP_RETRY_MS, 0);
    }

    fn refuse(&self, waiting: &WaitingRequest, retry_after_ms: u64, left: u64) {
        self.count_check("refused");
        let retry_after_ms = Admission::spread_ms(retry_after_ms, fastrand::u64(..));
        event!(
            Event::RequestOverAllowance,
            request = waiting.unplaced.attempt_id,
            workspace = waiting.reservation.workspace,
            cost = waiting.reservation.cost,
            left = left,
            asked = waiting.tried.len(),
            retry_after_ms = retry_after_ms
        );
        send_reply(&waiting.reply, Err(Rejection::OverAllowance { retry_after_ms }));
    }

    /// Places a request. `reserved` is the broker of its reservation, if it has one, and when it was
    /// made.
    pub(super) fn place_admitted(
        &mut self,
        waiting: WaitingRequest,
        reserved: Option<(Name, Reserved)>,
    ) {
        let id = waiting.unplaced.id;
        let reservation = waiting.reservation;
        let floor_cost = reserved.is_none().then(|| reservation.clone());
        if let Some((broker, reserved)) = reserved {
            self.count_check("reserved");
            let held = HeldReservation { broker, reservation, reserved };
            self.allowances.held.insert(id, held);
        }
        let now_ms = self.clock.now_ms();
        let result = if self.is_stopping_for(now_ms, &waiting.unplaced) {
            Err(Rejection::Stopping)
        } else if now_ms >= waiting.unplaced.deadline_ms {
            Err(Rejection::OverAllowance { retry_after_ms: GIVEN_UP_RETRY_MS })
        } else {
            self.place(waiting.unplaced, waiting.is_probe)
        };
        if result.is_err() {
            self.put_back(id);
            if let Some(reservation) = floor_cost {
                self.allowances.admission.put_back(&reservation);
            }
        }
        send_reply(&waiting.reply, result);
    }

    pub(super) fn on_shortage(
        &mut self,
        waiting: &mut WaitingRequest,
        broker: Name,
        shortage: Shortage,
    ) {
        self.count_check("short");
        let now_ms = self.clock.now_ms();
        let reservation = &waiting.reservation;
        self.allowances.admission.on_shortage(now_ms, &broker, reservation, shortage);
        waiting.tried.push(broker);
    }

    pub(super) fn count_check(&self, outcome: &str) {
        self.metrics.allowance_checks.with_label_values(&[outcome]).inc();
    }
}
