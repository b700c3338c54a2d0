//! What the handlers of requests share: the ways out, and the right to use an upstream.

use std::time::Duration;

use cowslip_clock::Clock;
use cowslip_net::{Client, ClientOptions};
use cowslip_proto::LimitSettings;

use super::refusal::CallerError;
use crate::config::Config;
use crate::hub::{Begun, Ending, Grant, HubMessage, Refusal, Spent, Wanted};
use crate::metrics::Metrics;
use crate::tasks::HubHandle;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const USER_TIMEOUT: Duration = Duration::from_secs(10);

/// What every request handler needs.
#[derive(Clone, Debug)]
pub(crate) struct Shared {
    pub(crate) hub: HubHandle,
    pub(crate) client: Client,
    pub(crate) limits: LimitSettings,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) me: cowslip_name::Name,
}

impl Shared {
    pub(crate) fn new(config: &Config, clock: Clock, metrics: Metrics, hub: HubHandle) -> Self {
        let options =
            ClientOptions { connect_timeout: CONNECT_TIMEOUT, user_timeout: USER_TIMEOUT };
        Self {
            hub,
            client: Client::new(options),
            limits: config.settings.limits.clone(),
            clock,
            metrics,
            me: config.settings.instance.name.clone(),
        }
    }

    /// Longest time of one request.
    pub(crate) fn deadline(&self) -> Duration {
        Duration::from_millis(self.limits.request_deadline_ms)
    }

    /// Asks for an upstream.
    pub(crate) async fn begin(&self, wanted: Wanted) -> Result<Lease, CallerError> {
        match self.hub.ask(|reply| HubMessage::Begin { wanted, reply }).await {
            Some(Begun::Granted(grant)) => Ok(Lease { shared: self.clone(), grant: Some(grant) }),
            Some(Begun::Refused(refusal)) => Err(CallerError::from_refusal(refusal)),
            None => Err(CallerError::from_refusal(Refusal::NotReady)),
        }
    }
}

/// The right to use an upstream, given back when dropped.
#[derive(Debug)]
pub(crate) struct Lease {
    shared: Shared,
    grant: Option<Grant>,
}

impl Lease {
    /// The grant in force.
    pub(crate) fn grant(&self) -> &Grant {
        self.grant.as_ref().expect("a lease holds its grant until it is given back")
    }

    /// Gives the grant back with what became of the upstream and what was used.
    pub(crate) async fn end(mut self, ending: Ending, spent: Spent) {
        if let Some(grant) = self.grant.take() {
            self.shared.hub.tell(HubMessage::End { grant: grant.id, ending, spent }).await;
        }
    }

    /// Exchanges the grant for one at another upstream.
    pub(crate) async fn move_on(mut self, ending: Ending) -> Result<Self, CallerError> {
        let grant = self.grant().id;
        self.grant = None;
        let hub = self.shared.hub.clone();
        match hub.ask(|reply| HubMessage::Move { grant, ending, reply }).await {
            Some(Begun::Granted(grant)) => {
                self.grant = Some(grant);
                Ok(self)
            }
            Some(Begun::Refused(refusal)) => Err(CallerError::from_refusal(refusal)),
            None => Err(CallerError::from_refusal(Refusal::NotReady)),
        }
    }
}

impl Drop for Lease {
    /// The caller is gone: its handler was dropped in the middle.
    fn drop(&mut self) {
        if let Some(grant) = self.grant.take() {
            let hub = self.shared.hub.clone();
            let spent = Spent::default();
            let message = HubMessage::End { grant: grant.id, ending: Ending::Finished, spent };
            compio::runtime::spawn(async move { hub.tell(message).await }).detach();
        }
    }
}
