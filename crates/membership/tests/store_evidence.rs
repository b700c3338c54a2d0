//! Checks which reads of the store end an outage.

use cowslip_membership::StoreEvidence;

enum Step {
    /// Time of a failed read of this instance.
    Failed(u64),
    /// Time of a read, and whether it ends an outage.
    Read(u64, bool),
}

use Step::{Failed, Read};

struct Case {
    name: &'static str,
    steps: &'static [Step],
}

const CASES: &[Case] = &[
    Case { name: "reads without a failure", steps: &[Read(0, false), Read(9_000, false)] },
    Case { name: "a start while the store is away", steps: &[Failed(2_000), Read(3_000, true)] },
    Case {
        name: "an outage",
        steps: &[Read(0, false), Failed(2_000), Failed(5_000), Read(6_000, true)],
    },
    Case {
        name: "an outage that a peer sees end first",
        steps: &[
            Read(0, false),
            Failed(2_000),
            Failed(5_000),
            Read(5_800, true),
            Read(6_000, false),
        ],
    },
    Case {
        name: "a peer reads during the failures",
        steps: &[
            Read(0, false),
            Failed(500),
            Read(700, false),
            Failed(1_900),
            Read(2_000, false),
            Read(2_900, false),
        ],
    },
    Case {
        name: "a peer's last read before an outage is known late",
        steps: &[Read(0, false), Failed(2_000), Read(200, false), Read(6_000, true)],
    },
    Case {
        name: "failures settled by a peer long before this instance reads again",
        steps: &[
            Read(0, false),
            Failed(2_000),
            Read(1_400, false),
            Read(2_600, false),
            Read(8_000, false),
        ],
    },
    Case {
        name: "reads known out of order",
        steps: &[Read(3_000, false), Failed(3_100), Read(2_000, false), Read(3_000, false)],
    },
    Case {
        name: "two outages",
        steps: &[
            Read(0, false),
            Failed(500),
            Read(2_000, true),
            Read(3_000, false),
            Failed(4_000),
            Read(5_000, true),
        ],
    },
];

#[test]
fn only_a_time_in_which_nobody_reads_is_an_outage() {
    for Case { name, steps } in CASES {
        let mut evidence = StoreEvidence::default();
        for (index, step) in steps.iter().enumerate() {
            match step {
                Failed(at_ms) => evidence.on_failed(*at_ms),
                Read(at_ms, ends_outage) => {
                    assert_eq!(evidence.on_read(*at_ms), *ends_outage, "{name}: step {index}");
                }
            }
        }
    }
}
