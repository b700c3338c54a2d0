//! What is asked for within the allowance is let through, compared with equal shares of all
//! instances as the naive twin.

use super::simulation::{BOUNDS, Fleet, STEP_MS, allowance};
use cowslip_allowance::{Bounds, Budget};

const INSTANCES: usize = 60;
const BROKERS: usize = 6;
/// Steps until the shares are granted, and steps that are counted.
const WARM_UP_STEPS: usize = 200;
const COUNTED_STEPS: usize = 12_000;

struct Bucket {
    rate_per_s: f64,
    burst: f64,
    level: f64,
}

impl Bucket {
    fn new(rate_per_s: f64, burst: f64) -> Self {
        Self { rate_per_s, burst, level: burst }
    }

    fn step(&mut self) {
        let accrued = self.rate_per_s * STEP_MS as f64 / 1_000.0;
        self.level = (self.level + accrued).min(self.burst);
    }

    fn try_take(&mut self, cost: f64) -> bool {
        let is_enough = cost <= self.level;
        self.level -= if is_enough { cost } else { 0.0 };
        is_enough
    }
}

/// A simple generator, so that each run plays the same load.
struct Random(u64);

impl Random {
    fn bits(&mut self) -> u32 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        u32::try_from(self.0 >> 33).unwrap_or_default()
    }

    /// Returns a number from 0 to 1.
    fn part(&mut self) -> f64 {
        f64::from(self.bits()) / f64::from(1_u32 << 31)
    }

    fn below(&mut self, limit: usize) -> usize {
        self.bits() as usize % limit
    }
}

#[test]
fn almost_all_that_one_bucket_would_admit_is_let_through() {
    struct Case {
        name: &'static str,
        rate_per_s: f64,
        slack: f64,
        /// Mean cost, and the cost by a random part.
        costs: (f64, fn(f64) -> f64),
        /// Demand as a part of the rate.
        load: f64,
        /// First instance and number of instances that get the requests of a step.
        instances: fn(usize) -> (usize, usize),
        /// Requests arrive only in every n-th step, n times as many.
        clump: usize,
        least: f64,
    }
    let spread = Case {
        name: "spread",
        rate_per_s: 640_000.0,
        slack: BOUNDS.slack,
        // Costs from 1,000 to 65,000, most of them small.
        costs: (13_000.0, |part| 1_000.0 + 64_000.0 * part.powf(4.333)),
        load: 0.6,
        instances: |_| (0, INSTANCES),
        clump: 1,
        least: 0.99,
    };
    let cases = [
        Case { name: "spread, near the limit", load: 0.95, ..spread },
        Case { name: "one instance", instances: |_| (7, 1), ..spread },
        Case {
            name: "moving from region to region",
            load: 0.8,
            instances: |step| (step / 200 * 20 % INSTANCES, 20),
            ..spread
        },
        Case { name: "bursts", clump: 20, ..spread },
        Case { name: "far over the limit", load: 7.5, ..spread },
        Case {
            name: "small workspace, large requests",
            rate_per_s: 47_000.0,
            slack: 190_000.0,
            costs: (17_029.0, |_| 17_029.0),
            ..spread
        },
        spread,
    ];
    let mut failed = Vec::new();
    for Case { name, rate_per_s, slack, costs, load, instances, clump, least } in cases {
        let limit = allowance(rate_per_s, rate_per_s);
        let mut fleet = Fleet::new(&limit, BROKERS, INSTANCES);
        fleet.set_budget(Budget::new(&limit, &Bounds { slack, ..BOUNDS }));
        let mut ideal = Bucket::new(limit.rate_per_s, limit.burst);
        let new_part =
            || Bucket::new(limit.rate_per_s / INSTANCES as f64, limit.burst / INSTANCES as f64);
        let mut equal: Vec<Bucket> = (0..INSTANCES).map(|_| new_part()).collect();
        let mut random = Random(1);
        let [mut admitted, mut ideal_admitted, mut equal_admitted] = [0.0; 3];
        for step in 0..WARM_UP_STEPS + COUNTED_STEPS {
            fleet.step(0);
            ideal.step();
            equal.iter_mut().for_each(Bucket::step);
            if step < WARM_UP_STEPS || step % clump != 0 {
                continue;
            }
            let (mean_cost, cost_of) = costs;
            let per_step = load * limit.rate_per_s * STEP_MS as f64 / 1_000.0 * clump as f64;
            let mut count = per_step / mean_cost + random.part();
            while count >= 1.0 {
                count -= 1.0;
                let cost = cost_of(random.part());
                let (first, number) = instances(step);
                let instance = first + random.below(number);
                let admits = fleet.request(instance % INSTANCES, cost, 0);
                let add =
                    |sum: &mut f64, is_admitted: bool| *sum += if is_admitted { cost } else { 0.0 };
                add(&mut admitted, admits);
                add(&mut ideal_admitted, ideal.try_take(cost));
                add(&mut equal_admitted, equal[instance % INSTANCES].try_take(cost));
            }
        }
        let (ours, naive) = (admitted / ideal_admitted, equal_admitted / ideal_admitted);
        println!("{name}: {ours:.3} of one bucket, equal shares {naive:.3}");
        if ours < least {
            failed.push(name);
        }
    }
    assert!(failed.is_empty(), "{failed:?}");
}
