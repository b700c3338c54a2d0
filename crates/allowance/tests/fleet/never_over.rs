//! In no window more is used than the bounds allow, whatever is lost, late, frozen or restarted.

use super::simulation::{BOUNDS, Fault, Fleet, allowance, bound};
use cowslip_allowance::Budget;
use proptest::prelude::*;

const BROKERS: usize = 4;
const INSTANCES: usize = 8;
const STEPS: usize = 600;
const MAX_REQUESTS: usize = 50;

fn fault() -> impl Strategy<Value = Fault> {
    let broker = 0..BROKERS;
    prop_oneof![
        (broker.clone(), 1..300_u64).prop_map(|(broker, steps)| Fault::Frozen { broker, steps }),
        broker.clone().prop_map(|broker| Fault::Restarted { broker }),
        (0..120_u64).prop_map(|steps| Fault::LeaseLost { steps }),
        (broker, 1..300_u64).prop_map(|(broker, steps)| Fault::Cut { broker, steps }),
    ]
}

/// A time in which some instances get more requests than the allowance admits.
#[derive(Clone, Debug)]
struct Phase {
    steps: usize,
    /// One bit for each instance that gets requests.
    instances: u8,
    cost: f64,
    use_after_ms: u64,
}

fn phase() -> impl Strategy<Value = Phase> {
    let instances = prop_oneof![Just(0), Just(u8::MAX), any::<u8>()];
    (1..200_usize, instances, 20..400_u32, 0..700_u64).prop_map(
        |(steps, instances, cost, use_after_ms)| Phase {
            steps,
            instances,
            cost: f64::from(cost),
            use_after_ms,
        },
    )
}

/// Has an instance send requests until one is refused.
fn saturate(fleet: &mut Fleet, instance: usize, phase: &Phase) {
    for _ in 0..MAX_REQUESTS {
        if !fleet.request(instance, phase.cost, phase.use_after_ms) {
            return;
        }
    }
}

proptest! {
    #[test]
    fn no_window_exceeds_the_bound(
        faults in prop::collection::vec((0..STEPS, fault()), 0..12),
        phases in prop::collection::vec(phase(), 4..12),
        delays_ms in prop::collection::vec(0..4_000_u64, STEPS),
        burst in prop_oneof![Just(0), 0..10_000_u32],
    ) {
        let allowance = allowance(5_000.0, f64::from(burst));
        let mut fleet = Fleet::new(&allowance, BROKERS, INSTANCES);
        let phases = phases.iter().flat_map(|phase| std::iter::repeat_n(phase, phase.steps));
        for (step, (phase, delay_ms)) in phases.zip(delays_ms).enumerate() {
            // Half of the messages are prompt.
            fleet.step(if delay_ms % 2 == 0 { 0 } else { delay_ms });
            faults.iter().filter(|(at, _)| *at == step).for_each(|(_, fault)| fleet.apply(fault));
            for instance in (0..INSTANCES).filter(|index| phase.instances >> index & 1 == 1) {
                saturate(&mut fleet, instance, phase);
            }
        }
        let most = fleet.most_in_a_window();
        prop_assert!(most <= bound(&allowance), "{most} of {}", bound(&allowance));
    }
}

#[test]
fn a_lowered_limit_binds_at_once() {
    let (high, low) = (allowance(5_000.0, 20_000.0), allowance(500.0, 1_000.0));
    let mut fleet = Fleet::new(&high, BROKERS, INSTANCES);
    for _ in 0..400 {
        fleet.step(0);
    }
    fleet.set_budget(Budget::new(&low, &BOUNDS));
    for step in 0..400 {
        fleet.step(0);
        (0..INSTANCES).for_each(|instance| {
            fleet.request(instance, 100.0, step % 3);
        });
    }
    let most = fleet.most_in_a_window();
    assert!(most <= bound(&low), "{most} of {}", bound(&low));
    assert!(most >= 4_000.0, "{most} is less than what accrues in a window");
}
