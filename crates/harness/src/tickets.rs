//! Tickets for tests and the demo.

use std::net::SocketAddr;

use cowslip_codec::issue_api_key;
use cowslip_name::Name;
use cowslip_proto as proto;

/// Names of the objects of the first ticket, and the caller's token.
#[derive(Clone, Debug)]
pub struct Objects {
    /// Token of the caller.
    pub token: String,
    /// Token of another workspace, which may call nothing.
    pub other_token: String,
}

fn name(text: &str) -> Name {
    Name::new(text).expect("a constant name")
}

/// A row for an engine or service.
#[must_use]
pub fn engine_row(upstream: &str, address: SocketAddr, fencing: proto::Fencing) -> proto::Upstream {
    proto::Upstream {
        name: name(upstream),
        address: address.to_string(),
        failure_domain: name("uusimaa"),
        tier: proto::Tier::Standard,
        fencing,
        role: proto::Role::Mixed,
        drained: false,
        slots: 4_096,
    }
}

/// A ticket.
#[must_use]
pub fn ticket(number: u64, objects: Vec<proto::ObjectState>) -> proto::Ticket {
    proto::Ticket { number, author: name("aino"), reason: "test".to_owned(), objects }
}

/// Workspaces, keys, a deployment `hay`, a service `shop` and an open route `/stock/`.
#[must_use]
pub fn first_ticket(
    number: u64,
    engines: Vec<proto::Upstream>,
    services: Vec<proto::Upstream>,
) -> (proto::Ticket, Objects) {
    let workspace = |own: &str, deployments: Vec<Name>, services: Vec<Name>| {
        proto::ObjectState::Workspace(proto::Workspace {
            name: name(own),
            share_weight: 1,
            max_in_flight: 4_096,
            deployments,
            services,
        })
    };
    let (token, key) = issue_api_key(name("co-op"), name("co-op"), b"saltsalt", "secret1");
    let (other_token, other_key) =
        issue_api_key(name("packers"), name("packers"), b"saltsalt", "secret2");
    let rule = |method: &str, path: &str, idempotent| proto::CallRule {
        method: method.to_owned(),
        path_prefix: path.to_owned(),
        idempotent,
    };
    let objects = vec![
        workspace("co-op", vec![name("hay")], vec![name("shop")]),
        workspace("packers", Vec::new(), Vec::new()),
        proto::ObjectState::Key(key),
        proto::ObjectState::Key(other_key),
        proto::ObjectState::Deployment(proto::Deployment {
            name: name("hay"),
            upstreams: engines,
            shares: Vec::new(),
        }),
        proto::ObjectState::Service(proto::Service {
            name: name("shop"),
            upstreams: services,
            calls: vec![rule("GET", "/stock/", true), rule("POST", "/bookings", false)],
        }),
        proto::ObjectState::OpenRoute(proto::OpenRoute {
            name: name("stock"),
            service: name("shop"),
            path_prefix: "/stock/".to_owned(),
        }),
    ];
    (ticket(number, objects), Objects { token, other_token })
}
