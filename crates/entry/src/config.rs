//! Configuration of the instance, read once at startup.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use cowslip_codec::{ENTRY_SETTING_SECTIONS, SettingError, load_settings};
use cowslip_proto::EntrySettings;
use snafu::ResultExt;

use crate::error::{BadSettingsSnafu, Error, ReadSettingsSnafu};

/// Settings of an instance with parsed addresses.
#[derive(Clone, Debug)]
pub struct Config {
    /// Settings from the file, with defaults filled in.
    pub settings: EntrySettings,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address that peers connect to.
    pub peer_address: SocketAddr,
    /// Address that operators connect to.
    pub operator_address: SocketAddr,
    /// Address of the platform's service.
    pub platform_address: SocketAddr,
}

impl Config {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// Returns all errors of the file at once.
    pub fn load(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).context(ReadSettingsSnafu { path })?;
        Self::parse(&text).map_err(|errors| BadSettingsSnafu { path, errors }.build())
    }

    fn parse(text: &str) -> Result<Self, Vec<SettingError>> {
        let settings: EntrySettings = load_settings(text, &[], ENTRY_SETTING_SECTIONS)?;
        check_rules(&settings)?;
        let address = |text: &str| {
            text.parse().map_err(|_| {
                let reason = format!("{text:?} is not an IP address and port");
                vec![SettingError { line: 0, location: "address".to_owned(), reason }]
            })
        };
        Ok(Self {
            caller_address: address(&settings.instance.caller_address)?,
            peer_address: address(&settings.instance.peer_address)?,
            operator_address: address(&settings.instance.operator_address)?,
            platform_address: address(&settings.platform.address)?,
            settings,
        })
    }
}

/// Checks the rules between settings: a lease must survive one lost renewal, and a member at least
/// two lost heartbeats.
fn check_rules(settings: &EntrySettings) -> Result<(), Vec<SettingError>> {
    let rules = [
        (
            2 * settings.authority.renew_every_ms <= settings.authority.lease_ms,
            "[authority] renew_every_ms",
            "must be at most half of lease_ms",
        ),
        (
            3 * settings.config.heartbeat_ms <= settings.config.member_timeout_ms,
            "[config] heartbeat_ms",
            "must be at most a third of member_timeout_ms",
        ),
        (
            settings.config.member_timeout_ms <= settings.config.stale_limit_ms,
            "[config] member_timeout_ms",
            "must be at most stale_limit_ms",
        ),
        (
            settings.limits.memory_mb == 0 || settings.limits.memory_mb >= 48,
            "[limits] memory_mb",
            "must be at least 48",
        ),
        (
            settings.limits.max_descriptors >= 1_024,
            "[limits] max_descriptors",
            "must be at least 1024",
        ),
        (
            settings.limits.unread_timeout_ms >= 1_000,
            "[limits] unread_timeout_ms",
            "must be at least 1000",
        ),
        (settings.limits.poison_limit > 0, "[limits] poison_limit", "must be at least 1"),
        (
            settings.limits.max_waiting_tokens > 0,
            "[limits] max_waiting_tokens",
            "must be at least 1",
        ),
    ];
    let errors: Vec<SettingError> = rules
        .into_iter()
        .filter(|(is_met, ..)| !is_met)
        .map(|(_, location, reason)| SettingError {
            line: 0,
            location: location.to_owned(),
            reason: reason.to_owned(),
        })
        .collect();
    if errors.is_empty() { Ok(()) } else { Err(errors) }
}
