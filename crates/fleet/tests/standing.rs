//! Checks in which order upstreams are preferred by how earlier sends to them ended.

use cowslip_fleet::Standing;

struct Case {
    is_backing_off: bool,
    was_lost: bool,
    standing: Standing,
    /// Standings that are preferred to this one.
    better: &'static [Standing],
}

const CASES: &[Case] = &[
    Case { is_backing_off: false, was_lost: false, standing: Standing::Sound, better: &[] },
    Case {
        is_backing_off: true,
        was_lost: false,
        standing: Standing::BackingOff,
        better: &[Standing::Sound],
    },
    Case {
        is_backing_off: false,
        was_lost: true,
        standing: Standing::LostWithRequest,
        better: &[Standing::Sound, Standing::BackingOff],
    },
    Case {
        is_backing_off: true,
        was_lost: true,
        standing: Standing::LostAndBackingOff,
        better: &[Standing::Sound, Standing::BackingOff, Standing::LostWithRequest],
    },
];

#[test]
fn upstreams_that_were_lost_with_the_request_come_last() {
    for Case { is_backing_off, was_lost, standing, better } in CASES {
        assert_eq!(Standing::of(*is_backing_off, *was_lost), *standing);
        let mut asked = Vec::new();
        let placement = Standing::place_by(|worst| {
            asked.push(worst);
            None
        });
        assert_eq!(placement, None);
        let position = asked.iter().position(|asked| asked == standing).expect("it is asked for");
        assert_eq!(&asked[..position], *better, "{standing:?}");
        assert!(better.iter().all(|better| better < standing), "{standing:?}");
    }
}
