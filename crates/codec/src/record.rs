//! Conversion of log records.

use std::sync::Arc;

use cowslip_authority::{Holder, LeaseRecord, Target};
use cowslip_idempotency::{AttemptOutcome, CallId, CallStart, StoredResponse};
use cowslip_proto as proto;
use cowslip_state::{OrderAction, SnapshotChunk, StateRecord, WindowRef};
use cowslip_usage::{Usage, UsageTotals};

use crate::error::CodecError;
use crate::hex::{decode_digest_hex, encode_hex};
use crate::object::{role_from_proto, role_to_proto};
use crate::ticket::ticket_from_proto;

/// A record of the log, decoded for the decision crates.
#[derive(Clone, Debug)]
pub enum DecodedRecord {
    /// Record that is applied to the replicated state.
    State(StateRecord),
    /// Chunk of a snapshot, which changes no state.
    Snapshot(SnapshotChunk),
}

/// Decodes a record for the decision crates.
///
/// # Errors
/// Returns [`CodecError::Field`] for a value that the decision crates' types cannot represent.
pub fn record_from_proto(record: &proto::Record) -> Result<DecodedRecord, CodecError> {
    let state = match record {
        proto::Record::SnapshotChunk(chunk) => {
            return snapshot_chunk_from_proto(chunk).map(DecodedRecord::Snapshot);
        }
        proto::Record::Ticket(ticket) => StateRecord::Ticket(ticket_from_proto(ticket)?),
        proto::Record::Claim(claim) => StateRecord::Lease(
            claim.scope.clone(),
            LeaseRecord::Claim {
                holder: holder_from_proto(&claim.holder),
                nonce: claim.nonce,
                expected_offset: claim.expected_offset,
            },
        ),
        proto::Record::Renewal(renewal) => StateRecord::Lease(
            renewal.scope.clone(),
            LeaseRecord::Renewal { term: renewal.term, nonce: renewal.nonce },
        ),
        proto::Record::Release(release) => {
            StateRecord::Lease(release.scope.clone(), LeaseRecord::Release { term: release.term })
        }
        proto::Record::Intent(intent) => StateRecord::OrderIntent {
            target: order_target(&intent.scope, &intent.target),
            term: intent.term,
            sequence: intent.sequence,
            action: action_from_proto(&intent.action),
        },
        proto::Record::Done(done) => StateRecord::OrderCompletion {
            target: order_target(&done.scope, &done.target),
            term: done.term,
            sequence: done.sequence,
        },
        proto::Record::CallStart(start) => StateRecord::CallStart(call_start_from_proto(start)?),
        proto::Record::CallEnd(end) => StateRecord::CallEnd {
            call: call_id_from_proto(&end.workspace, &end.idempotency_key),
            attempt: Arc::from(end.attempt.as_str()),
            outcome: call_outcome_from_proto(&end.outcome),
        },
        proto::Record::UsageCount(count) => StateRecord::UsageCount {
            writer: holder_from_proto(&count.writer),
            sequence: count.sequence,
            totals: usage_totals_from_proto(&count.rows),
        },
        proto::Record::WindowFixed(window) => {
            StateRecord::WindowFinalized(window_ref_from_proto(window))
        }
        proto::Record::WindowReported(window) => {
            StateRecord::WindowReported(window_ref_from_proto(window))
        }
    };
    Ok(DecodedRecord::State(state))
}

/// Encodes a record for the log.
///
/// Returns `None` for a ticket: the log holds the operator's ticket, which has fields that the
/// decoded form lacks.
#[must_use]
pub fn record_to_proto(record: &StateRecord) -> Option<proto::Record> {
    Some(match record {
        StateRecord::Ticket(_) => return None,
        StateRecord::Lease(scope, record) => lease_record_to_proto(scope, record),
        StateRecord::OrderIntent { target, term, sequence, action } => {
            proto::Record::Intent(proto::OrderIntent {
                scope: target.scope.clone(),
                target: target.upstream.clone(),
                term: *term,
                sequence: *sequence,
                action: action_to_proto(*action),
            })
        }
        StateRecord::OrderCompletion { target, term, sequence } => {
            proto::Record::Done(proto::OrderCompletion {
                scope: target.scope.clone(),
                target: target.upstream.clone(),
                term: *term,
                sequence: *sequence,
            })
        }
        StateRecord::CallStart(start) => proto::Record::CallStart(call_start_to_proto(start)),
        StateRecord::CallEnd { call, attempt, outcome } => proto::Record::CallEnd(proto::CallEnd {
            workspace: call.workspace.clone(),
            idempotency_key: call.idempotency_key.to_string(),
            attempt: attempt.to_string(),
            outcome: call_outcome_to_proto(outcome),
        }),
        StateRecord::UsageCount { writer, sequence, totals } => {
            proto::Record::UsageCount(proto::UsageDelta {
                writer: holder_to_proto(writer),
                sequence: *sequence,
                rows: usage_totals_to_proto(totals),
            })
        }
        StateRecord::WindowFinalized(window) => {
            proto::Record::WindowFixed(window_ref_to_proto(window))
        }
        StateRecord::WindowReported(window) => {
            proto::Record::WindowReported(window_ref_to_proto(window))
        }
    })
}

fn window_ref_from_proto(window: &proto::WindowMark) -> WindowRef {
    WindowRef { scope: window.scope.clone(), term: window.term, window: window.window }
}

fn window_ref_to_proto(window: &WindowRef) -> proto::WindowMark {
    proto::WindowMark { scope: window.scope.clone(), term: window.term, window: window.window }
}

pub(crate) fn usage_totals_from_proto(rows: &[proto::UsageRow]) -> UsageTotals {
    rows.iter()
        .map(|row| {
            let usage = Usage {
                requests: row.requests,
                prompt_tokens: row.prompt_tokens,
                output_tokens: row.output_tokens,
            };
            (row.workspace.clone(), usage)
        })
        .collect()
}

/// Converts usage by workspace to rows of messages and records.
#[must_use]
pub fn usage_totals_to_proto(totals: &UsageTotals) -> Vec<proto::UsageRow> {
    totals
        .iter()
        .map(|(workspace, usage)| proto::UsageRow {
            workspace: workspace.clone(),
            requests: usage.requests,
            prompt_tokens: usage.prompt_tokens,
            output_tokens: usage.output_tokens,
        })
        .collect()
}

fn lease_record_to_proto(scope: &cowslip_name::Name, record: &LeaseRecord) -> proto::Record {
    let scope = scope.clone();
    match record {
        LeaseRecord::Claim { holder, nonce, expected_offset } => {
            proto::Record::Claim(proto::LeaseClaim {
                scope,
                holder: holder_to_proto(holder),
                nonce: *nonce,
                expected_offset: *expected_offset,
            })
        }
        LeaseRecord::Renewal { term, nonce } => {
            proto::Record::Renewal(proto::LeaseRenewal { scope, term: *term, nonce: *nonce })
        }
        LeaseRecord::Release { term } => {
            proto::Record::Release(proto::LeaseRelease { scope, term: *term })
        }
    }
}

/// Converts one incarnation of an instance for the decision crates.
#[must_use]
pub fn holder_from_proto(holder: &proto::Holder) -> Holder {
    Holder { instance: holder.instance.clone(), incarnation: holder.incarnation }
}

/// Converts one incarnation of an instance to its form in messages.
#[must_use]
pub fn holder_to_proto(holder: &Holder) -> proto::Holder {
    proto::Holder { instance: holder.instance.clone(), incarnation: holder.incarnation }
}

pub(crate) fn order_target(scope: &cowslip_name::Name, upstream: &cowslip_name::Name) -> Target {
    Target { scope: scope.clone(), upstream: upstream.clone() }
}

pub(crate) fn action_from_proto(action: &proto::OrderAction) -> OrderAction {
    match action {
        proto::OrderAction::Role(role) => OrderAction::Role(role_from_proto(*role)),
        proto::OrderAction::Drain => OrderAction::Drain,
        proto::OrderAction::Resume => OrderAction::Resume,
    }
}

pub(crate) fn action_to_proto(action: OrderAction) -> proto::OrderAction {
    match action {
        OrderAction::Role(role) => proto::OrderAction::Role(role_to_proto(role)),
        OrderAction::Drain => proto::OrderAction::Drain,
        OrderAction::Resume => proto::OrderAction::Resume,
    }
}

fn call_id_from_proto(workspace: &cowslip_name::Name, idempotency_key: &str) -> CallId {
    CallId { workspace: workspace.clone(), idempotency_key: Arc::from(idempotency_key) }
}

pub(crate) fn call_start_from_proto(start: &proto::CallStart) -> Result<CallStart, CodecError> {
    Ok(CallStart {
        call: call_id_from_proto(&start.workspace, &start.idempotency_key),
        attempt: Arc::from(start.attempt.as_str()),
        digest: decode_digest_hex("digest_hex", &start.digest_hex)?,
    })
}

pub(crate) fn call_start_to_proto(start: &CallStart) -> proto::CallStart {
    proto::CallStart {
        workspace: start.call.workspace.clone(),
        idempotency_key: start.call.idempotency_key.to_string(),
        attempt: start.attempt.to_string(),
        digest_hex: encode_hex(&start.digest),
    }
}

pub(crate) fn call_outcome_from_proto(outcome: &proto::CallOutcome) -> AttemptOutcome {
    match outcome {
        proto::CallOutcome::Answered(response) => AttemptOutcome::Responded(StoredResponse {
            status: response.status,
            content_type: Arc::from(response.content_type.as_str()),
            body: Arc::from(response.body.as_str()),
        }),
        proto::CallOutcome::NotRun => AttemptOutcome::NotRun,
        proto::CallOutcome::Unknown => AttemptOutcome::Unknown,
    }
}

pub(crate) fn call_outcome_to_proto(outcome: &AttemptOutcome) -> proto::CallOutcome {
    match outcome {
        AttemptOutcome::Responded(response) => {
            proto::CallOutcome::Answered(proto::StoredResponse {
                status: response.status,
                content_type: response.content_type.to_string(),
                body: response.body.to_string(),
            })
        }
        AttemptOutcome::NotRun => proto::CallOutcome::NotRun,
        AttemptOutcome::Unknown => proto::CallOutcome::Unknown,
    }
}

fn snapshot_chunk_from_proto(chunk: &proto::SnapshotChunk) -> Result<SnapshotChunk, CodecError> {
    Ok(SnapshotChunk {
        covers_offset: chunk.covers_offset,
        writer: holder_from_proto(&chunk.writer),
        index: chunk.index,
        count: chunk.count,
        digest: decode_digest_hex("digest_hex", &chunk.digest_hex)?,
        content: Arc::from(chunk.part.as_str()),
    })
}
