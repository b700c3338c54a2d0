//! Authenticates callers and resolves the route of each request.

use cowslip_codec::ApiKey;
use cowslip_config::{Admission, Workspace};
use cowslip_name::Name;
use cowslip_scheduling::QueuedRequest;

use super::{AcquireRequest, AdmissionError, Hub, RequestedRoute};
use crate::events::Event;

/// Workspace that requests over open routes are accounted to.
const OPEN_WORKSPACE: &str = "open";
/// Most requests in flight over open routes at one instance.
const OPEN_MAX_IN_FLIGHT: u32 = 256;

/// Deployment or service whose upstreams may run an authorized request.
#[derive(Clone, Debug)]
pub(super) enum ResolvedRoute {
    Deployment(Name),
    Service { service: Name, is_idempotent: bool },
}

/// A request that passed authorization and can be queued.
#[derive(Debug)]
pub(super) struct AuthorizedRequest {
    pub(super) route: ResolvedRoute,
    pub(super) queue_entry: QueuedRequest,
    pub(super) prompt_tokens: u64,
    pub(super) digest: [u8; 32],
}

impl Hub {
    /// Returns the workspace of a bearer's API key.
    fn authenticate(&self, bearer: Option<&str>) -> Result<&Workspace, AdmissionError> {
        let api_key = bearer.and_then(ApiKey::parse).ok_or(AdmissionError::InvalidApiKey)?;
        let key = self.state.config.key(&api_key.name).ok_or(AdmissionError::InvalidApiKey)?;
        if !api_key.matches(key) {
            return Err(AdmissionError::InvalidApiKey);
        }
        self.state.config.workspace(&key.workspace).ok_or(AdmissionError::InvalidApiKey)
    }

    fn check_admission(&self) -> Result<(), AdmissionError> {
        if self.is_stopping {
            return Err(AdmissionError::NotReady);
        }
        match self.admission(self.clock.now_ms()) {
            Admission::Admit | Admission::AdmitStale => Ok(()),
            Admission::Stop(_) => Err(AdmissionError::NotReady),
        }
    }

    pub(super) fn models(&self, bearer: Option<&str>) -> Result<Vec<Name>, AdmissionError> {
        self.check_admission()?;
        let workspace = self.authenticate(bearer)?;
        let is_deployed = |name: &&Name| self.state.config.deployment(name).is_some();
        Ok(workspace.deployments.iter().filter(is_deployed).cloned().collect())
    }

    /// Authorizes a request and resolves its route.
    pub(super) fn authorize_request(
        &self,
        request: &AcquireRequest,
    ) -> Result<AuthorizedRequest, AdmissionError> {
        self.check_admission()?;
        let (route, workspace) = self.resolve_route(request)?;
        if self.is_quarantined(&request.digest) {
            Event::PoisonRefused.emit(&self.own_id.instance, format_args!("{}", workspace.name));
            return Err(AdmissionError::PoisonRequest);
        }
        let queue_entry = QueuedRequest {
            workspace: workspace.name,
            share_weight: workspace.share_weight,
            max_in_flight: workspace.max_in_flight,
            cost_tokens: request.cost_tokens.max(1),
        };
        let (prompt_tokens, digest) = (request.prompt_tokens, request.digest);
        Ok(AuthorizedRequest { route, queue_entry, prompt_tokens, digest })
    }

    fn resolve_route(
        &self,
        request: &AcquireRequest,
    ) -> Result<(ResolvedRoute, Workspace), AdmissionError> {
        match &request.route {
            RequestedRoute::Model(model) => {
                let workspace = self.authenticate(request.bearer.as_deref())?;
                let name = Name::new(model).map_err(|_| AdmissionError::NotFound)?;
                if !workspace.deployments.contains(&name) {
                    return Err(AdmissionError::NotAllowed);
                }
                let deployment =
                    self.state.config.deployment(&name).ok_or(AdmissionError::NotFound)?;
                Ok((ResolvedRoute::Deployment(deployment.name.clone()), workspace.clone()))
            }
            RequestedRoute::Service { service, method, path } => {
                let workspace = self.authenticate(request.bearer.as_deref())?;
                let name = Name::new(service).map_err(|_| AdmissionError::NotFound)?;
                if !workspace.services.contains(&name) {
                    return Err(AdmissionError::NotAllowed);
                }
                Ok((self.resolve_service(&name, method, path)?, workspace.clone()))
            }
            RequestedRoute::Open { method, path } => {
                let open_route =
                    self.state.config.open_route(path).ok_or(AdmissionError::NotFound)?;
                let route = self.resolve_service(&open_route.service, method, path)?;
                Ok((route, open_workspace()))
            }
        }
    }

    fn resolve_service(
        &self,
        name: &Name,
        method: &str,
        path: &str,
    ) -> Result<ResolvedRoute, AdmissionError> {
        let service = self.state.config.service(name).ok_or(AdmissionError::NotFound)?;
        let is_idempotent = service.is_idempotent(method, path);
        Ok(ResolvedRoute::Service { service: name.clone(), is_idempotent })
    }
}

fn open_workspace() -> Workspace {
    Workspace {
        name: Name::new(OPEN_WORKSPACE).expect("the constant is a name"),
        share_weight: 1,
        max_in_flight: OPEN_MAX_IN_FLIGHT,
        deployments: Vec::new(),
        services: Vec::new(),
    }
}
