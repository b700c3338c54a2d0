//! Settings of the daemon, read once.

use std::collections::HashMap;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use cowslip_allowance::Bounds;
use cowslip_authority::LeaseTimes;
use cowslip_codec::{FLEET_SETTING_SECTIONS, SettingError, SettingOverride, load_settings};
use cowslip_fleet::{Locality, RetryBudgetLimits};
use cowslip_hedging::HedgingLimits;
use cowslip_membership::FeedTimes;
use cowslip_proto::{FleetEntrySettings, HedgingSettings, LimitSettings};
use cowslip_usage::WindowTimes;
use num_traits::ToPrimitive;
use snafu::ResultExt;

use crate::error::{BadSettingsSnafu, Error, ReadSettingsSnafu};

/// Time after the end of a usage window from which its request starts are reported: two feed
/// exchanges, one interval of a reader's writes and reserve.
const SETTLE_MS: u64 = 3_200;
/// Time reserved for the report of a window before the window counts as late.
const REPORT_MARGIN_MS: u64 = 500;
/// Time allowed for a feed exchange: a round trip between regions and reserve for a busy instance.
const EXCHANGE_MARGIN_MS: u64 = 200;
/// Least time allowed for two feed exchanges. With less, one busy second would make an
/// instance read the store itself.
const MIN_FEED_VALID_MS: u64 = 1_200;
/// Least memory of the machine, in megabytes, least number of descriptors, and shortest time for which
/// a response may stay unread.
const MIN_MEMORY_MB: u64 = 48;
const MIN_DESCRIPTORS: u64 = 1_024;
const MIN_UNREAD_TIMEOUT_MS: u64 = 1_000;

/// Largest share of second sends, and the range of the quantile.
const MAX_HEDGING_SHARE: f64 = 0.5;
const HEDGING_QUANTILES: std::ops::RangeInclusive<f64> = 0.5..=0.999;

/// Where the settings come from.
#[derive(Clone, Debug)]
pub struct SettingsSource {
    /// INI file with the settings.
    pub path: PathBuf,
    /// Settings that take precedence over the file.
    pub overrides: Vec<SettingOverride>,
}

/// Settings of an instance, read once at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// All settings, with defaults for those that the file omits.
    pub settings: FleetEntrySettings,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address at which the balancer asks whether the instance accepts new connections.
    pub ready_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Address at which metrics are served to operators.
    pub operator_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Address of the platform's interface for the duties of the lease holder.
    pub duties_address: SocketAddr,
    /// Failure domain of this instance, and the regions of all failure domains.
    pub locality: Locality,
    /// When and how often slow sends are hedged.
    pub hedging_limits: HedgingLimits,
}

impl Config {
    /// Reads and checks the settings.
    ///
    /// # Errors
    /// Returns an error when the file cannot be read or a setting is invalid.
    pub fn load(source: &SettingsSource) -> Result<Self, Error> {
        let SettingsSource { path, overrides } = source;
        let text = fs::read_to_string(path).context(ReadSettingsSnafu { path })?;
        Self::parse(&text, overrides).map_err(|errors| BadSettingsSnafu { path, errors }.build())
    }

    /// Checks the text of a settings file together with the settings of the command line.
    ///
    /// # Errors
    /// Returns all invalid settings, or else the first error in the lease times or the regions.
    pub fn parse(text: &str, overrides: &[SettingOverride]) -> Result<Self, Vec<SettingError>> {
        let settings: FleetEntrySettings = load_settings(text, overrides, FLEET_SETTING_SECTIONS)?;
        if 2 * settings.authority.renew_every_ms > settings.authority.lease_ms {
            return Err(vec![setting_error(
                "[authority] renew_every_ms",
                "must be at most half a lease",
            )]);
        }
        check_limits(&settings.limits)?;
        let parse_address = |location: &str, text: &str| {
            text.parse::<SocketAddr>().map_err(|_| {
                vec![setting_error(location, &format!("{text:?} is not an IP address and port"))]
            })
        };
        let locality = Locality {
            failure_domain: Arc::from(settings.instance.failure_domain.as_str()),
            regions: parse_regions(&settings.fleet.regions)?,
        };
        Ok(Self {
            caller_address: parse_address(
                "[instance] caller_address",
                &settings.instance.caller_address,
            )?,
            ready_address: parse_address("[fleet] ready_address", &settings.fleet.ready_address)?,
            peer_address: parse_address(
                "[instance] peer_address",
                &settings.instance.peer_address,
            )?,
            operator_address: parse_address(
                "[instance] operator_address",
                &settings.instance.operator_address,
            )?,
            store_address: parse_address("[platform] address", &settings.platform.address)?,
            duties_address: parse_address(
                "[fleet] duties_address",
                &settings.fleet.duties_address,
            )?,
            locality,
            hedging_limits: parse_hedging(
                &settings.hedging,
                millis(settings.fleet.repeat_window_s),
            )?,
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

    pub(crate) fn retry_budget_limits(&self) -> RetryBudgetLimits {
        let fleet = &self.settings.fleet;
        RetryBudgetLimits {
            ratio: fleet.repeat_ratio,
            slack: fleet.repeat_slack,
            window_ms: millis(fleet.repeat_window_s),
        }
    }

    pub(crate) fn allowance_bounds(&self) -> Bounds {
        let allowances = &self.settings.allowances;
        Bounds { window_s: allowances.window_s, excess: allowances.excess, slack: allowances.slack }
    }

    pub(crate) fn window_times(&self) -> WindowTimes {
        let fleet = &self.settings.fleet;
        WindowTimes {
            window_ms: millis(fleet.usage_window_s).max(1),
            settle_ms: SETTLE_MS,
            late_ms: millis(fleet.usage_late_s).saturating_sub(REPORT_MARGIN_MS),
        }
    }

    /// Returns the interval between reads of the upstreams' entries.
    pub(crate) fn follow_every(&self) -> Duration {
        Duration::from_millis(self.settings.fleet.follow_every_ms)
    }

    /// Returns the interval between exchanges with each feed peer.
    pub(crate) fn feed_every(&self) -> Duration {
        Duration::from_millis(self.settings.fleet.feed_every_ms)
    }

    /// Returns the times of the feeds. Between two reads of a reader and the feed that follows, one
    /// exchange may be lost.
    pub(crate) fn feed_times(&self) -> FeedTimes {
        let fleet = &self.settings.fleet;
        let two_exchanges_ms =
            (2 * fleet.feed_every_ms + EXCHANGE_MARGIN_MS).max(MIN_FEED_VALID_MS);
        FeedTimes {
            max_age_ms: fleet.follow_every_ms + two_exchanges_ms,
            hop_ms: fleet.feed_every_ms,
            request_ms: two_exchanges_ms,
        }
    }

    /// Returns the time from the stop signal until the platform kills the process.
    pub(crate) fn stop_after(&self) -> Duration {
        Duration::from_millis(millis(self.settings.fleet.stop_after_s))
    }
}

fn check_limits(limits: &LimitSettings) -> Result<(), Vec<SettingError>> {
    // No memory is stated by 0.
    let memory_mb = if limits.memory_mb == 0 { MIN_MEMORY_MB } else { limits.memory_mb.into() };
    let rows = [
        ("[limits] memory_mb", memory_mb, MIN_MEMORY_MB),
        ("[limits] max_descriptors", u64::from(limits.max_descriptors), MIN_DESCRIPTORS),
        ("[limits] unread_timeout_ms", limits.unread_timeout_ms, MIN_UNREAD_TIMEOUT_MS),
    ];
    let errors: Vec<SettingError> = rows
        .into_iter()
        .filter(|(_, value, least)| value < least)
        .map(|(location, _, least)| setting_error(location, &format!("must be at least {least}")))
        .collect();
    if errors.is_empty() { Ok(()) } else { Err(errors) }
}

fn setting_error(location: &str, reason: &str) -> SettingError {
    SettingError { line: 0, location: location.to_owned(), reason: reason.to_owned() }
}

fn millis(seconds: f64) -> u64 {
    // Settings are finite and not negative; values above the range become the largest one.
    (seconds * 1_000.0).round().to_u64().unwrap_or(u64::MAX)
}

fn parse_hedging(
    settings: &HedgingSettings,
    window_ms: u64,
) -> Result<HedgingLimits, Vec<SettingError>> {
    let error = |key: &str, reason: &str| vec![setting_error(&format!("[hedging] {key}"), reason)];
    // The settings hold only numbers from 0 on.
    if settings.share > MAX_HEDGING_SHARE {
        return Err(error("share", &format!("must be at most {MAX_HEDGING_SHARE}")));
    }
    if !HEDGING_QUANTILES.contains(&settings.quantile) {
        return Err(error("quantile", "must be from 0.5 to 0.999"));
    }
    let mut limits = HedgingLimits {
        share: settings.share,
        window_ms,
        quantile: settings.quantile,
        min_delay_ms: settings.min_delay_ms,
        has_requests: false,
        has_prefills: false,
    };
    for kind in settings.kinds.split(',').map(str::trim).filter(|kind| !kind.is_empty()) {
        match kind {
            "requests" => limits.has_requests = true,
            "prefills" => limits.has_prefills = true,
            _ => return Err(error("kinds", &format!("{kind:?} is not requests or prefills"))),
        }
    }
    Ok(limits)
}

fn parse_regions(text: &str) -> Result<HashMap<Arc<str>, Arc<str>>, Vec<SettingError>> {
    text.split(',')
        .map(str::trim)
        .filter(|row| !row.is_empty())
        .map(|row| match row.split_once('=') {
            Some((domain, region)) if !domain.is_empty() && !region.is_empty() => {
                Ok((Arc::from(domain), Arc::from(region)))
            }
            _ => Err(vec![setting_error(
                "[fleet] regions",
                &format!("{row:?} is not DOMAIN=REGION"),
            )]),
        })
        .collect()
}
