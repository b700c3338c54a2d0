//! State that request handlers share, and the permit to use an upstream.

use std::time::Duration;

use cowslip_clock::Clock;
use cowslip_net::{Client, ClientOptions};
use cowslip_proto::LimitSettings;
use cowslip_task::{Expiry, ServiceEnd};

use super::error::CallerError;
use crate::config::Config;
use crate::hub::{
    AcquireRequest, AcquireResult, AdmissionError, Grant, HubMessage, RequestUsage, UpstreamOutcome,
};
use crate::metrics::Metrics;
use crate::tasks::HubHandle;

/// Longest wait for a connection to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time that the kernel resends unacknowledged data to an upstream.
const USER_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest idle time of a connection that is reused; upstreams keep theirs open for longer.
const MAX_IDLE: Duration = Duration::from_secs(5);

/// Channels, clients and limits that every request handler uses.
#[derive(Clone, Debug)]
pub(crate) struct HandlerContext {
    pub(crate) hub: HubHandle,
    pub(crate) client: Client,
    pub(crate) limits: LimitSettings,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) instance_name: cowslip_name::Name,
    pub(crate) service_end: ServiceEnd,
}

impl HandlerContext {
    /// Returns the context of handlers whose requests in flight end with `service_end`.
    pub(crate) fn new(
        config: &Config,
        clock: Clock,
        metrics: Metrics,
        hub: HubHandle,
        service_end: ServiceEnd,
    ) -> Self {
        let options = ClientOptions {
            connect_timeout: CONNECT_TIMEOUT,
            user_timeout: USER_TIMEOUT,
            max_idle: MAX_IDLE,
        };
        Self {
            hub,
            client: Client::new(options),
            limits: config.settings.limits.clone(),
            clock,
            metrics,
            instance_name: config.settings.instance.name.clone(),
            service_end,
        }
    }

    /// Returns the longest time that one request may take.
    fn request_timeout(&self) -> Duration {
        Duration::from_millis(self.limits.request_deadline_ms)
    }

    /// Runs work on a request that was admitted until it ends, the request's time is over, or service
    /// ends.
    pub(crate) async fn within_request_timeout<F, T>(&self, work: F) -> Result<T, CallerError>
    where
        F: Future<Output = Result<T, CallerError>>,
    {
        match self.service_end.within(self.request_timeout(), work).await {
            Ok(result) => result,
            Err(Expiry::Deadline) => Err(CallerError::DEADLINE),
            Err(Expiry::ServiceEnd) => Err(CallerError::OUTCOME_UNKNOWN),
        }
    }

    /// Acquires an upstream for a request.
    pub(crate) async fn acquire(
        &self,
        request: AcquireRequest,
    ) -> Result<UpstreamPermit, CallerError> {
        let acquiring = self.hub.request(|reply| HubMessage::Acquire { request, reply });
        // Nothing was sent while a request is queued.
        let acquired = self.service_end.within(self.request_timeout(), acquiring).await;
        match acquired.unwrap_or(None) {
            Some(AcquireResult::Granted(grant)) => {
                Ok(UpstreamPermit { context: self.clone(), grant: Some(grant) })
            }
            Some(AcquireResult::Refused(error)) => Err(CallerError::from_admission_error(error)),
            None => Err(CallerError::from_admission_error(AdmissionError::NotReady)),
        }
    }
}

/// Permit to use an upstream; it is released when dropped.
#[derive(Debug)]
pub(crate) struct UpstreamPermit {
    context: HandlerContext,
    grant: Option<Grant>,
}

impl UpstreamPermit {
    /// Returns the current grant.
    pub(crate) fn grant(&self) -> &Grant {
        self.grant.as_ref().expect("a permit holds its grant until it is released")
    }

    /// Releases the grant and reports the outcome at the upstream and the usage.
    pub(crate) async fn release(mut self, outcome: UpstreamOutcome, usage: RequestUsage) {
        if let Some(grant) = self.grant.take() {
            self.context.hub.send(HubMessage::Release { grant: grant.id, outcome, usage }).await;
        }
    }

    /// Exchanges the grant for a grant at another upstream.
    pub(crate) async fn reassign(mut self, outcome: UpstreamOutcome) -> Result<Self, CallerError> {
        let grant = self.grant().id;
        self.grant = None;
        let hub = self.context.hub.clone();
        match hub.request(|reply| HubMessage::Reassign { grant, outcome, reply }).await {
            Some(AcquireResult::Granted(grant)) => {
                self.grant = Some(grant);
                Ok(self)
            }
            Some(AcquireResult::Refused(error)) => Err(CallerError::from_admission_error(error)),
            None => Err(CallerError::from_admission_error(AdmissionError::NotReady)),
        }
    }
}

impl Drop for UpstreamPermit {
    /// Releases the grant of a handler that was dropped because its caller disconnected.
    fn drop(&mut self) {
        if let Some(grant) = self.grant.take() {
            let hub = self.context.hub.clone();
            let usage = RequestUsage::default();
            let message =
                HubMessage::Release { grant: grant.id, outcome: UpstreamOutcome::Finished, usage };
            compio::runtime::spawn(async move { hub.send(message).await }).detach();
        }
    }
}
