//! Checks when slow sends are hedged, and how many of them.

use std::sync::Arc;

use cowslip_hedging::{
    FailedSend, Hedging, HedgingLimits, Part, ResponseTimes, SecondUpstream, ShareWindow, SlowSend,
    Withheld,
};
use proptest::prelude::*;

const WINDOW_MS: u64 = 10_000;

const LIMITS: HedgingLimits = HedgingLimits {
    share: 0.05,
    window_ms: WINDOW_MS,
    quantile: 0.95,
    min_delay_ms: 20,
    has_requests: true,
    has_prefills: true,
};

const SLOW: SlowSend<'_> = SlowSend {
    service: "look-ups",
    part: Part::Request,
    is_repeatable: true,
    is_suspected: false,
    attempts: 1,
    max_attempts: 2,
    second: SecondUpstream::Free,
};

const PREFILL: Part = Part::Prefill { tokens: 4_000 };

/// A slow send and what is decided on it.
struct SlowCase {
    name: &'static str,
    limits: HedgingLimits,
    send: SlowSend<'static>,
    requests: usize,
    refused_before_ms: Option<u64>,
    has_retry: bool,
    result: Result<(), Withheld>,
}

const ALLOWED: SlowCase = SlowCase {
    name: "allowed",
    limits: LIMITS,
    send: SLOW,
    requests: 20,
    refused_before_ms: None,
    has_retry: true,
    result: Ok(()),
};

#[test]
fn slow_sends_are_hedged_only_where_all_allows_it() {
    let cases = [
        ALLOWED,
        SlowCase {
            name: "off",
            limits: HedgingLimits { share: 0.0, ..LIMITS },
            result: Err(Withheld::NotRepeatable),
            ..ALLOWED
        },
        SlowCase {
            name: "requests are not hedged",
            limits: HedgingLimits { has_requests: false, ..LIMITS },
            result: Err(Withheld::NotRepeatable),
            ..ALLOWED
        },
        SlowCase {
            name: "a booking",
            send: SlowSend { is_repeatable: false, ..SLOW },
            result: Err(Withheld::NotRepeatable),
            ..ALLOWED
        },
        SlowCase {
            name: "a suspect",
            send: SlowSend { is_suspected: true, ..SLOW },
            result: Err(Withheld::Suspected),
            ..ALLOWED
        },
        SlowCase {
            name: "one attempt only",
            send: SlowSend { max_attempts: 1, ..SLOW },
            result: Err(Withheld::NoAttempts),
            ..ALLOWED
        },
        SlowCase {
            name: "a second prefill is an attempt",
            send: SlowSend { max_attempts: 1, part: PREFILL, ..SLOW },
            result: Err(Withheld::NoAttempts),
            ..ALLOWED
        },
        SlowCase {
            name: "a prefill with an attempt left",
            send: SlowSend { part: PREFILL, ..SLOW },
            ..ALLOWED
        },
        SlowCase {
            name: "a refusal just before",
            refused_before_ms: Some(1_999),
            result: Err(Withheld::Refusing),
            ..ALLOWED
        },
        SlowCase { name: "a refusal long before", refused_before_ms: Some(2_000), ..ALLOWED },
        SlowCase {
            name: "no other upstream",
            send: SlowSend { second: SecondUpstream::Missing, ..SLOW },
            result: Err(Withheld::NoUpstream),
            ..ALLOWED
        },
        SlowCase {
            name: "full upstreams",
            send: SlowSend { second: SecondUpstream::Busy, ..SLOW },
            result: Err(Withheld::Busy),
            ..ALLOWED
        },
        SlowCase {
            name: "too few requests",
            requests: 19,
            result: Err(Withheld::ShareUsed),
            ..ALLOWED
        },
        SlowCase {
            name: "no retries left",
            has_retry: false,
            result: Err(Withheld::NoRetries),
            ..ALLOWED
        },
    ];
    for case in cases {
        let service: Arc<str> = Arc::from(case.send.service);
        let mut hedging = Hedging::new(case.limits);
        for _ in 0..case.requests {
            let _ = hedging.on_sent(1_000, &service, &service, case.send.part);
        }
        if let Some(before_ms) = case.refused_before_ms {
            hedging.on_refusal(10_000 - before_ms, &service);
        }
        let is_included = case.limits.share > 0.0 && case.limits.has_requests;
        assert_eq!(hedging.includes(case.send.part), is_included, "{}", case.name);
        let result = hedging.try_hedge(10_000, &case.send, || case.has_retry);
        assert_eq!(result, case.result, "{}", case.name);
    }
}

#[test]
fn delay_is_a_quantile_of_the_times_and_never_below_the_floor() {
    struct Case {
        name: &'static str,
        part: Part,
        /// Times of this route, and of others of the service.
        times: (&'static [u64], &'static [u64]),
        repeat: usize,
        delay_ms: Option<u64>,
    }
    let cases = [
        Case { name: "none", part: Part::Request, times: (&[], &[]), repeat: 1, delay_ms: None },
        Case { name: "few", part: Part::Request, times: (&[50], &[]), repeat: 19, delay_ms: None },
        Case {
            name: "the floor",
            part: Part::Request,
            times: (&[3], &[]),
            repeat: 100,
            delay_ms: Some(20),
        },
        Case {
            name: "1 in 25 is slow",
            part: Part::Request,
            times: (
                &[
                    50, 51, 52, 53, 54, 55, 56, 57, 58, 59, 50, 51, 52, 53, 54, 55, 56, 57, 58, 59,
                    50, 51, 52, 53, 900,
                ],
                &[],
            ),
            repeat: 4,
            delay_ms: Some(59),
        },
        Case {
            name: "times of the service",
            part: Part::Request,
            times: (&[], &[80]),
            repeat: 20,
            delay_ms: Some(80),
        },
        Case {
            name: "by length of the prompt",
            part: PREFILL,
            times: (&[400], &[]),
            repeat: 20,
            delay_ms: Some(400),
        },
    ];
    let (service, route, other) = (Arc::from("s"), Arc::from("r"), Arc::from("o"));
    for Case { name, part, times: (own, others), repeat, delay_ms } in cases {
        let mut hedging = Hedging::new(LIMITS);
        for _ in 0..repeat {
            for time_ms in own {
                hedging.on_time(&service, &route, part, *time_ms);
            }
            for time_ms in others {
                hedging.on_time(&service, &other, part, *time_ms);
            }
        }
        assert_eq!(hedging.on_sent(0, &service, &route, part), delay_ms, "{name}");
    }
    let mut hedging = Hedging::new(LIMITS);
    (0..20).for_each(|_| hedging.on_time(&service, &route, PREFILL, 400));
    let long = Part::Prefill { tokens: 12_000 };
    assert_eq!(hedging.on_sent(0, &service, &route, long), Some(1_200));
}

#[test]
fn only_sends_that_may_have_run_use_up_attempts() {
    struct Case {
        part: Part,
        failures: &'static [FailedSend],
        attempts: u32,
    }
    let cases = [
        Case { part: Part::Request, failures: &[FailedSend::NotRun], attempts: 1 },
        Case { part: Part::Request, failures: &[FailedSend::NotArrived], attempts: 1 },
        Case { part: Part::Request, failures: &[FailedSend::MayHaveRun], attempts: 2 },
        Case {
            part: Part::Request,
            failures: &[FailedSend::NotRun, FailedSend::MayHaveRun],
            attempts: 1,
        },
        Case {
            part: Part::Request,
            failures: &[FailedSend::NotRun, FailedSend::NotArrived],
            attempts: 1,
        },
        Case { part: PREFILL, failures: &[FailedSend::NotRun], attempts: 2 },
        Case { part: PREFILL, failures: &[FailedSend::NotArrived], attempts: 1 },
    ];
    for Case { part, failures, attempts } in cases {
        let left = failures.iter().fold(2, |left, failure| part.attempts_after(left, *failure));
        assert_eq!(left, attempts, "{part:?}: {failures:?}");
    }
}

#[test]
fn requests_leave_the_window_when_it_ends() {
    struct Case {
        requests_ms: u64,
        now_ms: u64,
        has_room: bool,
    }
    let cases = [
        Case { requests_ms: 0, now_ms: 9_999, has_room: true },
        Case { requests_ms: 0, now_ms: 10_500, has_room: false },
        Case { requests_ms: 7_000, now_ms: 16_999, has_room: true },
        Case { requests_ms: 7_000, now_ms: 17_500, has_room: false },
    ];
    for Case { requests_ms, now_ms, has_room } in cases {
        let mut window = ShareWindow::new(WINDOW_MS);
        (0..20).for_each(|_| window.on_request(requests_ms));
        assert_eq!(window.has_room(now_ms, 0.05), has_room, "{requests_ms} at {now_ms}");
    }
}

proptest! {
    #[test]
    fn hedges_never_exceed_the_share_in_any_window(
        steps in prop::collection::vec((0_u64..3_000, 0_usize..40, any::<bool>()), 1..200),
        share in 0.0..0.3_f64,
    ) {
        let mut window = ShareWindow::new(WINDOW_MS);
        let (mut now_ms, mut requests, mut hedges) = (0, Vec::new(), Vec::new());
        for (pause_ms, request_count, is_slow) in steps {
            now_ms += pause_ms;
            for _ in 0..request_count {
                window.on_request(now_ms);
                requests.push(now_ms);
            }
            if is_slow && window.has_room(now_ms, share) {
                window.on_hedge(now_ms);
                hedges.push(now_ms);
            }
            let in_window = |at_ms: &&u64| **at_ms + WINDOW_MS > now_ms;
            if hedges.last() == Some(&now_ms) {
                let hedge_count = hedges.iter().filter(in_window).count() as f64;
                let request_count = requests.iter().filter(in_window).count() as f64;
                prop_assert!(hedge_count <= share * request_count);
            }
        }
    }

    #[test]
    fn nothing_is_hedged_that_may_not_be_repeated_or_while_upstreams_are_full(
        is_repeatable in any::<bool>(),
        second in prop::sample::select(vec![
            SecondUpstream::Missing, SecondUpstream::Busy, SecondUpstream::Free,
        ]),
        requests in 0_usize..200,
    ) {
        let service = Arc::from(SLOW.service);
        let mut hedging = Hedging::new(LIMITS);
        for _ in 0..requests {
            let _ = hedging.on_sent(0, &service, &service, Part::Request);
        }
        let send = SlowSend { is_repeatable, second, ..SLOW };
        let is_sent = hedging.try_hedge(0, &send, || true).is_ok();
        prop_assert_eq!(is_sent, is_repeatable && second == SecondUpstream::Free && requests >= 20);
    }

    #[test]
    fn quantile_agrees_with_a_naive_version(
        times in prop::collection::vec(0_u64..1_000, 1..600),
        quantile in 0.5..0.99_f64,
    ) {
        let mut kept = ResponseTimes::default();
        for time in &times {
            kept.insert(*time);
        }
        let mut newest: Vec<u64> = times.iter().rev().take(256).copied().collect();
        newest.sort_unstable();
        // The first time above which lies no larger part than 1 - quantile.
        let is_quantile = |index: &usize| {
            (newest.len() - index - 1) as f64 <= newest.len() as f64 * (1.0 - quantile)
        };
        let index = (0..newest.len()).find(is_quantile).filter(|index| index + 1 < newest.len());
        let naive = index.map(|index| newest[index]);
        prop_assert_eq!(kept.quantile(quantile), naive);
    }
}
