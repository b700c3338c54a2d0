//! Counters, gauges and latency histograms, served in the Prometheus text format.

use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};
use snafu::ResultExt;

use crate::error::{Error, MetricsSnafu};

/// Bounds of the latency histograms, in seconds: from a short lookup to the longest latency
/// objective.
const LATENCY_BOUNDS_S: &[f64] =
    &[0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.0, 1.5, 2.0, 3.0, 5.0, 8.0];

/// Names of all metrics, in the order of their documentation.
pub const METRIC_NAMES: &[&str] = &[
    "cowslip_requests_total",
    "cowslip_sends_total",
    "cowslip_moves_total",
    "cowslip_hedges_total",
    "cowslip_hedges_withheld_total",
    "cowslip_store_calls_total",
    "cowslip_duty_calls_total",
    "cowslip_answer_seconds",
    "cowslip_first_event_seconds",
    "cowslip_in_flight",
    "cowslip_deployment_version",
    "cowslip_upstreams",
    "cowslip_is_holder",
    "cowslip_peers",
    "cowslip_store_era",
    "cowslip_other_era_responses_total",
    "cowslip_is_reader",
    "cowslip_quarantined_requests",
    "cowslip_quarantined_segments",
    "cowslip_feeds_total",
    "cowslip_feed_bytes_total",
    "cowslip_allowance_checks_total",
    "cowslip_allowance_grants_total",
    "cowslip_held_bytes",
    "cowslip_memory_refusals_total",
    "cowslip_closed_callers_total",
];

/// The metrics of this instance.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests by their end: `answered`, `refused`, `failed`, `left`.
    pub(crate) requests: IntCounterVec,
    /// Sends to upstreams, by outcome.
    pub(crate) sends: IntCounterVec,
    /// Requests that were reassigned to another upstream.
    pub(crate) reassignments: IntCounter,
    /// Second sends of slow requests: `sent`, and by their end `won`, `lost`, `failed`.
    pub(crate) hedges: IntCounterVec,
    /// Slow requests that were not hedged, by reason.
    pub(crate) hedges_withheld: IntCounterVec,
    /// Calls to the store, by outcome.
    pub(crate) store_calls: IntCounterVec,
    /// Calls to the duties interface, by outcome.
    pub(crate) duty_calls: IntCounterVec,
    /// Time from the head of a request to the end of its buffered response, in seconds.
    pub(crate) response_s: Histogram,
    /// Time from the head of a request to the first event of its stream, in seconds.
    pub(crate) first_event_s: Histogram,
    /// Requests that have an assignment, as of the last tick.
    pub(crate) in_flight: IntGauge,
    /// Version of the declared configuration that is applied.
    pub(crate) deployment_version: IntGauge,
    /// Upstreams that are not draining.
    pub(crate) upstreams: IntGauge,
    /// 1 while this instance holds the lease.
    pub(crate) is_holder: IntGauge,
    /// Peers to which this instance keeps links.
    pub(crate) peers: IntGauge,
    /// Responses of the store that were dropped for their era.
    pub(crate) other_era_responses: IntCounter,
    /// Restores that the store has stated.
    pub(crate) store_era: IntGauge,
    /// 1 while this instance reads the store itself.
    pub(crate) is_reader: IntGauge,
    /// Whole requests that are refused.
    pub(crate) quarantined_requests: IntGauge,
    /// Combinations of prompt segments whose requests are refused.
    pub(crate) quarantined_segments: IntGauge,
    /// Prompt segments that are malformed.
    pub(crate) malformed_segments: IntCounter,
    /// Feed messages, by kind (`request`, `reply`) and direction (`sent`, `received`).
    pub(crate) feeds: IntCounterVec,
    /// Bytes of feed messages before compression, by field and direction; the field `compressed`
    /// counts the bytes of whole messages after it.
    pub(crate) feed_bytes: IntCounterVec,
    /// Checks of allowances: `floor`, `reserved`, `short`, `unreachable`, `refused`, `put_back`.
    pub(crate) allowance_checks: IntCounterVec,
    /// Grants of shares: `given`, `applied`, `expired`.
    pub(crate) allowance_grants: IntCounterVec,
    /// Bytes of bodies and responses that are held for callers, beyond small ones.
    pub(crate) held_bytes: IntGauge,
    /// Bodies and responses that were refused memory.
    pub(crate) memory_refusals: IntCounter,
    /// Callers whose connection, body or response was closed, by cause.
    pub(crate) closed_callers: IntCounterVec,
}

impl Metrics {
    pub(crate) fn new() -> Result<Self, Error> {
        Self::register().context(MetricsSnafu)
    }

    fn register() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counter_by_all =
            |name: &str, help: &str, labels: &[&str]| -> Result<IntCounterVec, prometheus::Error> {
                let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
                registry.register(Box::new(counter.clone()))?;
                Ok(counter)
            };
        let counter_by = |name: &str, help: &str, label: &str| counter_by_all(name, help, &[label]);
        let histogram = |name: &str, help: &str| -> Result<Histogram, prometheus::Error> {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BOUNDS_S.to_vec());
            let histogram = Histogram::with_opts(options)?;
            registry.register(Box::new(histogram.clone()))?;
            Ok(histogram)
        };
        let gauge = |name: &str, help: &str| -> Result<IntGauge, prometheus::Error> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let reassignments =
            IntCounter::new("cowslip_moves_total", "Requests that were sent to another upstream")?;
        registry.register(Box::new(reassignments.clone()))?;
        let memory_refusals = IntCounter::new(
            "cowslip_memory_refusals_total",
            "Bodies and responses that were refused memory",
        )?;
        registry.register(Box::new(memory_refusals.clone()))?;
        let other_era_responses = IntCounter::new(
            "cowslip_other_era_responses_total",
            "Responses of the store that were dropped for their era",
        )?;
        registry.register(Box::new(other_era_responses.clone()))?;
        let malformed_segments = IntCounter::new(
            "cowslip_malformed_segments_total",
            "Prompt segments that are malformed",
        )?;
        registry.register(Box::new(malformed_segments.clone()))?;
        Ok(Self {
            requests: counter_by("cowslip_requests_total", "Requests by how they ended", "end")?,
            sends: counter_by("cowslip_sends_total", "Sends to upstreams by outcome", "outcome")?,
            reassignments,
            hedges: counter_by("cowslip_hedges_total", "Second sends of slow requests", "end")?,
            hedges_withheld: counter_by(
                "cowslip_hedges_withheld_total",
                "Slow requests that were not hedged",
                "reason",
            )?,
            store_calls: counter_by("cowslip_store_calls_total", "Calls of the store", "outcome")?,
            duty_calls: counter_by("cowslip_duty_calls_total", "Calls of duties", "outcome")?,
            response_s: histogram("cowslip_answer_seconds", "Time to a whole answer")?,
            first_event_s: histogram("cowslip_first_event_seconds", "Time to the first event")?,
            in_flight: gauge("cowslip_in_flight", "Requests in flight")?,
            deployment_version: gauge("cowslip_deployment_version", "Configuration in force")?,
            upstreams: gauge("cowslip_upstreams", "Upstreams that take work")?,
            is_holder: gauge("cowslip_is_holder", "1 while this instance holds the lease")?,
            peers: gauge("cowslip_peers", "Other instances to which there are links")?,
            other_era_responses,
            store_era: gauge("cowslip_store_era", "Restores that the store has stated")?,
            is_reader: gauge("cowslip_is_reader", "1 while this instance reads the store itself")?,
            quarantined_requests: gauge(
                "cowslip_quarantined_requests",
                "Whole requests that are refused",
            )?,
            quarantined_segments: gauge(
                "cowslip_quarantined_segments",
                "Combinations of prompt segments whose requests are refused",
            )?,
            malformed_segments,
            feeds: counter_by_all(
                "cowslip_feeds_total",
                "Feed messages by kind and direction",
                &["kind", "direction"],
            )?,
            feed_bytes: counter_by_all(
                "cowslip_feed_bytes_total",
                "Bytes of feed messages by field and direction",
                &["field", "direction"],
            )?,
            allowance_checks: counter_by(
                "cowslip_allowance_checks_total",
                "Checks of allowances by outcome",
                "outcome",
            )?,
            allowance_grants: counter_by(
                "cowslip_allowance_grants_total",
                "Grants of shares of allowances",
                "step",
            )?,
            held_bytes: gauge("cowslip_held_bytes", "Bytes held for callers")?,
            memory_refusals,
            closed_callers: counter_by(
                "cowslip_closed_callers_total",
                "Callers that were closed",
                "cause",
            )?,
            registry,
        })
    }

    /// Returns all metrics as text.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = TextEncoder::new().encode_utf8(&self.registry.gather(), &mut text) {
            log::warn!("metrics cannot be written: {error}");
        }
        text
    }
}
