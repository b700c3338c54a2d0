//! Usage windows, under failure of the reporter and of the platform's answers.

mod common;

use std::collections::BTreeMap;

use common::{chat, chat_body, holder, no_platform_faults, turn};
use cowslip_harness::{Fleet, FleetOptions};
use cowslip_name::Name;
use cowslip_proto as proto;

/// What goes wrong while windows are reported.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    AnswersLost,
    InstanceStops,
    HolderKilled,
    HolderFrozenAfterConnect,
    LogOutage,
}

struct Case {
    name: &'static str,
    fault: Fault,
}

const CASES: &[Case] = &[
    Case { name: "nothing", fault: Fault::None },
    Case { name: "answers are lost", fault: Fault::AnswersLost },
    Case { name: "the holder stops in order", fault: Fault::InstanceStops },
    Case { name: "the holder is killed", fault: Fault::HolderKilled },
    Case { name: "the holder stands still", fault: Fault::HolderFrozenAfterConnect },
    Case { name: "the log is down", fault: Fault::LogOutage },
];

const ANSWERS: u64 = 12;
const TOKENS: u64 = 5;

fn usage_log(fleet: &Fleet) -> proto::UsageLog {
    fleet.get(fleet.platform_address, "/usage").expect("the reports")
}

/// Tokens by window; a window that was reported with two different figures is a failure.
fn windows(log: &proto::UsageLog) -> BTreeMap<u64, u64> {
    let mut first: BTreeMap<u64, &proto::UsageReport> = BTreeMap::new();
    for report in &log.reports {
        let known = first.entry(report.window).or_insert(report);
        assert_eq!(*known, report, "a window with different figures");
    }
    let tokens =
        |report: &proto::UsageReport| report.rows.iter().map(|row| row.output_tokens).sum();
    first.into_iter().map(|(window, report)| (window, tokens(report))).collect()
}

fn send_answers(fleet: &Fleet, objects: &cowslip_harness::Objects, entries: &[usize]) -> u64 {
    for index in 0..ANSWERS {
        let entry = entries[usize::try_from(index).expect("small") % entries.len()];
        let tokens = u32::try_from(TOKENS).expect("small");
        let body = chat_body(&format!("u{index}"), index % 2 == 0, tokens);
        assert_eq!(chat(fleet, entry, objects, &body).status, 200);
    }
    ANSWERS * TOKENS
}

fn set(fleet: &Fleet, faults: &proto::PlatformFaults) {
    fleet.set_faults(fleet.platform_address, faults).expect("faults");
}

fn strike(fleet: &mut Fleet, fault: Fault, old: usize) {
    match fault {
        Fault::None => {}
        Fault::AnswersLost => {
            set(fleet, &proto::PlatformFaults { lose_usage_answers: 3, ..no_platform_faults() });
        }
        Fault::LogOutage => {
            set(fleet, &proto::PlatformFaults { outage: true, ..no_platform_faults() });
        }
        Fault::InstanceStops => {
            let ended = fleet.entries[old].process.stop().expect("an end");
            assert!(ended.success());
        }
        Fault::HolderKilled => fleet.entries[old].process.kill(),
        Fault::HolderFrozenAfterConnect => {
            let before = usage_log(fleet).state_reads;
            set(
                fleet,
                &proto::PlatformFaults { hold_usage_state_ms: 1_000, ..no_platform_faults() },
            );
            fleet
                .wait_until("the holder to connect", || usage_log(fleet).state_reads > before)
                .expect("a read of the state");
            fleet.entries[old].process.freeze();
        }
    }
}

#[test]
fn no_window_has_two_figures_and_none_is_missing() {
    let _turn = turn();
    for case in CASES {
        let mut fleet = Fleet::start(FleetOptions::default()).expect("a fleet");
        let objects = fleet.configure(1).expect("a configuration");
        fleet.wait_until("a holder", || holder(&fleet).is_some()).expect("a holder");
        let (old, _) = holder(&fleet).expect("a holder");
        let others: Vec<usize> = (0..3).filter(|index| *index != old).collect();
        // A holder that is killed answers nobody before, so that nothing uncounted is lost with
        // it; one that stops in order loses nothing.
        let first = if let Fault::InstanceStops = case.fault { vec![old] } else { others.clone() };
        let mut expected = send_answers(&fleet, &objects, &first);
        strike(&mut fleet, case.fault, old);
        expected += send_answers(&fleet, &objects, &others);
        if let Fault::HolderFrozenAfterConnect | Fault::HolderKilled | Fault::InstanceStops =
            case.fault
        {
            let name = Name::new(&format!("entry-{old}")).expect("a name");
            let removed_instances = vec![name];
            set(&fleet, &proto::PlatformFaults { removed_instances, ..no_platform_faults() });
            fleet
                .wait_until("another holder", || {
                    holder(&fleet).is_some_and(|(index, _)| index != old)
                })
                .expect("a takeover");
            fleet.entries[old].process.thaw();
        }
        if let Fault::LogOutage = case.fault {
            fleet
                .wait_until("the term to end", || fleet.entry_log(old).contains("E401"))
                .expect("the end of the term");
            set(&fleet, &no_platform_faults());
        }
        expected += send_answers(&fleet, &objects, &others);
        fleet
            .wait_until("all usage to be reported", || {
                windows(&usage_log(&fleet)).values().sum::<u64>() >= expected
            })
            .unwrap_or_else(|error| panic!("{}: {error}: {:?}", case.name, usage_log(&fleet)));
        let found = windows(&usage_log(&fleet));
        assert_eq!(found.values().sum::<u64>(), expected, "{}", case.name);
        let numbers: Vec<u64> = found.keys().copied().collect();
        assert_eq!(numbers, (0..found.len() as u64).collect::<Vec<_>>(), "{}", case.name);
        let engines: u64 =
            (0..2).map(|index| fleet.engine_stats(index).expect("stats").tokens).sum();
        assert_eq!(engines, expected, "{}: the engines' own count", case.name);
    }
}
