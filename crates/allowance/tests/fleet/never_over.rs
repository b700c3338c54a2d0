//! In no window more is used than the bounds allow, whatever is lost, late, frozen or restarted.

use super::simulation::{BOUNDS, Fault, Fleet, allowance, bound};
use cowslip_allowance::Budget;
use proptest::prelude::*;

const BROKERS: usize = 4;
const INSTANCES: usize = 8;
const STEPS: usize = 600;

fn fault() -> impl Strategy<Value = Fault> {
    let broker = 0..BROKERS;
    prop_oneof![
        (broker.clone(), 1..300_u64).prop_map(|(broker, steps)| Fault::Frozen { broker, steps }),
        broker.clone().prop_map(|broker| Fault::Restarted { broker }),
        (0..120_u64).prop_map(|steps| Fault::LeaseLost { steps }),
        (broker, 1..300_u64).prop_map(|(broker, steps)| Fault::Cut { broker, steps }),
    ]
}

#[derive(Clone, Debug)]
struct Request {
    step: usize,
    instance: usize,
    cost: f64,
    use_after_ms: u64,
    count: usize,
}

fn request() -> impl Strategy<Value = Request> {
    (0..STEPS, 0..INSTANCES, 1..4_000_u32, 0..700_u64, 1..12_usize).prop_map(
        |(step, instance, cost, use_after_ms, count)| Request {
            step,
            instance,
            cost: f64::from(cost),
            use_after_ms,
            count,
        },
    )
}

proptest! {
    #[test]
    fn no_window_exceeds_the_bound(
        faults in prop::collection::vec((0..STEPS, fault()), 0..12),
        requests in prop::collection::vec(request(), 1..300),
        delays_ms in prop::collection::vec(0..4_000_u64, STEPS),
        burst in 0..20_000_u32,
    ) {
        let allowance = allowance(5_000.0, f64::from(burst));
        let mut fleet = Fleet::new(&allowance, BROKERS, INSTANCES);
        for (step, delay_ms) in delays_ms.into_iter().enumerate() {
            // Half of the messages are prompt.
            fleet.step(if delay_ms % 2 == 0 { 0 } else { delay_ms });
            faults.iter().filter(|(at, _)| *at == step).for_each(|(_, fault)| fleet.apply(fault));
            for request in requests.iter().filter(|request| request.step == step) {
                for _ in 0..request.count {
                    fleet.request(request.instance, request.cost, request.use_after_ms);
                }
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
