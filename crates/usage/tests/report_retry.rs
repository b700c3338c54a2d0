//! Checks when failed reports are tried again.

use cowslip_usage::ReportRetry;

#[test]
fn failed_reports_back_off_and_lose_their_priority() {
    struct Case {
        name: &'static str,
        /// End of each attempt and whether all windows were reported.
        attempts: &'static [(u64, bool)],
        is_retry: bool,
        due_at_ms: u64,
    }
    let cases = [
        Case { name: "start", attempts: &[], is_retry: false, due_at_ms: 0 },
        Case { name: "reported", attempts: &[(100, true)], is_retry: false, due_at_ms: 0 },
        Case { name: "failed", attempts: &[(100, false)], is_retry: true, due_at_ms: 500 },
        Case {
            name: "failed often",
            attempts: &[(100, false), (500, false), (1_300, false)],
            is_retry: true,
            due_at_ms: 2_100,
        },
        Case {
            name: "reported after a failure",
            attempts: &[(100, false), (500, true)],
            is_retry: false,
            due_at_ms: 0,
        },
    ];
    for case in cases {
        let mut retry = ReportRetry::default();
        for (now_ms, is_reported) in case.attempts {
            retry.on_attempt(*now_ms, *is_reported);
        }
        assert_eq!(retry.is_retry(), case.is_retry, "{}", case.name);
        assert!(retry.is_due(case.due_at_ms), "{}", case.name);
        assert!(case.due_at_ms == 0 || !retry.is_due(case.due_at_ms - 1), "{}", case.name);
    }
}
