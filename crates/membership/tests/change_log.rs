//! Changes reach peers in bounded batches, and equal contents are not sent again.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use cowslip_membership::{
    Batch, ChangeLog, DIGEST_GROUPS, FeedRole, PeerKnowledge, store_retry_delay_ms,
};
use proptest::prelude::*;

const MAX_BYTES: usize = 64;
const RECORD_BYTES: usize = 10;

/// A record of a key; a content of 0 stands for a removed key.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Record {
    key: Arc<str>,
    offset: u64,
    content: u64,
}

fn log_of(contents: &[(&str, u64)]) -> ChangeLog<Record> {
    let mut log = ChangeLog::default();
    for (offset, (key, content)) in (1..).zip(contents) {
        apply(&mut log, &Record { key: Arc::from(*key), offset, content: *content });
    }
    log
}

/// Applies a record as an instance does.
fn apply(log: &mut ChangeLog<Record>, record: &Record) {
    let is_known = log.get(&record.key).is_some_and(|known| known.offset >= record.offset);
    if !is_known {
        log.insert(&record.key, record.clone(), digest_of(record));
    }
}

fn digest_of(record: &Record) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&record.key, record.content).hash(&mut hasher);
    if record.content == 0 { 0 } else { hasher.finish() }
}

fn batch<'a>(log: &'a ChangeLog<Record>, version: u64, digests: &[u64]) -> Batch<'a, Record> {
    log.batch(PeerKnowledge { version, digests }, MAX_BYTES, |_| RECORD_BYTES, |_| true)
}

#[test]
fn batches_hold_what_the_peer_lacks() {
    struct Case {
        name: &'static str,
        log: &'static [(&'static str, u64)],
        version: u64,
        /// Contents by whose digests the peer asks.
        held: Option<&'static [(&'static str, u64)]>,
        want: &'static [&'static str],
        has_more: bool,
    }
    const EIGHT: &[(&str, u64)] =
        &[("a", 1), ("b", 1), ("c", 1), ("d", 1), ("e", 1), ("f", 1), ("g", 1), ("h", 1)];
    let cases = [
        Case {
            name: "nothing is known",
            log: &[("a", 1), ("b", 2)],
            version: 0,
            held: None,
            want: &["a", "b"],
            has_more: false,
        },
        Case {
            name: "only changes",
            log: &[("a", 1), ("b", 2), ("a", 3)],
            version: 2,
            held: None,
            want: &["a"],
            has_more: false,
        },
        Case {
            name: "no change",
            log: &[("a", 1), ("b", 2)],
            version: 2,
            held: None,
            want: &[],
            has_more: false,
        },
        Case {
            name: "a heartbeat is no change",
            log: &[("a", 1), ("a", 1)],
            version: 1,
            held: None,
            want: &[],
            has_more: false,
        },
        Case {
            name: "a removal is one",
            log: &[("a", 1), ("a", 0)],
            version: 1,
            held: None,
            want: &["a"],
            has_more: false,
        },
        Case {
            name: "the first batch is bounded",
            log: EIGHT,
            version: 0,
            held: None,
            want: &["a", "b", "c", "d", "e", "f"],
            has_more: true,
        },
        Case {
            name: "the second one has the rest",
            log: EIGHT,
            version: 6,
            held: None,
            want: &["g", "h"],
            has_more: false,
        },
        Case {
            name: "equal contents",
            log: EIGHT,
            version: 0,
            held: Some(EIGHT),
            want: &[],
            has_more: false,
        },
        Case {
            name: "one key differs",
            log: &[("a", 1), ("b", 2)],
            version: 0,
            held: Some(&[("a", 1), ("b", 7)]),
            want: &["b"],
            has_more: false,
        },
        Case {
            name: "one key is removed",
            log: &[("a", 1), ("b", 2), ("a", 0)],
            version: 0,
            held: Some(&[("a", 1), ("b", 2)]),
            want: &["a"],
            has_more: false,
        },
    ];
    for case in cases {
        let log = log_of(case.log);
        let digests = case.held.map_or(Vec::new(), |held| log_of(held).digests().to_vec());
        let batch = batch(&log, case.version, &digests);
        let keys: Vec<&str> = batch.rows.iter().map(|record| &*record.key).collect();
        assert_eq!((keys.as_slice(), batch.has_more), (case.want, case.has_more), "{}", case.name);
    }
}

#[test]
fn a_removal_that_is_not_final_is_sent_later() {
    let mut log = log_of(&[("a", 1), ("a", 0)]);
    let peer = PeerKnowledge { version: 1, digests: &[] };
    let batch = log.batch(peer, MAX_BYTES, |_| RECORD_BYTES, |record| record.content != 0);
    assert_eq!((batch.rows.len(), batch.version), (0, 2));
    log.touch("a");
    let peer = PeerKnowledge { version: 2, digests: &[] };
    assert_eq!(log.batch(peer, MAX_BYTES, |_| RECORD_BYTES, |_| true).rows.len(), 1);
}

#[test]
fn retries_of_reads_are_spaced_by_role() {
    struct Case {
        role: FeedRole,
        failures: u32,
        spread_permille: u64,
        want_ms: u64,
    }
    let cases = [
        Case { role: FeedRole::Reader, failures: 1, spread_permille: 1_000, want_ms: 400 },
        Case { role: FeedRole::Reader, failures: 1, spread_permille: 0, want_ms: 200 },
        Case { role: FeedRole::Reader, failures: 99, spread_permille: 1_000, want_ms: 800 },
        Case { role: FeedRole::Feeder, failures: 1, spread_permille: 1_000, want_ms: 400 },
        Case { role: FeedRole::Feeder, failures: 99, spread_permille: 1_000, want_ms: 1_600 },
        Case { role: FeedRole::Fed, failures: 1, spread_permille: 1_000, want_ms: 1_600 },
        Case { role: FeedRole::Fed, failures: 2, spread_permille: 500, want_ms: 2_400 },
        Case { role: FeedRole::Fed, failures: u32::MAX, spread_permille: 9_999, want_ms: 6_400 },
    ];
    for case in cases {
        let delay_ms = store_retry_delay_ms(case.role, case.failures, case.spread_permille);
        assert_eq!(delay_ms, case.want_ms, "{:?} after {}", case.role, case.failures);
    }
}

/// How far an instance knows the changes of one of its sources.
#[derive(Clone, Copy, Debug)]
struct Cursor {
    incarnation: u64,
    version: u64,
    has_more: bool,
}

/// An instance of the fleet, fed by its sources.
#[derive(Debug, Default)]
struct Instance {
    incarnation: u64,
    log: ChangeLog<Record>,
    sources: Vec<usize>,
    cursors: Vec<Option<Cursor>>,
}

/// Two readers, feeders that both feed, and instances that two feeders feed.
#[derive(Debug)]
struct Fleet {
    store: Vec<Record>,
    instances: Vec<Instance>,
    sent_bytes: usize,
    /// What the replies would hold if each had all records.
    naive_bytes: usize,
}

impl Fleet {
    const READERS: usize = 2;

    fn new(feeders: usize, fed: usize) -> Self {
        let sources = |index: usize| match index {
            0 => vec![1],
            1 => vec![0],
            feeder if feeder < Self::READERS + feeders => vec![0, 1],
            fed => vec![Self::READERS + fed % feeders, Self::READERS + (fed + 1) % feeders],
        };
        let instances = (0..Self::READERS + feeders + fed).map(|index| Instance {
            cursors: vec![None; sources(index).len()],
            sources: sources(index),
            ..Instance::default()
        });
        let instances = instances.collect();
        Self { store: Vec::new(), instances, sent_bytes: 0, naive_bytes: 0 }
    }

    fn write(&mut self, key: u8, content: u64) {
        let offset = self.store.len() as u64 + 1;
        self.store.push(Record { key: Arc::from(format!("up-{key}")), offset, content });
    }

    fn restart(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.incarnation += 1;
        instance.log = ChangeLog::default();
        instance.cursors.fill(None);
    }

    /// Runs one round of reads and exchanges, except for those that `lost` names.
    fn round(&mut self, lost: &[(usize, usize)]) -> Result<(), TestCaseError> {
        for reader in &mut self.instances[..Self::READERS] {
            self.store.iter().for_each(|record| apply(&mut reader.log, record));
        }
        for index in 0..self.instances.len() {
            for link in 0..self.instances[index].sources.len() {
                let source = self.instances[index].sources[link];
                if !lost.contains(&(index, source)) {
                    self.exchange(index, link, source)?;
                }
            }
        }
        Ok(())
    }

    fn exchange(&mut self, index: usize, link: usize, source: usize) -> Result<(), TestCaseError> {
        let (requester, feeder) = (&self.instances[index], &self.instances[source]);
        let cursor = requester.cursors[link];
        let sends_digests = cursor.is_none_or(|cursor| cursor.has_more);
        let digests = requester.log.digests().to_vec();
        let digests: &[u64] = if sends_digests { &digests } else { &[] };
        let cursor = cursor.filter(|cursor| cursor.incarnation == feeder.incarnation);
        let version = cursor.map_or(0, |cursor| cursor.version);
        let batch = batch(&feeder.log, version, digests);
        let bytes = batch.rows.len() * RECORD_BYTES;
        prop_assert!(bytes <= MAX_BYTES);
        prop_assert!(!batch.has_more || !batch.rows.is_empty());
        let cursor = Cursor {
            incarnation: feeder.incarnation,
            version: batch.version,
            has_more: batch.has_more,
        };
        self.naive_bytes += feeder.log.len() * RECORD_BYTES;
        self.sent_bytes += bytes;
        let rows: Vec<Record> = batch.rows.into_iter().cloned().collect();
        let requester = &mut self.instances[index];
        for record in &rows {
            apply(&mut requester.log, record);
        }
        requester.cursors[link] = Some(cursor);
        Ok(())
    }
}

proptest! {
    /// Whatever is written, lost and restarted, every instance holds the newest contents once the
    /// links work again, and less is sent than by sending everything to everyone.
    #[test]
    fn every_instance_learns_each_change(
        shape in (2usize..5, 1usize..12),
        rounds in prop::collection::vec(
            (
                prop::collection::vec((any::<u8>(), 0u64..4), 0..12),
                prop::collection::vec((any::<usize>(), any::<usize>()), 0..6),
                prop::option::weighted(0.2, any::<usize>()),
            ),
            1..12,
        ),
    ) {
        let mut fleet = Fleet::new(shape.0, shape.1);
        let count = fleet.instances.len();
        for (writes, lost, restarted) in rounds {
            for (key, content) in writes {
                fleet.write(key, content);
            }
            if let Some(index) = restarted {
                fleet.restart(index % count);
            }
            let lost: Vec<(usize, usize)> =
                lost.into_iter().map(|(from, to)| (from % count, to % count)).collect();
            fleet.round(&lost)?;
        }
        // Two hops of all records, which come in batches.
        let record_count = fleet.instances[0].log.len();
        for _ in 0..2 + 2 * record_count.div_ceil(MAX_BYTES / RECORD_BYTES) {
            fleet.round(&[])?;
        }
        let want = fleet.instances[0].log.digests();
        for (index, instance) in fleet.instances.iter().enumerate() {
            prop_assert_eq!(instance.log.digests(), want, "instance {}", index);
        }
        prop_assert!(fleet.sent_bytes <= fleet.naive_bytes);
        // Without changes nothing more is sent, and a restarted feeder is compared, not resent.
        let sent_bytes = fleet.sent_bytes;
        fleet.round(&[])?;
        prop_assert_eq!(fleet.sent_bytes, sent_bytes);
    }
}

#[test]
fn the_loss_of_a_source_costs_no_whole_list() {
    let mut fleet = Fleet::new(2, 10);
    (0..200).for_each(|key| fleet.write(key, 1));
    for _ in 0..100 {
        fleet.round(&[]).expect("bounds hold");
    }
    let sent_bytes = fleet.sent_bytes;
    // Every instance loses its cursors, as after a change of its sources.
    fleet.instances.iter_mut().for_each(|instance| instance.cursors.fill(None));
    fleet.write(0, 2);
    for _ in 0..5 {
        fleet.round(&[]).expect("bounds hold");
    }
    let keys_in_group = 200_usize.div_ceil(DIGEST_GROUPS) * 3;
    let links: usize = fleet.instances.iter().map(|instance| instance.sources.len()).sum();
    assert!(fleet.sent_bytes - sent_bytes <= links * 2 * keys_in_group * RECORD_BYTES);
}
