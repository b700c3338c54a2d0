//! Instances that are cut off at random: none serves by an old state after a change is in force.

use std::collections::BTreeMap;

use cowslip_config::{Admission, Freshness, PeerReachability, is_majority};
use cowslip_membership::{Heartbeat, ListedMember, Members};
use cowslip_name::Name;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const INSTANCES: usize = 5;
const LIMIT_MS: u64 = 8;
const TIMEOUT_MS: u64 = 4;

/// A rule that a run leaves out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    AcceptAtOnce,
    ServeWithAnyContact,
    CountThoseAhead,
}

#[derive(Clone, Debug)]
enum Step {
    Time(u64),
    Append,
    ReadLog(usize),
    Beat(usize, usize),
}

struct Instance {
    next_offset: u64,
    freshness: Freshness,
    members: Members,
}

struct World {
    now_ms: u64,
    log_next: u64,
    instances: Vec<Instance>,
    in_force_at_ms: Option<u64>,
    fault: Fault,
}

fn name(index: usize) -> Name {
    Name::new(&format!("entry-{index}")).expect("a name")
}

fn row(index: usize) -> ListedMember {
    ListedMember {
        name: name(index),
        peer_address: ([127, 0, 0, 1], 1).into(),
        failure_domain: name(0),
        is_leaving: false,
    }
}

impl World {
    fn new(fault: Fault) -> Self {
        let instance = |index| {
            let mut members = Members::new(name(index), TIMEOUT_MS);
            members.set_list((0..INSTANCES).map(row));
            Instance { next_offset: 0, freshness: Freshness::new(LIMIT_MS), members }
        };
        let instances = (0..INSTANCES).map(instance).collect();
        Self { now_ms: 0, log_next: 0, instances, in_force_at_ms: None, fault }
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Time(passed_ms) => self.now_ms += passed_ms,
            Step::Append => self.log_next = 1,
            Step::ReadLog(index) => {
                self.instances[*index].next_offset = self.log_next;
                self.instances[*index].freshness.on_log(self.now_ms);
            }
            Step::Beat(from, to) if from != to => {
                self.tell(*from, *to);
                self.tell(*to, *from);
                self.learn(*from, *to);
            }
            Step::Beat(..) => {}
        }
        for index in 0..INSTANCES {
            self.instances[index].members.on_tick(self.now_ms);
            self.note_in_force(index);
        }
    }

    fn tell(&mut self, from: usize, to: usize) {
        let report = Heartbeat {
            incarnation: 1,
            failure_domain: name(0),
            next_offset: self.instances[from].next_offset,
            in_flight: 0,
            loads: BTreeMap::new(),
            drained: Vec::new(),
        };
        let now_ms = self.now_ms;
        self.instances[to].members.on_heartbeat(now_ms, &name(from), report);
    }

    /// The one that asked takes what the other has, or its knowledge that there is no more.
    fn learn(&mut self, asker: usize, other: usize) {
        let age_ms = self.instances[other].freshness.age_ms(self.now_ms);
        let other_offset = self.instances[other].next_offset;
        let now_ms = self.now_ms;
        let asker = &mut self.instances[asker];
        if other_offset > asker.next_offset {
            asker.next_offset = other_offset;
        } else if let Some(age_ms) = age_ms {
            asker.freshness.on_peer(now_ms, age_ms);
        }
    }

    fn note_in_force(&mut self, index: usize) {
        let instance = &self.instances[index];
        if instance.next_offset == 0 {
            return;
        }
        let holding = 1 + instance.members.peers_past_offset(self.now_ms, 0);
        if self.fault == Fault::AcceptAtOnce || is_majority(holding, INSTANCES) {
            self.in_force_at_ms.get_or_insert(self.now_ms);
        }
    }

    fn admits(&self, index: usize) -> bool {
        let instance = &self.instances[index];
        let level = match self.fault {
            Fault::CountThoseAhead => instance.members.count_at_or_below(self.now_ms, u64::MAX),
            _ => instance.members.count_at_or_below(self.now_ms, instance.next_offset),
        };
        let reached_not_ahead = match self.fault {
            Fault::ServeWithAnyContact if level > 1 => INSTANCES,
            _ => level,
        };
        let contact = PeerReachability { listed: INSTANCES, reached_not_ahead };
        let admission = instance.freshness.admission(self.now_ms, contact);
        matches!(admission, Admission::Admit | Admission::AdmitStale)
    }

    /// Whether an instance serves by the old state although the change has been in force.
    fn is_violated(&self) -> bool {
        let bound_ms = LIMIT_MS.max(TIMEOUT_MS);
        let is_due = self.in_force_at_ms.is_some_and(|at_ms| self.now_ms > at_ms + bound_ms);
        is_due
            && (0..INSTANCES)
                .any(|index| self.instances[index].next_offset == 0 && self.admits(index))
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0u64..4).prop_map(Step::Time),
        1 => Just(Step::Append),
        2 => (0..INSTANCES).prop_map(Step::ReadLog),
        6 => (0..INSTANCES, 0..INSTANCES).prop_map(|(from, to)| Step::Beat(from, to)),
    ]
}

fn find(fault: Fault, cases: u32) -> bool {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let found = runner.run(&prop::collection::vec(step(), 0..120), |steps| {
        let mut world = World::new(fault);
        for step in &steps {
            world.step(step);
            prop_assert!(!world.is_violated());
        }
        Ok(())
    });
    found.is_err()
}

#[test]
fn each_rule_is_needed() {
    struct Case {
        fault: Fault,
        is_found: bool,
    }
    const CASES: &[Case] = &[
        Case { fault: Fault::None, is_found: false },
        Case { fault: Fault::AcceptAtOnce, is_found: true },
        Case { fault: Fault::ServeWithAnyContact, is_found: true },
        Case { fault: Fault::CountThoseAhead, is_found: true },
    ];
    for case in CASES {
        assert_eq!(find(case.fault, 2_000), case.is_found, "{:?}", case.fault);
    }
}

proptest! {
    #[test]
    fn no_instance_serves_by_an_old_state(steps in prop::collection::vec(step(), 0..160)) {
        let mut world = World::new(Fault::None);
        for step in &steps {
            world.step(step);
            prop_assert!(!world.is_violated());
        }
    }
}
