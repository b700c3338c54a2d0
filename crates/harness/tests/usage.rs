//! Usage windows under faults of the reporting instance, the platform's replies and the log.

mod common;

use std::collections::BTreeMap;

use common::{chat, chat_body, lease_holder, lock_fleet, no_platform_faults};
use cowslip_harness::{Fleet, FleetOptions};
use cowslip_name::Name;
use cowslip_proto as proto;

/// Fault while usage windows are reported.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    RepliesLost,
    HolderShutsDown,
    HolderKilled,
    HolderSuspendedAfterConnect,
    LogOutage,
}

struct Case {
    name: &'static str,
    fault: Fault,
}

const CASES: &[Case] = &[
    Case { name: "no fault", fault: Fault::None },
    Case { name: "platform replies are lost", fault: Fault::RepliesLost },
    Case { name: "the holder shuts down cleanly", fault: Fault::HolderShutsDown },
    Case { name: "the holder is killed", fault: Fault::HolderKilled },
    Case { name: "the holder is suspended", fault: Fault::HolderSuspendedAfterConnect },
    Case { name: "the log is unavailable", fault: Fault::LogOutage },
];

const REQUESTS: u64 = 12;
const TOKENS_PER_REQUEST: u64 = 5;

fn usage_log(fleet: &Fleet) -> proto::UsageLog {
    fleet.get(fleet.platform_address, "/usage").expect("the usage log is readable")
}

/// Returns the tokens by window, and panics if reports of one window differ.
fn tokens_by_window(log: &proto::UsageLog) -> BTreeMap<u64, u64> {
    let mut first: BTreeMap<u64, &proto::UsageReport> = BTreeMap::new();
    for report in &log.reports {
        let earlier = first.entry(report.window).or_insert(report);
        assert_eq!(*earlier, report, "reports of one window differ");
    }
    let tokens =
        |report: &proto::UsageReport| report.rows.iter().map(|row| row.output_tokens).sum();
    first.into_iter().map(|(window, report)| (window, tokens(report))).collect()
}

/// Sends `REQUESTS` chat requests to the given instances in turn and returns the tokens generated.
fn send_requests(
    fleet: &Fleet,
    api_keys: &cowslip_harness::TestApiKeys,
    instances: &[usize],
) -> u64 {
    for index in 0..REQUESTS {
        let instance =
            instances[usize::try_from(index).expect("small numbers fit") % instances.len()];
        let tokens = u32::try_from(TOKENS_PER_REQUEST).expect("small numbers fit");
        let body = chat_body(&format!("u{index}"), index % 2 == 0, tokens);
        assert_eq!(chat(fleet, instance, api_keys, &body).status, 200);
    }
    REQUESTS * TOKENS_PER_REQUEST
}

fn set_platform_faults(fleet: &Fleet, faults: &proto::PlatformFaults) {
    fleet.set_faults(fleet.platform_address, faults).expect("a reply");
}

fn inject_fault(fleet: &mut Fleet, fault: Fault, old_holder: usize) {
    match fault {
        Fault::None => {}
        Fault::RepliesLost => {
            set_platform_faults(
                fleet,
                &proto::PlatformFaults { lose_usage_answers: 3, ..no_platform_faults() },
            );
        }
        Fault::LogOutage => {
            set_platform_faults(
                fleet,
                &proto::PlatformFaults { outage: true, ..no_platform_faults() },
            );
        }
        Fault::HolderShutsDown => {
            let exit_status = fleet.instances[old_holder].process.stop().expect("the holder exits");
            assert!(exit_status.success());
        }
        Fault::HolderKilled => fleet.instances[old_holder].process.kill(),
        Fault::HolderSuspendedAfterConnect => {
            let before = usage_log(fleet).state_reads;
            set_platform_faults(
                fleet,
                &proto::PlatformFaults { hold_usage_state_ms: 1_000, ..no_platform_faults() },
            );
            fleet
                .wait_until("the holder to read the usage state", || {
                    usage_log(fleet).state_reads > before
                })
                .expect("the holder reads the state");
            fleet.instances[old_holder].process.suspend();
        }
    }
}

#[test]
fn every_usage_window_is_reported_with_one_value() {
    let _guard = lock_fleet();
    for case in CASES {
        let mut fleet = Fleet::start(FleetOptions::default()).expect("the fleet starts");
        let api_keys = fleet.apply_initial_ticket(1).expect("the initial ticket applies");
        fleet
            .wait_until("a lease holder", || lease_holder(&fleet).is_some())
            .expect("a lease holder");
        let (old_holder, _) = lease_holder(&fleet).expect("a lease holder");
        let other_instances: Vec<usize> = (0..3).filter(|index| *index != old_holder).collect();
        // Only a holder that shuts down cleanly serves requests before the fault, because it loses
        // no usage. A killed holder would lose the usage that it has not recorded yet.
        let first_instances = if let Fault::HolderShutsDown = case.fault {
            vec![old_holder]
        } else {
            other_instances.clone()
        };
        let mut expected = send_requests(&fleet, &api_keys, &first_instances);
        inject_fault(&mut fleet, case.fault, old_holder);
        expected += send_requests(&fleet, &api_keys, &other_instances);
        if let Fault::HolderSuspendedAfterConnect | Fault::HolderKilled | Fault::HolderShutsDown =
            case.fault
        {
            let name = Name::new(&format!("entry-{old_holder}")).expect("a valid name");
            let removed_instances = vec![name];
            set_platform_faults(
                &fleet,
                &proto::PlatformFaults { removed_instances, ..no_platform_faults() },
            );
            fleet
                .wait_until("another lease holder", || {
                    lease_holder(&fleet).is_some_and(|(index, _)| index != old_holder)
                })
                .expect("another instance takes over");
            fleet.instances[old_holder].process.resume();
        }
        if let Fault::LogOutage = case.fault {
            fleet
                .wait_until("the holder to log the end of its term", || {
                    fleet.instance_log(old_holder).contains("E401")
                })
                .expect("the term ends");
            set_platform_faults(&fleet, &no_platform_faults());
        }
        expected += send_requests(&fleet, &api_keys, &other_instances);
        fleet
            .wait_until("all usage to be reported", || {
                tokens_by_window(&usage_log(&fleet)).values().sum::<u64>() >= expected
            })
            .unwrap_or_else(|error| panic!("{}: {error}: {:?}", case.name, usage_log(&fleet)));
        let usage_by_window = tokens_by_window(&usage_log(&fleet));
        assert_eq!(usage_by_window.values().sum::<u64>(), expected, "{}", case.name);
        let window_numbers: Vec<u64> = usage_by_window.keys().copied().collect();
        assert_eq!(
            window_numbers,
            (0..usage_by_window.len() as u64).collect::<Vec<_>>(),
            "{}",
            case.name
        );
        let engine_tokens: u64 =
            (0..2).map(|index| fleet.engine_stats(index).expect("engine counters").tokens).sum();
        assert_eq!(engine_tokens, expected, "{}: tokens counted by the engines", case.name);
    }
}
