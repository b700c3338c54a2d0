//! The configured objects.

use std::net::SocketAddr;

use cowslip_name::Name;

/// Kinds of configured object.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ObjectKind {
    /// A [`Workspace`].
    Workspace,
    /// A [`Key`].
    Key,
    /// A [`Deployment`].
    Deployment,
    /// A [`Service`].
    Service,
    /// An [`OpenRoute`].
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

/// The whole state of one object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Object {
    /// A tenant.
    Workspace(Workspace),
    /// A caller's key.
    Key(Key),
    /// A model and its engines.
    Deployment(Deployment),
    /// A plain service.
    Service(Service),
    /// A path that needs no key.
    OpenRoute(OpenRoute),
}

impl Object {
    /// Kind and name.
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

/// A tenant: what it may call and its share.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: Name,
    /// Relative share of the fleet's tokens, at least 1.
    pub share_weight: u32,
    /// Requests in flight at one instance.
    pub max_in_flight: u32,
    /// Deployments that it may call.
    pub deployments: Vec<Name>,
    /// Services that it may call.
    pub services: Vec<Name>,
}

/// A caller's key, kept as a salted hash.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Key {
    /// Public part of the key.
    pub name: Name,
    /// Workspace that the key speaks for.
    pub workspace: Name,
    /// Salt of the hash.
    pub salt: Vec<u8>,
    /// BLAKE3 of salt and secret.
    pub hash: [u8; 32],
}

/// What an engine does.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Role {
    /// Prefill and decode.
    Mixed,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// Price class of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Tier {
    /// Kept until it is given back.
    Standard,
    /// Cheaper, and taken away at seconds' notice.
    Reclaimable,
}

/// Whether an upstream refuses orders with an old fencing number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fencing {
    /// It refuses them.
    Checked,
    /// It ignores the number.
    Ignored,
}

/// One engine or plain service process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: Name,
    /// Price class.
    pub tier: Tier,
    /// Whether it checks fencing numbers.
    pub fencing: Fencing,
    /// Wanted role.
    pub role: Role,
    /// Whether it is kept without new work.
    pub is_drained: bool,
    /// Requests that it batches at once, at least 1.
    pub slots: u32,
}

/// A failure domain's share of a deployment's work.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DomainShare {
    /// The failure domain.
    pub failure_domain: Name,
    /// Relative weight; 0 gives it no work.
    pub weight: u32,
}

/// A model and the engines that serve it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Deployment {
    /// Name of the model.
    pub name: Name,
    /// Its engines.
    pub upstreams: Vec<Upstream>,
    /// Shares by failure domain; a domain without a row has weight 1.
    pub shares: Vec<DomainShare>,
}

/// Which calls of a service may be repeated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallRule {
    /// HTTP method in capitals.
    pub method: String,
    /// Start of the path.
    pub path_prefix: String,
    /// Whether a repeat does no harm.
    pub idempotent: bool,
}

/// A plain service beside the engines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Name,
    /// Its processes.
    pub upstreams: Vec<Upstream>,
    /// Rules, the first match decides; a call without a match may not be repeated.
    pub calls: Vec<CallRule>,
}

impl Service {
    /// Whether a call may be repeated.
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
    /// Service that answers.
    pub service: Name,
    /// Start of the path.
    pub path_prefix: String,
}
