//! Reservations of bytes, and who gives way when they run out.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::{Group, Party};

/// Time for which a step of a body keeps it from being closed, in milliseconds.
const STEP_GRACE_MS: u64 = 1_000;
/// Rate at which a caller is expected to read a response while the budget is used up.
const DELIVERY_BYTES_PER_S: u64 = 524_288;

/// Size of a [`Budget`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetLimits {
    /// Most bytes that are reserved at the same time.
    pub held_bytes: u64,
}

impl BudgetLimits {
    /// Returns the most bytes that requests may take. Complete requests are kept until they end, so
    /// the rest is for the responses that end them.
    fn request_bytes(self) -> u64 {
        self.held_bytes / 4 * 3
    }

    /// Returns the most bytes that the bodies of one group may take; the rest is for others.
    fn group_bytes(self) -> u64 {
        self.request_bytes() / 4 * 3
    }
}

/// What bytes are held for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// The body of a request.
    Request,
    /// The body of a response.
    Response,
}

/// An answer to a reservation, or an order to its holder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// The reservation that waited is granted.
    Grant(u64),
    /// The reservation is refused; the holder is to close.
    Refuse(u64),
    /// The holder is to close, since others need its bytes.
    Evict(u64),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// Bytes arrive.
    Arriving,
    /// A request whose body is complete.
    Kept,
    /// A response that its caller reads.
    Delivering,
}

#[derive(Clone, Debug)]
struct Holder {
    party: Party,
    purpose: Purpose,
    phase: Phase,
    bytes: u64,
    /// Bytes of a reservation that is not decided yet.
    waiting_bytes: Option<u64>,
    /// Time from which the holder gives way to others.
    due_ms: u64,
    is_evicted: bool,
}

impl Holder {
    /// Whether the holder's bytes can be freed: requests that may be running are kept, and so are
    /// responses until they are complete.
    fn can_give_way(&self) -> bool {
        let is_freeable = match self.purpose {
            Purpose::Request => self.phase == Phase::Arriving,
            Purpose::Response => self.phase == Phase::Delivering,
        };
        is_freeable && !self.is_evicted && self.bytes > 0
    }

    /// Whether the holder's bytes are about to return. The end of a body may arrive before the order
    /// to close, and its request then runs.
    fn is_closing(&self) -> bool {
        self.is_evicted && self.phase != Phase::Kept
    }
}

/// Numbers of addresses and workspaces that hold bytes; those of the same kind have equal shares.
#[derive(Clone, Copy, Debug, Default)]
struct GroupCounts {
    addresses: u64,
    workspaces: u64,
}

impl GroupCounts {
    fn of<'a, I>(groups: I) -> Self
    where
        I: Iterator<Item = &'a Group>,
    {
        groups.fold(Self::default(), |counts, group| match group {
            Group::Address(_) => Self { addresses: counts.addresses + 1, ..counts },
            Group::Workspace(_) => Self { workspaces: counts.workspaces + 1, ..counts },
        })
    }

    fn like(self, group: &Group) -> u64 {
        match group {
            Group::Address(_) => self.addresses,
            Group::Workspace(_) => self.workspaces,
        }
    }
}

/// The bytes that a process holds for its callers.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: BudgetLimits,
    holders: BTreeMap<u64, Holder>,
    group_bytes: HashMap<Group, u64>,
    held_bytes: u64,
    /// Bytes among them that requests hold.
    request_bytes: u64,
    waiting: VecDeque<u64>,
}

impl Budget {
    /// Creates a budget of which nothing is reserved.
    #[must_use]
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            holders: BTreeMap::new(),
            group_bytes: HashMap::new(),
            held_bytes: 0,
            request_bytes: 0,
            waiting: VecDeque::new(),
        }
    }

    /// Returns the bytes that are reserved.
    #[must_use]
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Whether a reservation waits for others to give way.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the caller for whom a holder reserves, and the bytes that it holds.
    #[must_use]
    pub fn holder(&self, id: u64) -> Option<(&Party, u64)> {
        self.holders.get(&id).map(|holder| (&holder.party, holder.bytes))
    }

    /// Adds a holder without bytes; its id must be new.
    pub fn open(&mut self, id: u64, party: Party, purpose: Purpose, now_ms: u64) {
        let holder = Holder {
            party,
            purpose,
            phase: Phase::Arriving,
            bytes: 0,
            waiting_bytes: None,
            due_ms: now_ms + STEP_GRACE_MS,
            is_evicted: false,
        };
        self.holders.insert(id, holder);
    }

    /// Reserves further bytes for a holder that has no reservation waiting. The answer is among the
    /// actions, or follows with those of a later call.
    pub fn reserve(&mut self, id: u64, bytes: u64, now_ms: u64) -> Vec<Action> {
        let Some(holder) = self.holders.get_mut(&id) else { return vec![Action::Refuse(id)] };
        if holder.is_evicted {
            return vec![Action::Refuse(id)];
        }
        holder.waiting_bytes = Some(bytes);
        self.waiting.push_back(id);
        self.decide(now_ms)
    }

    /// Marks a request as complete, or a response as ready for its caller.
    pub fn complete(&mut self, id: u64, now_ms: u64) -> Vec<Action> {
        let Some(holder) = self.holders.get_mut(&id) else { return Vec::new() };
        match holder.purpose {
            Purpose::Request => holder.phase = Phase::Kept,
            Purpose::Response => {
                holder.phase = Phase::Delivering;
                let reading_ms = holder.bytes * 1_000 / DELIVERY_BYTES_PER_S;
                holder.due_ms = now_ms + STEP_GRACE_MS + reading_ms;
            }
        }
        self.decide(now_ms)
    }

    /// Removes a holder and returns its bytes.
    pub fn close(&mut self, id: u64, now_ms: u64) -> Vec<Action> {
        let Some(holder) = self.holders.remove(&id) else { return Vec::new() };
        self.held_bytes -= holder.bytes;
        if holder.purpose == Purpose::Request {
            self.request_bytes -= holder.bytes;
        }
        for group in holder.party.groups() {
            if let Some(bytes) = self.group_bytes.get_mut(&group) {
                *bytes -= holder.bytes;
                if *bytes == 0 {
                    self.group_bytes.remove(&group);
                }
            }
        }
        self.waiting.retain(|waiting| *waiting != id);
        self.decide(now_ms)
    }

    /// Decides on all reservations that wait, oldest first.
    pub fn decide(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        // Bytes that holders which are closing will return, beyond those that are spoken for.
        let mut returning_bytes: u64 = self
            .holders
            .values()
            .filter(|holder| holder.is_closing())
            .map(|holder| holder.bytes)
            .sum();
        for id in std::mem::take(&mut self.waiting) {
            let Some(bytes) = self.holders.get(&id).and_then(|holder| holder.waiting_bytes) else {
                continue;
            };
            if self.holders.get(&id).is_some_and(|holder| holder.is_evicted) {
                actions.push(self.refuse(id));
                continue;
            }
            if self.fits(id, bytes) {
                self.grant(id, bytes, now_ms);
                actions.push(Action::Grant(id));
                continue;
            }
            let victim = self.victim(id, bytes, now_ms).filter(|_| returning_bytes < bytes);
            if let Some(victim) = victim
                && let Some(holder) = self.holders.get_mut(&victim)
            {
                holder.is_evicted = true;
                returning_bytes += holder.bytes;
                actions.push(Action::Evict(victim));
            }
            if returning_bytes >= bytes || self.will_return(id) {
                returning_bytes = returning_bytes.saturating_sub(bytes);
                self.waiting.push_back(id);
            } else {
                actions.push(self.refuse(id));
            }
        }
        actions
    }

    /// Whether a reservation may wait although no holder is closing: a response waits for those that
    /// are being read.
    fn will_return(&self, id: u64) -> bool {
        let is_response =
            self.holders.get(&id).is_some_and(|holder| holder.purpose == Purpose::Response);
        is_response && self.holders.values().any(|holder| holder.phase == Phase::Delivering)
    }

    fn refuse(&mut self, id: u64) -> Action {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.waiting_bytes = None;
        }
        Action::Refuse(id)
    }

    fn grant(&mut self, id: u64, bytes: u64, now_ms: u64) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        holder.waiting_bytes = None;
        holder.bytes += bytes;
        holder.due_ms = now_ms + STEP_GRACE_MS;
        self.held_bytes += bytes;
        if holder.purpose == Purpose::Request {
            self.request_bytes += bytes;
        }
        for group in holder.party.groups() {
            *self.group_bytes.entry(group).or_default() += bytes;
        }
    }

    fn fits(&self, id: u64, bytes: u64) -> bool {
        self.held_bytes + bytes <= self.limits.held_bytes
            && !self.exceeds_requests(id, bytes)
            && !self.exceeds_group(id, bytes)
    }

    /// Whether requests would take more than all of them may.
    fn exceeds_requests(&self, id: u64, bytes: u64) -> bool {
        self.holders.get(&id).is_some_and(|holder| {
            holder.purpose == Purpose::Request
                && self.request_bytes + bytes > self.limits.request_bytes()
        })
    }

    /// Whether the caller's group would take more than one group may.
    fn exceeds_group(&self, id: u64, bytes: u64) -> bool {
        self.holders.get(&id).is_some_and(|holder| {
            holder.purpose == Purpose::Request
                && self.bytes_of(&holder.party.capped_group()) + bytes > self.limits.group_bytes()
        })
    }

    fn bytes_of(&self, group: &Group) -> u64 {
        self.group_bytes.get(group).copied().unwrap_or_default()
    }

    /// Returns whether a group of the party would hold more than its share with further bytes.
    fn is_over_share(&self, party: &Party, further_bytes: u64, groups: GroupCounts) -> bool {
        party.groups().any(|group| {
            let bytes = self.bytes_of(&group);
            let share_bytes = self.limits.request_bytes() / groups.like(&group).max(1);
            bytes + further_bytes > share_bytes
        })
    }

    /// Returns the holder that gives way to a reservation: the one whose time is over for longest.
    /// A caller within its share also displaces the slowest body of those beyond theirs.
    fn victim(&self, id: u64, bytes: u64, now_ms: u64) -> Option<u64> {
        let party = &self.holders.get(&id)?.party;
        let joining: Vec<Group> =
            party.groups().filter(|group| !self.group_bytes.contains_key(group)).collect();
        let groups = GroupCounts::of(self.group_bytes.keys().chain(&joining));
        let own_group = self.exceeds_group(id, bytes).then(|| party.capped_group());
        let only_requests = self.exceeds_requests(id, bytes);
        let is_entitled = own_group.is_none() && !self.is_over_share(party, bytes, groups);
        self.holders
            .iter()
            .filter(|(other, holder)| **other != id && holder.can_give_way())
            .filter(|(_, holder)| !only_requests || holder.purpose == Purpose::Request)
            .filter(|(_, holder)| {
                own_group
                    .as_ref()
                    .is_none_or(|own| holder.party.groups().any(|group| group == *own))
            })
            .filter(|(_, holder)| {
                holder.due_ms <= now_ms
                    || is_entitled
                        && holder.purpose == Purpose::Request
                        && self.is_over_share(&holder.party, 0, groups)
            })
            .min_by_key(|(_, holder)| holder.due_ms)
            .map(|(id, _)| *id)
    }
}
