//! Requests: whether they may run, where, and how often.

use std::sync::Arc;
use std::time::Duration;

use cowslip_fleet::{
    Authorized, Denial, Load, Placement, PlacementRequest, Prompt, RetrySafety, Upstream, place,
};
use cowslip_name::Name;
use cowslip_poison::RequestDigest;

use super::{Admitted, Again, Grant, Hub, Question, Refusal, Wanted};
use crate::events::{Event, event};
use crate::platform::Platform;

/// This instance's own work at an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct OwnLoad {
    /// Requests that were sent to it and have not begun.
    waiting: u32,
    /// Prompts that it reads for others.
    reads: u32,
}

/// A request that was placed.
#[derive(Debug)]
pub(super) struct Running {
    attempt_id: Arc<str>,
    allowed: Authorized,
    service: Arc<str>,
    pub(super) request_digest: RequestDigest,
    reader: Option<Arc<str>>,
    answerer: Arc<Upstream>,
    /// Upstreams that it was sent to.
    tried: Vec<Arc<str>>,
    /// Upstreams that may have run it, the present one included.
    runs: u32,
    is_waiting: bool,
    is_counted: bool,
}

impl<E> Hub<E>
where
    E: Platform,
{
    pub(super) fn admit(&self, question: &Question) -> Result<Admitted, Refusal> {
        let deployment = self.deployment.as_ref().ok_or(Refusal::NotReady)?;
        let key = question.key.as_deref();
        let allowed = deployment.authorize(&question.host, &question.path, key).map_err(
            |denial| match denial {
                Denial::NoRoute => Refusal::NoRoute,
                Denial::BadKey => Refusal::BadKey,
            },
        )?;
        Ok(Admitted { allowed, max_body_bytes: deployment.limits.max_body_bytes })
    }

    pub(super) fn begin(&mut self, wanted: Wanted) -> Result<Grant, Refusal> {
        if self.suspects.is_quarantined(&wanted.request_digest) {
            return Err(Refusal::Poison);
        }
        let service = wanted
            .allowed
            .route
            .pick_service(fastrand::u64(..))
            .ok_or(Refusal::NoUpstream)?
            .clone();
        let now_ms = self.clock.now_ms();
        self.budget.on_request(now_ms, &service);
        let placement =
            self.choose(&service, wanted.prompt.as_ref(), None, &[]).ok_or(Refusal::NoUpstream)?;
        let Placement { prefill_upstream, upstream } = placement;
        let id = self.next_grant;
        self.next_grant += 1;
        event!(
            Event::RequestPlaced,
            request = wanted.attempt_id,
            workspace = wanted.allowed.workspace.as_deref().unwrap_or(""),
            route = wanted.allowed.route.name,
            reader = prefill_upstream.as_ref().map_or("", |up| &up.id),
            upstream = upstream.id,
            own_waiting = self.loads.get(&upstream.id).map_or(0, |load| load.waiting),
            deployment = self.deployment.as_ref().map_or(0, |deployment| deployment.version)
        );
        if let Some(reader) = &prefill_upstream {
            self.loads.entry(reader.id.clone()).or_default().reads += 1;
        }
        self.loads.entry(upstream.id.clone()).or_default().waiting += 1;
        let running = Running {
            attempt_id: wanted.attempt_id,
            allowed: wanted.allowed,
            service,
            request_digest: wanted.request_digest,
            reader: prefill_upstream.as_ref().map(|up| up.id.clone()),
            tried: vec![upstream.id.clone()],
            answerer: upstream.clone(),
            runs: 1,
            is_waiting: true,
            is_counted: false,
        };
        self.running.insert(id, running);
        Ok(Grant { id, prefill_upstream, upstream })
    }

    /// Chooses among the upstreams of a service that take work; those that were tried or are
    /// paused only when there is no other.
    fn choose(
        &self,
        service: &str,
        prompt: Option<&Prompt>,
        preferred_domain: Option<&str>,
        tried: &[Arc<str>],
    ) -> Option<Placement> {
        let now_ms = self.clock.now_ms();
        let all: Vec<&Arc<Upstream>> = self.roster.eligible(now_ms, service).collect();
        let untried = |up: &&Arc<Upstream>| !tried.contains(&up.id);
        let fresh =
            |up: &&Arc<Upstream>| !self.health.is_backing_off(now_ms, &up.id) && untried(up);
        let demand = PlacementRequest {
            prompt,
            may_disaggregate: tried.is_empty(),
            preferred_domain,
            tie_breaker: fastrand::u64(..),
        };
        let among = |open: Vec<&Arc<Upstream>>| {
            place(&demand, &open, &self.config.site, |up| self.load(now_ms, up))
        };
        among(all.iter().copied().filter(fresh).collect())
            .or_else(|| among(all.iter().copied().filter(untried).collect()))
    }

    fn load(&self, now_ms: u64, upstream: &Upstream) -> Load {
        let own = self.loads.get(&upstream.id).copied().unwrap_or_default();
        Load {
            waiting: own.waiting,
            active_prefills: own.reads,
            failure_rate: self.health.failure_rate(&upstream.id),
            is_connected: self.kept_until_ms.get(&upstream.id).is_some_and(|until| now_ms < *until),
        }
    }

    pub(super) fn on_kept(&mut self, upstream: Arc<str>, kept_for: Duration) {
        let now_ms = self.clock.now_ms();
        if !self.kept_until_ms.contains_key(&upstream) {
            // Upstreams come and go: a new one is the time to forget lapsed ones.
            self.kept_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        }
        let kept_ms = u64::try_from(kept_for.as_millis()).unwrap_or(u64::MAX);
        self.kept_until_ms.insert(upstream, now_ms.saturating_add(kept_ms));
    }

    pub(super) fn again(&mut self, grant: u64, why: Again) -> Result<Arc<Upstream>, Refusal> {
        let running = self.running.get(&grant).ok_or(Refusal::NoRepeat)?;
        let now_ms = self.clock.now_ms();
        let max_attempts = running.allowed.route.max_attempts;
        let may_repeat = match running.allowed.route.kind {
            RetrySafety::Idempotent | RetrySafety::Stream { is_resumable: true } => true,
            RetrySafety::AtMostOnce | RetrySafety::Stream { is_resumable: false } => false,
        };
        if why == Again::MayHaveRun && (!may_repeat || running.runs >= max_attempts) {
            return Err(Refusal::NoRepeat);
        }
        if self.suspects.is_quarantined(&running.request_digest) {
            return Err(Refusal::Poison);
        }
        let service = running.service.clone();
        let chosen =
            self.choose(&service, None, None, &running.tried).ok_or(Refusal::NoUpstream)?;
        let instances = self.instances.count();
        if why != Again::NotArrived && !self.budget.try_acquire(now_ms, &service, instances) {
            return Err(Refusal::NoRepeat);
        }
        let answerer = chosen.upstream;
        let Some(running) = self.running.get_mut(&grant) else { return Err(Refusal::NoRepeat) };
        event!(
            Event::RequestMoved,
            request = running.attempt_id,
            from = running.answerer.id,
            upstream = answerer.id,
            why = format_args!("{why:?}"),
            runs = running.runs
        );
        let former = std::mem::replace(&mut running.answerer, answerer.clone());
        running.tried.push(answerer.id.clone());
        running.runs += u32::from(why == Again::MayHaveRun);
        self.metrics.moves.inc();
        let was_waiting = std::mem::replace(&mut running.is_waiting, true);
        if was_waiting {
            self.release_waiting(&former.id);
        }
        self.loads.entry(answerer.id.clone()).or_default().waiting += 1;
        Ok(answerer)
    }

    pub(super) fn take_repeat(&mut self, grant: u64) -> bool {
        let Some(running) = self.running.get(&grant) else { return false };
        let instances = self.instances.count();
        self.budget.try_acquire(self.clock.now_ms(), &running.service, instances)
    }

    /// The prompt is read, or will not be. Reading may take longer than an engine takes to leave,
    /// so the engine that answers is chosen again if it takes no work any more.
    pub(super) fn on_prompt_read(&mut self, grant: u64) -> Result<Arc<Upstream>, Refusal> {
        let now_ms = self.clock.now_ms();
        let running = self.running.get_mut(&grant).ok_or(Refusal::NoUpstream)?;
        let service = running.service.clone();
        let answerer = running.answerer.clone();
        let reader = running.reader.take();
        if let Some(reader) = &reader {
            self.release_read(reader);
        }
        let is_open =
            |up: &Arc<Upstream>| up.id == answerer.id && up.started_at_ms == answerer.started_at_ms;
        if self.roster.eligible(now_ms, &service).any(is_open) {
            return Ok(answerer);
        }
        let near = reader.and_then(|id| self.roster.get(&id)).map(|up| up.failure_domain.clone());
        let placement = self.choose(&service, None, near.as_deref(), &[]);
        let chosen = placement.ok_or(Refusal::NoUpstream)?.upstream;
        self.release_waiting(&answerer.id);
        self.loads.entry(chosen.id.clone()).or_default().waiting += 1;
        if let Some(running) = self.running.get_mut(&grant) {
            event!(
                Event::RequestMoved,
                request = running.attempt_id,
                from = answerer.id,
                upstream = chosen.id,
                why = "it left while the prompt was read",
                runs = running.runs
            );
            running.tried = vec![chosen.id.clone()];
            running.answerer = chosen.clone();
        }
        Ok(chosen)
    }

    pub(super) fn on_started(&mut self, grant: u64) {
        let window = self.window_times.window_of(self.true_ms());
        let Some(running) = self.running.get_mut(&grant) else { return };
        if !std::mem::replace(&mut running.is_counted, true)
            && let Some(workspace) = &running.allowed.workspace
        {
            self.starts.count(&self.starts_key, window, workspace);
        }
        if std::mem::replace(&mut running.is_waiting, false) {
            let upstream = running.answerer.id.clone();
            self.release_waiting(&upstream);
        }
    }

    pub(super) fn on_end(&mut self, grant: u64) {
        let Some(running) = self.running.remove(&grant) else { return };
        if let Some(reader) = &running.reader {
            self.release_read(reader);
        }
        if running.is_waiting {
            self.release_waiting(&running.answerer.id);
        }
    }

    pub(super) fn on_lost(&mut self, grant: u64, upstream: &Arc<str>) {
        let Some(running) = self.running.get(&grant) else { return };
        event!(Event::RequestSuspected, request = running.attempt_id, upstream = upstream);
        // An id that is no name cannot be shared; its upstream is only suspected here.
        if let Ok(name) = Name::new(upstream) {
            self.suspects.on_upstream_lost(running.request_digest, name);
        }
    }

    fn release_read(&mut self, id: &str) {
        if let Some(load) = self.loads.get_mut(id) {
            load.reads = load.reads.saturating_sub(1);
        }
    }

    fn release_waiting(&mut self, id: &str) {
        if let Some(load) = self.loads.get_mut(id) {
            load.waiting = load.waiting.saturating_sub(1);
            if load.waiting == 0 && load.reads == 0 {
                self.loads.remove(id);
            }
        }
    }
}
