//! Change tickets of operators.

use cowslip_codec::{
    object_id_to_proto, object_outcomes_to_proto, object_to_proto, ticket_from_proto,
};
use cowslip_config::{Ticket, TicketRefusal, TicketResult, is_majority, validate};
use cowslip_proto as proto;

use super::{Hub, ReplySender, send_reply};
use crate::events::Event;

/// A ticket whose operator waits for the reply.
#[derive(Debug)]
pub(super) struct PendingTicket {
    ticket: Ticket,
    deadline_ms: u64,
    read_back: Option<(u64, TicketResult)>,
    reply: ReplySender<proto::TicketReply>,
}

impl Hub {
    pub(super) fn on_ticket(
        &mut self,
        message: proto::Ticket,
        dry_run: bool,
        reply: ReplySender<proto::TicketReply>,
    ) {
        let number = message.number;
        let ticket = match ticket_from_proto(&message) {
            Ok(ticket) => ticket,
            Err(error) => return send_reply(&reply, refused(number, vec![error.to_string()])),
        };
        let errors = validate(&ticket);
        if !errors.is_empty() {
            let reasons = errors.iter().map(ToString::to_string).collect();
            return send_reply(&reply, refused(number, reasons));
        }
        if dry_run {
            let result = self.state.config.evaluate(&ticket);
            let offset = self.next_offset;
            return send_reply(&reply, self.reply_for(number, offset, &result));
        }
        if !self.append(vec![proto::Record::Ticket(message)], false) {
            return send_reply(
                &reply,
                refused(number, vec!["the log takes no records".to_owned()]),
            );
        }
        let deadline_ms = self.clock.now_ms() + self.config.settings.config.accept_timeout_ms;
        self.pending_tickets.push(PendingTicket { ticket, deadline_ms, read_back: None, reply });
    }

    /// Handles a ticket that was read from the log.
    pub(super) fn on_ticket_read(&mut self, offset: u64, ticket: &Ticket, result: &TicketResult) {
        match result {
            TicketResult::Accepted(_) => Event::TicketApplied
                .emit(&self.own_id.instance, format_args!("number {} at {offset}", ticket.number)),
            TicketResult::Refused(refusal) => Event::TicketRefused
                .emit(&self.own_id.instance, format_args!("number {}: {refusal:?}", ticket.number)),
        }
        for pending in &mut self.pending_tickets {
            let is_same =
                pending.ticket.number == ticket.number && pending.ticket.digest == ticket.digest;
            if is_same && pending.read_back.is_none() {
                pending.read_back = Some((offset, result.clone()));
            }
        }
        // The ticket may be the one that an operator waits for.
        self.tick_tickets(self.clock.now_ms());
    }

    pub(super) fn tick_tickets(&mut self, now_ms: u64) {
        let pending = std::mem::take(&mut self.pending_tickets);
        for ticket in pending {
            match self.reply_if_due(now_ms, &ticket) {
                Some(reply) => send_reply(&ticket.reply, reply),
                None => self.pending_tickets.push(ticket),
            }
        }
    }

    /// Returns the reply to the operator once it is known or the deadline has passed.
    fn reply_if_due(&self, now_ms: u64, pending: &PendingTicket) -> Option<proto::TicketReply> {
        let is_late = now_ms >= pending.deadline_ms;
        let number = pending.ticket.number;
        match &pending.read_back {
            None if is_late => {
                let reason = "the log has not confirmed the ticket; apply the same ticket again";
                Some(unknown(number, vec![reason.to_owned()]))
            }
            None => None,
            Some((_, TicketResult::Refused(refusal))) => {
                Some(refused(number, vec![describe(*refusal)]))
            }
            Some((offset, result)) => {
                let applied_count = 1 + self.members.peers_past_offset(now_ms, *offset);
                let is_in_force = is_majority(applied_count, self.members.listed_count());
                (is_in_force || is_late).then(|| self.reply_for(number, *offset, result))
            }
        }
    }

    fn reply_for(&self, number: u64, offset: u64, result: &TicketResult) -> proto::TicketReply {
        let outcomes = match result {
            TicketResult::Accepted(outcomes) => outcomes,
            TicketResult::Refused(refusal) => return refused(number, vec![describe(*refusal)]),
        };
        let applied_count = 1 + self.members.peers_past_offset(self.clock.now_ms(), offset);
        let listed_count = self.members.listed_count();
        proto::TicketReply::Accepted(proto::AcceptedTicket {
            number,
            offset,
            reach: if is_majority(applied_count, listed_count) {
                proto::Reach::Majority
            } else {
                proto::Reach::RecordedOnly
            },
            in_force_at: u32::try_from(applied_count).unwrap_or(u32::MAX),
            instances: u32::try_from(listed_count).unwrap_or(u32::MAX),
            objects: object_outcomes_to_proto(outcomes),
        })
    }

    pub(super) fn object(&self, key: &proto::ObjectKey) -> Option<proto::ObjectState> {
        let mut objects = self.state.config.objects();
        let (_, versioned) = objects.find(|(id, _)| object_id_to_proto(id) == *key)?;
        versioned.object.as_deref().map(object_to_proto)
    }
}

fn refused(number: u64, reasons: Vec<String>) -> proto::TicketReply {
    proto::TicketReply::Refused(proto::RefusedTicket { number, reasons })
}

fn unknown(number: u64, reasons: Vec<String>) -> proto::TicketReply {
    proto::TicketReply::Unknown(proto::RefusedTicket { number, reasons })
}

fn describe(refusal: TicketRefusal) -> String {
    match refusal {
        TicketRefusal::NumberTaken => "another ticket has this number".to_owned(),
        TicketRefusal::TooOld { floor } => format!("the number is too old; the lowest is {floor}"),
        TicketRefusal::TooFarAhead { ceiling } => {
            format!("the number is too far ahead; the highest is {ceiling}")
        }
    }
}
