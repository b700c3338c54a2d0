//! Reservations at brokers: the calls of this instance, those of others at its own broker, and what is
//! put back.

use cowslip_allowance::{RESERVATION_MS, Reservation, Shortage};
use cowslip_name::Name;
use cowslip_proto as proto;
use num_traits::ToPrimitive;

use super::{Hub, Peer, ReservationCall};
use crate::platform::Platform;

/// What is to be sent to a broker, and what is on the way.
#[derive(Debug, Default)]
pub(super) struct BrokerLink {
    pub(super) queued: Vec<u64>,
    pub(super) put_back: Vec<proto::PutBackRow>,
    /// Requests of the call in flight, and its time.
    pub(super) in_call: Option<(Vec<(u64, Reservation)>, u64)>,
}

/// A reservation that may be put back if its request has not run.
#[derive(Debug)]
pub(super) struct HeldReservation {
    pub(super) broker: Name,
    pub(super) reservation: Reservation,
    pub(super) reserved: Reserved,
}

/// When a broker reserved a cost.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reserved {
    /// Incarnation of the broker, whose clock starts anew with each.
    pub(super) incarnation: u64,
    /// Time by the broker's clock.
    pub(super) at_ms: u64,
}

impl<P> Hub<P>
where
    P: Platform,
{
    /// Sends what is queued for a broker, unless a call to it is in flight.
    pub(super) fn flush(&mut self, broker: &Name) {
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

    pub(super) fn put_back(&mut self, id: u64) {
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
