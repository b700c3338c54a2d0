//! Speed levels from timings, and loads summed over instances.

use std::sync::Arc;

use cowslip_fleet::{
    EngineLoads, EngineRole, EngineWork, ReportLevel, SharedLoads, Slowness, SpeedLevels, Timings,
    UpstreamTag, speed_of_level,
};

const EXPECTED_MS: f64 = 100.0;

/// Returns the slowness of an engine whose work took `took_ms` and, in between, far longer.
fn slowness(took_ms: f64) -> f64 {
    let mut timings = Timings::default();
    for index in 0..20 {
        let waiting_ms = if index % 4 == 0 { 2_000.0 } else { 0.0 };
        timings.record(index * 100, took_ms + waiting_ms, EXPECTED_MS);
    }
    timings.slowness(2_000).expect("enough timings")
}

#[test]
fn levels_follow_speeds_that_clearly_differ() {
    struct Case {
        name: &'static str,
        /// Times of the same work at one engine, in consecutive updates.
        took_ms: &'static [f64],
        speeds: std::ops::Range<f64>,
    }
    let cases = [
        Case { name: "usual", took_ms: &[100.0], speeds: 0.99..1.01 },
        Case { name: "a little slower", took_ms: &[120.0], speeds: 0.99..1.01 },
        Case { name: "a little faster", took_ms: &[80.0], speeds: 0.99..1.01 },
        Case { name: "0.6 of the usual speed", took_ms: &[167.0], speeds: 0.5..0.7 },
        Case { name: "1.6 times the usual speed", took_ms: &[62.0], speeds: 1.5..2.0 },
        Case { name: "a slow spell", took_ms: &[100.0, 500.0], speeds: 0.1..0.3 },
        Case { name: "after a slow spell", took_ms: &[100.0, 500.0, 100.0], speeds: 0.99..1.01 },
        Case { name: "wavers about a level", took_ms: &[167.0, 150.0, 185.0], speeds: 0.5..0.7 },
    ];
    for Case { name, took_ms, speeds } in cases {
        let mut levels = SpeedLevels::new(1.4);
        for took_ms in took_ms {
            let rows: Vec<Slowness<u8>> = [*took_ms, EXPECTED_MS, EXPECTED_MS, EXPECTED_MS]
                .iter()
                .zip(0..)
                .map(|(took_ms, tag)| Slowness {
                    upstream: UpstreamTag(tag),
                    group: 0,
                    levels: slowness(*took_ms),
                })
                .collect();
            levels.update(&rows);
        }
        let level = levels.uneven().find(|(tag, _)| *tag == UpstreamTag(0)).map_or(0, |row| row.1);
        let speed = speed_of_level(level);
        assert!(speeds.contains(&speed), "{name}: {speed}");
    }
}

#[test]
fn few_or_old_timings_say_nothing() {
    struct Case {
        name: &'static str,
        timings: u64,
        age_ms: u64,
        is_known: bool,
    }
    let cases = [
        Case { name: "none", timings: 0, age_ms: 0, is_known: false },
        Case { name: "few", timings: 3, age_ms: 0, is_known: false },
        Case { name: "enough", timings: 12, age_ms: 0, is_known: true },
        Case { name: "old", timings: 12, age_ms: 30_000, is_known: false },
    ];
    for Case { name, timings: count, age_ms, is_known } in cases {
        let mut timings = Timings::default();
        (0..count).for_each(|_| timings.record(0, 100.0, EXPECTED_MS));
        assert_eq!(timings.slowness(age_ms).is_some(), is_known, "{name}");
    }
}

const ENGINE: EngineWork = EngineWork { upstream: UpstreamTag(7), role: EngineRole::Prefill };

fn loads_of(waiting_tokens: f64) -> EngineLoads {
    let mut loads = EngineLoads::new();
    loads.entry(ENGINE).or_default().waiting_tokens = waiting_tokens;
    loads
}

#[test]
fn reports_are_summed_once() {
    struct Case {
        name: &'static str,
        level: ReportLevel,
        /// Level of a peer and the tokens that it reports.
        reports: &'static [(ReportLevel, f64)],
        expected_tokens: f64,
    }
    use ReportLevel::{Fed, Feeder, Reader};
    let cases = [
        Case { name: "nobody reports", level: Feeder, reports: &[], expected_tokens: 1.0 },
        Case {
            name: "a feeder sums the instances that it feeds",
            level: Feeder,
            reports: &[(Fed, 10.0), (Fed, 20.0)],
            expected_tokens: 31.0,
        },
        Case {
            name: "what a feeder was sent by its equals and above stays there",
            level: Feeder,
            reports: &[(Feeder, 10.0), (Reader, 20.0)],
            expected_tokens: 1.0,
        },
        Case { name: "a fed instance", level: Fed, reports: &[(Fed, 10.0)], expected_tokens: 1.0 },
        Case {
            name: "a reader does not return to the other what it got from it",
            level: Reader,
            reports: &[(Feeder, 10.0), (Reader, 20.0)],
            expected_tokens: 11.0,
        },
    ];
    for Case { name, level, reports, expected_tokens } in cases {
        let mut shared = SharedLoads::new(Arc::from("own"), 1.4);
        for (index, (level, tokens)) in reports.iter().enumerate() {
            shared.on_report(0, &Arc::from(format!("peer-{index}")), *level, loads_of(*tokens));
        }
        let sum = shared.report(0, level, [(ENGINE.upstream, 1)]);
        let tokens: f64 = sum.values().map(|load| load.waiting_tokens).sum();
        assert!((tokens - expected_tokens).abs() < 1e-9, "{name}: {tokens}");
    }
}

#[test]
fn tables_are_preferred_by_origin_and_fade_with_age() {
    struct Case {
        name: &'static str,
        /// Reader, its tokens and the time of its table.
        tables: &'static [(&'static str, f64, u64)],
        now_ms: u64,
        own_tokens: u64,
        expected_tokens: u64,
    }
    let cases = [
        Case { name: "none", tables: &[], now_ms: 0, own_tokens: 5, expected_tokens: 5 },
        Case {
            name: "fresh",
            tables: &[("a", 300.0, 0)],
            now_ms: 0,
            own_tokens: 5,
            expected_tokens: 300,
        },
        Case {
            name: "older",
            tables: &[("a", 300.0, 0)],
            now_ms: 1_000,
            own_tokens: 5,
            expected_tokens: 200,
        },
        Case {
            name: "stale",
            tables: &[("a", 300.0, 0)],
            now_ms: 9_000,
            own_tokens: 5,
            expected_tokens: 5,
        },
        Case {
            name: "own load is more",
            tables: &[("a", 300.0, 0)],
            now_ms: 0,
            own_tokens: 900,
            expected_tokens: 900,
        },
        Case {
            name: "the first reader takes precedence",
            tables: &[("a", 300.0, 0), ("b", 600.0, 100)],
            now_ms: 0,
            own_tokens: 0,
            expected_tokens: 300,
        },
        Case {
            name: "the other one takes over from a reader that is silent",
            tables: &[("a", 300.0, 0), ("b", 600.0, 5_000)],
            now_ms: 5_000,
            own_tokens: 0,
            expected_tokens: 600,
        },
    ];
    for Case { name, tables, now_ms, own_tokens, expected_tokens } in cases {
        let mut shared = SharedLoads::new(Arc::from("own"), 1.4);
        for (origin, tokens, at_ms) in tables {
            let mut reader = SharedLoads::new(Arc::from(*origin), 1.4);
            reader.on_report(*at_ms, &Arc::from("fed"), ReportLevel::Fed, loads_of(*tokens));
            reader.update_table(*at_ms, at_ms + 1, [], |_| None);
            shared.on_table(*at_ms, reader.table().expect("a table").clone());
        }
        assert_eq!(
            shared.waiting_tokens(now_ms, ENGINE.upstream, own_tokens),
            expected_tokens,
            "{name}"
        );
    }
}
