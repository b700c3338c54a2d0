//! The instances of the platform: those that its list names, and those that sent a recent
//! heartbeat.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use cowslip_name::Name;

/// A row of the platform's list of instances.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedMember {
    /// Name of the listed instance.
    pub name: Name,
    /// Address at which the instance listens for its peers.
    pub peer_address: SocketAddr,
    /// Failure domain in which the instance runs.
    pub failure_domain: Name,
    /// Whether the instance is draining and will leave the list.
    pub is_draining: bool,
}

/// An instance's report of its own state, sent to its peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Heartbeat {
    /// Number that is new each time the instance's process starts.
    pub incarnation: u64,
    /// Failure domain in which the instance runs.
    pub failure_domain: Name,
    /// Offset after the newest log entry that the instance has applied.
    pub next_offset: u64,
    /// Number of requests that the instance has in flight.
    pub in_flight: u32,
    /// Number of requests that the instance has in flight at each upstream.
    pub loads: BTreeMap<Name, u32>,
    /// Upstreams to which the instance sends no new requests and at which it has none in flight.
    pub drained: Vec<Name>,
}

#[derive(Clone, Debug)]
struct ReceivedHeartbeat {
    received_at_ms: u64,
    heartbeat: Heartbeat,
}

/// The platform's list and the newest heartbeat of each peer, as one instance knows them.
#[derive(Clone, Debug)]
pub struct Members {
    own_name: Name,
    timeout_ms: u64,
    listed: BTreeMap<Name, ListedMember>,
    heartbeats: BTreeMap<Name, ReceivedHeartbeat>,
    /// Sum of the loads in `heartbeats` for each upstream, kept so that the choice among many
    /// upstreams stays cheap.
    load_sums: BTreeMap<Name, u32>,
}

impl Members {
    /// Creates a view without any peer. A heartbeat counts for `timeout_ms` milliseconds.
    #[must_use]
    pub fn new(own_name: Name, timeout_ms: u64) -> Self {
        Self {
            own_name,
            timeout_ms,
            listed: BTreeMap::new(),
            heartbeats: BTreeMap::new(),
            load_sums: BTreeMap::new(),
        }
    }

    /// Replaces the platform's list and drops the heartbeats of instances that are no longer in it.
    pub fn set_list(&mut self, rows: impl IntoIterator<Item = ListedMember>) {
        self.listed = rows.into_iter().map(|row| (row.name.clone(), row)).collect();
        let unlisted: Vec<Name> = self
            .heartbeats
            .keys()
            .filter(|name| !self.listed.contains_key(*name))
            .cloned()
            .collect();
        for name in unlisted {
            self.forget(&name);
        }
    }

    /// Drops heartbeats older than the timeout.
    pub fn on_tick(&mut self, now_ms: u64) {
        let timeout_ms = self.timeout_ms;
        let is_expired = |received: &ReceivedHeartbeat| {
            now_ms.saturating_sub(received.received_at_ms) > timeout_ms
        };
        let expired: Vec<Name> = self
            .heartbeats
            .iter()
            .filter(|(_, received)| is_expired(received))
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.forget(&name);
        }
    }

    fn forget(&mut self, name: &Name) {
        let Some(received) = self.heartbeats.remove(name) else { return };
        for (upstream, in_flight) in received.heartbeat.loads {
            if let Some(sum) = self.load_sums.get_mut(&upstream) {
                *sum -= in_flight;
                if *sum == 0 {
                    self.load_sums.remove(&upstream);
                }
            }
        }
    }

    /// Records a heartbeat received at `now_ms`.
    ///
    /// Ignores a heartbeat of this instance, and a late one, which has the incarnation of the
    /// recorded heartbeat but a lower offset.
    pub fn on_heartbeat(&mut self, now_ms: u64, from: &Name, heartbeat: Heartbeat) {
        if *from == self.own_name {
            return;
        }
        let is_outdated = self.heartbeats.get(from).is_some_and(|received| {
            received.heartbeat.incarnation == heartbeat.incarnation
                && received.heartbeat.next_offset > heartbeat.next_offset
        });
        if is_outdated {
            return;
        }
        self.forget(from);
        for (upstream, in_flight) in &heartbeat.loads {
            *self.load_sums.entry(upstream.clone()).or_default() += in_flight;
        }
        self.heartbeats
            .insert(from.clone(), ReceivedHeartbeat { received_at_ms: now_ms, heartbeat });
    }

    /// Returns the listed instances other than this one, in name order.
    pub fn peers(&self) -> impl Iterator<Item = &ListedMember> {
        self.listed.values().filter(|row| row.name != self.own_name)
    }

    /// Returns the number of listed instances. This instance always counts, listed or not.
    #[must_use]
    pub fn listed_count(&self) -> usize {
        self.peers().count() + 1
    }

    /// Returns the live peers, whose newest heartbeat is within the timeout: name, heartbeat, and
    /// the heartbeat's age in milliseconds.
    pub fn live(&self, now_ms: u64) -> impl Iterator<Item = (&Name, &Heartbeat, u64)> {
        self.heartbeats.iter().filter_map(move |(name, received)| {
            let age_ms = now_ms.saturating_sub(received.received_at_ms);
            (age_ms <= self.timeout_ms).then_some((name, &received.heartbeat, age_ms))
        })
    }

    /// Returns the number of live instances whose offset is at most `next_offset`. This instance
    /// always counts.
    #[must_use]
    pub fn count_at_or_below(&self, now_ms: u64, next_offset: u64) -> usize {
        1 + self
            .live(now_ms)
            .filter(|(_, heartbeat, _)| heartbeat.next_offset <= next_offset)
            .count()
    }

    /// Returns the number of live peers, without this instance, that have applied the log entry at
    /// `offset`.
    #[must_use]
    pub fn peers_past_offset(&self, now_ms: u64, offset: u64) -> usize {
        self.live(now_ms).filter(|(_, heartbeat, _)| heartbeat.next_offset > offset).count()
    }

    /// Returns the live peer with the highest offset above `next_offset`, if it is listed.
    #[must_use]
    pub fn most_advanced_peer(&self, now_ms: u64, next_offset: u64) -> Option<&ListedMember> {
        self.live(now_ms)
            .filter(|(_, heartbeat, _)| heartbeat.next_offset > next_offset)
            .max_by_key(|(_, heartbeat, _)| heartbeat.next_offset)
            .and_then(|(name, _, _)| self.listed.get(name))
    }

    /// Returns the number of requests that peers have in flight at an upstream. A heartbeat that
    /// has expired since the last tick still counts.
    #[must_use]
    pub fn peer_load(&self, upstream: &Name) -> u32 {
        self.load_sums.get(upstream).copied().unwrap_or(0)
    }

    /// Returns whether every listed peer is live, has applied the log entry at `offset`, and
    /// reports the upstream as drained.
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
