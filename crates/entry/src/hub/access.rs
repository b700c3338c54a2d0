//! Who may call what.

use cowslip_codec::ApiKey;
use cowslip_config::{Admission, Workspace};
use cowslip_name::Name;
use cowslip_scheduling::QueuedRequest;

use super::{Goal, Hub, Refusal, Wanted};
use crate::events::Event;

/// Workspace that open routes are accounted to.
const OPEN_WORKSPACE: &str = "open";
/// Limit of requests in flight over open routes at one instance.
const OPEN_MAX_IN_FLIGHT: u32 = 256;

/// Where an authorised request may run.
#[derive(Clone, Debug)]
pub(super) enum Place {
    Deployment(Name),
    Service { service: Name, is_idempotent: bool },
}

/// What is asked for, once it is authorised.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) place: Place,
    pub(super) claim: QueuedRequest,
    pub(super) prompt_tokens: u64,
    pub(super) digest: [u8; 32],
}

impl Hub {
    /// The workspace that a bearer's key speaks for.
    fn authorise(&self, bearer: Option<&str>) -> Result<&Workspace, Refusal> {
        let caller = bearer.and_then(ApiKey::parse).ok_or(Refusal::BadKey)?;
        let key = self.state.config.key(&caller.name).ok_or(Refusal::BadKey)?;
        if !caller.matches(key) {
            return Err(Refusal::BadKey);
        }
        self.state.config.workspace(&key.workspace).ok_or(Refusal::BadKey)
    }

    fn check_admission(&self) -> Result<(), Refusal> {
        if self.is_stopping {
            return Err(Refusal::NotReady);
        }
        match self.admission(self.clock.now_ms()) {
            Admission::Admit | Admission::AdmitStale => Ok(()),
            Admission::Stop(_) => Err(Refusal::NotReady),
        }
    }

    pub(super) fn models(&self, bearer: Option<&str>) -> Result<Vec<Name>, Refusal> {
        self.check_admission()?;
        let workspace = self.authorise(bearer)?;
        let is_deployed = |name: &&Name| self.state.config.deployment(name).is_some();
        Ok(workspace.deployments.iter().filter(is_deployed).cloned().collect())
    }

    /// The request as it may run, or why it may not.
    pub(super) fn judge(&self, wanted: &Wanted) -> Result<Request, Refusal> {
        self.check_admission()?;
        let (place, workspace) = self.place(wanted)?;
        if self.suspects.is_quarantined(&wanted.digest) {
            Event::PoisonRefused.emit(&self.me.instance, format_args!("{}", workspace.name));
            return Err(Refusal::Poison);
        }
        let claim = QueuedRequest {
            workspace: workspace.name,
            share_weight: workspace.share_weight,
            max_in_flight: workspace.max_in_flight,
            cost_tokens: wanted.cost_tokens.max(1),
        };
        let (prompt_tokens, digest) = (wanted.prompt_tokens, wanted.digest);
        Ok(Request { place, claim, prompt_tokens, digest })
    }

    fn place(&self, wanted: &Wanted) -> Result<(Place, Workspace), Refusal> {
        match &wanted.goal {
            Goal::Model(model) => {
                let workspace = self.authorise(wanted.bearer.as_deref())?;
                let name = Name::new(model).map_err(|_| Refusal::NotFound)?;
                if !workspace.deployments.contains(&name) {
                    return Err(Refusal::NotAllowed);
                }
                let deployment = self.state.config.deployment(&name).ok_or(Refusal::NotFound)?;
                Ok((Place::Deployment(deployment.name.clone()), workspace.clone()))
            }
            Goal::Service { service, method, path } => {
                let workspace = self.authorise(wanted.bearer.as_deref())?;
                let name = Name::new(service).map_err(|_| Refusal::NotFound)?;
                if !workspace.services.contains(&name) {
                    return Err(Refusal::NotAllowed);
                }
                Ok((self.service_place(&name, method, path)?, workspace.clone()))
            }
            Goal::Open { method, path } => {
                let route = self.state.config.open_route(path).ok_or(Refusal::NotFound)?;
                let place = self.service_place(&route.service, method, path)?;
                Ok((place, open_workspace()))
            }
        }
    }

    fn service_place(&self, name: &Name, method: &str, path: &str) -> Result<Place, Refusal> {
        let service = self.state.config.service(name).ok_or(Refusal::NotFound)?;
        let is_idempotent = service.is_idempotent(method, path);
        Ok(Place::Service { service: name.clone(), is_idempotent })
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
