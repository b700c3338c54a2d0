//! What a broker takes back.

use std::collections::{BTreeMap, HashMap};

use cowslip_allowance::{Broker, Budget, Grant, GrantId, Reservation, Shares, Shortage};

use super::simulation::{BOUNDS, allowance, workspace};

#[test]
fn only_valid_reservations_are_put_back() {
    struct Case {
        name: &'static str,
        reserved_at_ms: u64,
        is_put_back: bool,
    }
    let now_ms = 10_000;
    let cases = [
        Case { name: "at once", reserved_at_ms: now_ms, is_put_back: true },
        Case { name: "in time", reserved_at_ms: now_ms - 499, is_put_back: true },
        Case { name: "too late", reserved_at_ms: now_ms - 500, is_put_back: false },
        Case { name: "by another clock", reserved_at_ms: now_ms + 1, is_put_back: false },
        Case { name: "beyond all times", reserved_at_ms: u64::MAX, is_put_back: false },
    ];
    let budget = Budget::new(&allowance(5_000.0, 5_000.0), &BOUNDS);
    for Case { name, reserved_at_ms, is_put_back } in cases {
        let mut broker = Broker::default();
        broker.set_budgets(0, HashMap::from([(workspace(), budget)]));
        let shares = Shares { default: 1.0, listed: BTreeMap::new() };
        broker.on_grant(0, Grant { id: GrantId::default(), shares }, u64::MAX);
        let reservation = Reservation { workspace: workspace(), cost: budget.burst };
        assert_eq!(broker.reserve(now_ms, &reservation), Ok(()), "{name}");
        broker.put_back(now_ms, &reservation, reserved_at_ms);
        let again = broker.reserve(now_ms, &reservation);
        let is_low = matches!(again, Err(Shortage::Low { left: 0, .. }));
        assert_eq!((again.is_ok(), is_low), (is_put_back, !is_put_back), "{name}");
    }
}
