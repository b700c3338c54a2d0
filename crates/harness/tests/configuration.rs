//! Tickets and keys, under failure.

mod common;

use common::{chat, chat_body, no_platform_faults, turn};
use cowslip_harness::{Fleet, FleetOptions, ticket};
use cowslip_name::Name;
use cowslip_proto as proto;

fn name(text: &str) -> Name {
    Name::new(text).expect("a constant name")
}

fn withdraw_key(number: u64, key: &str) -> proto::Ticket {
    let key = proto::ObjectKey { kind: proto::ObjectKind::Key, name: name(key) };
    ticket(number, vec![proto::ObjectState::Removed(key)])
}

fn workspace(number: u64, share_weight: u32) -> proto::Ticket {
    let object = proto::ObjectState::Workspace(proto::Workspace {
        name: name("craft"),
        share_weight,
        max_in_flight: 8,
        deployments: Vec::new(),
        services: Vec::new(),
    });
    ticket(number, vec![object])
}

fn cut_off_from_log(fleet: &Fleet, entry: usize) {
    let cut_ports = vec![fleet.entries[entry].platform_port];
    let faults = proto::PlatformFaults { cut_ports, ..no_platform_faults() };
    fleet.set_faults(fleet.platform_address, &faults).expect("faults");
}

fn share_at(fleet: &Fleet, entry: usize) -> u32 {
    let key = proto::ObjectKey { kind: proto::ObjectKind::Workspace, name: name("craft") };
    let url = format!("http://{}/objects", fleet.entries[entry].operator);
    let body = cowslip_codec::to_json(&key);
    let answer =
        cowslip_harness::request(&http::Method::POST, &url, &[], &body).expect("an answer");
    let share = answer.json()["workspace"]["share_weight"].as_u64();
    share.and_then(|share| u32::try_from(share).ok()).unwrap_or(0)
}

#[test]
fn racing_operators_end_with_the_highest_number() {
    let _turn = turn();
    let fleet = Fleet::start(FleetOptions::default()).expect("a fleet");
    fleet.configure(1).expect("a configuration");
    std::thread::scope(|scope| {
        for number in 2..20 {
            let fleet = &fleet;
            scope.spawn(move || {
                let entry = usize::try_from(number % 3).expect("small");
                let share = u32::try_from(number).expect("small");
                fleet.apply(entry, &workspace(number, share)).expect("an answer")
            });
        }
    });
    for entry in 0..3 {
        fleet.wait_until("the last number", || share_at(&fleet, entry) == 19).expect("in force");
    }
    // A repeat of a lower number is answered as superseded, and another ticket's as taken.
    let repeat = fleet.apply(0, &workspace(5, 5)).expect("an answer");
    let proto::TicketReply::Accepted(repeat) = repeat else { panic!("{repeat:?}") };
    assert_eq!(repeat.objects[0].outcome, proto::OutcomeKind::Superseded);
    let taken = fleet.apply(1, &workspace(5, 99)).expect("an answer");
    assert!(matches!(taken, proto::TicketReply::Refused(_)), "{taken:?}");
    assert_eq!(share_at(&fleet, 2), 19);
}

#[test]
fn a_lost_append_answer_does_not_change_the_outcome() {
    let _turn = turn();
    let fleet = Fleet::start(FleetOptions::default()).expect("a fleet");
    fleet.configure(1).expect("a configuration");
    let faults = proto::PlatformFaults { lose_append_answers: 3, ..no_platform_faults() };
    fleet.set_faults(fleet.platform_address, &faults).expect("faults");
    let reply = fleet.apply(0, &workspace(2, 7)).expect("an answer");
    assert!(matches!(reply, proto::TicketReply::Accepted(_)), "{reply:?}");
    assert_eq!(share_at(&fleet, 0), 7);
}

#[test]
fn an_instance_cut_off_from_the_log_learns_from_others() {
    let _turn = turn();
    let fleet = Fleet::start(FleetOptions::default()).expect("a fleet");
    let objects = fleet.configure(1).expect("a configuration");
    cut_off_from_log(&fleet, 2);
    let reply = fleet.apply(0, &withdraw_key(2, "co-op")).expect("an answer");
    let proto::TicketReply::Accepted(accepted) = reply else { panic!("{reply:?}") };
    fleet.wait_for_offset(accepted.offset).expect("the ticket at all instances");
    let refused = chat(&fleet, 2, &objects, &chat_body("x", false, 2));
    assert_eq!(refused.code(), "invalid_api_key");
    assert!(fleet.status(2).expect("a status").admitting);
}

#[test]
fn an_instance_cut_off_from_log_and_others_stops_admitting() {
    let _turn = turn();
    let fleet = Fleet::start(FleetOptions::default()).expect("a fleet");
    let objects = fleet.configure(1).expect("a configuration");
    cut_off_from_log(&fleet, 2);
    fleet.entries[0].process.freeze();
    fleet.entries[1].process.freeze();
    fleet
        .wait_until("admission to stop", || {
            chat(&fleet, 2, &objects, &chat_body("x", false, 2)).code() == "not_ready"
        })
        .expect("a cut-off instance refuses");
    fleet.entries[0].process.thaw();
    fleet.entries[1].process.thaw();
    fleet
        .wait_until("admission again", || {
            chat(&fleet, 2, &objects, &chat_body("x", false, 2)).status == 200
        })
        .expect("it admits again");
}

#[test]
fn an_outage_of_the_log_for_all_does_not_stop_service() {
    let _turn = turn();
    let fleet = Fleet::start(FleetOptions::default()).expect("a fleet");
    let objects = fleet.configure(1).expect("a configuration");
    let faults = proto::PlatformFaults { outage: true, ..no_platform_faults() };
    fleet.set_faults(fleet.platform_address, &faults).expect("faults");
    fleet
        .wait_until("all to be stale", || {
            (0..3)
                .all(|entry| fleet.status(entry).is_ok_and(|status| status.reason == "AdmitStale"))
        })
        .expect("stale admission");
    for entry in 0..3 {
        let answer = chat(&fleet, entry, &objects, &chat_body("x", false, 2));
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let late = fleet.apply(0, &withdraw_key(2, "co-op")).expect("an answer");
    assert!(matches!(late, proto::TicketReply::Unknown(_)), "{late:?}");
}

#[test]
fn an_instance_starts_from_a_snapshot_after_records_have_expired() {
    let _turn = turn();
    let platform_args = vec!["--keep-entries".to_owned(), "60".to_owned()];
    let mut options = FleetOptions { platform_args, ..FleetOptions::default() };
    options.settings.push(("platform", "snapshot_every_entries", "20".to_owned()));
    let mut fleet = Fleet::start(options).expect("a fleet");
    let objects = fleet.configure(1).expect("a configuration");
    for number in 2..90 {
        let share = u32::try_from(number).expect("small");
        let reply = fleet.apply(0, &workspace(number, share)).expect("an answer");
        assert!(matches!(reply, proto::TicketReply::Accepted(_)), "{reply:?}");
    }
    fleet.restart_entry(1).expect("a restart");
    fleet
        .wait_until("the restarted instance", || {
            fleet.status(1).is_ok_and(|status| status.ready) && share_at(&fleet, 1) == 89
        })
        .expect("state from the snapshot");
    assert!(fleet.entry_log(1).contains("E203"), "{}", fleet.entry_log(1));
    let digests: Vec<String> =
        (0..3).map(|entry| fleet.status(entry).expect("a status").config_digest_hex).collect();
    assert!(digests.iter().all(|digest| *digest == digests[0]), "{digests:?}");
    let answer = chat(&fleet, 1, &objects, &chat_body("x", false, 2));
    assert_eq!(answer.status, 200, "{answer:?}");
}

#[test]
fn bad_tickets_change_nothing() {
    struct Case {
        name: &'static str,
        body: &'static str,
    }
    const CASES: &[Case] = &[
        Case { name: "not json", body: "{" },
        Case {
            name: "unknown key",
            body: r#"{"number":2,"author":"a","reason":"","objects":[],"x":1}"#,
        },
        Case { name: "no objects", body: r#"{"number":2,"author":"a","reason":"","objects":[]}"# },
        Case { name: "number 0", body: r#"{"number":0,"author":"a","reason":"","objects":[]}"# },
        Case { name: "bad name", body: r#"{"number":2,"author":"A B","reason":"","objects":[]}"# },
    ];
    let _turn = turn();
    let fleet =
        Fleet::start(FleetOptions { entries: 1, ..FleetOptions::default() }).expect("a fleet");
    fleet.configure(1).expect("a configuration");
    let before = fleet.status(0).expect("a status").config_digest_hex;
    for case in CASES {
        let url = format!("http://{}/tickets", fleet.entries[0].operator);
        let answer = cowslip_harness::request(&http::Method::POST, &url, &[], case.body);
        let answer = answer.expect("an answer");
        let is_refused = answer.status == 400 || answer.body.contains("refused");
        assert!(is_refused, "{}: {answer:?}", case.name);
    }
    assert_eq!(fleet.status(0).expect("a status").config_digest_hex, before);
}

#[test]
fn an_instance_that_starts_without_the_log_waits_and_says_so() {
    let _turn = turn();
    let options = FleetOptions { entries: 1, ..FleetOptions::default() };
    let mut fleet = Fleet::start(options).expect("a fleet");
    let objects = fleet.configure(1).expect("a configuration");
    let faults = proto::PlatformFaults { outage: true, ..no_platform_faults() };
    fleet.set_faults(fleet.platform_address, &faults).expect("faults");
    fleet.restart_entry(0).expect("a restart");
    fleet.wait_until("a word", || fleet.entry_log(0).contains("E200")).expect("it says so");
    let ready = fleet.call(0, &http::Method::GET, "/readyz", &[], "").expect("an answer");
    assert_eq!(ready.status, 503, "{ready:?}");
    assert!(ready.body.contains("NeverFresh"), "{ready:?}");
    let refused = chat(&fleet, 0, &objects, &chat_body("x", false, 2));
    assert!(refused.code() == "not_ready" && refused.is_not_run(), "{refused:?}");
    fleet.set_faults(fleet.platform_address, &no_platform_faults()).expect("faults");
    fleet
        .wait_until("service", || {
            chat(&fleet, 0, &objects, &chat_body("x", false, 2)).status == 200
        })
        .expect("it comes up from the log alone");
}
