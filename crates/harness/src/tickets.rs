//! Tickets for tests and the demo.

use std::net::SocketAddr;

use cowslip_codec::issue_api_key;
use cowslip_name::Name;
use cowslip_proto as proto;

/// API keys that the initial ticket registers.
#[derive(Clone, Debug)]
pub struct TestApiKeys {
    /// API key of workspace `co-op`, which may call deployment `hay` and service `shop`.
    pub authorized: String,
    /// API key of workspace `packers`, which may call no deployment and no service.
    pub unauthorized: String,
}

fn name(text: &str) -> Name {
    Name::new(text).expect("constant names are valid")
}

/// Returns the configuration of an engine or service instance as an upstream.
#[must_use]
pub fn upstream_config(
    upstream_name: &str,
    address: SocketAddr,
    fencing: proto::Fencing,
) -> proto::Upstream {
    proto::Upstream {
        name: name(upstream_name),
        address: address.to_string(),
        failure_domain: name("uusimaa"),
        tier: proto::Tier::Standard,
        fencing,
        role: proto::Role::Mixed,
        drained: false,
        slots: 4_096,
    }
}

/// Returns a ticket with a fixed author and reason.
#[must_use]
pub fn ticket(number: u64, objects: Vec<proto::ObjectState>) -> proto::Ticket {
    proto::Ticket { number, author: name("aino"), reason: "test".to_owned(), objects }
}

/// Returns the initial ticket and the API keys that it registers: two workspaces with a key each,
/// deployment `hay`, service `shop` and open route `/stock/`.
#[must_use]
pub fn initial_ticket(
    number: u64,
    engines: Vec<proto::Upstream>,
    services: Vec<proto::Upstream>,
) -> (proto::Ticket, TestApiKeys) {
    let workspace = |workspace_name: &str, deployments: Vec<Name>, services: Vec<Name>| {
        proto::ObjectState::Workspace(proto::Workspace {
            name: name(workspace_name),
            share_weight: 1,
            max_in_flight: 4_096,
            deployments,
            services,
        })
    };
    let (authorized, authorized_key) =
        issue_api_key(name("co-op"), name("co-op"), b"saltsalt", "secret1");
    let (unauthorized, unauthorized_key) =
        issue_api_key(name("packers"), name("packers"), b"saltsalt", "secret2");
    let call_rule = |method: &str, path_prefix: &str, idempotent| proto::CallRule {
        method: method.to_owned(),
        path_prefix: path_prefix.to_owned(),
        idempotent,
    };
    let objects = vec![
        workspace("co-op", vec![name("hay")], vec![name("shop")]),
        workspace("packers", Vec::new(), Vec::new()),
        proto::ObjectState::Key(authorized_key),
        proto::ObjectState::Key(unauthorized_key),
        proto::ObjectState::Deployment(proto::Deployment {
            name: name("hay"),
            upstreams: engines,
            shares: Vec::new(),
        }),
        proto::ObjectState::Service(proto::Service {
            name: name("shop"),
            upstreams: services,
            calls: vec![call_rule("GET", "/stock/", true), call_rule("POST", "/bookings", false)],
        }),
        proto::ObjectState::OpenRoute(proto::OpenRoute {
            name: name("stock"),
            service: name("shop"),
            path_prefix: "/stock/".to_owned(),
        }),
    ];
    (ticket(number, objects), TestApiKeys { authorized, unauthorized })
}
