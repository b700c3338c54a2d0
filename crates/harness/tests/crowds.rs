//! Crowds of callers at `cowslip-entry` that hold what they occupy. The process stays within the
//! memory of its machine, and ordinary callers get answers. The cases run one after the other.

mod common;

use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use common::lock_fleet;
use cowslip_harness::{
    Crowd, Fleet, FleetOptions, Sending, TestApiKeys, leave, open_descriptors, peak_memory_kib,
};
use http::Method;

/// Memory of the machine, in MiB, and the largest body, in bytes.
const MEMORY_MIB: u64 = 64;
const MAX_BODY_BYTES: usize = 1_048_576;
/// Callers of a crowd: together their bodies are half as large again as the memory of the machine.
const CALLERS: usize = 96;
const MAX_CONNECTIONS: usize = 128;
/// Connections that are opened and left idle.
const IDLE_CONNECTIONS: usize = 300;
/// Descriptors for all else: listeners, files, and the connections to upstreams, of which a request
/// in flight has one.
const OTHER_DESCRIPTORS: usize = 192;
/// Time for the daemon to read what a crowd has sent.
const SETTLING: Duration = Duration::from_secs(1);

struct Case {
    name: &'static str,
    sending: Sending,
    body_bytes: usize,
    stops_short: bool,
}

const WHOLE_BODIES: Case = Case {
    name: "whole bodies",
    sending: Sending::Whole,
    body_bytes: MAX_BODY_BYTES,
    stops_short: false,
};

const CASES: &[Case] = &[
    WHOLE_BODIES,
    Case { name: "bodies without their end", stops_short: true, ..WHOLE_BODIES },
    Case {
        name: "bodies in parts without their end",
        sending: Sending::Parts,
        stops_short: true,
        ..WHOLE_BODIES
    },
    Case {
        name: "large chunks without their end",
        sending: Sending::LargeChunks,
        stops_short: true,
        ..WHOLE_BODIES
    },
    Case {
        name: "tiny chunks without their end",
        sending: Sending::TinyChunks,
        body_bytes: 65_536,
        stops_short: true,
    },
    Case {
        name: "bodies announced over the limit",
        sending: Sending::Announced { length_bytes: 1_073_741_824 },
        ..WHOLE_BODIES
    },
    Case {
        name: "bodies sent over the limit",
        sending: Sending::LargeChunks,
        body_bytes: 4 * MAX_BODY_BYTES,
        ..WHOLE_BODIES
    },
];

fn start_fleet() -> (Fleet, TestApiKeys) {
    let mut options = FleetOptions { instances: 1, ..FleetOptions::default() };
    let limits = [
        ("max_connections", MAX_CONNECTIONS),
        ("max_body_bytes", MAX_BODY_BYTES),
        ("memory_mb", usize::try_from(MEMORY_MIB).expect("a small number")),
    ];
    options.settings.extend(limits.map(|(key, value)| ("limits", key, value.to_string())));
    let fleet = Fleet::start(options).expect("the fleet starts");
    let api_keys = fleet.apply_initial_ticket(1).expect("the initial ticket applies");
    (fleet, api_keys)
}

/// Checks that the process lives within its limits.
fn check_limits(fleet: &mut Fleet, case: &str) {
    let process = &mut fleet.instances[0].process;
    assert!(!process.has_exited(), "{case}: the process has ended");
    let peak_kib = peak_memory_kib(process.id()).expect("a peak");
    let descriptors = open_descriptors(process.id()).expect("descriptors");
    println!("{case}: {} MiB, {descriptors} descriptors", peak_kib / 1_024);
    assert!(peak_kib < MEMORY_MIB * 1_024, "{case}: {peak_kib} KiB");
    assert!(descriptors <= MAX_CONNECTIONS + OTHER_DESCRIPTORS, "{case}: {descriptors}");
}

fn check_ordinary_request(fleet: &Fleet, case: &str) {
    let response = fleet.send_request(0, &Method::GET, "/stock/twine", &[], "");
    assert_eq!(response.expect("a response").status, 200, "{case}");
}

fn run(case: &Case) {
    let Case { name, sending, body_bytes, stops_short } = *case;
    let (mut fleet, api_keys) = start_fleet();
    let head = format!(
        "POST /services/shop/bookings HTTP/1.1\r\nhost: shop\r\nauthorization: Bearer {}\r\n",
        api_keys.authorized
    );
    let crowd = Crowd { callers: CALLERS, head, sending, body_bytes, stops_short };
    let connections = crowd.send(fleet.instances[0].caller_address);
    thread::sleep(SETTLING);
    check_limits(&mut fleet, name);
    check_ordinary_request(&fleet, name);
    leave(connections);
}

#[test]
fn crowds_leave_the_instance_within_its_machine() {
    let _guard = lock_fleet();
    let failed: Vec<&str> = CASES
        .iter()
        .filter(|case| thread::scope(|scope| scope.spawn(|| run(case)).join().is_err()))
        .map(|case| case.name)
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
}

#[test]
fn idle_connections_yield_to_new_callers_of_the_instance() {
    let _guard = lock_fleet();
    let (mut fleet, _) = start_fleet();
    let address = fleet.instances[0].caller_address;
    let idle: Vec<TcpStream> =
        (0..IDLE_CONNECTIONS).map(|_| TcpStream::connect(address).expect("a connection")).collect();
    thread::sleep(SETTLING);
    check_limits(&mut fleet, "idle connections");
    check_ordinary_request(&fleet, "idle connections");
    leave(idle);
}
