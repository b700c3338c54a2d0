//! State size, message size and processing time of the crates that do no I/O, up to the target
//! fleet size.

use cowslip_authority::{Holder, LeaseRecord, OrderTable, Target, TermTable};
use cowslip_codec::{
    decode_log_entry, decode_peer_message, encode_log_entry, encode_peer_message, encode_snapshot,
    restore_snapshot,
};
use cowslip_proto as proto;
use cowslip_scheduling::{Candidate, Distance, pick_upstream};
use cowslip_state::{OrderAction, SnapshotAssembler, State, StateRecord};

use crate::allowances;
use crate::fixtures::{
    decode_tickets, member_heartbeat, members, name, proto_heartbeat, ticket, tickets, workspace,
};
use crate::markdown::print_table;
use crate::measurement::{measure_memory, slope, time_ns};

/// Number of upstreams at which an instance has requests in flight at the same time.
const LOADS: usize = 40;
const DEPLOYMENTS: usize = 5;

/// Runs all capacity measurements and prints their tables.
pub(crate) fn run() {
    measure_members();
    measure_configuration();
    measure_terms();
    measure_orders();
    measure_upstream_selection();
    allowances::run();
}

fn measure_members() {
    let sizes = [6, 50, 100, 200, 400, 800, 1_100];
    let mut rows = Vec::new();
    let (mut memory_points, mut time_points) = (Vec::new(), Vec::new());
    for size in sizes {
        let (mut state, bytes) = measure_memory(|| members(size, LOADS));
        let from = name("entry-1");
        let heartbeat_ns = time_ns(|| state.on_heartbeat(1, &from, member_heartbeat(LOADS)));
        let count_ns = time_ns(|| state.count_at_or_below(1, 1_000_000));
        memory_points.push((size as f64, bytes));
        time_points.push((size as f64, count_ns));
        rows.push(vec![
            size.to_string(),
            format!("{:.0}", bytes / 1_024.0),
            format!("{:.1}", heartbeat_ns / 1_000.0),
            format!("{:.1}", count_ns / 1_000.0),
        ]);
    }
    let columns = ["members", "state (KiB)", "one heartbeat (µs)", "one count by offset (µs)"];
    print_table("Membership, 40 loads per heartbeat", &columns, &rows);
    println!(
        "\nslopes: {:.0} bytes per member; {:.1} ns per member for one count",
        slope(&memory_points),
        slope(&time_points)
    );
    let sizes = [0, 40, 400, 3_700];
    let rows: Vec<Vec<String>> = sizes.iter().map(|loads| heartbeat_row(*loads)).collect();
    let columns = ["loads", "size (bytes)", "encode (µs)", "decode (µs)"];
    print_table("Heartbeat", &columns, &rows);
}

fn heartbeat_row(loads: usize) -> Vec<String> {
    let message = proto::PeerRequest::Heartbeat(proto_heartbeat(1, loads));
    let bytes = encode_peer_message(&message).expect("a heartbeat fits");
    let encode_ns = time_ns(|| encode_peer_message(&message).expect("a heartbeat fits"));
    let decode_ns = time_ns(|| {
        decode_peer_message::<proto::PeerRequest>(&bytes).expect("encoded bytes decode")
    });
    vec![
        loads.to_string(),
        bytes.len().to_string(),
        format!("{:.1}", encode_ns / 1_000.0),
        format!("{:.1}", decode_ns / 1_000.0),
    ]
}

fn apply_tickets(tickets: &[cowslip_config::Ticket]) -> State {
    let mut state = State::default();
    for (offset, ticket) in (0u64..).zip(tickets) {
        state.apply(offset, &StateRecord::Ticket(ticket.clone()));
    }
    state
}

fn measure_configuration() {
    let sizes = [(12, 15), (300, 925), (600, 1_850), (1_200, 3_700)];
    let mut rows = Vec::new();
    for (workspaces, upstreams) in sizes {
        let messages = tickets(workspaces, upstreams, DEPLOYMENTS);
        let config_tickets = decode_tickets(&messages);
        let (mut state, bytes) = measure_memory(|| apply_tickets(&config_tickets));
        let change = config_tickets[0].clone();
        let mut number = 10_000;
        let apply_ns = time_ns(|| {
            number += 1;
            let ticket = cowslip_config::Ticket { number, ..change.clone() };
            state.config.apply(&ticket)
        });
        let key_entry = encode_log_entry(
            &name("entry-1"),
            0,
            vec![proto::Record::Ticket(messages[1.min(messages.len() - 1)].clone())],
        );
        let largest = messages.last().expect("at least one ticket").clone();
        let large_entry =
            encode_log_entry(&name("entry-1"), 0, vec![proto::Record::Ticket(largest)]);
        let decode_ns = time_ns(|| decode_log_entry(&key_entry).expect("encoded bytes decode"));
        let large_ns = time_ns(|| decode_log_entry(&large_entry).expect("encoded bytes decode"));
        rows.push(vec![
            format!("{workspaces} / {upstreams}"),
            format!("{:.0}", bytes / 1_024.0),
            format!("{:.1}", apply_ns / 1_000.0),
            format!("{} / {}", key_entry.len(), large_entry.len()),
            format!("{:.0} / {:.0}", decode_ns / 1_000.0, large_ns / 1_000.0),
        ]);
    }
    let columns = [
        "workspaces / upstreams",
        "state (KiB)",
        "one ticket (µs)",
        "log entry of a key / of a deployment (bytes)",
        "decode (µs)",
    ];
    print_table("Configuration, 5 deployments", &columns, &rows);
    measure_snapshots(&sizes);
}

fn measure_snapshots(sizes: &[(usize, usize)]) {
    let writer = Holder { instance: name("entry-1"), incarnation: 1 };
    let mut rows = Vec::new();
    for (workspaces, upstreams) in sizes {
        let initial_tickets = tickets(*workspaces, *upstreams, DEPLOYMENTS);
        let mut state = apply_tickets(&decode_tickets(&initial_tickets));
        let writer_name = name("entry-1");
        for number in initial_tickets.len() as u64 + 1..initial_tickets.len() as u64 + 5_201 {
            let change = ticket(number, workspace(number));
            let config_tickets = decode_tickets(std::slice::from_ref(&change));
            state.apply(number, &StateRecord::Ticket(config_tickets[0].clone()));
        }
        let chunks = encode_snapshot(&state, 1, &writer);
        let entries: Vec<String> = chunks
            .iter()
            .map(|chunk| encode_log_entry(&writer_name, 0, vec![chunk.clone()]))
            .collect();
        let size: usize = entries.iter().map(String::len).sum();
        let write_ns = time_ns(|| encode_snapshot(&state, 1, &writer));
        let read_ns = time_ns(|| read_snapshot(&entries));
        rows.push(vec![
            format!("{workspaces} / {upstreams}"),
            format!("{:.0}", size as f64 / 1_024.0),
            chunks.len().to_string(),
            format!("{:.1}", write_ns / 1e6),
            format!("{:.1}", read_ns / 1e6),
        ]);
    }
    let columns =
        ["workspaces / upstreams", "size (KiB)", "appends", "write (ms)", "read and restore (ms)"];
    print_table("Snapshot, after a day's 5,200 tickets", &columns, &rows);
}

fn read_snapshot(entries: &[String]) -> Option<State> {
    let mut assembler = SnapshotAssembler::default();
    for entry in entries {
        for (_, record) in decode_log_entry(entry).ok()?.records {
            if let cowslip_codec::DecodedRecord::Snapshot(chunk) = record
                && let Some(complete) = assembler.on_chunk(chunk)
            {
                return restore_snapshot(&complete).ok();
            }
        }
    }
    None
}

fn measure_terms() {
    let mut rows = Vec::new();
    for scopes in [1, 17, 170] {
        let names: Vec<_> = (0..scopes).map(|index| name(&format!("domain-{index}"))).collect();
        let holder = Holder { instance: name("entry-1"), incarnation: 1 };
        let mut terms = TermTable::default();
        for (offset, scope) in (0u64..).zip(&names) {
            let claim =
                LeaseRecord::Claim { holder: holder.clone(), nonce: 0, expected_offset: None };
            terms.apply(scope, offset, &claim);
        }
        let renewal_ns =
            time_ns(|| terms.apply(&names[0], 1_000, &LeaseRecord::Renewal { term: 0, nonce: 1 }));
        let entry = encode_log_entry(
            &holder.instance,
            u64::MAX,
            vec![proto::Record::Renewal(proto::LeaseRenewal {
                scope: names[0].clone(),
                term: u64::MAX,
                nonce: u64::MAX,
            })],
        );
        let decode_ns = time_ns(|| decode_log_entry(&entry).expect("encoded bytes decode"));
        rows.push(vec![
            scopes.to_string(),
            format!("{renewal_ns:.0}"),
            entry.len().to_string(),
            format!("{:.1}", decode_ns / 1_000.0),
        ]);
    }
    let columns = ["scopes", "one renewal (ns)", "log entry (bytes)", "decode (µs)"];
    print_table("Terms", &columns, &rows);
}

fn measure_orders() {
    let mut rows = Vec::new();
    for targets in [12, 925, 3_700] {
        let scope = name("fleet");
        let holder = Holder { instance: name("entry-1"), incarnation: 1 };
        let mut terms = TermTable::default();
        let claim = LeaseRecord::Claim { holder, nonce: 0, expected_offset: None };
        terms.apply(&scope, 0, &claim);
        let names: Vec<_> = (0..targets).map(|index| name(&format!("engine-{index}"))).collect();
        let build = || {
            let mut orders = OrderTable::default();
            for upstream in &names {
                let target = Target { scope: scope.clone(), upstream: upstream.clone() };
                orders.apply_intent(&terms, 1, &target, 0, 1, &OrderAction::Drain);
            }
            orders
        };
        let (orders, bytes) = measure_memory(build);
        let target = Target { scope: scope.clone(), upstream: names[0].clone() };
        let read_ns = time_ns(|| orders.newest(&target).is_some());
        rows.push(vec![
            targets.to_string(),
            format!("{:.0}", bytes / 1_024.0),
            format!("{read_ns:.0}"),
        ]);
    }
    print_table("Order table", &["upstreams", "state (KiB)", "one lookup (ns)"], &rows);
}

fn measure_upstream_selection() {
    let mut rows = Vec::new();
    let mut points = Vec::new();
    for count in [4, 50, 200, 740, 3_700] {
        let candidates: Vec<Candidate> = (0..count)
            .map(|index| Candidate {
                local_load_units: index % 7,
                in_flight: index % 13,
                slots: 64,
                distance: Distance::SameDomain,
                accepts_work: true,
                domain_weight: 1,
                prefix_hit_ratio: 0.0,
                last_used_sequence: u64::from(index),
            })
            .collect();
        let pick_ns = time_ns(|| pick_upstream(&candidates, 5));
        points.push((f64::from(count), pick_ns));
        rows.push(vec![count.to_string(), format!("{:.2}", pick_ns / 1_000.0)]);
    }
    print_table("Selection of an upstream", &["candidates", "one selection (µs)"], &rows);
    println!("\nslope: {:.1} ns per candidate", slope(&points));
}
