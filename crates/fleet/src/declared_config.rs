//! The declared configuration: routes, services, and the keys of workspaces.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use cowslip_allowance::Allowance;

/// The complete configuration in force; a change replaces all of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DeclaredConfig {
    /// Version, which increases with each change, not always by one.
    pub version: u64,
    /// Routes in no particular order.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// Owner of each API key; `None` if no request needs a key.
    pub keys: Option<HashMap<Arc<str>, KeyOwner>>,
    /// Allowances of the workspaces that have a limit.
    pub allowances: HashMap<Arc<str>, Allowance>,
    /// Explanations of values that have no effect.
    pub ignored: Vec<String>,
    /// Limits that apply to all callers.
    pub limits: CallerLimits,
}

/// Rules for the requests to one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host that requests name, in lowercase.
    pub host: Arc<str>,
    /// Prefix of the request path.
    pub path_prefix: Arc<str>,
    /// Whether and how requests may be retried.
    pub retry_safety: RetrySafety,
    /// Longest time that a request may wait for its response, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective of a response, or of the first event of a stream, in milliseconds.
    pub slo_ms: u64,
    /// Priority, 0 for the most urgent.
    pub priority: u8,
    /// Services that run the requests, with their weights.
    pub shares: Vec<ServiceShare>,
    /// Largest number of upstreams at which one request is attempted.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub is_open: bool,
}

/// Share of a route's requests that one service runs.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight among the route's services.
    pub weight: u32,
}

/// Whether a request may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetrySafety {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    AtMostOnce,
    /// The response is a stream of events. The request runs once, unless the stream can be resumed
    /// after the last event.
    Stream {
        /// Whether another upstream can resume the stream.
        is_resumable: bool,
    },
}

/// A group of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Whether the upstreams are engines with separate prefill and decode roles.
    pub is_engine: bool,
    /// Limits for ordering upstreams, `None` if they cannot be ordered.
    pub capacity: Option<CapacityLimits>,
}

/// Limits and price of the upstreams that can be ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityLimits {
    /// Smallest number in a failure domain.
    pub min: u32,
    /// Largest number in a failure domain, ordinary and reclaimable ones together.
    pub max: u32,
    /// Price of a reclaimable upstream relative to an ordinary one, `None` if none are offered.
    pub reclaimable_price: Option<f64>,
    /// Failure domains in which upstreams can be ordered.
    pub failure_domains: Vec<Arc<str>>,
}

/// The workspace that owns an API key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyOwner {
    /// Name of the workspace.
    pub workspace: Arc<str>,
    /// Priority of requests with the key, which overrides that of the route.
    pub priority: Option<u8>,
}

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest size of a request body, in bytes.
    pub max_body_bytes: usize,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self { max_body_bytes: 1_048_576 }
    }
}

/// Reason why a request is not authorized.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// No route matches the host and path.
    NoRoute,
    /// The key is missing, or no workspace owns it.
    BadKey,
}

/// Route, workspace and priority of an authorized request.
#[derive(Clone, Debug, PartialEq)]
pub struct Authorized {
    /// Route that matches the request.
    pub route: Arc<Route>,
    /// Workspace that owns the key of the request; `None` if the request needs no key.
    pub workspace: Option<Arc<str>>,
    /// Priority, 0 for the most urgent.
    pub priority: u8,
}

impl DeclaredConfig {
    /// Returns the route, workspace and priority of a request.
    ///
    /// # Errors
    /// Returns a [`Denial`] if no route matches the request or its key is not valid.
    pub fn authorize(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<Authorized, Denial> {
        let route = self.route_for(host, path).ok_or(Denial::NoRoute)?;
        let keys = match &self.keys {
            Some(keys) if !route.is_open => keys,
            _ => {
                return Ok(Authorized {
                    route: route.clone(),
                    workspace: None,
                    priority: route.priority,
                });
            }
        };
        let owner = key.and_then(|key| keys.get(key)).ok_or(Denial::BadKey)?;
        let workspace = Some(owner.workspace.clone());
        Ok(Authorized {
            route: route.clone(),
            workspace,
            priority: owner.priority.unwrap_or(route.priority),
        })
    }

    /// Returns the route of the host with the longest matching path prefix.
    fn route_for(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let path = path.split('?').next().unwrap_or(path);
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&*route.path_prefix))
            .max_by_key(|route| route.path_prefix.len())
    }
}

impl Route {
    /// Picks a service for a request by weight; `random` is any random number.
    #[must_use]
    pub fn pick_service(&self, random: u64) -> Option<&Arc<str>> {
        let total: u64 = self.shares.iter().map(|share| u64::from(share.weight)).sum();
        let mut remaining = random.checked_rem(total)?;
        self.shares.iter().find_map(|share| {
            let weight = u64::from(share.weight);
            let is_picked = remaining < weight;
            remaining = remaining.saturating_sub(weight);
            is_picked.then_some(&share.service)
        })
    }
}
