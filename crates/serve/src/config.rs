//! Settings of the daemon, read once.

use std::collections::HashMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use cowslip_authority::LeaseTimes;
use cowslip_codec::{FLEET_SETTING_SECTIONS, SettingError, load_settings};
use cowslip_fleet::{Locality, RetryBudgetLimits};
use cowslip_proto::FleetEntrySettings;
use cowslip_usage::WindowTimes;
use num_traits::ToPrimitive;
use snafu::ResultExt;

use crate::error::{BadSettingsSnafu, Error, ReadSettingsSnafu};

/// How long after its end a usage window is fixed: two intervals of the count's writes.
const SETTLE_MS: u64 = 2_400;
/// Time before a window is late that its report needs.
const REPORT_MARGIN_MS: u64 = 500;

/// Round trip between regions, with room for a busy instance.
const EXCHANGE_MARGIN_MS: u64 = 200;
/// Least time that an answer of a feeder counts: shorter, and a busy second makes an instance read.
const MIN_FED_MS: u64 = 1_200;

/// Everything that an instance is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// Settings as given, with defaults.
    pub settings: FleetEntrySettings,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the balancer asks whether new connections may come.
    pub ready_address: SocketAddr,
    /// Where other instances connect.
    pub peer_address: SocketAddr,
    /// Where metrics are served.
    pub operator_address: SocketAddr,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// The platform's interface for duties.
    pub duties_address: SocketAddr,
    /// Where this instance stands.
    pub site: Locality,
}

impl Config {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Returns every error of the file at once.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).context(ReadSettingsSnafu { path })?;
        Self::parse(&text).map_err(|errors| BadSettingsSnafu { path, errors }.build())
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    /// Returns every error at once.
    pub fn parse(text: &str) -> Result<Self, Vec<SettingError>> {
        let settings: FleetEntrySettings = load_settings(text, FLEET_SETTING_SECTIONS)?;
        if 2 * settings.authority.renew_every_ms > settings.authority.lease_ms {
            return Err(vec![wrong("[authority] renew_every_ms", "must be at most half a lease")]);
        }
        let address = |at: &str, text: &str| {
            text.parse::<SocketAddr>()
                .map_err(|_| vec![wrong(at, &format!("{text:?} is not an IP address and port"))])
        };
        let site = Locality {
            failure_domain: Arc::from(settings.instance.failure_domain.as_str()),
            regions: regions(&settings.fleet.regions)?,
        };
        Ok(Self {
            caller_address: address(
                "[instance] caller_address",
                &settings.instance.caller_address,
            )?,
            ready_address: address("[fleet] ready_address", &settings.fleet.ready_address)?,
            peer_address: address("[instance] peer_address", &settings.instance.peer_address)?,
            operator_address: address(
                "[instance] operator_address",
                &settings.instance.operator_address,
            )?,
            store_address: address("[platform] address", &settings.platform.address)?,
            duties_address: address("[fleet] duties_address", &settings.fleet.duties_address)?,
            site,
            settings,
        })
    }

    pub(crate) fn lease_times(&self) -> LeaseTimes {
        let authority = &self.settings.authority;
        LeaseTimes {
            lease_ms: authority.lease_ms,
            renew_every_ms: authority.renew_every_ms,
            drift_margin_ms: authority.drift_margin_ms,
            silence_ms: authority.silence_ms,
        }
    }

    pub(crate) fn budget_terms(&self) -> RetryBudgetLimits {
        let fleet = &self.settings.fleet;
        RetryBudgetLimits {
            ratio: fleet.repeat_ratio,
            slack: fleet.repeat_slack,
            window_ms: millis(fleet.repeat_window_s),
        }
    }

    pub(crate) fn window_times(&self) -> WindowTimes {
        let fleet = &self.settings.fleet;
        WindowTimes {
            window_ms: millis(fleet.usage_window_s).max(1),
            settle_ms: SETTLE_MS,
            late_ms: millis(fleet.usage_late_s).saturating_sub(REPORT_MARGIN_MS),
        }
    }

    pub(crate) fn follow_every(&self) -> Duration {
        Duration::from_millis(self.settings.fleet.follow_every_ms)
    }

    pub(crate) fn feed_every(&self) -> Duration {
        Duration::from_millis(self.settings.fleet.feed_every_ms)
    }

    /// How long an answer of a feeder counts: two exchanges, one of which may be lost.
    pub(crate) fn fed_ms(&self) -> u64 {
        (2 * self.settings.fleet.feed_every_ms + EXCHANGE_MARGIN_MS).max(MIN_FED_MS)
    }

    pub(crate) fn stop_after(&self) -> Duration {
        Duration::from_millis(millis(self.settings.fleet.stop_after_s))
    }
}

fn wrong(at: &str, reason: &str) -> SettingError {
    SettingError { line: 0, location: at.to_owned(), reason: reason.to_owned() }
}

fn millis(seconds: f64) -> u64 {
    // Settings are finite and not negative; what is too large for a count becomes the largest.
    (seconds * 1_000.0).round().to_u64().unwrap_or(u64::MAX)
}

fn regions(text: &str) -> Result<HashMap<Arc<str>, Arc<str>>, Vec<SettingError>> {
    text.split(',')
        .map(str::trim)
        .filter(|row| !row.is_empty())
        .map(|row| match row.split_once('=') {
            Some((domain, region)) if !domain.is_empty() && !region.is_empty() => {
                Ok((Arc::from(domain), Arc::from(region)))
            }
            _ => Err(vec![wrong("[fleet] regions", &format!("{row:?} is not DOMAIN=REGION"))]),
        })
        .collect()
}
