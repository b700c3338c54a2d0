//! Calls that may not be repeated, under failure.

mod common;

use common::{book, no_platform_faults, runs, turn};
use cowslip_harness::{Fleet, FleetOptions};
use cowslip_proto as proto;

/// What goes wrong while a booking with an idempotency key is sent.
#[derive(Clone, Copy, Debug)]
enum Fault {
    AnswerBreaks,
    LogOutage,
    AppendAnswerLost,
    InstanceKilled,
}

struct Case {
    name: &'static str,
    fault: Fault,
    /// Codes that the first answer may have; empty for a whole answer.
    first_codes: &'static [&'static str],
    expected_runs: u32,
}

const CASES: &[Case] = &[
    Case {
        name: "answer breaks",
        fault: Fault::AnswerBreaks,
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
        name: "append answer lost",
        fault: Fault::AppendAnswerLost,
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
fn a_booking_with_a_key_runs_at_most_once() {
    let _turn = turn();
    let mut fleet = Fleet::start(FleetOptions::default()).expect("a fleet");
    let objects = fleet.configure(1).expect("a configuration");
    for case in CASES {
        let key = format!("key {}", case.name);
        set_fault(&fleet, case.fault, true);
        if let Fault::InstanceKilled = case.fault {
            std::thread::scope(|scope| {
                let (shared, objects, key) = (&fleet, &objects, &key);
                let sent = scope.spawn(move || {
                    let body = format!(r#"{{"booking":"{}"}}"#, case.name);
                    let bearer = format!("Bearer {}", objects.token);
                    let headers =
                        [("authorization", bearer.as_str()), ("idempotency-key", key.as_str())];
                    shared.call(0, &http::Method::POST, common::BOOKINGS, &headers, &body)
                });
                shared.wait_until("the booking to run", || runs(shared, case.name) == 1).unwrap();
                shared.entries[0].process.signal(libc::SIGKILL);
                assert!(sent.join().expect("no panic").is_err(), "{}: an answer came", case.name);
            });
        } else {
            let first = book(&fleet, 0, &objects, case.name, Some(&key));
            assert!(case.first_codes.contains(&first.code().as_str()), "{}: {first:?}", case.name);
            if first.is_not_run() {
                assert_eq!(runs(&fleet, case.name), 0, "{}: said not run", case.name);
            }
        }
        set_fault(&fleet, case.fault, false);
        for entry in 1..3 {
            let repeat = book(&fleet, entry, &objects, case.name, Some(&key));
            assert!(!repeat.is_not_run() || runs(&fleet, case.name) == 0, "{repeat:?}");
        }
        let found = runs(&fleet, case.name);
        // After an outage the key is free again, so a repeat may run the booking.
        let allowed = if case.expected_runs == 0 { 0..=1 } else { 1..=1 };
        assert!(allowed.contains(&found), "{}: ran {found} times", case.name);
        if let Fault::InstanceKilled = case.fault {
            fleet.restart_entry(0).expect("a restart");
        }
    }
    assert_eq!(fleet.ledger().expect("the ledger").keys_seen, 0);
}

fn set_fault(fleet: &Fleet, fault: Fault, is_on: bool) {
    let service = |faults| fleet.set_faults(fleet.service_address, &faults).expect("faults");
    let platform = |faults| fleet.set_faults(fleet.platform_address, &faults).expect("faults");
    match fault {
        Fault::AnswerBreaks => {
            service(proto::ServiceFaults { break_after_run: u32::from(is_on), delay_ms: 0 });
        }
        Fault::InstanceKilled => service(proto::ServiceFaults {
            break_after_run: 0,
            delay_ms: if is_on { 2_000 } else { 0 },
        }),
        Fault::LogOutage => {
            platform(proto::PlatformFaults { outage: is_on, ..no_platform_faults() });
        }
        Fault::AppendAnswerLost => platform(proto::PlatformFaults {
            lose_append_answers: u32::from(is_on),
            ..no_platform_faults()
        }),
    }
}

#[test]
fn a_key_at_two_instances_at_once_runs_once() {
    let _turn = turn();
    let fleet = Fleet::start(FleetOptions::default()).expect("a fleet");
    let objects = fleet.configure(1).expect("a configuration");
    for round in 0..10 {
        let (booking, key) = (format!("race-{round}"), format!("race key {round}"));
        let answers: Vec<_> = std::thread::scope(|scope| {
            let senders: Vec<_> = (0..3)
                .map(|entry| {
                    let (fleet, objects, booking, key) = (&fleet, &objects, &booking, &key);
                    scope.spawn(move || book(fleet, entry, objects, booking, Some(key)))
                })
                .collect();
            senders.into_iter().map(|sender| sender.join().expect("no panic")).collect()
        });
        assert_eq!(runs(&fleet, &booking), 1);
        // Every repeat waits for the one answer.
        assert!(answers.iter().all(|answer| answer.json()["runs"] == 1), "{answers:?}");
    }
}

#[test]
fn a_booking_without_a_key_is_not_sent_again() {
    let _turn = turn();
    let fleet = Fleet::start(FleetOptions::default()).expect("a fleet");
    let objects = fleet.configure(1).expect("a configuration");
    let faults = proto::ServiceFaults { break_after_run: 1, delay_ms: 0 };
    fleet.set_faults(fleet.service_address, &faults).expect("faults");
    let broken = book(&fleet, 0, &objects, "plain", None);
    assert_eq!(broken.code(), "outcome_unknown");
    assert!(!broken.is_not_run());
    assert_eq!(runs(&fleet, "plain"), 1);
}
