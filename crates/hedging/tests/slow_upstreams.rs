//! Plays requests at upstreams of which one at a time is slow, and checks what callers get.

use std::sync::Arc;

use cowslip_hedging::{Hedging, HedgingLimits, Part, SecondUpstream, SlowSend};

const UPSTREAMS: u64 = 30;
const REQUESTS: u64 = 20_000;
/// Length of a slow spell, and of the pause until the next upstream has one.
const SPELL_MS: u64 = 4_000;
/// Factor by which an upstream is slower during its spell.
const SLOWNESS: u64 = 6;
const INTERVAL_MS: u64 = 5;
/// Most sends beyond the first, in percent of the requests.
const MAX_EXTRA_PERCENT: u64 = 5;

/// When a second send is sent.
#[derive(Clone, Copy, Debug)]
enum Policy {
    Never,
    /// After a fixed time, without a limit.
    FixedDelay(u64),
    Hedging,
}

struct Outcome {
    median_ms: u64,
    p99_ms: u64,
    extra_sends: u64,
}

fn random(state: &mut u64, below: u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state % below
}

/// Returns the time that an upstream takes for some work.
fn service_ms(state: &mut u64, now_ms: u64, upstream: u64, work_ms: u64) -> u64 {
    let time_ms = work_ms * (80 + random(state, 60)) / 100;
    let is_slow = (now_ms / SPELL_MS) % UPSTREAMS == upstream;
    if is_slow { time_ms * SLOWNESS } else { time_ms }
}

fn play(policy: Policy, part: impl Fn(u64) -> (Part, u64)) -> Outcome {
    let mut hedging = Hedging::new(HedgingLimits {
        share: 0.05,
        window_ms: 10_000,
        quantile: 0.95,
        min_delay_ms: 20,
        has_requests: true,
        has_prefills: true,
    });
    let (service, route): (Arc<str>, Arc<str>) = (Arc::from("s"), Arc::from("r"));
    let mut state = 0x9e37_79b9_7f4a_7c15;
    let (mut times_ms, mut extra_sends) = (Vec::new(), 0);
    // Ends of requests, whose times become known then.
    let mut ends: Vec<(u64, Part, u64)> = Vec::new();
    for index in 0..REQUESTS {
        let now_ms = index * INTERVAL_MS;
        let (due, open) = ends.into_iter().partition(|(end_ms, ..)| *end_ms <= now_ms);
        ends = open;
        for (_, part, time_ms) in due {
            hedging.on_time(&service, &route, part, time_ms);
        }
        let (part, work_ms) = part(random(&mut state, 4));
        let first = random(&mut state, UPSTREAMS);
        let first_ms = service_ms(&mut state, now_ms, first, work_ms);
        let second = (first + 1 + random(&mut state, UPSTREAMS - 1)) % UPSTREAMS;
        let known_delay_ms = hedging.on_sent(now_ms, &service, &route, part);
        let delay_ms = match policy {
            Policy::Never => None,
            Policy::FixedDelay(delay_ms) => Some(delay_ms),
            Policy::Hedging => known_delay_ms,
        };
        let slow = SlowSend {
            service: &service,
            part,
            is_repeatable: true,
            is_suspected: false,
            attempts: 1,
            max_attempts: 2,
            second: SecondUpstream::Free,
        };
        let mut took_ms = first_ms;
        if let Some(delay_ms) = delay_ms.filter(|delay_ms| *delay_ms < first_ms) {
            let is_sent = !matches!(policy, Policy::Hedging)
                || hedging.try_hedge(now_ms, &slow, || true).is_ok();
            if is_sent {
                extra_sends += 1;
                let second_ms = service_ms(&mut state, now_ms + delay_ms, second, work_ms);
                took_ms = first_ms.min(delay_ms + second_ms);
            }
        }
        ends.push((now_ms + took_ms, part, took_ms));
        times_ms.push(took_ms);
    }
    times_ms.sort_unstable();
    let at = |percent: usize| times_ms[times_ms.len() * percent / 100];
    Outcome { median_ms: at(50), p99_ms: at(99), extra_sends }
}

#[test]
fn slowest_responses_are_faster_for_few_more_sends() {
    struct Case {
        name: &'static str,
        part: fn(u64) -> (Part, u64),
        /// Delays of the naive twin.
        fixed_ms: &'static [u64],
    }
    let cases = [
        Case { name: "look-ups", part: |_| (Part::Request, 40), fixed_ms: &[40] },
        Case {
            name: "prefills",
            part: |size| {
                let tokens = 3_000 * (1 + size);
                (Part::Prefill { tokens }, tokens / 20)
            },
            // Short for long prompts, or long for short ones.
            fixed_ms: &[40, 250],
        },
    ];
    let max_extra = REQUESTS * MAX_EXTRA_PERCENT / 100;
    for Case { name, part, fixed_ms } in cases {
        let off = play(Policy::Never, part);
        let on = play(Policy::Hedging, part);
        println!(
            "{name}: p99 {} to {} ms, median {} to {} ms, {} of {REQUESTS} sent twice",
            off.p99_ms, on.p99_ms, off.median_ms, on.median_ms, on.extra_sends
        );
        assert!(3 * on.p99_ms <= 2 * off.p99_ms, "{name}: p99 {} ms", on.p99_ms);
        assert!(on.median_ms <= off.median_ms, "{name}: median {} ms", on.median_ms);
        assert!(on.extra_sends < max_extra, "{name}: {} more sends", on.extra_sends);
        for fixed_ms in fixed_ms {
            let naive = play(Policy::FixedDelay(*fixed_ms), part);
            println!(
                "{name}, fixed {fixed_ms} ms: p99 {} ms, {} sent twice",
                naive.p99_ms, naive.extra_sends
            );
            assert!(naive.extra_sends > max_extra, "{name}: {fixed_ms} ms is no worse");
        }
    }
}
