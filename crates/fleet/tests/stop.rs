//! Checks which requests are accepted during a planned stop.

use cowslip_fleet::StopSchedule;

#[test]
fn only_requests_that_end_in_time_are_accepted_late_in_a_stop() {
    struct Case {
        name: &'static str,
        stop_after_ms: u64,
        now_ms: u64,
        deadline_ms: u64,
        is_admitted: bool,
    }
    let cases = [
        Case {
            name: "the balancer still sends connections",
            stop_after_ms: 8_000,
            now_ms: 12_599,
            deadline_ms: 60_000,
            is_admitted: true,
        },
        Case {
            name: "a long request three seconds after the signal",
            stop_after_ms: 8_000,
            now_ms: 13_000,
            deadline_ms: 19_000,
            is_admitted: false,
        },
        Case {
            name: "a short request at that time",
            stop_after_ms: 8_000,
            now_ms: 13_000,
            deadline_ms: 17_300,
            is_admitted: true,
        },
        Case {
            name: "a deadline within the final writes",
            stop_after_ms: 8_000,
            now_ms: 13_000,
            deadline_ms: 17_301,
            is_admitted: false,
        },
        Case {
            name: "a stop shorter than the balancer needs",
            stop_after_ms: 2_000,
            now_ms: 11_300,
            deadline_ms: 12_000,
            is_admitted: false,
        },
        Case {
            name: "no time at all",
            stop_after_ms: 0,
            now_ms: 10_000,
            deadline_ms: 10_001,
            is_admitted: false,
        },
    ];
    for Case { name, stop_after_ms, now_ms, deadline_ms, is_admitted } in cases {
        let schedule = StopSchedule::new(10_000, stop_after_ms);
        assert_eq!(schedule.admits(now_ms, deadline_ms), is_admitted, "{name}");
        assert!(schedule.accept_until_ms <= schedule.serve_until_ms, "{name}");
    }
}
