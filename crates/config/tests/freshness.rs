//! Instances that are disconnected at random from the log and from each other: after a change is in
//! force, none may serve with the old state for longer than the stale limit and the peer timeout.

use std::collections::BTreeMap;

use cowslip_config::{Admission, Freshness, PeerReachability, is_majority};
use cowslip_membership::{Heartbeat, ListedMember, Members};
use cowslip_name::Name;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const INSTANCES: usize = 5;
const LIMIT_MS: u64 = 8;
const TIMEOUT_MS: u64 = 4;

/// A rule of the protocol that a run omits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    /// A change counts as in force as soon as one instance has it.
    AcceptWithoutMajority,
    /// A stale instance serves if it reaches any peer that is not ahead.
    ServeWithAnyPeer,
    /// Peers that are ahead count towards the majority.
    CountPeersAhead,
}

#[derive(Clone, Debug)]
enum Step {
    AdvanceClock(u64),
    Append,
    ReadLog(usize),
    ExchangeHeartbeats(usize, usize),
}

struct Instance {
    next_offset: u64,
    freshness: Freshness,
    members: Members,
}

struct Simulation {
    now_ms: u64,
    log_next_offset: u64,
    instances: Vec<Instance>,
    in_force_at_ms: Option<u64>,
    fault: Fault,
}

fn name(index: usize) -> Name {
    Name::new(&format!("entry-{index}")).expect("valid name")
}

fn listed_member(index: usize) -> ListedMember {
    ListedMember {
        name: name(index),
        peer_address: ([127, 0, 0, 1], 1).into(),
        failure_domain: name(0),
        is_draining: false,
    }
}

impl Simulation {
    fn new(fault: Fault) -> Self {
        let instance = |index| {
            let mut members = Members::new(name(index), TIMEOUT_MS);
            members.set_list((0..INSTANCES).map(listed_member));
            Instance { next_offset: 0, freshness: Freshness::new(LIMIT_MS), members }
        };
        let instances = (0..INSTANCES).map(instance).collect();
        Self { now_ms: 0, log_next_offset: 0, instances, in_force_at_ms: None, fault }
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::AdvanceClock(elapsed_ms) => self.now_ms += elapsed_ms,
            Step::Append => self.log_next_offset = 1,
            Step::ReadLog(index) => {
                self.instances[*index].next_offset = self.log_next_offset;
                self.instances[*index].freshness.on_log_read(self.now_ms);
            }
            Step::ExchangeHeartbeats(from, to) if from != to => {
                self.send_heartbeat(*from, *to);
                self.send_heartbeat(*to, *from);
                self.catch_up(*from, *to);
            }
            Step::ExchangeHeartbeats(..) => {}
        }
        for index in 0..INSTANCES {
            self.instances[index].members.on_tick(self.now_ms);
            self.update_in_force(index);
        }
    }

    fn send_heartbeat(&mut self, from: usize, to: usize) {
        let heartbeat = Heartbeat {
            incarnation: 1,
            failure_domain: name(0),
            next_offset: self.instances[from].next_offset,
            in_flight: 0,
            loads: BTreeMap::new(),
            drained: Vec::new(),
        };
        let now_ms = self.now_ms;
        self.instances[to].members.on_heartbeat(now_ms, &name(from), heartbeat);
    }

    /// The requester takes over the newer state of the peer, or else the freshness of the peer.
    fn catch_up(&mut self, requester: usize, peer: usize) {
        let age_ms = self.instances[peer].freshness.age_ms(self.now_ms);
        let peer_offset = self.instances[peer].next_offset;
        let now_ms = self.now_ms;
        let requester = &mut self.instances[requester];
        if peer_offset > requester.next_offset {
            requester.next_offset = peer_offset;
        } else if let Some(age_ms) = age_ms {
            requester.freshness.on_peer_reply(now_ms, age_ms);
        }
    }

    fn update_in_force(&mut self, index: usize) {
        let instance = &self.instances[index];
        if instance.next_offset == 0 {
            return;
        }
        let count = 1 + instance.members.peers_past_offset(self.now_ms, 0);
        if self.fault == Fault::AcceptWithoutMajority || is_majority(count, INSTANCES) {
            self.in_force_at_ms.get_or_insert(self.now_ms);
        }
    }

    fn admits(&self, index: usize) -> bool {
        let instance = &self.instances[index];
        let reached = match self.fault {
            Fault::CountPeersAhead => instance.members.count_at_or_below(self.now_ms, u64::MAX),
            _ => instance.members.count_at_or_below(self.now_ms, instance.next_offset),
        };
        let reached_not_ahead = match self.fault {
            Fault::ServeWithAnyPeer if reached > 1 => INSTANCES,
            _ => reached,
        };
        let reachability = PeerReachability { listed: INSTANCES, reached_not_ahead };
        let admission = instance.freshness.admission(self.now_ms, reachability);
        matches!(admission, Admission::Admit | Admission::AdmitStale)
    }

    /// Whether an instance serves with the old state although the change has been in force for
    /// longer than both the stale limit and the peer timeout.
    fn violates_invariant(&self) -> bool {
        let bound_ms = LIMIT_MS.max(TIMEOUT_MS);
        let is_enforced = self.in_force_at_ms.is_some_and(|at_ms| self.now_ms > at_ms + bound_ms);
        is_enforced
            && (0..INSTANCES)
                .any(|index| self.instances[index].next_offset == 0 && self.admits(index))
    }
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0u64..4).prop_map(Step::AdvanceClock),
        1 => Just(Step::Append),
        2 => (0..INSTANCES).prop_map(Step::ReadLog),
        6 => (0..INSTANCES, 0..INSTANCES).prop_map(|(from, to)| Step::ExchangeHeartbeats(from, to)),
    ]
}

fn finds_violation(fault: Fault, cases: u32) -> bool {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let found = runner.run(&prop::collection::vec(step(), 0..120), |steps| {
        let mut simulation = Simulation::new(fault);
        for step in &steps {
            simulation.step(step);
            prop_assert!(!simulation.violates_invariant());
        }
        Ok(())
    });
    found.is_err()
}

#[test]
fn omitting_a_rule_causes_a_violation() {
    struct Case {
        fault: Fault,
        is_violated: bool,
    }
    const CASES: &[Case] = &[
        Case { fault: Fault::None, is_violated: false },
        Case { fault: Fault::AcceptWithoutMajority, is_violated: true },
        Case { fault: Fault::ServeWithAnyPeer, is_violated: true },
        Case { fault: Fault::CountPeersAhead, is_violated: true },
    ];
    for case in CASES {
        assert_eq!(finds_violation(case.fault, 2_000), case.is_violated, "{:?}", case.fault);
    }
}

proptest! {
    #[test]
    fn no_instance_serves_stale_state_after_a_change_is_in_force(steps in prop::collection::vec(step(), 0..160)) {
        let mut simulation = Simulation::new(Fault::None);
        for step in &steps {
            simulation.step(step);
            prop_assert!(!simulation.violates_invariant());
        }
    }
}
