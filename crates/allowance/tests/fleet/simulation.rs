//! A simulated fleet: a lease holder, brokers and instances that exchange messages with delays and
//! losses. Time advances in steps.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use cowslip_allowance::{
    Admission, Allowance, AllowanceUnit, Bounds, Broker, Budget, Grant, GrantId, Granter,
    RESERVATION_MS, Reservation, Shortage, Step, reserved_shares,
};
use cowslip_name::Name;

pub const STEP_MS: u64 = 50;
const GRANT_MS: u64 = 6_000;
const REPORT_EVERY_MS: u64 = 500;

const WINDOW_MS: u64 = 8_000;
pub const BOUNDS: Bounds =
    Bounds { window_s: WINDOW_MS as f64 / 1_000.0, excess: 0.1, slack: 2_000.0 };

pub fn allowance(rate_per_s: f64, burst: f64) -> Allowance {
    Allowance { unit: AllowanceUnit::Tokens, rate_per_s, burst, unstated_tokens: 0 }
}

pub fn workspace() -> Arc<str> {
    Arc::from("alpha")
}

/// Returns the most that may be used in one window.
pub fn bound(allowance: &Allowance) -> f64 {
    (allowance.rate_per_s * BOUNDS.window_s + allowance.burst) * (1.0 + BOUNDS.excess)
        + BOUNDS.slack
}

/// Disturbances of one simulation; times are in steps.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A broker neither sends nor receives for some steps.
    Frozen { broker: usize, steps: u64 },
    /// A broker loses its state.
    Restarted { broker: usize },
    /// The lease moves to another holder after some steps without one.
    LeaseLost { steps: u64 },
    /// All messages between brokers and holder are lost for some steps.
    Cut { broker: usize, steps: u64 },
}

struct Grants {
    arrives_at_ms: u64,
    broker: usize,
    incarnation: u64,
    report_at_ms: u64,
    grant: Grant,
}

pub struct Fleet {
    pub now_ms: u64,
    names: Vec<Name>,
    brokers: Vec<Broker>,
    incarnations: Vec<u64>,
    frozen_until_ms: Vec<u64>,
    cut_until_ms: Vec<u64>,
    granter: Option<Granter>,
    next_holder_at_ms: u64,
    fence: u64,
    budget: Budget,
    admissions: Vec<Admission>,
    on_the_way: Vec<Grants>,
    /// Used amounts, by time.
    pub used: VecDeque<(u64, f64)>,
}

impl Fleet {
    pub fn new(allowance: &Allowance, brokers: usize, instances: usize) -> Self {
        let budget = Budget::new(allowance, &BOUNDS);
        let names = (0..brokers).map(|index| Name::new(&format!("b{index}")).expect("a name"));
        let mut fleet = Self {
            now_ms: 0,
            names: names.collect(),
            brokers: vec![Broker::default(); brokers],
            incarnations: vec![0; brokers],
            frozen_until_ms: vec![0; brokers],
            cut_until_ms: vec![0; brokers],
            granter: Some(Granter::new(0, 1, GRANT_MS)),
            next_holder_at_ms: 0,
            fence: 1,
            budget,
            admissions: vec![Admission::default(); instances],
            on_the_way: Vec::new(),
            used: VecDeque::new(),
        };
        fleet.set_budget(budget);
        fleet
    }

    fn budgets(&self) -> HashMap<Arc<str>, Budget> {
        HashMap::from([(workspace(), self.budget)])
    }

    pub fn set_budget(&mut self, budget: Budget) {
        self.budget = budget;
        let budgets = self.budgets();
        for broker in &mut self.brokers {
            broker.set_budgets(self.now_ms, budgets.clone());
        }
        for admission in &mut self.admissions {
            admission.set_budgets(self.now_ms, budgets.clone());
        }
    }

    pub fn apply(&mut self, fault: &Fault) {
        match *fault {
            Fault::Frozen { broker, steps } => {
                self.frozen_until_ms[broker] = self.now_ms + steps * STEP_MS;
            }
            Fault::Restarted { broker } => {
                self.brokers[broker] = Broker::default();
                let budgets = self.budgets();
                self.brokers[broker].set_budgets(self.now_ms, budgets);
                self.incarnations[broker] += 1;
            }
            Fault::LeaseLost { steps } => {
                self.granter = None;
                self.next_holder_at_ms = self.now_ms + steps * STEP_MS;
            }
            Fault::Cut { broker, steps } => {
                self.cut_until_ms[broker] = self.now_ms + steps * STEP_MS;
            }
        }
    }

    /// Advances by one step; `delay_ms` is the delay of the grants that are sent in it.
    pub fn step(&mut self, delay_ms: u64) {
        self.now_ms += STEP_MS;
        if self.granter.is_none() && self.now_ms >= self.next_holder_at_ms {
            self.fence += 10;
            self.granter = Some(Granter::new(self.now_ms, self.fence, GRANT_MS));
        }
        if self.now_ms.is_multiple_of(REPORT_EVERY_MS) {
            (0..self.brokers.len()).for_each(|broker| self.report(broker, delay_ms));
        }
        let (arrived, on_the_way) =
            std::mem::take(&mut self.on_the_way).into_iter().partition(|grant: &Grants| {
                self.now_ms >= grant.arrives_at_ms.max(self.frozen_until_ms[grant.broker])
            });
        self.on_the_way = on_the_way;
        let arrived: Vec<Grants> = arrived;
        for grant in arrived {
            if grant.incarnation == self.incarnations[grant.broker] {
                let expires_at_ms = grant.report_at_ms + GRANT_MS;
                self.brokers[grant.broker].on_grant(self.now_ms, grant.grant, expires_at_ms);
            }
        }
        let shares = reserved_shares(self.brokers.len());
        for broker in &mut self.brokers {
            if broker.grant(self.now_ms).is_none() {
                let grant = Grant { id: GrantId::default(), shares: shares.clone() };
                broker.on_grant(self.now_ms, grant, u64::MAX);
            }
        }
    }

    fn report(&mut self, broker: usize, delay_ms: u64) {
        let now_ms = self.now_ms;
        if now_ms < self.frozen_until_ms[broker].max(self.cut_until_ms[broker]) {
            return;
        }
        let Some(granter) = &mut self.granter else { return };
        let held = self.brokers[broker].grant(now_ms).cloned();
        let demand: BTreeMap<Arc<str>, f64> = self.brokers[broker]
            .demand(now_ms)
            .map(|(workspace, per_s)| (workspace.clone(), per_s))
            .collect();
        let listed: BTreeSet<Name> = self.names.iter().cloned().collect();
        let grant = granter.on_report(now_ms, &self.names[broker], held.as_ref(), demand, &listed);
        self.on_the_way.extend(grant.map(|grant| Grants {
            arrives_at_ms: now_ms + delay_ms,
            broker,
            incarnation: self.incarnations[broker],
            report_at_ms: now_ms,
            grant,
        }));
    }

    /// Has an instance admit a request, which is sent `use_after_ms` later. Returns whether it is.
    pub fn request(&mut self, instance: usize, cost: f64, use_after_ms: u64) -> bool {
        let reservation = Reservation { workspace: workspace(), cost };
        let instances = Some(self.admissions.len());
        let brokers: Vec<Name> = (0..self.names.len())
            .map(|index| self.names[(instance + index) % self.names.len()].clone())
            .collect();
        let mut tried = Vec::new();
        loop {
            let admission = &mut self.admissions[instance];
            match admission.next_step(self.now_ms, &reservation, instances, &brokers, &tried) {
                Step::Covered => {
                    self.used.push_back((self.now_ms, cost));
                    return true;
                }
                Step::Refuse { .. } => return false,
                Step::Reserve(name) => {
                    let broker = self.names.iter().position(|known| *known == name);
                    let broker = broker.expect("a listed broker");
                    let result = if self.now_ms < self.frozen_until_ms[broker] {
                        self.admissions[instance].on_unreachable(self.now_ms, &name);
                        None
                    } else {
                        Some(self.brokers[broker].reserve(self.now_ms, &reservation))
                    };
                    match result {
                        Some(Ok(())) => {
                            let is_used = use_after_ms < RESERVATION_MS;
                            if is_used {
                                self.used.push_back((self.now_ms + use_after_ms, cost));
                            }
                            return is_used;
                        }
                        Some(Err(shortage)) => {
                            self.on_shortage(instance, &name, &reservation, shortage);
                        }
                        None => {}
                    }
                    tried.push(name);
                }
            }
        }
    }

    fn on_shortage(
        &mut self,
        instance: usize,
        name: &Name,
        reservation: &Reservation,
        shortage: Shortage,
    ) {
        self.admissions[instance].on_shortage(self.now_ms, name, reservation, shortage);
    }

    /// Returns the most that was used in any window.
    pub fn most_in_a_window(&self) -> f64 {
        let mut used: Vec<(u64, f64)> = self.used.iter().copied().collect();
        used.sort_by_key(|(at_ms, _)| *at_ms);
        let sum_from = |start: usize| -> f64 {
            let end_ms = used[start].0 + WINDOW_MS;
            used[start..]
                .iter()
                .take_while(|(at_ms, _)| *at_ms <= end_ms)
                .map(|(_, cost)| cost)
                .sum()
        };
        (0..used.len()).map(sum_from).fold(0.0, f64::max)
    }
}
