//! Loads and speeds of engines: learned from this instance's own requests, and exchanged with other
//! instances.

use std::collections::HashMap;
use std::sync::Arc;

use cowslip_fleet::{
    EngineLoad, EngineLoads, EngineRole, EngineWork, Load, LoadTable, LoadTableRow, Prompt,
    ReportLevel, Timings, Upstream, UpstreamTag,
};
use cowslip_membership::FeedRole;
use cowslip_name::Name;
use cowslip_proto as proto;
use num_traits::ToPrimitive;

use super::Hub;
use crate::events::{Event, event};
use crate::platform::Platform;

/// Expected rate of a prefill engine in prompt tokens a millisecond. Only ratios between engines
/// count, so any value that keeps the parts of an expected time in proportion will do.
const PREFILL_TOKENS_PER_MS: f64 = 50.0;
/// Rate of a decode engine, which prefills between the tokens of its streams.
const DECODE_PREFILL_TOKENS_PER_MS: f64 = 25.0;
/// Expected time of a prefill without tokens.
const PREFILL_BASE_MS: f64 = 20.0;
/// Expected time from a send to the first event of a stream whose prompt is prefilled.
const FIRST_EVENT_BASE_MS: f64 = 40.0;
/// Scale of timing weights in messages.
const WEIGHT_SCALE: f64 = 100.0;

/// Load that this instance itself puts on an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LocalLoad {
    /// Requests that were sent to the upstream and have not started there.
    pub(super) queued: u32,
    /// Prefills that the upstream runs for requests which another upstream serves.
    pub(super) active_prefills: u32,
    /// Expected prompt tokens of these prefills.
    pub(super) waiting_tokens: u64,
}

/// The part of a request that an engine runs at present.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineRun {
    /// Tokens of the prompt.
    prompt_tokens: u64,
    /// Tokens that count as waiting at the prefill engine.
    prefill_tokens: u64,
    /// Local clock time of the newest send, in milliseconds.
    sent_at_ms: u64,
    /// Time that the engine needs at the usual speed.
    expected_ms: f64,
}

impl EngineRun {
    /// Returns the run of a prompt that was sent to a prefill engine at which `waiting_tokens` of
    /// other prompts waited.
    pub(super) fn prefill(now_ms: u64, prompt: &Prompt, waiting_tokens: u64) -> Self {
        let own_tokens = prompt.tokens.saturating_sub(prompt.shared_tokens());
        let tokens = (waiting_tokens + own_tokens) as f64;
        Self {
            prompt_tokens: prompt.tokens,
            prefill_tokens: prompt.expected_prefill_tokens(),
            sent_at_ms: now_ms,
            expected_ms: PREFILL_BASE_MS + tokens / PREFILL_TOKENS_PER_MS,
        }
    }

    /// Returns the run of a prompt that the serving engine prefills itself.
    pub(super) fn unassisted(now_ms: u64, prompt: &Prompt) -> Self {
        Self { prefill_tokens: 0, ..Self::prefill(now_ms, prompt, 0) }.resent(now_ms, false)
    }

    /// Returns the run after the request was sent to an engine that serves it.
    pub(super) fn resent(self, now_ms: u64, is_prefilled: bool) -> Self {
        let tokens = if is_prefilled { 0.0 } else { self.prompt_tokens as f64 };
        let expected_ms = FIRST_EVENT_BASE_MS + tokens / DECODE_PREFILL_TOKENS_PER_MS;
        Self { sent_at_ms: now_ms, expected_ms, ..self }
    }

    /// Returns the tokens that count as waiting at the prefill engine.
    pub(super) fn prefill_tokens(&self) -> u64 {
        self.prefill_tokens
    }
}

impl<P> Hub<P>
where
    P: Platform,
{
    /// Returns the load of an upstream as this instance knows it.
    pub(super) fn load(&self, now_ms: u64, upstream: &Upstream) -> Load {
        let local = self.loads.get(&upstream.id).copied().unwrap_or_default();
        let (speed, waiting_tokens) = match &self.shared_loads {
            Some(shared) => {
                let tag = UpstreamTag::of(&upstream.id);
                let waiting = shared.waiting_tokens(now_ms, tag, local.waiting_tokens);
                (shared.speed(now_ms, tag), waiting)
            }
            None => (1.0, local.waiting_tokens),
        };
        Load {
            speed,
            waiting_tokens,
            queued: local.queued,
            active_prefills: local.active_prefills,
            failure_rate: self.health.failure_rate(&upstream.id),
            is_connected: self
                .pooled_until_ms
                .get(&upstream.id)
                .is_some_and(|until_ms| now_ms < *until_ms),
        }
    }

    pub(super) fn release_prefill(&mut self, id: &str, run: EngineRun) {
        if let Some(load) = self.loads.get_mut(id) {
            load.active_prefills = load.active_prefills.saturating_sub(1);
            load.waiting_tokens = load.waiting_tokens.saturating_sub(run.prefill_tokens());
        }
    }

    pub(super) fn release_queued(&mut self, id: &str) {
        if let Some(load) = self.loads.get_mut(id) {
            load.queued = load.queued.saturating_sub(1);
            if load.queued == 0 && load.active_prefills == 0 {
                self.loads.remove(id);
            }
        }
    }

    /// Whether prompts leave the engines of their segments for shorter queues: only while engines
    /// are known to be uneven.
    pub(super) fn spreads_queues(&self, now_ms: u64) -> bool {
        self.shared_loads.as_ref().is_some_and(|shared| shared.uneven_count(now_ms) > 0)
    }

    /// Records the time that an engine has taken for its part of a request.
    pub(super) fn record_timing(&mut self, upstream: &str, role: EngineRole, run: EngineRun) {
        let now_ms = self.clock.now_ms();
        let Some(shared_loads) = &mut self.shared_loads else { return };
        let work = EngineWork { upstream: UpstreamTag::of(upstream), role };
        let took_ms = now_ms.saturating_sub(run.sent_at_ms) as f64;
        shared_loads.record(now_ms, work, took_ms, run.expected_ms);
    }

    /// Returns this instance's report to a peer that feeds it.
    pub(super) fn load_report(&self) -> Option<proto::LoadReport> {
        let now_ms = self.clock.now_ms();
        let shared_loads = self.shared_loads.as_ref()?;
        let level = self.report_level();
        // A reader reports to the other reader only, other instances a part to each of their sources.
        let share = match level {
            ReportLevel::Reader => 1.0,
            ReportLevel::Feeder | ReportLevel::Fed => 1.0 / self.feed_peers.len().max(1) as f64,
        };
        let loads = shared_loads.report(now_ms, level, self.waiting_tokens());
        Some(proto::LoadReport {
            level: level_to_proto(level),
            table: shared_loads.table().map_or(0, |table| table.number),
            rows: loads
                .iter()
                .map(|(work, load)| load_to_proto(now_ms, share, *work, load))
                .filter(|row| row.waiting_tokens > 0 || !row.timings.is_empty())
                .collect(),
        })
    }

    /// Takes a peer's report and returns the table that the peer lacks.
    pub(super) fn on_load_report(
        &mut self,
        from: &Name,
        report: Option<&proto::LoadReport>,
    ) -> Option<proto::LoadTable> {
        let now_ms = self.clock.now_ms();
        let (shared_loads, report) = (self.shared_loads.as_mut()?, report?);
        let loads = loads_from_proto(now_ms, &report.rows);
        let from = Arc::from(from.as_str());
        shared_loads.on_report(now_ms, &from, level_from_proto(report.level), loads);
        let table = shared_loads.table().filter(|table| table.number != report.table)?;
        Some(proto::LoadTable {
            origin: Name::new(&table.origin).ok()?,
            number: table.number,
            age_ms: now_ms.saturating_sub(table.at_ms),
            rows: table.rows.iter().map(row_to_proto).collect(),
        })
    }

    /// Takes a table that a peer sent.
    pub(super) fn on_load_table(&mut self, table: Option<proto::LoadTable>) {
        let now_ms = self.clock.now_ms();
        let (Some(shared_loads), Some(table)) = (&mut self.shared_loads, table) else { return };
        let rows = table.rows.iter().map(|row| LoadTableRow {
            upstream: UpstreamTag(row.upstream),
            speed_level: row.speed_level,
            waiting_tokens: u64::from(row.waiting_tokens),
        });
        shared_loads.on_table(
            now_ms,
            LoadTable {
                origin: Arc::from(table.origin.as_str()),
                number: table.number,
                at_ms: now_ms.saturating_sub(table.age_ms),
                rows: rows.collect(),
            },
        );
    }

    /// Sums the reports of all instances, if this instance is a reader.
    pub(super) fn update_load_table(&mut self) {
        let (now_ms, number) = (self.clock.now_ms(), self.cluster_ms());
        if let Some(shared_loads) = &mut self.shared_loads {
            shared_loads.on_tick(now_ms);
            let uneven = shared_loads.uneven_count(now_ms);
            self.metrics.uneven_upstreams.set(i64::try_from(uneven).unwrap_or(i64::MAX));
        }
        if self.report_level() != ReportLevel::Reader {
            return;
        }
        let waiting: Vec<(UpstreamTag, u64)> = self.waiting_tokens().collect();
        let Some(shared_loads) = &mut self.shared_loads else { return };
        let upstreams: HashMap<UpstreamTag, &Arc<Upstream>> =
            self.registry.iter().map(|up| (UpstreamTag::of(&up.id), up)).collect();
        let service_of = |work: EngineWork| {
            let upstream = upstreams.get(&work.upstream)?;
            let role = upstream.role.unwrap_or(EngineRole::Decode);
            (role == work.role).then(|| upstream.service.clone())
        };
        let changes = shared_loads.update_table(now_ms, number, waiting, service_of);
        for change in changes {
            let upstream = upstreams.get(&change.upstream).map_or("", |up| &*up.id);
            event!(
                Event::UpstreamSpeed,
                upstream = upstream,
                from = change.from,
                level = change.to
            );
        }
    }

    /// Iterates over the prompt tokens that this instance waits for, by upstream.
    fn waiting_tokens(&self) -> impl Iterator<Item = (UpstreamTag, u64)> {
        let loads = self.loads.iter().filter(|(_, load)| load.waiting_tokens > 0);
        loads.map(|(id, load)| (UpstreamTag::of(id), load.waiting_tokens))
    }

    fn report_level(&self) -> ReportLevel {
        match self.feed_topology.role() {
            FeedRole::Reader => ReportLevel::Reader,
            FeedRole::Feeder => ReportLevel::Feeder,
            FeedRole::Fed => ReportLevel::Fed,
        }
    }
}

fn level_to_proto(level: ReportLevel) -> u8 {
    match level {
        ReportLevel::Fed => 0,
        ReportLevel::Feeder => 1,
        ReportLevel::Reader => 2,
    }
}

/// A level that this release does not know is summed by readers only, as the highest one is.
fn level_from_proto(level: u8) -> ReportLevel {
    match level {
        0 => ReportLevel::Fed,
        1 => ReportLevel::Feeder,
        _ => ReportLevel::Reader,
    }
}

fn load_to_proto(
    now_ms: u64,
    share: f64,
    work: EngineWork,
    load: &EngineLoad,
) -> proto::EngineLoadRow {
    let timings = load.timings.buckets(now_ms).filter_map(|(bucket, weight)| {
        let weight_hundredths = (weight * share * WEIGHT_SCALE).round().to_u32()?;
        let bucket = u8::try_from(bucket).ok()?;
        (weight_hundredths > 0).then_some(proto::TimingBucket { bucket, weight_hundredths })
    });
    proto::EngineLoadRow {
        upstream: work.upstream.0,
        is_prefill: work.role == EngineRole::Prefill,
        waiting_tokens: (load.waiting_tokens * share).round().to_u32().unwrap_or(u32::MAX),
        timings: timings.collect(),
    }
}

fn loads_from_proto(now_ms: u64, rows: &[proto::EngineLoadRow]) -> EngineLoads {
    rows.iter()
        .map(|row| {
            let role = if row.is_prefill { EngineRole::Prefill } else { EngineRole::Decode };
            let mut timings = Timings::default();
            for timing in &row.timings {
                let weight = f64::from(timing.weight_hundredths) / WEIGHT_SCALE;
                timings.add(now_ms, usize::from(timing.bucket), weight);
            }
            let work = EngineWork { upstream: UpstreamTag(row.upstream), role };
            (work, EngineLoad { waiting_tokens: f64::from(row.waiting_tokens), timings })
        })
        .collect()
}

fn row_to_proto(row: &LoadTableRow) -> proto::LoadTableRow {
    proto::LoadTableRow {
        upstream: row.upstream.0,
        speed_level: row.speed_level,
        waiting_tokens: u32::try_from(row.waiting_tokens).unwrap_or(u32::MAX),
    }
}
