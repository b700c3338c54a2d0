//! Conversion of heartbeats, rows of the platform's instance list and engine orders.

use cowslip_membership::{Heartbeat, ListedMember};
use cowslip_proto as proto;

use crate::error::{CodecError, FieldSnafu};

/// Converts a peer's heartbeat for the membership, without the suspect requests in it.
#[must_use]
pub fn heartbeat_from_proto(heartbeat: &proto::Heartbeat) -> Heartbeat {
    Heartbeat {
        incarnation: heartbeat.from.incarnation,
        failure_domain: heartbeat.failure_domain.clone(),
        next_offset: heartbeat.next_offset,
        in_flight: heartbeat.in_flight,
        loads: heartbeat.loads.iter().map(|load| (load.upstream.clone(), load.in_flight)).collect(),
        drained: heartbeat.draining.clone(),
    }
}

/// Converts a row of the platform's instance list.
///
/// # Errors
/// Returns [`CodecError::Field`] when the address is not an IP address and port.
pub fn listed_member_from_proto(row: &proto::ListedInstance) -> Result<ListedMember, CodecError> {
    let peer_address = row.peer_address.parse().map_err(|_| {
        let reason = format!("{:?} is not an IP address and port", row.peer_address);
        FieldSnafu { field: "peer_address", reason }.build()
    })?;
    Ok(ListedMember {
        name: row.name.clone(),
        peer_address,
        failure_domain: row.failure_domain.clone(),
        is_draining: row.leaving,
    })
}

/// Builds the order to send to an engine, with the term as its fencing token.
#[must_use]
pub fn engine_order_to_proto(
    term: u64,
    sequence: u64,
    action: cowslip_state::OrderAction,
) -> proto::EngineOrder {
    let action = crate::record::action_to_proto(action);
    proto::EngineOrder { fence: term, sequence, action }
}
