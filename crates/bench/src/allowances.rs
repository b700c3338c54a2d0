//! Time and bytes of allowances up to the target number of workspaces.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use cowslip_allowance::{
    Admission, Allowance, AllowanceUnit, Bounds, Broker, Budget, Grant, GrantId, Granter,
    Reservation, Shares,
};
use cowslip_codec::encode_peer_message;
use cowslip_name::Name;
use cowslip_proto as proto;

use crate::fixtures::name;
use crate::markdown::print_table;
use crate::measurement::time_ns;

const BROKERS: usize = 35;
/// One workspace in this many has a demand that is reported.
const BUSY_EVERY: usize = 20;

/// Prints the time of each decision and the size of each message.
pub(crate) fn run() {
    let rows: Vec<Vec<String>> = [16, 300, 1_200].iter().map(|size| row(*size)).collect();
    let columns = [
        "workspaces",
        "admission (µs)",
        "reservation (µs)",
        "grant (µs)",
        "reservation call and reply (bytes)",
        "report and grant (bytes)",
    ];
    print_table("Allowances, 35 brokers, one workspace in 20 busy", &columns, &rows);
}

fn row(size: usize) -> Vec<String> {
    let names: Vec<Arc<str>> =
        (0..size).map(|index| Arc::from(format!("workspace-{index}"))).collect();
    let allowance = Allowance {
        unit: AllowanceUnit::Tokens,
        rate_per_s: 1e12,
        burst: 1e12,
        unstated_tokens: 200,
    };
    let budget = Budget::new(&allowance, &Bounds { window_s: 8.0, excess: 0.1, slack: 0.0 });
    let budgets: HashMap<Arc<str>, Budget> =
        names.iter().map(|name| (name.clone(), budget)).collect();
    let brokers: Vec<Name> = (0..BROKERS).map(|index| name(&format!("entry-{index}"))).collect();
    let mut admission = Admission::default();
    admission.set_budgets(0, budgets.clone());
    let mut broker = Broker::default();
    broker.set_budgets(0, budgets);
    let id = GrantId { fence: 1, number: 1 };
    let shares = Shares { default: 1.0 / BROKERS as f64, listed: BTreeMap::new() };
    broker.on_grant(0, Grant { id, shares }, u64::MAX);
    let reservation = Reservation { workspace: names[size / 2].clone(), cost: 100.0 };
    let admission_ns = time_ns(|| admission.next_step(1, &reservation, Some(1_100), &brokers, &[]));
    let reservation_ns = time_ns(|| broker.reserve(1_000, &reservation));

    let busy = names.iter().step_by(BUSY_EVERY);
    let demand: BTreeMap<Arc<str>, f64> = busy.map(|name| (name.clone(), 1e6)).collect();
    let listed: BTreeSet<Name> = brokers.iter().cloned().collect();
    let mut granter = Granter::new(0, 1, 6_000);
    let mut grant = None;
    for (index, broker) in brokers.iter().enumerate() {
        let own_demand = if index % 2 == 0 { demand.clone() } else { BTreeMap::new() };
        grant = granter.on_report(6_001, broker, None, own_demand, &listed);
    }
    let grant_ns = time_ns(|| {
        grant = granter.on_report(6_002, &brokers[0], grant.as_ref(), demand.clone(), &listed);
    });
    let grant = grant.unwrap_or_default();
    vec![
        size.to_string(),
        format!("{:.2}", admission_ns / 1_000.0),
        format!("{:.2}", reservation_ns / 1_000.0),
        format!("{:.0}", grant_ns / 1_000.0),
        (call_bytes(&reservation) + reply_bytes()).to_string(),
        format!("{} + {}", report_bytes(&grant, &demand), grant_bytes(&grant)),
    ]
}

fn call_bytes(reservation: &Reservation) -> usize {
    let row = proto::ReservationRow { workspace: reservation.workspace.to_string(), cost: 17_000 };
    let request = proto::ReservationRequest { reserve: vec![row], put_back: Vec::new() };
    encode_peer_message(&request).expect("a small message").len()
}

fn reply_bytes() -> usize {
    let result =
        proto::ReservationResult { is_reserved: true, has_grant: true, wait_ms: None, left: 0 };
    let reply = proto::ReservationReply { incarnation: 1, at_ms: 100_000, results: vec![result] };
    encode_peer_message(&reply).expect("a small message").len()
}

fn to_proto(grant: &Grant) -> proto::AllowanceGrant {
    let rows = grant.shares.listed.keys();
    proto::AllowanceGrant {
        fence: grant.id.fence,
        number: grant.id.number,
        default_ppm: 28_571,
        shares: rows
            .map(|name| proto::AllowanceShareRow { workspace: name.to_string(), share_ppm: 28_571 })
            .collect(),
    }
}

fn grant_bytes(grant: &Grant) -> usize {
    let offer = proto::AllowanceOffer { report_at_ms: 100_000, grant: to_proto(grant) };
    encode_peer_message(&offer).expect("a small message").len()
}

fn report_bytes(grant: &Grant, demand: &BTreeMap<Arc<str>, f64>) -> usize {
    let rows = demand.keys();
    let report = proto::AllowanceReport {
        at_ms: 100_000,
        held: Some(to_proto(grant)),
        demand: rows
            .map(|name| proto::AllowanceDemandRow { workspace: name.to_string(), per_s: 1_000_000 })
            .collect(),
    };
    encode_peer_message(&report).expect("a small message").len()
}
