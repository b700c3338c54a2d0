//! Replays the log: applies entries, restores snapshots and writes them.

use cowslip_authority::{LeaseAction, LeaseRecordResult};
use cowslip_codec::{
    DecodedRecord, decode_log_entry, encode_snapshot, record_to_proto, restore_snapshot,
};
use cowslip_proto as proto;
use cowslip_state::{ApplyResult, SnapshotAssembler, StateRecord};

use super::{AppendRequest, Hub, KEPT_ENTRY_BYTES, ReplayMode};
use crate::events::Event;

impl Hub {
    /// Handles a page of the log, `None` for a failed read; returns the offset of the next read.
    pub(super) fn on_log_page(&mut self, sent_at_ms: u64, page: Option<proto::LogPage>) -> u64 {
        if let Some(page) = page {
            self.detect_gap(page.first_offset);
            for entry in page.entries {
                self.on_entry(entry);
            }
            if matches!(self.replay_mode, ReplayMode::Replaying)
                && self.next_offset >= page.next_offset
            {
                self.freshness.on_log_read(sent_at_ms);
            }
        }
        match &self.replay_mode {
            ReplayMode::Replaying => self.next_offset,
            ReplayMode::SeekingSnapshot { next_offset, .. } => *next_offset,
        }
    }

    fn detect_gap(&mut self, first_offset: u64) {
        let next_read = match &self.replay_mode {
            ReplayMode::Replaying => self.next_offset,
            ReplayMode::SeekingSnapshot { next_offset, .. } => *next_offset,
        };
        if first_offset > next_read {
            let lost = first_offset - next_read;
            Event::LogGap
                .emit(&self.own_id.instance, format_args!("{lost} entries before {first_offset}"));
            let assembler = SnapshotAssembler::default();
            self.replay_mode = ReplayMode::SeekingSnapshot { next_offset: first_offset, assembler };
        }
    }

    /// Handles the entry at the next offset and ignores any other: an entry with a lower offset was
    /// read before, one with a higher offset comes too early.
    pub(super) fn on_entry(&mut self, raw: proto::RawLogEntry) {
        match &mut self.replay_mode {
            ReplayMode::Replaying if raw.offset == self.next_offset => self.apply_entry(raw),
            ReplayMode::SeekingSnapshot { next_offset, .. } if raw.offset == *next_offset => {
                *next_offset += 1;
                self.seek_snapshot(&raw);
            }
            _ => {}
        }
    }

    fn seek_snapshot(&mut self, raw: &proto::RawLogEntry) {
        let Ok(entry) = decode_log_entry(&raw.body) else { return };
        let ReplayMode::SeekingSnapshot { assembler, .. } = &mut self.replay_mode else { return };
        let snapshot = entry.records.into_iter().find_map(|(_, decoded)| match decoded {
            DecodedRecord::Snapshot(chunk) => assembler.on_chunk(chunk),
            DecodedRecord::State(_) => None,
        });
        let Some(snapshot) = snapshot else { return };
        match restore_snapshot(&snapshot) {
            Ok(state) if snapshot.covers_offset > self.next_offset => {
                self.state = state;
                self.next_offset = snapshot.covers_offset;
                self.last_snapshot_offset = snapshot.covers_offset;
                self.replay_mode = ReplayMode::Replaying;
                self.recent_entries.clear();
                self.recent_entries_bytes = 0;
                self.lease.on_snapshot(self.clock.now_ms());
                Event::SnapshotRestored
                    .emit(&self.own_id.instance, format_args!("covers {}", snapshot.covers_offset));
            }
            Ok(_) => {}
            Err(error) => Event::BadSnapshot.emit(&self.own_id.instance, format_args!("{error}")),
        }
    }

    fn apply_entry(&mut self, raw: proto::RawLogEntry) {
        self.next_offset = raw.offset + 1;
        match decode_log_entry(&raw.body) {
            Ok(entry) => {
                for (message, decoded) in &entry.records {
                    match decoded {
                        // Only the last chunk counts: an unfinished snapshot must not delay the
                        // next one.
                        DecodedRecord::Snapshot(chunk) if chunk.index + 1 < chunk.count => {}
                        DecodedRecord::Snapshot(chunk) => {
                            self.last_snapshot_offset =
                                self.last_snapshot_offset.max(chunk.covers_offset);
                        }
                        DecodedRecord::State(record) => {
                            let result = self.state.apply(raw.offset, record);
                            self.add_audit_line(raw.offset, &entry, message, &result);
                            self.on_apply_result(raw.offset, record, result);
                        }
                    }
                }
            }
            Err(error) => {
                Event::EntryMalformed
                    .emit(&self.own_id.instance, format_args!("offset {}: {error}", raw.offset));
            }
        }
        self.retain_entry(raw);
    }

    fn retain_entry(&mut self, raw: proto::RawLogEntry) {
        self.recent_entries_bytes += raw.body.len();
        self.recent_entries.push_back(raw);
        while self.recent_entries_bytes > KEPT_ENTRY_BYTES {
            let Some(oldest) = self.recent_entries.pop_front() else { return };
            self.recent_entries_bytes -= oldest.body.len();
        }
    }

    fn on_apply_result(&mut self, offset: u64, record: &StateRecord, result: ApplyResult) {
        match (record, result) {
            (StateRecord::Lease(scope, record), ApplyResult::Lease(result)) => {
                if scope == self.lease.scope() {
                    let now_ms = self.clock.now_ms();
                    self.lease.on_record(now_ms, record, result, &self.state.terms);
                }
                if result == LeaseRecordResult::Acquired {
                    self.active_orders.clear();
                }
            }
            (StateRecord::Ticket(ticket), ApplyResult::Ticket(_, result)) => {
                self.on_ticket_read(offset, ticket, &result);
            }
            (StateRecord::CallStart(start), ApplyResult::CallStart(result)) => {
                self.on_call_start_result(start, result);
            }
            (StateRecord::UsageCount { writer, sequence, .. }, ApplyResult::Usage(_))
                if *writer == self.own_id =>
            {
                self.on_usage_read_back(*sequence);
            }
            (StateRecord::CallEnd { .. }, ApplyResult::CallEnd(true)) => {
                self.tick_duplicate_waiters(self.clock.now_ms());
            }
            _ => {}
        }
    }

    /// Queues records for the log; `false` when the queue is full.
    pub(super) fn append(&self, records: Vec<proto::Record>, needs_separate_entry: bool) -> bool {
        self.outbound.records.try_send(AppendRequest { records, needs_separate_entry }).is_ok()
    }

    /// Queues a record for the log; `false` when the queue is full.
    pub(super) fn append_state(&self, record: &StateRecord) -> bool {
        record_to_proto(record).is_some_and(|record| self.append(vec![record], false))
    }

    pub(super) fn tick_lease(&mut self, now_ms: u64) {
        // Claims of an instance that does not know the newest state would be ignored.
        if self.freshness.age_ms(now_ms).is_some_and(|age_ms| age_ms < self.lease_ms())
            && let Some(LeaseAction::Append(record)) = self.lease.on_tick(now_ms, &self.state.terms)
        {
            let scope = self.lease.scope().clone();
            self.append_state(&StateRecord::Lease(scope, record));
        }
        let term = self.lease.valid_term(now_ms);
        if term != self.reported_term {
            if let Some(ended) = self.reported_term {
                Event::LeaseLost.emit(&self.own_id.instance, format_args!("term {ended}"));
            }
            if let Some(started) = term {
                Event::LeaseAcquired.emit(&self.own_id.instance, format_args!("term {started}"));
            }
            self.reported_term = term;
        }
    }

    fn lease_ms(&self) -> u64 {
        self.config.settings.authority.lease_ms
    }

    /// Writes a snapshot every `snapshot_every_entries` entries if this instance holds the lease.
    pub(super) fn tick_snapshot(&mut self, now_ms: u64) {
        let every = self.config.settings.platform.snapshot_every_entries;
        let is_due = self.next_offset >= self.last_snapshot_offset + every;
        if !is_due || self.lease.valid_term(now_ms).is_none() {
            return;
        }
        let chunks = encode_snapshot(&self.state, self.next_offset, &self.own_id);
        let count = chunks.len();
        let is_sent = chunks.into_iter().all(|chunk| self.append(vec![chunk], true));
        self.last_snapshot_offset = self.next_offset;
        if is_sent {
            Event::SnapshotWritten.emit(
                &self.own_id.instance,
                format_args!("{count} chunks at {}", self.next_offset),
            );
        }
    }
}
