//! Objects of the configuration.

use std::net::SocketAddr;

use cowslip_name::Name;

/// Kind of a configured object.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ObjectKind {
    /// Tenant, see [`Workspace`].
    Workspace,
    /// API key, see [`Key`].
    Key,
    /// Model with its engines, see [`Deployment`].
    Deployment,
    /// Service other than a model, see [`Service`].
    Service,
    /// Path prefix that needs no key, see [`OpenRoute`].
    OpenRoute,
}

/// Kind and name of an object.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ObjectId {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name, unique within the kind.
    pub name: Name,
}

/// Complete state of one object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Object {
    /// A workspace, which is a tenant.
    Workspace(Workspace),
    /// An API key of a caller.
    Key(Key),
    /// A model with its engines.
    Deployment(Deployment),
    /// A service other than a model.
    Service(Service),
    /// A path prefix that needs no key.
    OpenRoute(OpenRoute),
}

impl Object {
    /// Returns the kind and name of the object.
    #[must_use]
    pub fn id(&self) -> ObjectId {
        let (kind, name) = match self {
            Self::Workspace(workspace) => (ObjectKind::Workspace, &workspace.name),
            Self::Key(key) => (ObjectKind::Key, &key.name),
            Self::Deployment(deployment) => (ObjectKind::Deployment, &deployment.name),
            Self::Service(service) => (ObjectKind::Service, &service.name),
            Self::OpenRoute(route) => (ObjectKind::OpenRoute, &route.name),
        };
        ObjectId { kind, name: name.clone() }
    }
}

/// A tenant with its share, its limit, and the deployments and services that it may call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Name,
    /// Relative share of the fleet's tokens, at least 1.
    pub share_weight: u32,
    /// Largest number of requests in flight at one instance, at least 1.
    pub max_in_flight: u32,
    /// Deployments that the workspace may call.
    pub deployments: Vec<Name>,
    /// Services that the workspace may call.
    pub services: Vec<Name>,
}

/// An API key, stored as a salted hash.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Key {
    /// Public part of the key.
    pub name: Name,
    /// Workspace that owns the key.
    pub workspace: Name,
    /// Salt of the hash, at least 8 bytes.
    pub salt: Vec<u8>,
    /// BLAKE3 hash of salt and secret.
    pub hash: [u8; 32],
}

/// Role of an engine.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Role {
    /// The engine runs both prefill and decode.
    Mixed,
    /// The engine only runs prefill.
    Prefill,
    /// The engine only runs decode.
    Decode,
}

/// Price class of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Tier {
    /// The upstream stays until it is given up.
    Standard,
    /// The upstream is cheaper and may be reclaimed at seconds' notice.
    Reclaimable,
}

/// Whether an upstream checks the fencing tokens of orders.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fencing {
    /// The upstream refuses orders with an old fencing token.
    Checked,
    /// The upstream ignores fencing tokens.
    Ignored,
}

/// An engine, or a process of another service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: Name,
    /// Socket address that the upstream listens on.
    pub address: SocketAddr,
    /// Failure domain that the upstream runs in.
    pub failure_domain: Name,
    /// Price class of the upstream.
    pub tier: Tier,
    /// Whether the upstream checks fencing tokens.
    pub fencing: Fencing,
    /// Role that the upstream should have, if it is an engine.
    pub role: Role,
    /// Whether the upstream is drained, that is, gets no new work.
    pub is_drained: bool,
    /// Number of requests that the upstream batches concurrently, at least 1.
    pub slots: u32,
}

/// A failure domain's share of a deployment's work.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DomainShare {
    /// Name of the failure domain.
    pub failure_domain: Name,
    /// Relative weight; 0 gives the domain no work.
    pub weight: u32,
}

/// A model and the engines that serve it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Deployment {
    /// Name of the model.
    pub name: Name,
    /// Engines that serve the model.
    pub upstreams: Vec<Upstream>,
    /// Shares by failure domain; a domain without an entry has weight 1.
    pub shares: Vec<DomainShare>,
}

/// Rule that states whether calls of a service may be retried.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallRule {
    /// HTTP method in upper case.
    pub method: String,
    /// Prefix of the request path.
    pub path_prefix: String,
    /// Whether the calls are idempotent, so that they may be retried.
    pub idempotent: bool,
}

/// A service other than a model.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Processes of the service.
    pub upstreams: Vec<Upstream>,
    /// Rules for retries: the first match decides, and a call without a match is not retried.
    pub calls: Vec<CallRule>,
}

impl Service {
    /// Whether a call is idempotent, so that it may be retried.
    #[must_use]
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        self.calls
            .iter()
            .find(|rule| rule.method == method && path.starts_with(&rule.path_prefix))
            .is_some_and(|rule| rule.idempotent)
    }
}

/// A path prefix of a service that needs no key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OpenRoute {
    /// Name of the route.
    pub name: Name,
    /// Service that serves the route.
    pub service: Name,
    /// Prefix of the request path.
    pub path_prefix: String,
}
