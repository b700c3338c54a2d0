//! Parsing and conversion of change tickets.

use cowslip_config as config;
use cowslip_proto as proto;

use crate::codec::{from_json, to_json};
use crate::error::CodecError;
use crate::object::{change_from_proto, object_id_to_proto};

/// Parses a ticket file.
///
/// # Errors
/// Returns an error with line and column when the text is not a ticket.
pub fn parse_ticket(bytes: &[u8]) -> Result<proto::Ticket, CodecError> {
    from_json(bytes)
}

/// Converts a ticket for the decision crate. Its digest is BLAKE3 of its JSON form, by which two
/// tickets with the same number are distinguished.
///
/// # Errors
/// Returns [`CodecError::Field`] for a value that the decision crate's type cannot represent.
pub fn ticket_from_proto(ticket: &proto::Ticket) -> Result<config::Ticket, CodecError> {
    let digest = *blake3::hash(to_json(ticket).as_bytes()).as_bytes();
    let changes = ticket.objects.iter().map(change_from_proto).collect::<Result<_, _>>()?;
    Ok(config::Ticket { number: ticket.number, digest, changes })
}

/// Converts the outcomes of a ticket's objects to their form in messages.
#[must_use]
pub fn object_outcomes_to_proto(
    outcomes: &[(config::ObjectId, config::ObjectOutcome)],
) -> Vec<proto::ObjectOutcome> {
    outcomes
        .iter()
        .map(|(id, outcome)| proto::ObjectOutcome {
            object: object_id_to_proto(id),
            outcome: match outcome {
                config::ObjectOutcome::Applied => proto::OutcomeKind::Applied,
                config::ObjectOutcome::Superseded => proto::OutcomeKind::Superseded,
            },
        })
        .collect()
}
