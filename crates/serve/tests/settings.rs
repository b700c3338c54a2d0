//! Parsing of settings files: every error is reported at once, and no invalid setting is accepted.

use cowslip_codec::SettingOverride;
use cowslip_serve::Config;

const VALID: &str = "[instance]\nname = entry-0\nfailure_domain = d0\nregion = r0\n\
    caller_address = 127.0.0.1:1\npeer_address = 127.0.0.1:2\noperator_address = 127.0.0.1:3\n\
    [platform]\naddress = 127.0.0.1:4\n\
    [fleet]\nready_address = 127.0.0.1:5\nduties_address = 127.0.0.1:6\nregions = d0=r0, d1=r1\n";

#[test]
fn valid_settings_are_accepted() {
    let config = Config::parse(VALID, &[]).expect("valid settings");
    assert_eq!(config.locality.distance("d0", "d1"), 2);
    assert_eq!(config.settings.fleet.repeat_ratio.to_string(), "0.2");
    assert!(config.hedging_limits.has_requests && !config.hedging_limits.has_prefills);
}

#[test]
fn invalid_settings_are_all_reported() {
    struct Case {
        change: (&'static str, &'static str),
        errors: &'static [&'static str],
    }
    let cases = [
        Case { change: ("name = entry-0\n", ""), errors: &["[instance] name: must be given"] },
        Case {
            change: ("duties_address = 127.0.0.1:6", "duties_address = there"),
            errors: &["line 12: [fleet] duties_address: \"there\" is not an IP address and port"],
        },
        Case {
            change: ("regions = d0=r0, d1=r1", "regions = d0"),
            errors: &["[fleet] regions: \"d0\" is not DOMAIN=REGION"],
        },
        Case {
            change: ("[fleet]\n", "[fleet]\nrepeat_ratio = -1\nfolow_every_ms = 3\n"),
            errors: &[
                "line 12: [fleet] folow_every_ms: unknown key; did you mean [fleet] follow_every_ms?",
                "line 11: [fleet] repeat_ratio: \"-1\" is not a number from 0 on",
            ],
        },
        Case {
            change: ("[fleet]\n", "[authority]\nlease_ms = 1000\nrenew_every_ms = 800\n[fleet]\n"),
            errors: &["[authority] renew_every_ms: must be at most half a lease"],
        },
        Case {
            change: ("[fleet]\n", "[allowances]\nwindow_s = -1\nslak = 2\n[fleet]\n"),
            errors: &[
                "line 12: [allowances] slak: unknown key; did you mean [allowances] slack?",
                "line 11: [allowances] window_s: \"-1\" is not a number from 0 on",
            ],
        },
        Case {
            change: (
                "[fleet]\n",
                "[limits]\nmemory_mb = 47\nmax_descriptors = 1000\nunread_timeout_ms = 999\n[fleet]\n",
            ),
            errors: &[
                "[limits] memory_mb: must be at least 48",
                "[limits] max_descriptors: must be at least 1024",
                "[limits] unread_timeout_ms: must be at least 1000",
            ],
        },
        Case {
            change: ("[fleet]\n", "[hedging]\nshare = 0.6\n[fleet]\n"),
            errors: &["[hedging] share: must be at most 0.5"],
        },
        Case {
            change: ("[fleet]\n", "[hedging]\nshare = -0.1\n[fleet]\n"),
            errors: &["line 11: [hedging] share: \"-0.1\" is not a number from 0 on"],
        },
        Case {
            change: ("[fleet]\n", "[hedging]\nshare = NaN\n[fleet]\n"),
            errors: &["line 11: [hedging] share: \"NaN\" is not a number from 0 on"],
        },
        Case {
            change: ("[fleet]\n", "[hedging]\nquantile = 1\n[fleet]\n"),
            errors: &["[hedging] quantile: must be from 0.5 to 0.999"],
        },
        Case {
            change: ("[fleet]\n", "[hedging]\nkinds = prefills, bookings\n[fleet]\n"),
            errors: &["[hedging] kinds: \"bookings\" is not requests or prefills"],
        },
        Case {
            change: ("[fleet]\n", "[config]\nheartbeat_ms = 5\n[fleet]\n"),
            errors: &[
                "line 11: [config] heartbeat_ms: unknown key; did you mean [authority] lease_ms?",
            ],
        },
    ];
    for Case { change: (from, to), errors } in cases {
        let reported = Config::parse(&VALID.replace(from, to), &[]).expect_err(to);
        let reported: Vec<String> = reported.iter().map(ToString::to_string).collect();
        assert_eq!(reported, errors, "{to}");
    }
}

#[test]
fn settings_of_the_command_line_take_precedence_over_the_file() {
    struct Case {
        name: &'static str,
        overrides: &'static [&'static str],
        /// Lease in milliseconds and memory in megabytes, or the start of the error.
        expected: Result<(u64, u32), &'static str>,
    }
    let cases = [
        Case { name: "none", overrides: &[], expected: Ok((6_000, 0)) },
        Case {
            name: "a key of the file and one that it omits",
            overrides: &["authority.lease_ms=4000", "limits.memory_mb=260"],
            expected: Ok((4_000, 260)),
        },
        Case {
            name: "empty values",
            overrides: &["authority.lease_ms=", "limits.memory_mb="],
            expected: Ok((6_000, 0)),
        },
        Case {
            name: "an unknown key",
            overrides: &["limits.memory=260"],
            expected: Err("[limits] memory: unknown key; did you mean [limits] memory_mb?"),
        },
        Case {
            name: "a value that is no number",
            overrides: &["limits.memory_mb=much"],
            expected: Err("[limits] memory_mb: \"much\" is not a whole number"),
        },
    ];
    for Case { name, overrides, expected } in cases {
        let overrides: Vec<SettingOverride> =
            overrides.iter().map(|text| text.parse().expect("an override")).collect();
        let result = Config::parse(VALID, &overrides)
            .map(|config| (config.settings.authority.lease_ms, config.settings.limits.memory_mb))
            .map_err(|errors| errors[0].to_string());
        match expected {
            Ok(values) => assert_eq!(result, Ok(values), "{name}"),
            Err(start) => {
                let error = result.expect_err(name);
                assert!(error.contains(start), "{name}: {error}");
            }
        }
    }
    for text in ["memory_mb=260", "limits.memory_mb", "260"] {
        assert!(text.parse::<SettingOverride>().is_err(), "{text}");
    }
}
