//! Loads and timings of upstreams, summed over all instances.
//!
//! Each instance reports what it has at the upstreams to the instances that feed it. The readers of
//! the store sum the reports and derive one table, which travels back down to all instances.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use num_traits::ToPrimitive;

use crate::registry::EngineRole;
use crate::speed::{Slowness, SpeedChange, SpeedLevels, Timings, UpstreamTag, speed_of_level};

/// Age at which a report no longer counts.
const REPORT_TTL_MS: u64 = 2_000; // three exchanges may fail
/// Age at which a table no longer takes precedence over one from another reader.
const TABLE_TTL_MS: u64 = 3_000;
/// Age at which the waiting tokens of a table count for nothing; younger ones count in proportion.
const WAITING_TTL_MS: u64 = 3_000;
/// Age at which the speeds of a table count for nothing.
const SPEED_TTL_MS: u64 = 15_000;
/// Least time between two tables of one reader.
const TABLE_INTERVAL_MS: u64 = 400;

/// Position in the feed topology of the instance that sends a report. A report includes only those
/// of lower positions, so that nothing is summed twice.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ReportLevel {
    /// An instance that others feed.
    Fed,
    /// An instance that feeds its region.
    Feeder,
    /// An instance that reads the store.
    Reader,
}

/// An engine and the kind of its work.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct EngineWork {
    /// The engine.
    pub upstream: UpstreamTag,
    /// Role in which it does the work.
    pub role: EngineRole,
}

/// Load of an engine by some instances.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineLoad {
    /// Prompt tokens sent there whose prefill has not ended.
    pub waiting_tokens: f64,
    /// Recent timings.
    pub timings: Timings,
}

/// Loads by engine and kind of work.
pub type EngineLoads = BTreeMap<EngineWork, EngineLoad>;

/// Row of a table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadTableRow {
    /// The engine.
    pub upstream: UpstreamTag,
    /// Speed level, 0 for the usual speed.
    pub speed_level: i8,
    /// Prompt tokens that all instances wait for there.
    pub waiting_tokens: u64,
}

/// Loads and speeds of all engines as a reader has summed them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadTable {
    /// Name of the reader.
    pub origin: Arc<str>,
    /// Number by which instances recognize a table that they have.
    pub number: u64,
    /// Local clock time at which the loads were summed, in milliseconds.
    pub at_ms: u64,
    /// Engines that are loaded or of unusual speed.
    pub rows: Vec<LoadTableRow>,
}

#[derive(Debug)]
struct Report {
    level: ReportLevel,
    at_ms: u64,
    loads: EngineLoads,
}

/// What this instance knows of the loads of all instances.
#[derive(Debug)]
pub struct SharedLoads {
    own_name: Arc<str>,
    timings: HashMap<EngineWork, Timings>,
    reports: BTreeMap<Arc<str>, Report>,
    speeds: SpeedLevels,
    table: Option<LoadTable>,
    /// Rows of `table` by upstream.
    rows: HashMap<UpstreamTag, LoadTableRow>,
}

impl SharedLoads {
    /// Returns the state of an instance that knows no loads. Speeds count once they differ from the
    /// usual one by the factor `uneven_from`.
    #[must_use]
    pub fn new(own_name: Arc<str>, uneven_from: f64) -> Self {
        Self {
            own_name,
            timings: HashMap::new(),
            reports: BTreeMap::new(),
            speeds: SpeedLevels::new(uneven_from),
            table: None,
            rows: HashMap::new(),
        }
    }

    /// Adds a timing of this instance's own work.
    pub fn record(&mut self, now_ms: u64, work: EngineWork, took_ms: f64, expected_ms: f64) {
        self.timings.entry(work).or_default().record(now_ms, took_ms, expected_ms);
    }

    /// Returns the loads of this instance and of all that report to it from a lower level than
    /// `level`. `waiting` are the tokens that this instance waits for.
    pub fn report<I>(&self, now_ms: u64, level: ReportLevel, waiting: I) -> EngineLoads
    where
        I: IntoIterator<Item = (UpstreamTag, u64)>,
    {
        self.sum(now_ms, waiting, |report| report.level < level)
    }

    /// Takes a report in place of the sender's previous one.
    pub fn on_report(
        &mut self,
        now_ms: u64,
        from: &Arc<str>,
        level: ReportLevel,
        loads: EngineLoads,
    ) {
        self.reports.insert(from.clone(), Report { level, at_ms: now_ms, loads });
    }

    /// Takes a table from a peer, unless the known one is newer or of a reader that takes precedence.
    /// All instances prefer the reader with the first name, so that they rank engines alike.
    pub fn on_table(&mut self, now_ms: u64, table: LoadTable) {
        let is_older = |known: &LoadTable| {
            let is_fresh = now_ms.saturating_sub(known.at_ms) < TABLE_TTL_MS;
            let rank = known.origin.cmp(&table.origin);
            if is_fresh {
                rank.is_lt() || rank.is_eq() && table.number <= known.number
            } else {
                table.at_ms <= known.at_ms
            }
        };
        if self.table.as_ref().is_some_and(is_older) {
            return;
        }
        self.rows = table.rows.iter().map(|row| (row.upstream, *row)).collect();
        self.table = Some(table);
    }

    /// Returns the newest table.
    #[must_use]
    pub fn table(&self) -> Option<&LoadTable> {
        self.table.as_ref()
    }

    /// Sums all reports into a table of this reader, with the given number. `service_of` returns the
    /// service of an engine that has the role in question.
    pub fn update_table<I, F>(
        &mut self,
        now_ms: u64,
        number: u64,
        waiting: I,
        service_of: F,
    ) -> Vec<SpeedChange>
    where
        I: IntoIterator<Item = (UpstreamTag, u64)>,
        F: Fn(EngineWork) -> Option<Arc<str>>,
    {
        let own_table = self.table.as_ref().filter(|table| table.origin == self.own_name);
        if own_table.is_some_and(|table| now_ms < table.at_ms + TABLE_INTERVAL_MS) {
            return Vec::new();
        }
        let total = self.sum(now_ms, waiting, |_| true);
        let slowness: Vec<Slowness<(Arc<str>, EngineRole)>> = total
            .iter()
            .filter_map(|(work, load)| {
                let levels = load.timings.slowness(now_ms)?;
                let group = (service_of(*work)?, work.role);
                Some(Slowness { upstream: work.upstream, group, levels })
            })
            .collect();
        let changes = self.speeds.update(&slowness);
        let mut rows: BTreeMap<UpstreamTag, LoadTableRow> = BTreeMap::new();
        let empty = |upstream| LoadTableRow { upstream, speed_level: 0, waiting_tokens: 0 };
        for (upstream, speed_level) in self.speeds.uneven() {
            rows.entry(upstream).or_insert_with(|| empty(upstream)).speed_level = speed_level;
        }
        for (work, load) in total.iter().filter(|(_, load)| load.waiting_tokens >= 1.0) {
            let row = rows.entry(work.upstream).or_insert_with(|| empty(work.upstream));
            row.waiting_tokens += load.waiting_tokens.round().to_u64().unwrap_or(0);
        }
        let rows = rows.into_values().collect();
        self.on_table(
            now_ms,
            LoadTable { origin: self.own_name.clone(), number, at_ms: now_ms, rows },
        );
        changes
    }

    /// Returns the speed of an upstream as a factor of the usual one.
    #[must_use]
    pub fn speed(&self, now_ms: u64, upstream: UpstreamTag) -> f64 {
        let row = self.rows.get(&upstream).filter(|_| self.table_age_ms(now_ms) < SPEED_TTL_MS);
        row.map_or(1.0, |row| speed_of_level(row.speed_level))
    }

    /// Returns the prompt tokens that all instances wait for at an upstream, at least those of this
    /// instance itself. What others wait for counts less the older the table is.
    #[must_use]
    pub fn waiting_tokens(&self, now_ms: u64, upstream: UpstreamTag, own_tokens: u64) -> u64 {
        let Some(row) = self.rows.get(&upstream) else { return own_tokens };
        let fresh_ms = WAITING_TTL_MS.saturating_sub(self.table_age_ms(now_ms));
        own_tokens.max(row.waiting_tokens * fresh_ms / WAITING_TTL_MS)
    }

    /// Returns the number of upstreams whose speed is unusual.
    #[must_use]
    pub fn uneven_count(&self, now_ms: u64) -> usize {
        let is_fresh = self.table_age_ms(now_ms) < SPEED_TTL_MS;
        self.rows.values().filter(|row| is_fresh && row.speed_level != 0).count()
    }

    fn table_age_ms(&self, now_ms: u64) -> u64 {
        self.table.as_ref().map_or(u64::MAX, |table| now_ms.saturating_sub(table.at_ms))
    }

    /// Drops reports and timings that no longer count.
    pub fn on_tick(&mut self, now_ms: u64) {
        self.reports.retain(|_, report| now_ms < report.at_ms + REPORT_TTL_MS);
        self.timings.retain(|_, timings| timings.has_weight(now_ms));
    }

    fn sum<I, F>(&self, now_ms: u64, waiting: I, is_included: F) -> EngineLoads
    where
        I: IntoIterator<Item = (UpstreamTag, u64)>,
        F: Fn(&Report) -> bool,
    {
        let mut total = EngineLoads::new();
        for (work, timings) in &self.timings {
            total.entry(*work).or_default().timings.merge(now_ms, timings);
        }
        for (upstream, tokens) in waiting {
            let work = EngineWork { upstream, role: EngineRole::Prefill };
            total.entry(work).or_default().waiting_tokens += tokens as f64;
        }
        for report in self.reports.values().filter(|report| is_included(report)) {
            for (work, load) in &report.loads {
                let sum = total.entry(*work).or_default();
                sum.waiting_tokens += load.waiting_tokens;
                sum.timings.merge(now_ms, &load.timings);
            }
        }
        total
    }
}
