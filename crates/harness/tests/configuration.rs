//! Tickets and API keys under faults of the log and of instances.

mod common;

use common::{chat, chat_body, lock_fleet, no_platform_faults};
use cowslip_harness::{Fleet, FleetOptions, ticket};
use cowslip_name::Name;
use cowslip_proto as proto;

fn name(text: &str) -> Name {
    Name::new(text).expect("a valid name")
}

fn remove_key_ticket(number: u64, key: &str) -> proto::Ticket {
    let key = proto::ObjectKey { kind: proto::ObjectKind::Key, name: name(key) };
    ticket(number, vec![proto::ObjectState::Removed(key)])
}

/// Returns a ticket for workspace `craft`; the share weight identifies the version.
fn workspace_ticket(number: u64, share_weight: u32) -> proto::Ticket {
    let object = proto::ObjectState::Workspace(proto::Workspace {
        name: name("craft"),
        share_weight,
        max_in_flight: 8,
        deployments: Vec::new(),
        services: Vec::new(),
    });
    ticket(number, vec![object])
}

fn cut_off_from_log(fleet: &Fleet, instance: usize) {
    let cut_ports = vec![fleet.instances[instance].platform_port];
    let faults = proto::PlatformFaults { cut_ports, ..no_platform_faults() };
    fleet.set_faults(fleet.platform_address, &faults).expect("a reply");
}

fn share_weight_at(fleet: &Fleet, instance: usize) -> u32 {
    let key = proto::ObjectKey { kind: proto::ObjectKind::Workspace, name: name("craft") };
    let url = format!("http://{}/objects", fleet.instances[instance].operator_address);
    let body = cowslip_codec::to_json(&key);
    let response =
        cowslip_harness::request(&http::Method::POST, &url, &[], &body).expect("a response");
    let share_weight = response.json()["workspace"]["share_weight"].as_u64();
    share_weight.and_then(|share_weight| u32::try_from(share_weight).ok()).unwrap_or(0)
}

#[test]
fn concurrent_tickets_leave_the_highest_number_in_force() {
    let _guard = lock_fleet();
    let fleet = Fleet::start(FleetOptions::default()).expect("the fleet starts");
    fleet.apply_initial_ticket(1).expect("the initial ticket applies");
    std::thread::scope(|scope| {
        for number in 2..20 {
            let fleet = &fleet;
            scope.spawn(move || {
                let instance = usize::try_from(number % 3).expect("small numbers fit");
                let share_weight = u32::try_from(number).expect("small numbers fit");
                fleet
                    .submit_ticket(instance, &workspace_ticket(number, share_weight))
                    .expect("a ticket reply")
            });
        }
    });
    for instance in 0..3 {
        fleet
            .wait_until("the highest ticket number to be in force", || {
                share_weight_at(&fleet, instance) == 19
            })
            .expect("the highest number is in force");
    }
    // A resubmitted ticket with a lower number is superseded; a different ticket under the same
    // number is refused.
    let resubmission = fleet.submit_ticket(0, &workspace_ticket(5, 5)).expect("a ticket reply");
    let proto::TicketReply::Accepted(resubmission) = resubmission else {
        panic!("{resubmission:?}")
    };
    assert_eq!(resubmission.objects[0].outcome, proto::OutcomeKind::Superseded);
    let conflict = fleet.submit_ticket(1, &workspace_ticket(5, 99)).expect("a ticket reply");
    assert!(matches!(conflict, proto::TicketReply::Refused(_)), "{conflict:?}");
    assert_eq!(share_weight_at(&fleet, 2), 19);
}

#[test]
fn lost_append_reply_does_not_change_the_outcome() {
    let _guard = lock_fleet();
    let fleet = Fleet::start(FleetOptions::default()).expect("the fleet starts");
    fleet.apply_initial_ticket(1).expect("the initial ticket applies");
    let faults = proto::PlatformFaults { lose_append_answers: 3, ..no_platform_faults() };
    fleet.set_faults(fleet.platform_address, &faults).expect("a reply");
    let reply = fleet.submit_ticket(0, &workspace_ticket(2, 7)).expect("a ticket reply");
    assert!(matches!(reply, proto::TicketReply::Accepted(_)), "{reply:?}");
    assert_eq!(share_weight_at(&fleet, 0), 7);
}

#[test]
fn instance_cut_off_from_the_log_receives_tickets_from_peers() {
    let _guard = lock_fleet();
    let fleet = Fleet::start(FleetOptions::default()).expect("the fleet starts");
    let api_keys = fleet.apply_initial_ticket(1).expect("the initial ticket applies");
    cut_off_from_log(&fleet, 2);
    let reply = fleet.submit_ticket(0, &remove_key_ticket(2, "co-op")).expect("a ticket reply");
    let proto::TicketReply::Accepted(accepted) = reply else { panic!("{reply:?}") };
    fleet.wait_for_offset(accepted.offset).expect("all instances apply the ticket");
    let refusal = chat(&fleet, 2, &api_keys, &chat_body("x", false, 2));
    assert_eq!(refusal.code(), "invalid_api_key");
    assert!(fleet.status(2).expect("a status report").admitting);
}

#[test]
fn instance_cut_off_from_log_and_peers_stops_admitting() {
    let _guard = lock_fleet();
    let fleet = Fleet::start(FleetOptions::default()).expect("the fleet starts");
    let api_keys = fleet.apply_initial_ticket(1).expect("the initial ticket applies");
    cut_off_from_log(&fleet, 2);
    fleet.instances[0].process.suspend();
    fleet.instances[1].process.suspend();
    fleet
        .wait_until("instance 2 to stop admitting", || {
            chat(&fleet, 2, &api_keys, &chat_body("x", false, 2)).code() == "not_ready"
        })
        .expect("the cut-off instance refuses requests");
    fleet.instances[0].process.resume();
    fleet.instances[1].process.resume();
    fleet
        .wait_until("instance 2 to admit again", || {
            chat(&fleet, 2, &api_keys, &chat_body("x", false, 2)).status == 200
        })
        .expect("the instance admits requests again");
}

#[test]
fn log_outage_at_all_instances_does_not_stop_admission() {
    let _guard = lock_fleet();
    let fleet = Fleet::start(FleetOptions::default()).expect("the fleet starts");
    let api_keys = fleet.apply_initial_ticket(1).expect("the initial ticket applies");
    let faults = proto::PlatformFaults { outage: true, ..no_platform_faults() };
    fleet.set_faults(fleet.platform_address, &faults).expect("a reply");
    fleet
        .wait_until("every instance to admit with a stale configuration", || {
            (0..3).all(|instance| {
                fleet.status(instance).is_ok_and(|status| status.reason == "AdmitStale")
            })
        })
        .expect("all instances report AdmitStale");
    for instance in 0..3 {
        let response = chat(&fleet, instance, &api_keys, &chat_body("x", false, 2));
        assert_eq!(response.status, 200, "{response:?}");
    }
    let reply = fleet.submit_ticket(0, &remove_key_ticket(2, "co-op")).expect("a ticket reply");
    assert!(matches!(reply, proto::TicketReply::Unknown(_)), "{reply:?}");
}

#[test]
fn instance_starts_from_a_snapshot_after_log_entries_expired() {
    let _guard = lock_fleet();
    let platform_args = vec!["--keep-entries".to_owned(), "60".to_owned()];
    let mut options = FleetOptions { platform_args, ..FleetOptions::default() };
    options.settings.push(("platform", "snapshot_every_entries", "20".to_owned()));
    let mut fleet = Fleet::start(options).expect("the fleet starts");
    let api_keys = fleet.apply_initial_ticket(1).expect("the initial ticket applies");
    for number in 2..90 {
        let share_weight = u32::try_from(number).expect("small numbers fit");
        let reply = fleet
            .submit_ticket(0, &workspace_ticket(number, share_weight))
            .expect("a ticket reply");
        assert!(matches!(reply, proto::TicketReply::Accepted(_)), "{reply:?}");
    }
    fleet.restart_instance(1).expect("the instance restarts");
    fleet
        .wait_until("the restarted instance to be ready", || {
            fleet.status(1).is_ok_and(|status| status.ready) && share_weight_at(&fleet, 1) == 89
        })
        .expect("the instance restores the snapshot");
    assert!(fleet.instance_log(1).contains("E203"), "{}", fleet.instance_log(1));
    let digests: Vec<String> = (0..3)
        .map(|instance| fleet.status(instance).expect("a status report").config_digest_hex)
        .collect();
    assert!(digests.iter().all(|digest| *digest == digests[0]), "{digests:?}");
    let response = chat(&fleet, 1, &api_keys, &chat_body("x", false, 2));
    assert_eq!(response.status, 200, "{response:?}");
}

#[test]
fn invalid_tickets_leave_the_configuration_unchanged() {
    struct Case {
        name: &'static str,
        body: &'static str,
    }
    const CASES: &[Case] = &[
        Case { name: "not json", body: "{" },
        Case {
            name: "unknown JSON key",
            body: r#"{"number":2,"author":"a","reason":"","objects":[],"x":1}"#,
        },
        Case { name: "no objects", body: r#"{"number":2,"author":"a","reason":"","objects":[]}"# },
        Case { name: "number 0", body: r#"{"number":0,"author":"a","reason":"","objects":[]}"# },
        Case { name: "bad name", body: r#"{"number":2,"author":"A B","reason":"","objects":[]}"# },
    ];
    let _guard = lock_fleet();
    let fleet = Fleet::start(FleetOptions { instances: 1, ..FleetOptions::default() })
        .expect("the fleet starts");
    fleet.apply_initial_ticket(1).expect("the initial ticket applies");
    let digest_before = fleet.status(0).expect("a status report").config_digest_hex;
    for case in CASES {
        let url = format!("http://{}/tickets", fleet.instances[0].operator_address);
        let response = cowslip_harness::request(&http::Method::POST, &url, &[], case.body);
        let response = response.expect("a response");
        let is_refused = response.status == 400 || response.body.contains("refused");
        assert!(is_refused, "{}: {response:?}", case.name);
    }
    assert_eq!(fleet.status(0).expect("a status report").config_digest_hex, digest_before);
}

#[test]
fn instance_that_starts_during_a_log_outage_logs_it_and_waits() {
    let _guard = lock_fleet();
    let options = FleetOptions { instances: 1, ..FleetOptions::default() };
    let mut fleet = Fleet::start(options).expect("the fleet starts");
    let api_keys = fleet.apply_initial_ticket(1).expect("the initial ticket applies");
    let faults = proto::PlatformFaults { outage: true, ..no_platform_faults() };
    fleet.set_faults(fleet.platform_address, &faults).expect("a reply");
    fleet.restart_instance(0).expect("the instance restarts");
    fleet
        .wait_until("the instance to log E200", || fleet.instance_log(0).contains("E200"))
        .expect("the instance logs the outage");
    let readiness =
        fleet.send_request(0, &http::Method::GET, "/readyz", &[], "").expect("a response");
    assert_eq!(readiness.status, 503, "{readiness:?}");
    assert!(readiness.body.contains("NeverFresh"), "{readiness:?}");
    let refusal = chat(&fleet, 0, &api_keys, &chat_body("x", false, 2));
    assert!(refusal.code() == "not_ready" && refusal.is_not_run(), "{refusal:?}");
    fleet.set_faults(fleet.platform_address, &no_platform_faults()).expect("a reply");
    fleet
        .wait_until("the instance to serve requests", || {
            chat(&fleet, 0, &api_keys, &chat_body("x", false, 2)).status == 200
        })
        .expect("the instance serves once the log is back");
}
