//! The allowance of a workspace, and how it is divided between brokers and instances.

/// Time in milliseconds within which a reservation must be used.
pub const RESERVATION_MS: u64 = 500;

/// Largest part of what may be used in a window that brokers give out as it accrues, so that some
/// is left for the burst and for the instances.
const MAX_ACCRUED: f64 = 0.9;
/// Part of what remains beside the accrued amount that instances may use without a reservation.
const FLOOR_PART: f64 = 0.05;

/// Part of the slack that instances may use at once without a reservation; brokers hold the rest,
/// since only they can cover large requests.
const FLOOR_SLACK_PART: f64 = 0.25;

/// What an allowance counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AllowanceUnit {
    /// Tokens of the prompt and of the response.
    Tokens,
    /// Requests.
    Requests,
}

/// Rate limit of a workspace over all instances.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// What the allowance counts.
    pub unit: AllowanceUnit,
    /// Units that accrue in a second.
    pub rate_per_s: f64,
    /// Units that may be used at once after a pause.
    pub burst: f64,
    /// Cost of a request that does not state its tokens.
    pub unstated_tokens: u64,
}

impl Allowance {
    /// Returns the cost of a request; `stated_tokens` is `None` if it does not state its tokens.
    #[must_use]
    pub fn cost(&self, stated_tokens: Option<u64>) -> f64 {
        match self.unit {
            AllowanceUnit::Tokens => stated_tokens.unwrap_or(self.unstated_tokens) as f64,
            AllowanceUnit::Requests => 1.0,
        }
    }
}

/// How strictly allowances bind: in no window, all instances together use more than `rate x window +
/// burst`, times `1 + excess`, plus `slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Length of the window in seconds; 0 if allowances are not enforced.
    pub window_s: f64,
    /// Tolerated excess as a fraction.
    pub excess: f64,
    /// Tolerated excess in units.
    pub slack: f64,
}

/// Division of an allowance. A window sees at most the brokers' burst, what accrues there in the
/// window and in the validity of a reservation before it, and what instances use without one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Units that accrue in a second at all brokers together.
    pub rate_per_s: f64,
    /// Most units that all brokers together hold.
    pub burst: f64,
    /// Units that accrue in a second at all instances together.
    pub floor_rate_per_s: f64,
    /// Most units that all instances together hold.
    pub floor_burst: f64,
}

impl Budget {
    /// Divides an allowance within the bounds.
    #[must_use]
    pub fn new(allowance: &Allowance, bounds: &Bounds) -> Self {
        let factor = 1.0 + bounds.excess;
        let usable = (allowance.rate_per_s * bounds.window_s + allowance.burst) * factor;
        let accrual_s = bounds.window_s + RESERVATION_MS as f64 / 1_000.0;
        let rate_per_s = allowance.rate_per_s.min(usable * MAX_ACCRUED / accrual_s);
        let rest = usable - rate_per_s * accrual_s;
        Self {
            rate_per_s,
            burst: rest * (1.0 - FLOOR_PART) + bounds.slack * (1.0 - FLOOR_SLACK_PART),
            floor_rate_per_s: rest * FLOOR_PART / bounds.window_s,
            floor_burst: bounds.slack * FLOOR_SLACK_PART,
        }
    }
}
