//! Checks of a ticket that need nothing but the ticket.

use std::collections::BTreeSet;
use std::fmt;

use crate::config_state::Ticket;
use crate::object::{Deployment, Object, OpenRoute, Service, Upstream, Workspace};

/// Something wrong with a ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Problem {
    /// Where, as a path of keys.
    pub path: String,
    /// What is wrong.
    pub reason: &'static str,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

struct Problems(Vec<Problem>);

impl Problems {
    fn add_if(&mut self, is_wrong: bool, at: impl FnOnce() -> String, reason: &'static str) {
        if is_wrong {
            self.0.push(Problem { path: at(), reason });
        }
    }
}

/// Every problem of the ticket at once, empty if there is none.
#[must_use]
pub fn validate(ticket: &Ticket) -> Vec<Problem> {
    let mut problems = Problems(Vec::new());
    problems.add_if(ticket.number == 0, || "number".to_owned(), "ticket numbers start at 1");
    problems.add_if(ticket.changes.is_empty(), || "objects".to_owned(), "touches no object");
    let mut seen = BTreeSet::new();
    for (index, (id, object)) in ticket.changes.iter().enumerate() {
        let at = || format!("objects[{index}] {}", id.name);
        problems.add_if(!seen.insert(id), at, "the object stands twice in the ticket");
        if let Some(object) = object {
            check_object(&mut problems, &at(), object);
        }
    }
    problems.0
}

fn check_object(problems: &mut Problems, at: &str, object: &Object) {
    match object {
        Object::Workspace(workspace) => check_workspace(problems, at, workspace),
        Object::Key(key) => {
            let at = || format!("{at}.salt_hex");
            problems.add_if(key.salt.len() < 8, at, "a salt has at least 8 bytes");
        }
        Object::Deployment(deployment) => check_deployment(problems, at, deployment),
        Object::Service(service) => check_service(problems, at, service),
        Object::OpenRoute(route) => check_open_route(problems, at, route),
    }
}

fn check_workspace(problems: &mut Problems, at: &str, workspace: &Workspace) {
    let weight_at = || format!("{at}.share_weight");
    problems.add_if(workspace.share_weight == 0, weight_at, "a share is at least 1");
    let limit_at = || format!("{at}.max_in_flight");
    problems.add_if(workspace.max_in_flight == 0, limit_at, "a limit is at least 1");
}

fn check_deployment(problems: &mut Problems, at: &str, deployment: &Deployment) {
    check_upstreams(problems, at, &deployment.upstreams);
    let mut domains = BTreeSet::new();
    for share in &deployment.shares {
        let at = || format!("{at}.shares {}", share.failure_domain);
        problems.add_if(!domains.insert(&share.failure_domain), at, "the domain stands twice");
    }
}

fn check_service(problems: &mut Problems, at: &str, service: &Service) {
    check_upstreams(problems, at, &service.upstreams);
    for (index, rule) in service.calls.iter().enumerate() {
        let path_at = || format!("{at}.calls[{index}].path_prefix");
        problems.add_if(!rule.path_prefix.starts_with('/'), path_at, "a path starts with '/'");
        let method_at = || format!("{at}.calls[{index}].method");
        let is_upper = rule.method.chars().all(|c| c.is_ascii_uppercase());
        problems.add_if(!is_upper || rule.method.is_empty(), method_at, "a method is in capitals");
    }
}

fn check_open_route(problems: &mut Problems, at: &str, route: &OpenRoute) {
    let at = || format!("{at}.path_prefix");
    problems.add_if(!route.path_prefix.starts_with('/'), at, "a path starts with '/'");
}

fn check_upstreams(problems: &mut Problems, at: &str, upstreams: &[Upstream]) {
    let mut names = BTreeSet::new();
    let mut addresses = BTreeSet::new();
    for upstream in upstreams {
        let at = || format!("{at}.upstreams {}", upstream.name);
        problems.add_if(!names.insert(&upstream.name), at, "the upstream stands twice");
        problems.add_if(!addresses.insert(upstream.address), at, "the address stands twice");
        problems.add_if(upstream.slots == 0, at, "an upstream has at least 1 slot");
    }
}
