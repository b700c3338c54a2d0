//! Who is listed, and who was heard lately.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cowslip_name::Name;

/// A row of the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedMember {
    /// Name of the instance.
    pub name: Name,
    /// Where it listens for other instances.
    pub peer_address: SocketAddr,
    /// Failure domain that it runs in.
    pub failure_domain: Name,
    /// Whether it is about to leave.
    pub is_leaving: bool,
}

/// What an instance reported of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Number that differs between two lives of the instance.
    pub incarnation: u64,
    /// Failure domain that it runs in.
    pub failure_domain: Name,
    /// Offset after the newest entry that it has folded.
    pub next_offset: u64,
    /// Requests that it has in flight.
    pub in_flight: u32,
    /// Requests that it has in flight by upstream.
    pub loads: BTreeMap<Name, u32>,
    /// Upstreams that get no new work from it and have none of its in flight.
    pub drained: Vec<Name>,
}

#[derive(Clone, Debug)]
struct Heard {
    at_ms: u64,
    heartbeat: Heartbeat,
}

/// The members as one instance knows them.
#[derive(Clone, Debug)]
pub struct Members {
    me: Name,
    timeout_ms: u64,
    listed: BTreeMap<Name, ListedMember>,
    heard: BTreeMap<Name, Heard>,
    /// Sum of the loads in `heard`, so that a choice among many upstreams stays cheap.
    load_sums: BTreeMap<Name, u32>,
}

impl Members {
    /// Knows nobody yet.
    #[must_use]
    pub fn new(me: Name, timeout_ms: u64) -> Self {
        Self {
            me,
            timeout_ms,
            listed: BTreeMap::new(),
            heard: BTreeMap::new(),
            load_sums: BTreeMap::new(),
        }
    }

    /// Takes a new list from the platform.
    pub fn set_list(&mut self, rows: impl IntoIterator<Item = ListedMember>) {
        self.listed = rows.into_iter().map(|row| (row.name.clone(), row)).collect();
        let gone: Vec<Name> =
            self.heard.keys().filter(|name| !self.listed.contains_key(*name)).cloned().collect();
        for name in gone {
            self.forget(&name);
        }
    }

    /// Drops reports that are too old to count.
    pub fn on_tick(&mut self, now_ms: u64) {
        let timeout_ms = self.timeout_ms;
        let is_old = |heard: &Heard| now_ms.saturating_sub(heard.at_ms) > timeout_ms;
        let old: Vec<Name> = self
            .heard
            .iter()
            .filter(|(_, heard)| is_old(heard))
            .map(|(name, _)| name.clone())
            .collect();
        for name in old {
            self.forget(&name);
        }
    }

    fn forget(&mut self, name: &Name) {
        let Some(heard) = self.heard.remove(name) else { return };
        for (upstream, in_flight) in heard.heartbeat.loads {
            if let Some(sum) = self.load_sums.get_mut(&upstream) {
                *sum -= in_flight;
                if *sum == 0 {
                    self.load_sums.remove(&upstream);
                }
            }
        }
    }

    /// Takes a report that came in at `now_ms`; an older life of the instance is ignored.
    pub fn on_heartbeat(&mut self, now_ms: u64, from: &Name, heartbeat: Heartbeat) {
        if *from == self.me {
            return;
        }
        let is_late = self.heard.get(from).is_some_and(|heard| {
            heard.heartbeat.incarnation == heartbeat.incarnation
                && heard.heartbeat.next_offset > heartbeat.next_offset
        });
        if is_late {
            return;
        }
        self.forget(from);
        for (upstream, in_flight) in &heartbeat.loads {
            *self.load_sums.entry(upstream.clone()).or_default() += in_flight;
        }
        self.heard.insert(from.clone(), Heard { at_ms: now_ms, heartbeat });
    }

    /// Listed instances other than this one.
    pub fn peers(&self) -> impl Iterator<Item = &ListedMember> {
        self.listed.values().filter(|row| row.name != self.me)
    }

    /// Number of listed instances, this one included whether listed or not.
    #[must_use]
    pub fn listed_count(&self) -> usize {
        self.peers().count() + 1
    }

    /// Reports heard within the timeout.
    pub fn live(&self, now_ms: u64) -> impl Iterator<Item = (&Name, &Heartbeat, u64)> {
        self.heard.iter().filter_map(move |(name, heard)| {
            let age_ms = now_ms.saturating_sub(heard.at_ms);
            (age_ms <= self.timeout_ms).then_some((name, &heard.heartbeat, age_ms))
        })
    }

    /// Instances heard lately that have folded no more than `next_offset`, this one included.
    #[must_use]
    pub fn count_at_or_below(&self, now_ms: u64, next_offset: u64) -> usize {
        1 + self
            .live(now_ms)
            .filter(|(_, heartbeat, _)| heartbeat.next_offset <= next_offset)
            .count()
    }

    /// Instances heard lately that have folded the entry at `offset`; the caller adds itself.
    #[must_use]
    pub fn peers_past_offset(&self, now_ms: u64, offset: u64) -> usize {
        self.live(now_ms).filter(|(_, heartbeat, _)| heartbeat.next_offset > offset).count()
    }

    /// The live instance that is furthest ahead of `next_offset`.
    #[must_use]
    pub fn most_advanced_peer(&self, now_ms: u64, next_offset: u64) -> Option<&ListedMember> {
        self.live(now_ms)
            .filter(|(_, heartbeat, _)| heartbeat.next_offset > next_offset)
            .max_by_key(|(_, heartbeat, _)| heartbeat.next_offset)
            .and_then(|(name, _, _)| self.listed.get(name))
    }

    /// Work that others have in flight at an upstream, as of the last tick.
    #[must_use]
    pub fn peer_load(&self, upstream: &Name) -> u32 {
        self.load_sums.get(upstream).copied().unwrap_or(0)
    }

    /// Whether every listed other was heard lately, has folded the entry at `offset`, and reports
    /// the upstream as drained.
    #[must_use]
    pub fn is_drained_everywhere(&self, now_ms: u64, upstream: &Name, offset: u64) -> bool {
        let drained = self
            .live(now_ms)
            .filter(|(_, heartbeat, _)| heartbeat.next_offset > offset)
            .filter(|(_, heartbeat, _)| heartbeat.drained.contains(upstream))
            .count();
        drained == self.peers().count()
    }
}
