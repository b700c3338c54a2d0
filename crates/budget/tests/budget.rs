//! Tables and properties of the budget.

use std::net::{IpAddr, Ipv4Addr};
use std::sync::Arc;

use cowslip_budget::{Action, Budget, BudgetLimits, Party, Purpose};
use proptest::prelude::*;

const LIMIT_BYTES: u64 = 1_336;
/// Three quarters of the limit.
const REQUEST_LIMIT_BYTES: u64 = 1_002;

fn party(address: u8, workspace: &str) -> Party {
    let workspace = (!workspace.is_empty()).then(|| Arc::from(workspace));
    Party { address: IpAddr::V4(Ipv4Addr::new(10, 0, 0, address)), workspace }
}

/// A step of a case; ids are given in the order of opening, from 0.
enum Step {
    Open(u8, &'static str, Purpose),
    Reserve(u64, u64, &'static [Action]),
    Complete(u64, &'static [Action]),
    Close(u64, &'static [Action]),
    Decide(&'static [Action]),
    Wait(u64),
}

use Action::{Evict, Grant, Refuse};
use Purpose::{Request, Response};
use Step::{Close, Complete, Decide, Open, Reserve, Wait};

struct Case {
    name: &'static str,
    steps: &'static [Step],
}

const CASES: &[Case] = &[
    Case {
        name: "a new body is refused while all others make progress",
        steps: &[
            Open(1, "a", Request),
            Reserve(0, 700, &[Grant(0)]),
            Open(1, "b", Request),
            Open(1, "b", Response),
            Reserve(2, 300, &[Grant(2)]),
            Wait(500),
            Reserve(0, 100, &[Refuse(0)]),
        ],
    },
    Case {
        name: "a body that has stopped gives way, and the other one waits for its bytes",
        steps: &[
            Open(1, "a", Request),
            Reserve(0, 700, &[Grant(0)]),
            Open(2, "b", Request),
            Wait(1_000),
            Reserve(1, 400, &[Evict(0)]),
            Reserve(0, 1, &[Refuse(0)]),
            Close(0, &[Grant(1)]),
        ],
    },
    Case {
        name: "the body that has stopped for longest gives way",
        steps: &[
            Open(1, "a", Request),
            Reserve(0, 400, &[Grant(0)]),
            Wait(10),
            Open(1, "b", Request),
            Reserve(1, 500, &[Grant(1)]),
            Wait(2_000),
            Reserve(0, 50, &[Grant(0)]),
            Open(1, "c", Request),
            Reserve(2, 400, &[Evict(1)]),
        ],
    },
    Case {
        name: "a caller within its share displaces one beyond its share",
        steps: &[
            Open(1, "a", Request),
            Reserve(0, 700, &[Grant(0)]),
            Open(2, "b", Request),
            Reserve(1, 400, &[Evict(0)]),
        ],
    },
    Case {
        name: "a caller beyond its share displaces nobody",
        steps: &[
            Open(1, "a", Request),
            Reserve(0, 450, &[Grant(0)]),
            Open(2, "b", Request),
            Reserve(1, 500, &[Grant(1)]),
            Reserve(1, 100, &[Refuse(1)]),
        ],
    },
    Case {
        name: "the bodies of one workspace leave a quarter to others",
        steps: &[
            Open(1, "a", Request),
            Reserve(0, 750, &[Grant(0)]),
            Complete(0, &[]),
            Open(1, "a", Request),
            Reserve(1, 1, &[Refuse(1)]),
            Open(1, "b", Request),
            Reserve(2, 250, &[Grant(2)]),
        ],
    },
    Case {
        name: "callers without a workspace are capped by address",
        steps: &[
            Open(1, "", Request),
            Reserve(0, 751, &[Refuse(0)]),
            Open(2, "", Request),
            Reserve(1, 750, &[Grant(1)]),
        ],
    },
    Case {
        name: "complete requests are kept",
        steps: &[
            Open(1, "a", Request),
            Reserve(0, 700, &[Grant(0)]),
            Complete(0, &[]),
            Wait(60_000),
            Open(2, "b", Request),
            Reserve(1, 400, &[Refuse(1)]),
        ],
    },
    Case {
        name: "a body that completes before it closes is kept, and nobody waits for its bytes",
        steps: &[
            Open(1, "a", Request),
            Reserve(0, 700, &[Grant(0)]),
            Open(2, "b", Request),
            Wait(1_000),
            Reserve(1, 400, &[Evict(0)]),
            Complete(0, &[Refuse(1)]),
            Reserve(1, 400, &[Refuse(1)]),
        ],
    },
    Case {
        name: "complete requests leave a quarter to responses",
        steps: &[
            Open(1, "a", Request),
            Reserve(0, 700, &[Grant(0)]),
            Complete(0, &[]),
            Open(2, "b", Request),
            Reserve(1, 303, &[Refuse(1)]),
            Reserve(1, 302, &[Grant(1)]),
            Complete(1, &[]),
            Open(1, "a", Response),
            Reserve(2, 334, &[Grant(2)]),
        ],
    },
    Case {
        name: "a response does not give way to a request beyond the part of requests",
        steps: &[
            Open(1, "a", Response),
            Reserve(0, 200, &[Grant(0)]),
            Complete(0, &[]),
            Open(2, "b", Request),
            Reserve(1, 700, &[Grant(1)]),
            Complete(1, &[]),
            Wait(60_000),
            Open(3, "c", Request),
            Reserve(2, 400, &[Refuse(2)]),
        ],
    },
    Case {
        name: "a response waits for one that is read, which gives way when that takes too long",
        steps: &[
            Open(1, "a", Response),
            Reserve(0, 1_000, &[Grant(0)]),
            Complete(0, &[]),
            Open(2, "b", Response),
            Reserve(1, 500, &[]),
            Wait(500),
            Decide(&[]),
            Wait(1_000),
            Decide(&[Evict(0)]),
            Close(0, &[Grant(1)]),
        ],
    },
    Case {
        name: "a response is refused where nothing will be returned",
        steps: &[
            Open(1, "a", Response),
            Reserve(0, 900, &[Grant(0)]),
            Open(2, "b", Response),
            Reserve(1, 500, &[Refuse(1)]),
        ],
    },
];

#[test]
fn budget_follows_the_cases() {
    for Case { name, steps } in CASES {
        let mut budget = Budget::new(BudgetLimits { held_bytes: LIMIT_BYTES });
        let (mut now_ms, mut opened) = (0, 0);
        for (index, step) in steps.iter().enumerate() {
            let (actions, expected): (Vec<Action>, &[Action]) = match step {
                Open(address, workspace, purpose) => {
                    budget.open(opened, party(*address, workspace), *purpose, now_ms);
                    opened += 1;
                    continue;
                }
                Wait(time_ms) => {
                    now_ms += time_ms;
                    continue;
                }
                Complete(id, expected) => (budget.complete(*id, now_ms), expected),
                Reserve(id, bytes, expected) => (budget.reserve(*id, *bytes, now_ms), expected),
                Close(id, expected) => (budget.close(*id, now_ms), expected),
                Decide(expected) => (budget.decide(now_ms), expected),
            };
            assert_eq!(actions, *expected, "{name}, step {index}");
        }
    }
}

/// The bytes that the actions of a budget grant, counted without its rules.
#[derive(Default)]
struct NaiveBudget {
    /// Granted and requested bytes, and whether the holder was evicted.
    holders: std::collections::BTreeMap<u64, (u64, Option<u64>, bool)>,
}

impl NaiveBudget {
    fn apply(&mut self, actions: &[Action]) {
        for action in actions {
            match *action {
                Grant(id) => {
                    let holder = self.holders.get_mut(&id).expect("a holder");
                    holder.0 += holder.1.take().expect("a reservation that waits");
                    assert!(!holder.2, "an evicted holder gets more");
                }
                Refuse(id) => {
                    let holder = self.holders.get_mut(&id).expect("a holder");
                    holder.1.take().expect("a reservation that waits");
                }
                Evict(id) => {
                    let holder = self.holders.get_mut(&id).expect("a holder");
                    assert!(!std::mem::replace(&mut holder.2, true), "evicted twice");
                }
            }
        }
        let held: u64 = self.holders.values().map(|holder| holder.0).sum();
        assert!(held <= LIMIT_BYTES, "{held} bytes");
        let requests = self.holders.iter().filter(|(id, _)| *id % 3 != 0);
        let held: u64 = requests.map(|(_, holder)| holder.0).sum();
        assert!(held <= REQUEST_LIMIT_BYTES, "{held} bytes of requests");
    }
}

proptest! {
    #[test]
    fn budget_is_never_exceeded_and_bytes_return_once(
        steps in prop::collection::vec((0_u64..12, 0_u8..4, 1_u64..400, 0_u64..800), 1..200)
    ) {
        let mut budget = Budget::new(BudgetLimits { held_bytes: LIMIT_BYTES });
        let mut naive = NaiveBudget::default();
        let mut now_ms = 0;
        for (id, operation, bytes, time_ms) in steps {
            now_ms += time_ms;
            let holder = naive.holders.get(&id).copied();
            let actions = match (holder, operation) {
                (None, _) => {
                    let purpose = if id % 3 == 0 { Response } else { Request };
                    let workspace = ["", "a", "b"][usize::try_from(id % 3).expect("an index")];
                    budget.open(id, party(u8::from(id > 5), workspace), purpose, now_ms);
                    naive.holders.insert(id, (0, None, false));
                    Vec::new()
                }
                (Some((_, None, _)), 0 | 1) => {
                    naive.holders.entry(id).and_modify(|holder| holder.1 = Some(bytes));
                    budget.reserve(id, bytes, now_ms)
                }
                (Some(_), 2) => budget.complete(id, now_ms),
                (Some(_), 3) => {
                    naive.holders.remove(&id);
                    budget.close(id, now_ms)
                }
                (Some(_), _) => budget.decide(now_ms),
            };
            naive.apply(&actions);
            let held: u64 = naive.holders.values().map(|holder| holder.0).sum();
            prop_assert_eq!(budget.held_bytes(), held);
        }
        for id in naive.holders.keys().copied().collect::<Vec<_>>() {
            naive.holders.remove(&id);
            naive.apply(&budget.close(id, now_ms));
        }
        prop_assert_eq!(budget.held_bytes(), 0);
        prop_assert!(!budget.has_waiting());
    }
}
