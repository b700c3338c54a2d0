//! Engine orders while the lease holder fails or the log is unavailable.

mod common;

use common::{lease_holder, lock_fleet, no_engine_faults, no_platform_faults};
use cowslip_harness::{Fleet, FleetOptions, ticket};
use cowslip_name::Name;
use cowslip_proto as proto;

/// Fault of the lease holder while it sends an order.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Killed,
    SuspendedAfterConnect,
    CutOffFromLog,
}

struct Case {
    name: &'static str,
    fault: Fault,
    fencing: proto::Fencing,
}

const CASES: &[Case] = &[
    Case { name: "holder killed", fault: Fault::Killed, fencing: proto::Fencing::Checked },
    Case {
        name: "holder suspended, engine checks fencing",
        fault: Fault::SuspendedAfterConnect,
        fencing: proto::Fencing::Checked,
    },
    Case {
        name: "holder suspended, engine ignores fencing",
        fault: Fault::SuspendedAfterConnect,
        fencing: proto::Fencing::Ignored,
    },
    Case {
        name: "holder cut off from the log",
        fault: Fault::CutOffFromLog,
        fencing: proto::Fencing::Ignored,
    },
];

/// Delay of the engine's state responses, in milliseconds; shorter than `STEP_TIMEOUT` of
/// `cowslip-entry`'s `fenced_writer.rs`, which limits the read of the state.
const HOLD_STATE_MS: u64 = 1_500;

fn fleet_for(fencing: proto::Fencing) -> Fleet {
    // The engine closes the old holder's idle connection before the silence period of the new term
    // ends, in which the new holder sends no orders.
    let mut engine_args = vec!["--idle-ms".to_owned(), "800".to_owned()];
    if fencing == proto::Fencing::Ignored {
        engine_args.push("--ignore-fencing".to_owned());
    }
    let options = FleetOptions { engines: 1, engine_args, fencing, ..FleetOptions::default() };
    Fleet::start(options).expect("the fleet starts")
}

fn role_ticket(fleet: &Fleet, number: u64, role: proto::Role) -> proto::Ticket {
    let mut upstreams = fleet.engine_configs();
    upstreams[0].role = role;
    let deployment = proto::Deployment {
        name: Name::new("hay").expect("a valid name"),
        upstreams,
        shares: Vec::new(),
    };
    ticket(number, vec![proto::ObjectState::Deployment(deployment)])
}

fn wait_for_orders(fleet: &Fleet, count: usize) -> Vec<proto::EngineOrder> {
    fleet
        .wait_until("the engine to apply orders", || {
            fleet.engine_stats(0).is_ok_and(|stats| stats.orders.len() >= count)
        })
        .expect("enough orders");
    fleet.engine_stats(0).expect("engine counters").orders
}

fn wait_for_new_holder(fleet: &Fleet, old_holder: usize) -> (usize, u64) {
    let mut new_holder = None;
    fleet
        .wait_until("another holder", || {
            new_holder = lease_holder(fleet).filter(|(index, _)| *index != old_holder);
            new_holder.is_some()
        })
        .expect("another instance takes over");
    new_holder.expect("set by the awaited condition")
}

/// Clears the fault. A killed instance stays off the instance list, because a configuration change
/// waits for every listed instance.
fn clear_fault(fleet: &Fleet, fault: Fault, old_holder: usize) {
    let removed_instances = match fault {
        Fault::Killed => vec![Name::new(&format!("entry-{old_holder}")).expect("a valid name")],
        Fault::SuspendedAfterConnect | Fault::CutOffFromLog => Vec::new(),
    };
    let faults = proto::PlatformFaults { removed_instances, ..no_platform_faults() };
    fleet.set_faults(fleet.platform_address, &faults).expect("a reply");
}

/// Injects the fault; a killed or suspended instance also leaves the instance list.
fn inject_fault(fleet: &mut Fleet, fault: Fault, old_holder: usize) {
    let name = Name::new(&format!("entry-{old_holder}")).expect("a valid name");
    let mut faults =
        proto::PlatformFaults { removed_instances: vec![name], ..no_platform_faults() };
    match fault {
        Fault::Killed => fleet.instances[old_holder].process.kill(),
        Fault::SuspendedAfterConnect => fleet.instances[old_holder].process.suspend(),
        Fault::CutOffFromLog => {
            faults.removed_instances.clear();
            faults.cut_ports = vec![fleet.instances[old_holder].platform_port];
        }
    }
    fleet.set_faults(fleet.platform_address, &faults).expect("a reply");
}

#[test]
fn orders_from_a_stale_holder_have_no_effect() {
    let _guard = lock_fleet();
    for case in CASES {
        let mut fleet = fleet_for(case.fencing);
        fleet.apply_initial_ticket(1).expect("the initial ticket applies");
        fleet
            .wait_until("a lease holder", || lease_holder(&fleet).is_some())
            .expect("a lease holder");
        let (old_holder, old_term) = lease_holder(&fleet).expect("a lease holder");
        let delayed_state =
            proto::EngineFaults { hold_state_ms: HOLD_STATE_MS, ..no_engine_faults() };
        let engine = fleet.engines[0].address;
        fleet.set_faults(engine, &delayed_state).expect("a reply");
        let receiver = (old_holder + 1) % 3;
        fleet
            .submit_ticket(receiver, &role_ticket(&fleet, 2, proto::Role::Prefill))
            .expect("a ticket reply");
        fleet
            .wait_until("the holder to read the engine state", || {
                fleet.engine_stats(0).is_ok_and(|stats| stats.state_reads > 0)
            })
            .expect("the holder reads the state");
        inject_fault(&mut fleet, case.fault, old_holder);
        fleet.set_faults(engine, &no_engine_faults()).expect("a reply");
        let (_, new_term) = wait_for_new_holder(&fleet, old_holder);
        assert!(new_term > old_term, "{}", case.name);
        wait_for_orders(&fleet, 1);
        fleet.instances[old_holder].process.resume();
        fleet
            .submit_ticket(receiver, &role_ticket(&fleet, 3, proto::Role::Decode))
            .expect("a ticket reply");
        clear_fault(&fleet, case.fault, old_holder);
        let orders = wait_for_orders(&fleet, 2);
        let sequences: Vec<u64> = orders.iter().map(|order| order.sequence).collect();
        assert_eq!(sequences, [1, 2], "{}: {orders:?}", case.name);
        assert!(orders.is_sorted_by_key(|order| order.fence), "{}: {orders:?}", case.name);
        assert_eq!(orders[1].action, proto::OrderAction::Role(proto::Role::Decode));
    }
}

#[test]
fn lease_expires_during_a_log_outage() {
    let _guard = lock_fleet();
    let fleet = fleet_for(proto::Fencing::Ignored);
    fleet.apply_initial_ticket(1).expect("the initial ticket applies");
    fleet.wait_until("a lease holder", || lease_holder(&fleet).is_some()).expect("a lease holder");
    let (old_holder, _) = lease_holder(&fleet).expect("a lease holder");
    let faults = proto::PlatformFaults { outage: true, ..no_platform_faults() };
    fleet.set_faults(fleet.platform_address, &faults).expect("a reply");
    fleet
        .wait_until("the holder to log the end of its term", || {
            fleet.instance_log(old_holder).contains("E401")
        })
        .expect("the term ends");
    let term_count = |index: usize| fleet.instance_log(index).matches("E400").count();
    let terms_by_instance: Vec<usize> = (0..3).map(term_count).collect();
    assert_eq!(
        terms_by_instance.iter().sum::<usize>(),
        1,
        "a new term began during the outage: {terms_by_instance:?}"
    );
    fleet.set_faults(fleet.platform_address, &no_platform_faults()).expect("a reply");
    fleet
        .wait_until("a new term", || (0..3).map(term_count).sum::<usize>() >= 2)
        .expect("a term begins after the outage");
}
