//! Metrics sent to a statsd server.

use std::net::{SocketAddr, UdpSocket};

use cadence::{BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, StatsdClient, Timed};
use snafu::ResultExt;

use crate::error::{Error, MetricsSnafu};

/// Names of all metrics, under the prefix `cowslip.INSTANCE`.
pub const METRIC_NAMES: &[&str] = &[
    "requests.admitted",
    "requests.refused",
    "requests.retried",
    "requests.resumed",
    "requests.outcome_unknown",
    "answers.crossed",
    "requests.latency",
    "requests.no_memory",
    "callers.closed",
    "callers.held_bytes",
    "requests.in_flight",
    "log.lag_ms",
];

/// Counter metrics.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Counter {
    Admitted,
    Refused,
    Retried,
    Resumed,
    OutcomeUnknown,
    CallIdMismatch,
    MemoryRefused,
    CallerClosed,
}

/// Statsd client of this instance.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    client: std::sync::Arc<StatsdClient>,
}

impl Metrics {
    /// Creates a client that sends to `statsd_address`, or drops all metrics if it is empty.
    pub(crate) fn new(instance: &str, statsd_address: &str) -> Result<Self, Error> {
        let prefix = format!("cowslip.{instance}");
        let client = match statsd_address.parse::<SocketAddr>() {
            Err(_) => StatsdClient::from_sink(&prefix, NopMetricSink),
            Ok(address) => {
                let socket = UdpSocket::bind("0.0.0.0:0").context(MetricsSnafu)?;
                socket.set_nonblocking(true).context(MetricsSnafu)?;
                let sink = BufferedUdpMetricSink::from(address, socket)
                    .map_err(std::io::Error::other)
                    .context(MetricsSnafu)?;
                StatsdClient::from_sink(&prefix, sink)
            }
        };
        Ok(Self { client: std::sync::Arc::new(client) })
    }

    /// Adds one to a counter. Errors are ignored: a lost metric must not stop the instance.
    pub(crate) fn increment(&self, counter: Counter) {
        let name = match counter {
            Counter::Admitted => "requests.admitted",
            Counter::Refused => "requests.refused",
            Counter::Retried => "requests.retried",
            Counter::Resumed => "requests.resumed",
            Counter::OutcomeUnknown => "requests.outcome_unknown",
            Counter::CallIdMismatch => "answers.crossed",
            Counter::MemoryRefused => "requests.no_memory",
            Counter::CallerClosed => "callers.closed",
        };
        let _ = self.client.count(name, 1);
    }

    pub(crate) fn record_latency(&self, elapsed_ms: u64) {
        let _ = self.client.time("requests.latency", elapsed_ms);
    }

    pub(crate) fn set_held_bytes(&self, bytes: u64) {
        let _ = self.client.gauge("callers.held_bytes", bytes);
    }

    pub(crate) fn set_gauges(&self, in_flight: u64, log_lag_ms: u64) {
        let _ = self.client.gauge("requests.in_flight", in_flight);
        let _ = self.client.gauge("log.lag_ms", log_lag_ms);
    }
}
