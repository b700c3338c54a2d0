//! Non-idempotent calls under faults of the service, the log and the instances.

mod common;

use common::{book, lock_fleet, no_platform_faults, run_count};
use cowslip_harness::{Fleet, FleetOptions};
use cowslip_proto as proto;

/// Fault during a booking with an idempotency key.
#[derive(Clone, Copy, Debug)]
enum Fault {
    ResponseInterrupted,
    LogOutage,
    AppendReplyLost,
    InstanceKilled,
}

struct Case {
    name: &'static str,
    fault: Fault,
    /// Error codes that the first response may carry; an empty string stands for a success. Unused
    /// for `InstanceKilled`, which gets no response.
    first_codes: &'static [&'static str],
    expected_runs: u32,
}

const CASES: &[Case] = &[
    Case {
        name: "response interrupted",
        fault: Fault::ResponseInterrupted,
        first_codes: &["outcome_unknown"],
        expected_runs: 1,
    },
    Case {
        name: "log outage",
        fault: Fault::LogOutage,
        first_codes: &["log_unavailable"],
        expected_runs: 0,
    },
    Case {
        name: "append reply lost",
        fault: Fault::AppendReplyLost,
        first_codes: &[""],
        expected_runs: 1,
    },
    Case {
        name: "instance killed",
        fault: Fault::InstanceKilled,
        first_codes: &[],
        expected_runs: 1,
    },
];

#[test]
fn booking_with_a_key_runs_at_most_once() {
    let _guard = lock_fleet();
    let mut fleet = Fleet::start(FleetOptions::default()).expect("the fleet starts");
    let api_keys = fleet.apply_initial_ticket(1).expect("the initial ticket applies");
    for case in CASES {
        let key = format!("key {}", case.name);
        set_fault(&fleet, case.fault, true);
        if let Fault::InstanceKilled = case.fault {
            std::thread::scope(|scope| {
                let (shared, api_keys, key) = (&fleet, &api_keys, &key);
                let sender = scope.spawn(move || {
                    let body = format!(r#"{{"booking":"{}"}}"#, case.name);
                    let bearer = format!("Bearer {}", api_keys.authorized);
                    let headers =
                        [("authorization", bearer.as_str()), ("idempotency-key", key.as_str())];
                    shared.send_request(0, &http::Method::POST, common::BOOKINGS, &headers, &body)
                });
                shared
                    .wait_until("the booking to run", || run_count(shared, case.name) == 1)
                    .unwrap();
                shared.instances[0].process.signal(libc::SIGKILL);
                assert!(
                    sender.join().expect("the sender does not panic").is_err(),
                    "{}: the killed instance responded",
                    case.name
                );
            });
        } else {
            let first = book(&fleet, 0, &api_keys, case.name, Some(&key));
            assert!(case.first_codes.contains(&first.code().as_str()), "{}: {first:?}", case.name);
            if first.is_not_run() {
                assert_eq!(run_count(&fleet, case.name), 0, "{}: reported as not run", case.name);
            }
        }
        set_fault(&fleet, case.fault, false);
        for instance in 1..3 {
            let retry = book(&fleet, instance, &api_keys, case.name, Some(&key));
            assert!(!retry.is_not_run() || run_count(&fleet, case.name) == 0, "{retry:?}");
        }
        let actual_runs = run_count(&fleet, case.name);
        // The key is unused after a log outage, so a retry may run the booking.
        let allowed = if case.expected_runs == 0 { 0..=1 } else { 1..=1 };
        assert!(allowed.contains(&actual_runs), "{}: ran {actual_runs} times", case.name);
        if let Fault::InstanceKilled = case.fault {
            fleet.restart_instance(0).expect("the instance restarts");
        }
    }
    assert_eq!(fleet.ledger().expect("the ledger is readable").keys_seen, 0);
}

fn set_fault(fleet: &Fleet, fault: Fault, is_enabled: bool) {
    let service = |faults| fleet.set_faults(fleet.service_address, &faults).expect("a reply");
    let platform = |faults| fleet.set_faults(fleet.platform_address, &faults).expect("a reply");
    match fault {
        Fault::ResponseInterrupted => {
            service(proto::ServiceFaults { break_after_run: u32::from(is_enabled), delay_ms: 0 });
        }
        Fault::InstanceKilled => service(proto::ServiceFaults {
            break_after_run: 0,
            delay_ms: if is_enabled { 2_000 } else { 0 },
        }),
        Fault::LogOutage => {
            platform(proto::PlatformFaults { outage: is_enabled, ..no_platform_faults() });
        }
        Fault::AppendReplyLost => platform(proto::PlatformFaults {
            lose_append_answers: u32::from(is_enabled),
            ..no_platform_faults()
        }),
    }
}

#[test]
fn concurrent_requests_with_one_key_run_once() {
    let _guard = lock_fleet();
    let fleet = Fleet::start(FleetOptions::default()).expect("the fleet starts");
    let api_keys = fleet.apply_initial_ticket(1).expect("the initial ticket applies");
    for round in 0..10 {
        let (booking, key) = (format!("race-{round}"), format!("race key {round}"));
        let responses: Vec<_> = std::thread::scope(|scope| {
            let senders: Vec<_> = (0..3)
                .map(|instance| {
                    let (fleet, api_keys, booking, key) = (&fleet, &api_keys, &booking, &key);
                    scope.spawn(move || book(fleet, instance, api_keys, booking, Some(key)))
                })
                .collect();
            senders
                .into_iter()
                .map(|sender| sender.join().expect("the sender does not panic"))
                .collect()
        });
        assert_eq!(run_count(&fleet, &booking), 1);
        // The other requests wait for the response of the one that runs.
        assert!(responses.iter().all(|response| response.json()["runs"] == 1), "{responses:?}");
    }
}

#[test]
fn booking_without_a_key_is_not_retried() {
    let _guard = lock_fleet();
    let fleet = Fleet::start(FleetOptions::default()).expect("the fleet starts");
    let api_keys = fleet.apply_initial_ticket(1).expect("the initial ticket applies");
    let faults = proto::ServiceFaults { break_after_run: 1, delay_ms: 0 };
    fleet.set_faults(fleet.service_address, &faults).expect("a reply");
    let response = book(&fleet, 0, &api_keys, "plain", None);
    assert_eq!(response.code(), "outcome_unknown");
    assert!(!response.is_not_run());
    assert_eq!(run_count(&fleet, "plain"), 1);
}
