//! Validation of a ticket on its own, without the current configuration.

use std::collections::BTreeSet;
use std::fmt;

use crate::config_state::Ticket;
use crate::object::{Deployment, Object, OpenRoute, Service, Upstream, Workspace};

/// An invalid part of a ticket.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ValidationError {
    /// Path of keys to the invalid part.
    pub path: String,
    /// Rule that the part violates.
    pub reason: &'static str,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

struct ValidationErrors(Vec<ValidationError>);

impl ValidationErrors {
    fn add_if(&mut self, is_invalid: bool, path: impl FnOnce() -> String, reason: &'static str) {
        if is_invalid {
            self.0.push(ValidationError { path: path(), reason });
        }
    }
}

/// Returns all errors of a ticket; the list is empty if the ticket is valid.
#[must_use]
pub fn validate(ticket: &Ticket) -> Vec<ValidationError> {
    let mut errors = ValidationErrors(Vec::new());
    errors.add_if(ticket.number == 0, || "number".to_owned(), "ticket numbers start at 1");
    errors.add_if(ticket.changes.is_empty(), || "objects".to_owned(), "touches no object");
    let mut ids = BTreeSet::new();
    for (index, (id, object)) in ticket.changes.iter().enumerate() {
        let path = || format!("objects[{index}] {}", id.name);
        errors.add_if(!ids.insert(id), path, "the object stands twice in the ticket");
        if let Some(object) = object {
            check_object(&mut errors, &path(), object);
        }
    }
    errors.0
}

fn check_object(errors: &mut ValidationErrors, path: &str, object: &Object) {
    match object {
        Object::Workspace(workspace) => check_workspace(errors, path, workspace),
        Object::Key(key) => {
            let path = || format!("{path}.salt_hex");
            errors.add_if(key.salt.len() < 8, path, "a salt has at least 8 bytes");
        }
        Object::Deployment(deployment) => check_deployment(errors, path, deployment),
        Object::Service(service) => check_service(errors, path, service),
        Object::OpenRoute(route) => check_open_route(errors, path, route),
    }
}

fn check_workspace(errors: &mut ValidationErrors, path: &str, workspace: &Workspace) {
    let weight_path = || format!("{path}.share_weight");
    errors.add_if(workspace.share_weight == 0, weight_path, "a share is at least 1");
    let limit_path = || format!("{path}.max_in_flight");
    errors.add_if(workspace.max_in_flight == 0, limit_path, "a limit is at least 1");
}

fn check_deployment(errors: &mut ValidationErrors, path: &str, deployment: &Deployment) {
    check_upstreams(errors, path, &deployment.upstreams);
    let mut domains = BTreeSet::new();
    for share in &deployment.shares {
        let path = || format!("{path}.shares {}", share.failure_domain);
        errors.add_if(!domains.insert(&share.failure_domain), path, "the domain stands twice");
    }
}

fn check_service(errors: &mut ValidationErrors, path: &str, service: &Service) {
    check_upstreams(errors, path, &service.upstreams);
    for (index, rule) in service.calls.iter().enumerate() {
        let prefix_path = || format!("{path}.calls[{index}].path_prefix");
        errors.add_if(!rule.path_prefix.starts_with('/'), prefix_path, "a path starts with '/'");
        let method_path = || format!("{path}.calls[{index}].method");
        let is_upper = rule.method.chars().all(|c| c.is_ascii_uppercase());
        errors.add_if(!is_upper || rule.method.is_empty(), method_path, "a method is in capitals");
    }
}

fn check_open_route(errors: &mut ValidationErrors, path: &str, route: &OpenRoute) {
    let path = || format!("{path}.path_prefix");
    errors.add_if(!route.path_prefix.starts_with('/'), path, "a path starts with '/'");
}

fn check_upstreams(errors: &mut ValidationErrors, path: &str, upstreams: &[Upstream]) {
    let mut names = BTreeSet::new();
    let mut addresses = BTreeSet::new();
    for upstream in upstreams {
        let path = || format!("{path}.upstreams {}", upstream.name);
        errors.add_if(!names.insert(&upstream.name), path, "the upstream stands twice");
        errors.add_if(!addresses.insert(upstream.address), path, "the address stands twice");
        errors.add_if(upstream.slots == 0, path, "an upstream has at least 1 slot");
    }
}
