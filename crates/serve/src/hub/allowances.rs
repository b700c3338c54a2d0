//! Allowances of workspaces: admission of requests, the broker of this instance, and the grants that
//! it gives as lease holder.

use std::collections::HashMap;
use std::sync::Arc;

use async_channel::Sender;
use cowslip_allowance::{
    Admission, Allowance, Bounds, Broker, Budget, Granter, RESERVATION_MS, Reservation, Shortage,
    Step,
};
use cowslip_name::Name;
use cowslip_proto as proto;
use cowslip_task::send_reply;
use num_traits::ToPrimitive;

use super::message::ReplySender;
use super::{Assignment, Hub, Peer, Rejection, ReservationCall, UnplacedRequest};
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
    admission: Admission,
    pub(super) broker: Broker,
    pub(super) granter: Option<Granter>,
    /// Time of the newest grant that this instance gave itself.
    pub(super) own_grant_at_ms: u64,
    /// Time of the newest grant of a lease holder, or of the start.
    pub(super) granted_at_ms: u64,
    /// Brokers in the order in which this instance asks them.
    pub(super) brokers: Vec<Name>,
    /// Requests that wait for a reservation, by the id of their assignment.
    waiting: HashMap<u64, WaitingRequest>,
    links: HashMap<Name, BrokerLink>,
    /// Reservations of placed requests, by the id of their assignment.
    held: HashMap<u64, HeldReservation>,
    calls: Sender<ReservationCall>,
}

/// A checked request that waits for a reservation.
#[derive(Debug)]
struct WaitingRequest {
    unplaced: UnplacedRequest,
    is_probe: bool,
    reservation: Reservation,
    /// Time after which it waits no longer.
    until_ms: u64,
    /// Brokers that were asked.
    tried: Vec<Name>,
    reply: ReplySender<Result<Assignment, Rejection>>,
}

/// What is to be sent to a broker, and what is on the way.
#[derive(Debug, Default)]
struct BrokerLink {
    queued: Vec<u64>,
    put_back: Vec<proto::PutBackRow>,
    /// Requests of the call in flight, and its time.
    in_call: Option<(Vec<(u64, Reservation)>, u64)>,
}

/// A reservation that may be put back if its request has not run.
#[derive(Debug)]
struct HeldReservation {
    broker: Name,
    reservation: Reservation,
    reserved: Reserved,
}

/// When a broker reserved a cost.
#[derive(Clone, Copy, Debug)]
struct Reserved {
    /// Incarnation of the broker, whose clock starts anew with each.
    incarnation: u64,
    /// Time by the broker's clock.
    at_ms: u64,
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
    fn advance(&mut self, mut waiting: WaitingRequest) {
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
    fn place_admitted(&mut self, waiting: WaitingRequest, reserved: Option<(Name, Reserved)>) {
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

    fn on_shortage(&mut self, waiting: &mut WaitingRequest, broker: Name, shortage: Shortage) {
        self.count_check("short");
        let now_ms = self.clock.now_ms();
        let reservation = &waiting.reservation;
        self.allowances.admission.on_shortage(now_ms, &broker, reservation, shortage);
        waiting.tried.push(broker);
    }

    /// Sends what is queued for a broker, unless a call to it is in flight.
    fn flush(&mut self, broker: &Name) {
        let now_ms = self.clock.now_ms();
        let allowances = &mut self.allowances;
        let Some(link) = allowances.links.get_mut(broker) else { return };
        if link.in_call.is_some() || (link.queued.is_empty() && link.put_back.is_empty()) {
            return;
        }
        let waiting = &allowances.waiting;
        let queued = link.queued.drain(..);
        let called: Vec<(u64, Reservation)> =
            queued.filter_map(|id| Some((id, waiting.get(&id)?.reservation.clone()))).collect();
        let reserve = called.iter().map(|(_, reservation)| to_proto(reservation)).collect();
        let put_back = std::mem::take(&mut link.put_back);
        link.in_call = Some((called, now_ms));
        let entry = self.instances.entry(broker);
        let address = entry.and_then(|entry| entry.peer_address.parse().ok());
        let call = address.map(|address| ReservationCall {
            broker: Peer { name: broker.clone(), address },
            request: proto::ReservationRequest { reserve, put_back },
        });
        let is_sent = call.is_some_and(|call| allowances.calls.try_send(call).is_ok());
        if !is_sent {
            self.on_reserved(broker, None);
        }
    }

    /// Handles the end of the call to a broker.
    pub(super) fn on_reserved(&mut self, broker: &Name, reply: Option<proto::ReservationReply>) {
        let now_ms = self.clock.now_ms();
        let link = self.allowances.links.get_mut(broker);
        let Some((called, called_at_ms)) = link.and_then(|link| link.in_call.take()) else {
            return;
        };
        match reply {
            Some(_) => self.allowances.admission.on_reachable(broker),
            None => self.allowances.admission.on_unreachable(now_ms, broker),
        }
        let nothing = proto::ReservationReply { incarnation: 0, at_ms: 0, results: Vec::new() };
        let proto::ReservationReply { incarnation, at_ms, results } = reply.unwrap_or(nothing);
        let reserved = Reserved { incarnation, at_ms };
        let mut results = results.into_iter();
        let is_valid = now_ms < called_at_ms + RESERVATION_MS;
        for (id, reservation) in called {
            let result = results.next();
            let Some(mut waiting) = self.allowances.waiting.remove(&id) else {
                // Its caller has left, or it waited too long.
                if result.is_some_and(|result| result.is_reserved) {
                    let broker = broker.clone();
                    let held = HeldReservation { broker, reservation, reserved };
                    self.allowances.held.insert(id, held);
                    self.put_back(id);
                }
                continue;
            };
            match result {
                Some(result) if result.is_reserved && is_valid => {
                    self.place_admitted(waiting, Some((broker.clone(), reserved)));
                    continue;
                }
                Some(result) if !result.is_reserved => {
                    self.on_shortage(&mut waiting, broker.clone(), shortage_of(&result));
                }
                _ => {
                    self.count_check("unreachable");
                    waiting.tried.push(broker.clone());
                }
            }
            self.advance(waiting);
        }
        self.flush(broker);
    }

    /// Handles the reservations of another instance.
    pub(super) fn reserve(
        &mut self,
        request: proto::ReservationRequest,
    ) -> proto::ReservationReply {
        let now_ms = self.clock.now_ms();
        let broker = &mut self.allowances.broker;
        let incarnation = self.identity.incarnation;
        let put_back = request.put_back.into_iter();
        for row in put_back.filter(|row| row.incarnation == incarnation) {
            let reservation =
                Reservation { workspace: row.workspace.into(), cost: row.cost as f64 };
            broker.put_back(now_ms, &reservation, row.reserved_at_ms);
        }
        let results = request.reserve.into_iter().map(|row| {
            let reservation =
                Reservation { workspace: row.workspace.into(), cost: row.cost as f64 };
            let (is_reserved, has_grant, wait_ms, left) = match broker.reserve(now_ms, &reservation)
            {
                Ok(()) => (true, true, None, 0),
                Err(Shortage::NoGrant) => (false, false, None, 0),
                Err(Shortage::Low { wait_ms, left }) => (false, true, wait_ms, left),
            };
            proto::ReservationResult { is_reserved, has_grant, wait_ms, left }
        });
        proto::ReservationReply { incarnation, at_ms: now_ms, results: results.collect() }
    }

    /// Puts back the reservation of a request that no upstream has run.
    pub(super) fn put_back_unless_run(&mut self, id: u64) {
        if !self.may_have_run_before(id) && !self.has_prefill(id) {
            self.put_back(id);
        }
    }

    fn put_back(&mut self, id: u64) {
        let Some(held) = self.allowances.held.remove(&id) else { return };
        self.count_check("put_back");
        let HeldReservation { broker, reservation, reserved } = held;
        if broker == self.identity.instance {
            let now_ms = self.clock.now_ms();
            self.allowances.broker.put_back(now_ms, &reservation, reserved.at_ms);
            return;
        }
        let proto::ReservationRow { workspace, cost } = to_proto(&reservation);
        let Reserved { incarnation, at_ms: reserved_at_ms } = reserved;
        let row = proto::PutBackRow { workspace, cost, incarnation, reserved_at_ms };
        self.allowances.links.entry(broker.clone()).or_default().put_back.push(row);
        self.flush(&broker);
    }

    /// Forgets the reservation of a request that has ended, or that its caller has left.
    pub(super) fn forget_reservation(&mut self, id: u64) {
        self.allowances.waiting.remove(&id);
        self.allowances.held.remove(&id);
    }

    fn count_check(&self, outcome: &str) {
        self.metrics.allowance_checks.with_label_values(&[outcome]).inc();
    }
}

fn to_proto(reservation: &Reservation) -> proto::ReservationRow {
    proto::ReservationRow {
        workspace: reservation.workspace.to_string(),
        cost: reservation.cost.to_u64().unwrap_or(u64::MAX),
    }
}

fn shortage_of(result: &proto::ReservationResult) -> Shortage {
    if result.has_grant {
        Shortage::Low { wait_ms: result.wait_ms, left: result.left }
    } else {
        Shortage::NoGrant
    }
}
