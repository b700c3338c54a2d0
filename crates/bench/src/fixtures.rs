//! Generated tickets, heartbeats and members of any size.

use std::collections::BTreeMap;

use cowslip_codec::{issue_api_key, ticket_from_proto};
use cowslip_config::Ticket;
use cowslip_membership::{Heartbeat, ListedMember, Members};
use cowslip_name::Name;
use cowslip_proto as proto;

pub(crate) fn name(text: &str) -> Name {
    Name::new(text).expect("generated names are valid")
}

/// Returns one ticket per object: workspaces with one key each, and deployments that share the
/// upstreams evenly.
pub(crate) fn tickets(
    workspaces: usize,
    upstreams: usize,
    deployments: usize,
) -> Vec<proto::Ticket> {
    let mut objects: Vec<proto::ObjectState> = Vec::new();
    for index in 0..workspaces {
        let workspace = name(&format!("workspace-{index}"));
        objects.push(proto::ObjectState::Workspace(proto::Workspace {
            name: workspace.clone(),
            share_weight: 1,
            max_in_flight: 64,
            deployments: (0..deployments).map(|model| name(&format!("model-{model}"))).collect(),
            services: vec![name("shop")],
        }));
        let (_, key) =
            issue_api_key(name(&format!("key-{index}")), workspace, b"saltsalt", "secret");
        objects.push(proto::ObjectState::Key(key));
    }
    for model in 0..deployments {
        let model_upstreams = (model..upstreams).step_by(deployments).map(upstream);
        objects.push(proto::ObjectState::Deployment(proto::Deployment {
            name: name(&format!("model-{model}")),
            upstreams: model_upstreams.collect(),
            shares: Vec::new(),
        }));
    }
    (1u64..).zip(objects).map(|(number, object)| ticket(number, object)).collect()
}

pub(crate) fn ticket(number: u64, object: proto::ObjectState) -> proto::Ticket {
    let (author, reason) = (name("operator"), "a change".to_owned());
    proto::Ticket { number, author, reason, objects: vec![object] }
}

/// Returns a workspace whose name depends on the number, with 1,200 different names.
pub(crate) fn workspace(number: u64) -> proto::ObjectState {
    proto::ObjectState::Workspace(proto::Workspace {
        name: name(&format!("workspace-{}", number % 1_200)),
        share_weight: 1,
        max_in_flight: 64,
        deployments: Vec::new(),
        services: Vec::new(),
    })
}

fn upstream(index: usize) -> proto::Upstream {
    proto::Upstream {
        name: name(&format!("engine-{index}")),
        address: format!("10.{}.{}.1:8000", index / 250, index % 250),
        failure_domain: name(&format!("domain-{}", index % 17)),
        tier: proto::Tier::Standard,
        fencing: proto::Fencing::Checked,
        role: proto::Role::Mixed,
        drained: false,
        slots: 64,
    }
}

/// Decodes generated tickets.
pub(crate) fn decode_tickets(tickets: &[proto::Ticket]) -> Vec<Ticket> {
    tickets
        .iter()
        .map(|ticket| ticket_from_proto(ticket).expect("generated tickets are valid"))
        .collect()
}

/// Returns an encodable heartbeat of an instance with requests in flight at `loads` upstreams.
pub(crate) fn proto_heartbeat(instance: usize, loads: usize) -> proto::Heartbeat {
    proto::Heartbeat {
        from: proto::Holder { instance: name(&format!("entry-{instance}")), incarnation: u64::MAX },
        failure_domain: name(&format!("domain-{}", instance % 17)),
        next_offset: 1_000_000,
        fresh_age_ms: Some(100),
        in_flight: 40,
        draining: Vec::new(),
        suspects: Vec::new(),
        loads: (0..loads)
            .map(|index| proto::UpstreamLoad {
                upstream: name(&format!("engine-{index}")),
                in_flight: 4,
            })
            .collect(),
    }
}

/// Returns the decoded heartbeat of an instance with requests in flight at `loads` upstreams.
pub(crate) fn member_heartbeat(loads: usize) -> Heartbeat {
    let loads = (0..loads).map(|index| (name(&format!("engine-{index}")), 4));
    Heartbeat {
        incarnation: 1,
        failure_domain: name("domain-1"),
        next_offset: 1_000_000,
        in_flight: 40,
        loads: loads.collect::<BTreeMap<_, _>>(),
        drained: Vec::new(),
    }
}

/// Returns the members of a fleet with `count` instances, after a heartbeat from each peer.
pub(crate) fn members(count: usize, loads: usize) -> Members {
    let mut members = Members::new(name("entry-0"), 3_000);
    members.set_list((0..count).map(|index| ListedMember {
        name: name(&format!("entry-{index}")),
        peer_address: ([10, 0, 0, 1], 1).into(),
        failure_domain: name(&format!("domain-{}", index % 17)),
        is_draining: false,
    }));
    for index in 1..count {
        members.on_heartbeat(0, &name(&format!("entry-{index}")), member_heartbeat(loads));
    }
    members
}
