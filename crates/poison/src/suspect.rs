//! What losses of upstreams are attributed to.

use std::collections::BTreeMap;

use cowslip_name::Name;

/// BLAKE3 of workspace, method, path and body of a request.
pub type RequestDigest = [u8; 32];

/// Identifier of a prompt segment.
pub type SegmentId = u64;

/// A part of a request that may crash the upstreams which run it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum SuspectKey {
    /// The request as a whole.
    Request(RequestDigest),
    /// A prompt segment that other requests may share.
    Segment(SegmentId),
}

/// The parts of a request that the loss of its upstream accuses.
#[derive(Clone, Copy, Debug)]
pub struct Accused<'a> {
    /// Digest of the whole request.
    pub request: RequestDigest,
    /// Prompt segments that other requests may share.
    pub segments: &'a [SegmentId],
}

impl Accused<'_> {
    pub(crate) fn keys(&self) -> impl Iterator<Item = SuspectKey> {
        let segments = self.segments.iter().copied().map(SuspectKey::Segment);
        std::iter::once(SuspectKey::Request(self.request)).chain(segments)
    }
}

/// An incarnation of an upstream that was lost.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LostUpstream {
    /// Name of the upstream; later incarnations may reuse it.
    pub name: Name,
    /// Start of the incarnation in Unix milliseconds, 0 if it is not known.
    pub started_at_ms: u64,
}

/// When requests are quarantined, and how many suspects are kept.
#[derive(Clone, Copy, Debug)]
pub struct SuspectLimits {
    /// Number of lost upstreams at which a request or a segment is quarantined.
    pub losses: usize,
    /// Shortest time between the first and the last of these losses, in milliseconds. Upstreams
    /// that are lost together have a common cause other than a request.
    pub min_span_ms: u64,
    /// Time from the newest loss to the end of the quarantine, in milliseconds.
    pub hold_ms: u64,
    /// Time from the newest loss to the first probe, in milliseconds. It doubles with each probe.
    pub probe_after_ms: u64,
    /// Maximum number of suspects.
    pub capacity: usize,
}

/// A suspect as instances report it to each other.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SuspectReport {
    /// The suspect.
    pub key: SuspectKey,
    /// Upstreams lost since the last success, each with the age of its loss in milliseconds. One that
    /// was lost again has a second entry with the age of its newest loss.
    pub losses: Vec<(LostUpstream, u64)>,
    /// Age of the newest known success in milliseconds.
    pub success_age_ms: Option<u64>,
}

/// A time by the local clock in milliseconds; negative before the start of the instance, since peers
/// report what they have seen earlier.
pub(crate) type LocalMs = i64;

pub(crate) fn local_ms(now_ms: u64, age_ms: u64) -> LocalMs {
    now_ms.cast_signed().saturating_sub_unsigned(age_ms)
}

pub(crate) fn age_ms(now_ms: u64, at_ms: LocalMs) -> u64 {
    u64::try_from(now_ms.cast_signed().saturating_sub(at_ms)).unwrap_or(0)
}

/// Most losses that are kept for a suspect; the oldest are dropped first.
const MAX_LOSSES: usize = 16;
/// Most probes that double the time to the next one.
const MAX_PROBE_DOUBLINGS: u32 = 5;

/// First and newest loss of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct LossTimes {
    pub(crate) first_ms: LocalMs,
    /// Time from the first to the newest loss. A report states it exactly, while its time of arrival
    /// adds to all ages.
    pub(crate) span_ms: u64,
}

impl LossTimes {
    pub(crate) fn once(at_ms: LocalMs) -> Self {
        Self { first_ms: at_ms, span_ms: 0 }
    }

    pub(crate) fn newest_ms(&self) -> LocalMs {
        self.first_ms.saturating_add_unsigned(self.span_ms)
    }

    /// Returns the losses after a time.
    pub(crate) fn after(self, time_ms: LocalMs) -> Option<Self> {
        if self.first_ms > time_ms {
            Some(self)
        } else if self.newest_ms() > time_ms {
            Some(Self::once(self.newest_ms()))
        } else {
            None
        }
    }
}

/// The losses that accuse a key since its last success.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspect {
    pub(crate) losses: BTreeMap<LostUpstream, LossTimes>,
    /// Version of the newest change.
    pub(crate) changed_at: u64,
    /// Number of probes by this instance.
    probe_count: u32,
    /// Time of the newest probe.
    probed_at_ms: Option<LocalMs>,
}

impl Suspect {
    /// Adds losses of an upstream; returns whether that changed anything.
    pub(crate) fn add_losses(&mut self, upstream: &LostUpstream, times: LossTimes) -> bool {
        if let Some(known) = self.losses.get_mut(upstream) {
            let span_ms = known.span_ms.max(times.span_ms);
            return std::mem::replace(&mut known.span_ms, span_ms) != span_ms;
        }
        self.losses.insert(upstream.clone(), times);
        if self.losses.len() > MAX_LOSSES {
            let oldest = self.losses.iter().min_by_key(|(_, times)| times.newest_ms());
            if let Some(oldest) = oldest.map(|(upstream, _)| upstream.clone()) {
                self.losses.remove(&oldest);
            }
        }
        true
    }

    pub(crate) fn newest_ms(&self) -> LocalMs {
        self.losses.values().map(LossTimes::newest_ms).max().unwrap_or(LocalMs::MIN)
    }

    pub(crate) fn is_probe_due(&self, now_ms: u64, probe_after_ms: u64) -> bool {
        let since_ms = self.probed_at_ms.unwrap_or(LocalMs::MIN).max(self.newest_ms());
        age_ms(now_ms, since_ms) >= probe_after_ms << self.probe_count.min(MAX_PROBE_DOUBLINGS)
    }

    pub(crate) fn on_probe(&mut self, now_ms: u64) {
        self.probe_count += 1;
        self.probed_at_ms = Some(local_ms(now_ms, 0));
    }
}

/// Returns the time between the first and the last of some losses, in milliseconds.
pub(crate) fn span_ms<'a, I>(losses: I) -> u64
where
    I: Iterator<Item = &'a LossTimes> + Clone,
{
    let first_ms = losses.clone().map(|times| times.first_ms).min();
    let first_and_last = first_ms.zip(losses.map(LossTimes::newest_ms).max());
    first_and_last.map_or(0, |(first, last)| last.abs_diff(first))
}
