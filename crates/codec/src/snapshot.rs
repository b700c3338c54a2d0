//! Encoding of snapshots of the replicated state as chunks in the log.

use std::collections::BTreeMap;
use std::sync::Arc;

use cowslip_authority::{Holder, OrderEntry, OrderTable, ScopeTerm, TermTable};
use cowslip_config::{ConfigState, VersionedObject};
use cowslip_idempotency::CallEntry;
use cowslip_proto as proto;
use cowslip_state::{AssembledSnapshot, State};
use cowslip_usage::{UsageState, WriterCursor};

use crate::codec::{from_json, to_json};
use crate::error::{CodecError, SnapshotDigestSnafu};
use crate::hex::{decode_digest_hex, encode_hex};
use crate::object::{change_from_proto, object_id_to_proto, object_to_proto};
use crate::record::{
    action_from_proto, action_to_proto, call_outcome_from_proto, call_outcome_to_proto,
    call_start_from_proto, call_start_to_proto, holder_from_proto, holder_to_proto, order_target,
    usage_totals_from_proto, usage_totals_to_proto,
};

/// Largest part of a snapshot in one chunk, in bytes.
pub const MAX_SNAPSHOT_CHUNK_BYTES: usize = 65_536;

/// Encodes the state, which holds the effect of all entries before `covers_offset`, as chunk
/// records.
#[must_use]
pub fn encode_snapshot(state: &State, covers_offset: u64, writer: &Holder) -> Vec<proto::Record> {
    let content = to_json(&snapshot_to_proto(state));
    let digest = encode_hex(blake3::hash(content.as_bytes()).as_bytes());
    let parts = split_content(&content);
    let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
    (0..count)
        .zip(parts)
        .map(|(index, part)| {
            proto::Record::SnapshotChunk(proto::SnapshotChunk {
                covers_offset,
                writer: holder_to_proto(writer),
                index,
                count,
                digest_hex: digest.clone(),
                part: part.to_owned(),
            })
        })
        .collect()
}

/// Splits the content between characters into parts of at most [`MAX_SNAPSHOT_CHUNK_BYTES`].
fn split_content(content: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let mut rest = content;
    while !rest.is_empty() {
        let (part, remaining) = rest.split_at(rest.floor_char_boundary(MAX_SNAPSHOT_CHUNK_BYTES));
        parts.push(part);
        rest = remaining;
    }
    parts
}

fn snapshot_to_proto(state: &State) -> proto::Snapshot {
    proto::Snapshot {
        tickets: state
            .config
            .tickets()
            .map(|(number, digest)| proto::SnapshotTicket {
                number,
                digest_hex: encode_hex(digest),
            })
            .collect(),
        objects: state
            .config
            .objects()
            .map(|(id, versioned)| proto::SnapshotObject {
                number: versioned.number,
                state: match &versioned.object {
                    Some(object) => object_to_proto(object),
                    None => proto::ObjectState::Removed(object_id_to_proto(id)),
                },
            })
            .collect(),
        scopes: state
            .terms
            .iter()
            .map(|(scope, newest)| proto::SnapshotTerm {
                scope: scope.clone(),
                term: newest.term,
                holder: holder_to_proto(&newest.holder),
                nonce: newest.nonce,
                last_offset: newest.last_offset,
                released: newest.released,
            })
            .collect(),
        targets: state
            .orders
            .iter()
            .map(|(target, order)| proto::SnapshotOrder {
                scope: target.scope.clone(),
                target: target.upstream.clone(),
                sequence: order.sequence,
                action: action_to_proto(order.action),
                open: order.open,
                offset: order.offset,
            })
            .collect(),
        calls: state
            .calls
            .iter()
            .map(|call| proto::SnapshotCall {
                offset: call.offset,
                start: call_start_to_proto(&call.start),
                outcome: call.outcome.as_ref().map(call_outcome_to_proto),
            })
            .collect(),
        usage: usage_to_proto(&state.usage),
    }
}

fn usage_to_proto(usage: &UsageState) -> proto::SnapshotUsage {
    proto::SnapshotUsage {
        open_window: usage.open_window(),
        open: usage_totals_to_proto(usage.open_totals()),
        unreported: usage
            .unreported()
            .map(|(window, totals)| proto::SnapshotWindow {
                window,
                rows: usage_totals_to_proto(totals),
            })
            .collect(),
        seen: usage
            .cursors()
            .map(|(writer, cursor)| proto::SnapshotUsageWriter {
                writer: holder_to_proto(writer),
                next_sequence: cursor.next_sequence,
                window: cursor.window,
            })
            .collect(),
    }
}

fn restore_usage(usage: &proto::SnapshotUsage) -> UsageState {
    let unreported =
        usage.unreported.iter().map(|row| (row.window, usage_totals_from_proto(&row.rows)));
    let cursors = usage.seen.iter().map(|row| {
        let cursor = WriterCursor { next_sequence: row.next_sequence, window: row.window };
        (holder_from_proto(&row.writer), cursor)
    });
    UsageState::from_parts(
        usage.open_window,
        usage_totals_from_proto(&usage.open),
        unreported.collect(),
        cursors.collect(),
    )
}

/// Restores the state from a complete snapshot.
///
/// # Errors
/// Returns an error when the content does not match its digest or is malformed.
pub fn restore_snapshot(assembled: &AssembledSnapshot) -> Result<State, CodecError> {
    if *blake3::hash(assembled.content.as_bytes()).as_bytes() != assembled.digest {
        return SnapshotDigestSnafu.fail();
    }
    let snapshot: proto::Snapshot = from_json(assembled.content.as_bytes())?;
    let mut state = State {
        config: restore_config(&snapshot)?,
        terms: restore_terms(&snapshot),
        orders: restore_orders(&snapshot),
        usage: restore_usage(&snapshot.usage),
        ..State::default()
    };
    for call in &snapshot.calls {
        let start = call_start_from_proto(&call.start)?;
        let outcome = call.outcome.as_ref().map(call_outcome_from_proto);
        state.calls.restore(CallEntry { offset: call.offset, start, outcome });
    }
    Ok(state)
}

fn restore_config(snapshot: &proto::Snapshot) -> Result<ConfigState, CodecError> {
    let mut objects = BTreeMap::new();
    for row in &snapshot.objects {
        let (id, object) = change_from_proto(&row.state)?;
        objects.insert(id, VersionedObject { number: row.number, object: object.map(Arc::new) });
    }
    let tickets = snapshot
        .tickets
        .iter()
        .map(|ticket| Ok((ticket.number, decode_digest_hex("digest_hex", &ticket.digest_hex)?)))
        .collect::<Result<_, CodecError>>()?;
    Ok(ConfigState::from_parts(objects, tickets))
}

fn restore_terms(snapshot: &proto::Snapshot) -> TermTable {
    let terms = snapshot.scopes.iter().map(|scope| {
        let newest = ScopeTerm {
            term: scope.term,
            holder: holder_from_proto(&scope.holder),
            nonce: scope.nonce,
            last_offset: scope.last_offset,
            released: scope.released,
        };
        (scope.scope.clone(), newest)
    });
    TermTable::from_terms(terms.collect())
}

fn restore_orders(snapshot: &proto::Snapshot) -> OrderTable<cowslip_state::OrderAction> {
    let orders = snapshot.targets.iter().map(|row| {
        let order = OrderEntry {
            sequence: row.sequence,
            action: action_from_proto(&row.action),
            open: row.open,
            offset: row.offset,
        };
        (order_target(&row.scope, &row.target), order)
    });
    OrderTable::from_orders(orders.collect())
}
