//! Decides whether a slow request is sent to a second upstream.

use std::collections::HashMap;
use std::sync::Arc;

use crate::share::ShareWindow;
use crate::times::ResponseTimes;

/// Time without hedges after an upstream of the service has refused a request, in milliseconds. It
/// begins again with each refusal.
const REFUSAL_PAUSE_MS: u64 = 2_000;
/// Most routes and services whose times are kept.
const MAX_KEYS: usize = 1_024;
/// Number of tokens to which the times of prefills are scaled.
const SCALE_TOKENS: u64 = 1_000;

/// The part of a request that is sent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Part {
    /// A whole request with a buffered response.
    Request,
    /// The disaggregated prefill of a prompt with this number of tokens.
    Prefill {
        /// Length of the prompt.
        tokens: u64,
    },
}

impl Part {
    /// Scales a time of this part to a prompt of [`SCALE_TOKENS`].
    fn scaled(self, time_ms: u64) -> u64 {
        match self {
            Self::Request => time_ms,
            Self::Prefill { tokens } => time_ms.saturating_mul(SCALE_TOKENS) / tokens.max(1),
        }
    }

    /// Scales a time for a prompt of [`SCALE_TOKENS`] to this part.
    fn unscaled(self, time: u64) -> u64 {
        match self {
            Self::Request => time,
            Self::Prefill { tokens } => time.saturating_mul(tokens) / SCALE_TOKENS,
        }
    }

    /// Returns the number of attempts that count after one of two sends of this part has failed. A
    /// refused prefill is an attempt, a refused request is none.
    #[must_use]
    pub fn attempts_after(self, attempts: u32, failure: FailedSend) -> u32 {
        let is_attempt = match (self, failure) {
            (_, FailedSend::NotArrived) | (Self::Request, FailedSend::NotRun) => false,
            (Self::Prefill { .. }, FailedSend::NotRun) | (_, FailedSend::MayHaveRun) => true,
        };
        // The send after the failure, or the retry, is always an attempt.
        if is_attempt { attempts } else { attempts.saturating_sub(1).max(1) }
    }

    fn kind(self) -> Kind {
        match self {
            Self::Request => Kind::Request,
            Self::Prefill { .. } => Kind::Prefill,
        }
    }
}

/// What is known of a failed send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailedSend {
    /// It has not reached the upstream.
    NotArrived,
    /// The upstream has refused it.
    NotRun,
    /// The upstream may have run it.
    MayHaveRun,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Kind {
    Request,
    Prefill,
}

/// When and how often requests are hedged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgingLimits {
    /// Most hedges as a share of the sends that may be hedged; 0 for none.
    pub share: f64,
    /// Length of the sliding window of the share, in milliseconds.
    pub window_ms: u64,
    /// Quantile of the response times after which a send counts as slow, 0 to 1.
    pub quantile: f64,
    /// Shortest time after which a send counts as slow, in milliseconds.
    pub min_delay_ms: u64,
    /// Whether whole requests are hedged.
    pub has_requests: bool,
    /// Whether disaggregated prefills are hedged.
    pub has_prefills: bool,
}

impl HedgingLimits {
    fn includes(&self, part: Part) -> bool {
        let is_included = match part {
            Part::Request => self.has_requests,
            Part::Prefill { .. } => self.has_prefills,
        };
        is_included && self.share > 0.0
    }
}

/// The best upstream for the second send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SecondUpstream {
    /// There is no other upstream that accepts requests and does not back off.
    Missing,
    /// It has requests of this instance that have not started.
    Busy,
    /// It has none.
    Free,
}

/// A send without a response so far.
#[derive(Clone, Copy, Debug)]
pub struct SlowSend<'a> {
    /// Service that runs the request.
    pub service: &'a str,
    /// What was sent.
    pub part: Part,
    /// Whether the request may run more than once.
    pub is_repeatable: bool,
    /// Whether the request is a probe, or upstreams were lost with it.
    pub is_suspected: bool,
    /// Number of upstreams that may have run the request.
    pub attempts: u32,
    /// Largest number of upstreams that may run it.
    pub max_attempts: u32,
    /// The best upstream for the second send.
    pub second: SecondUpstream,
}

/// Why a slow send is not hedged.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Withheld {
    /// The request must not run twice, or such sends are not hedged.
    NotRepeatable,
    /// The request may crash upstreams.
    Suspected,
    /// The request has run at as many upstreams as its route allows.
    NoAttempts,
    /// The service refuses requests.
    Refusing,
    /// No other upstream accepts requests.
    NoUpstream,
    /// The other upstreams have requests waiting.
    Busy,
    /// The share is used up.
    ShareUsed,
    /// The shared retry budget is used up.
    NoRetries,
}

impl Withheld {
    /// Returns the reason as it appears in metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::NotRepeatable => "not_repeatable",
            Self::Suspected => "suspected",
            Self::NoAttempts => "attempts",
            Self::Refusing => "refusing",
            Self::NoUpstream => "no_upstream",
            Self::Busy => "busy",
            Self::ShareUsed => "share",
            Self::NoRetries => "retries",
        }
    }
}

/// Response times by route and by service, this instance's share of hedges, and recent refusals.
#[derive(Clone, Debug)]
pub struct Hedging {
    limits: HedgingLimits,
    times: HashMap<(Arc<str>, Kind), ResponseTimes>,
    share: ShareWindow,
    refused_ms: HashMap<Arc<str>, u64>,
}

impl Hedging {
    /// Creates a state without observations.
    #[must_use]
    pub fn new(limits: HedgingLimits) -> Self {
        Self {
            limits,
            times: HashMap::new(),
            share: ShareWindow::new(limits.window_ms),
            refused_ms: HashMap::new(),
        }
    }

    /// Returns whether sends of this part may be hedged at all.
    #[must_use]
    pub fn includes(&self, part: Part) -> bool {
        self.limits.includes(part)
    }

    /// Counts a first send, and returns the time after which it counts as slow; `None` if it is never
    /// hedged, or if that time is not known yet. Times of the route are preferred to those of the
    /// service.
    pub fn on_sent(
        &mut self,
        now_ms: u64,
        service: &Arc<str>,
        route: &Arc<str>,
        part: Part,
    ) -> Option<u64> {
        if !self.limits.includes(part) {
            return None;
        }
        self.share.on_request(now_ms);
        let quantile = |name: &Arc<str>| {
            self.times.get(&(name.clone(), part.kind()))?.quantile(self.limits.quantile)
        };
        let time = quantile(route).or_else(|| quantile(service))?;
        Some(part.unscaled(time).max(self.limits.min_delay_ms))
    }

    /// Records the time until a response arrived, or until the send was given up for the response of
    /// a second one.
    pub fn on_time(&mut self, service: &Arc<str>, route: &Arc<str>, part: Part, time_ms: u64) {
        if !self.limits.includes(part) {
            return;
        }
        if self.times.len() > MAX_KEYS {
            self.times.clear();
        }
        for name in [route, service] {
            let times = self.times.entry((name.clone(), part.kind())).or_default();
            times.insert(part.scaled(time_ms));
        }
    }

    /// Records that an upstream of the service refused a request.
    pub fn on_refusal(&mut self, now_ms: u64, service: &Arc<str>) {
        if self.limits.share > 0.0 {
            self.refused_ms.retain(|_, at_ms| now_ms < *at_ms + REFUSAL_PAUSE_MS);
            self.refused_ms.insert(service.clone(), now_ms);
        }
    }

    /// Counts a hedge if it is allowed. `acquire_retry` acquires a retry from the budget of the
    /// service; it is called last.
    ///
    /// # Errors
    /// Returns why the send is not hedged.
    pub fn try_hedge<F>(
        &mut self,
        now_ms: u64,
        send: &SlowSend<'_>,
        acquire_retry: F,
    ) -> Result<(), Withheld>
    where
        F: FnOnce() -> bool,
    {
        let refused_ms = self.refused_ms.get(send.service);
        let withheld = if !send.is_repeatable || !self.limits.includes(send.part) {
            Some(Withheld::NotRepeatable)
        } else if send.is_suspected {
            Some(Withheld::Suspected)
        } else if send.attempts >= send.max_attempts {
            Some(Withheld::NoAttempts)
        } else if refused_ms.is_some_and(|at_ms| now_ms < at_ms + REFUSAL_PAUSE_MS) {
            Some(Withheld::Refusing)
        } else if send.second == SecondUpstream::Missing {
            Some(Withheld::NoUpstream)
        } else if send.second == SecondUpstream::Busy {
            Some(Withheld::Busy)
        } else if !self.share.has_room(now_ms, self.limits.share) {
            Some(Withheld::ShareUsed)
        } else if !acquire_retry() {
            Some(Withheld::NoRetries)
        } else {
            None
        };
        if let Some(withheld) = withheld {
            return Err(withheld);
        }
        self.share.on_hedge(now_ms);
        Ok(())
    }
}
