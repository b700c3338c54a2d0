//! Conversion of suspects of crashing upstreams.

use cowslip_poison::{LostUpstream, SuspectKey, SuspectReport};
use cowslip_proto as proto;

use crate::error::CodecError;
use crate::hex::{decode_digest_hex, encode_hex};

/// Converts the key of a suspect.
#[must_use]
pub fn suspect_key_to_proto(key: SuspectKey) -> proto::SuspectKey {
    match key {
        SuspectKey::Request(digest) => proto::SuspectKey::Request(encode_hex(&digest)),
        SuspectKey::Segment(segment) => proto::SuspectKey::Segment(segment),
    }
}

/// Converts the key of a suspect.
///
/// # Errors
/// Returns [`CodecError::Field`] if the digest of a request is malformed.
pub fn suspect_key_from_proto(key: &proto::SuspectKey) -> Result<SuspectKey, CodecError> {
    Ok(match key {
        proto::SuspectKey::Request(digest) => {
            SuspectKey::Request(decode_digest_hex("request", digest)?)
        }
        proto::SuspectKey::Segment(segment) => SuspectKey::Segment(*segment),
    })
}

/// Converts a suspect.
#[must_use]
pub fn suspect_to_proto(report: SuspectReport) -> proto::Suspect {
    let losses = report.losses.into_iter().map(|(upstream, age_ms)| proto::UpstreamLoss {
        upstream: upstream.name,
        started_at_ms: upstream.started_at_ms,
        age_ms,
    });
    proto::Suspect {
        key: suspect_key_to_proto(report.key),
        losses: losses.collect(),
        success_age_ms: report.success_age_ms,
    }
}

/// Converts a suspect whose ages count from `extra_age_ms` ago.
///
/// # Errors
/// Returns [`CodecError::Field`] if the digest of a request is malformed.
pub fn suspect_from_proto(
    suspect: &proto::Suspect,
    extra_age_ms: u64,
) -> Result<SuspectReport, CodecError> {
    let losses = suspect.losses.iter().map(|loss| {
        let name = loss.upstream.clone();
        let upstream = LostUpstream { name, started_at_ms: loss.started_at_ms };
        (upstream, loss.age_ms.saturating_add(extra_age_ms))
    });
    Ok(SuspectReport {
        key: suspect_key_from_proto(&suspect.key)?,
        losses: losses.collect(),
        success_age_ms: suspect.success_age_ms.map(|age_ms| age_ms.saturating_add(extra_age_ms)),
    })
}
