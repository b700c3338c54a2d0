//! Who gives orders, under failure of the one who does.

mod common;

use common::{holder, no_engine_faults, no_platform_faults, turn};
use cowslip_harness::{Fleet, FleetOptions, ticket};
use cowslip_name::Name;
use cowslip_proto as proto;

/// What happens to the holder while its order is on the way.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Killed,
    FrozenAfterConnect,
    CutOffFromLog,
}

struct Case {
    name: &'static str,
    fault: Fault,
    fencing: proto::Fencing,
}

const CASES: &[Case] = &[
    Case { name: "killed", fault: Fault::Killed, fencing: proto::Fencing::Checked },
    Case {
        name: "frozen, target checks",
        fault: Fault::FrozenAfterConnect,
        fencing: proto::Fencing::Checked,
    },
    Case {
        name: "frozen, target ignores",
        fault: Fault::FrozenAfterConnect,
        fencing: proto::Fencing::Ignored,
    },
    Case {
        name: "cut off from the log",
        fault: Fault::CutOffFromLog,
        fencing: proto::Fencing::Ignored,
    },
];

/// Time for which the engine holds its state back, within the sender's patience.
const HOLD_STATE_MS: u64 = 1_500;

fn fleet_for(fencing: proto::Fencing) -> Fleet {
    // The engine closes idle connections sooner than a new term breaks its silence.
    let mut engine_args = vec!["--idle-ms".to_owned(), "800".to_owned()];
    if fencing == proto::Fencing::Ignored {
        engine_args.push("--ignore-fencing".to_owned());
    }
    let options = FleetOptions { engines: 1, engine_args, fencing, ..FleetOptions::default() };
    Fleet::start(options).expect("a fleet")
}

fn role_ticket(fleet: &Fleet, number: u64, role: proto::Role) -> proto::Ticket {
    let mut upstreams = fleet.engine_rows();
    upstreams[0].role = role;
    let deployment = proto::Deployment {
        name: Name::new("hay").expect("a name"),
        upstreams,
        shares: Vec::new(),
    };
    ticket(number, vec![proto::ObjectState::Deployment(deployment)])
}

fn wait_for_orders(fleet: &Fleet, count: usize) -> Vec<proto::EngineOrder> {
    fleet
        .wait_until("orders", || {
            fleet.engine_stats(0).is_ok_and(|stats| stats.orders.len() >= count)
        })
        .expect("the orders");
    fleet.engine_stats(0).expect("stats").orders
}

fn other_holder(fleet: &Fleet, old: usize) -> (usize, u64) {
    let mut found = None;
    fleet
        .wait_until("another holder", || {
            found = holder(fleet).filter(|(index, _)| *index != old);
            found.is_some()
        })
        .expect("a takeover");
    found.expect("found above")
}

/// A killed instance stays off the list: a change waits for every listed one.
fn restore(fleet: &Fleet, fault: Fault, old: usize) {
    let removed_instances = match fault {
        Fault::Killed => vec![Name::new(&format!("entry-{old}")).expect("a name")],
        Fault::FrozenAfterConnect | Fault::CutOffFromLog => Vec::new(),
    };
    let faults = proto::PlatformFaults { removed_instances, ..no_platform_faults() };
    fleet.set_faults(fleet.platform_address, &faults).expect("faults");
}

fn strike(fleet: &mut Fleet, fault: Fault, old: usize) {
    let name = Name::new(&format!("entry-{old}")).expect("a name");
    let mut faults =
        proto::PlatformFaults { removed_instances: vec![name], ..no_platform_faults() };
    match fault {
        Fault::Killed => fleet.entries[old].process.kill(),
        Fault::FrozenAfterConnect => fleet.entries[old].process.freeze(),
        Fault::CutOffFromLog => {
            faults.removed_instances.clear();
            faults.cut_ports = vec![fleet.entries[old].platform_port];
        }
    }
    fleet.set_faults(fleet.platform_address, &faults).expect("faults");
}

#[test]
fn orders_of_a_lost_holder_have_no_effect() {
    let _turn = turn();
    for case in CASES {
        let mut fleet = fleet_for(case.fencing);
        fleet.configure(1).expect("a configuration");
        fleet.wait_until("a holder", || holder(&fleet).is_some()).expect("a holder");
        let (old, old_term) = holder(&fleet).expect("a holder");
        let hold = proto::EngineFaults { hold_state_ms: HOLD_STATE_MS, ..no_engine_faults() };
        let engine = fleet.engines[0].address;
        fleet.set_faults(engine, &hold).expect("faults");
        let via = (old + 1) % 3;
        fleet.apply(via, &role_ticket(&fleet, 2, proto::Role::Prefill)).expect("an answer");
        fleet
            .wait_until("the holder to connect", || {
                fleet.engine_stats(0).is_ok_and(|stats| stats.state_reads > 0)
            })
            .expect("a read of the state");
        strike(&mut fleet, case.fault, old);
        fleet.set_faults(engine, &no_engine_faults()).expect("faults");
        let (_, new_term) = other_holder(&fleet, old);
        assert!(new_term > old_term, "{}", case.name);
        wait_for_orders(&fleet, 1);
        fleet.entries[old].process.thaw();
        fleet.apply(via, &role_ticket(&fleet, 3, proto::Role::Decode)).expect("an answer");
        restore(&fleet, case.fault, old);
        let orders = wait_for_orders(&fleet, 2);
        let sequences: Vec<u64> = orders.iter().map(|order| order.sequence).collect();
        assert_eq!(sequences, [1, 2], "{}: {orders:?}", case.name);
        assert!(orders.is_sorted_by_key(|order| order.fence), "{}: {orders:?}", case.name);
        assert_eq!(orders[1].action, proto::OrderAction::Role(proto::Role::Decode));
    }
}

#[test]
fn authority_ends_while_the_log_is_down() {
    let _turn = turn();
    let fleet = fleet_for(proto::Fencing::Ignored);
    fleet.configure(1).expect("a configuration");
    fleet.wait_until("a holder", || holder(&fleet).is_some()).expect("a holder");
    let (old, _) = holder(&fleet).expect("a holder");
    let faults = proto::PlatformFaults { outage: true, ..no_platform_faults() };
    fleet.set_faults(fleet.platform_address, &faults).expect("faults");
    fleet
        .wait_until("the term to end", || fleet.entry_log(old).contains("E401"))
        .expect("the end of the term");
    let begun = |index: usize| fleet.entry_log(index).matches("E400").count();
    let before: Vec<usize> = (0..3).map(begun).collect();
    assert_eq!(before.iter().sum::<usize>(), 1, "nobody else begins a term: {before:?}");
    fleet.set_faults(fleet.platform_address, &no_platform_faults()).expect("faults");
    fleet
        .wait_until("a term again", || (0..3).map(begun).sum::<usize>() >= 2)
        .expect("a term after the outage");
}
