//! Reading the log: folding entries, finding snapshots, writing them.

use cowslip_authority::{LeaseAction, LeaseRecordResult};
use cowslip_codec::{
    DecodedRecord, decode_log_entry, encode_snapshot, record_to_proto, restore_snapshot,
};
use cowslip_proto as proto;
use cowslip_state::{ApplyResult, SnapshotAssembler, StateRecord};

use super::{Hub, KEPT_ENTRY_BYTES, Reading, WriteJob};
use crate::events::Event;

impl Hub {
    /// Takes a page of the log, `None` for a failed read; returns where to read on.
    pub(super) fn on_page(&mut self, sent_at_ms: u64, page: Option<proto::LogPage>) -> u64 {
        if let Some(page) = page {
            self.note_gap(page.first_offset);
            for entry in page.entries {
                self.on_entry(entry);
            }
            if matches!(self.reading, Reading::Folding) && self.next_offset >= page.next_offset {
                self.freshness.on_log(sent_at_ms);
            }
        }
        match &self.reading {
            Reading::Folding => self.next_offset,
            Reading::Scanning { next_offset, .. } => *next_offset,
        }
    }

    fn note_gap(&mut self, first_offset: u64) {
        let reads_on = match &self.reading {
            Reading::Folding => self.next_offset,
            Reading::Scanning { next_offset, .. } => *next_offset,
        };
        if first_offset > reads_on {
            let lost = first_offset - reads_on;
            Event::LogGap
                .emit(&self.me.instance, format_args!("{lost} entries before {first_offset}"));
            let assembler = SnapshotAssembler::default();
            self.reading = Reading::Scanning { next_offset: first_offset, assembler };
        }
    }

    /// Takes the next entry; any other one was read twice or comes too early.
    pub(super) fn on_entry(&mut self, raw: proto::RawLogEntry) {
        match &mut self.reading {
            Reading::Folding if raw.offset == self.next_offset => self.fold(raw),
            Reading::Scanning { next_offset, .. } if raw.offset == *next_offset => {
                *next_offset += 1;
                self.scan(&raw);
            }
            _ => {}
        }
    }

    fn scan(&mut self, raw: &proto::RawLogEntry) {
        let Ok(entry) = decode_log_entry(&raw.body) else { return };
        let Reading::Scanning { assembler, .. } = &mut self.reading else { return };
        let complete = entry.records.into_iter().find_map(|(_, logged)| match logged {
            DecodedRecord::Snapshot(chunk) => assembler.on_chunk(chunk),
            DecodedRecord::State(_) => None,
        });
        let Some(complete) = complete else { return };
        match restore_snapshot(&complete) {
            Ok(state) if complete.covers_offset > self.next_offset => {
                self.state = state;
                self.next_offset = complete.covers_offset;
                self.last_snapshot_offset = complete.covers_offset;
                self.reading = Reading::Folding;
                self.entries.clear();
                self.entries_bytes = 0;
                self.lease.on_snapshot(self.clock.now_ms());
                Event::SnapshotRestored
                    .emit(&self.me.instance, format_args!("covers {}", complete.covers_offset));
            }
            Ok(_) => {}
            Err(error) => Event::SnapshotBad.emit(&self.me.instance, format_args!("{error}")),
        }
    }

    fn fold(&mut self, raw: proto::RawLogEntry) {
        self.next_offset = raw.offset + 1;
        match decode_log_entry(&raw.body) {
            Ok(entry) => {
                for (message, logged) in &entry.records {
                    match logged {
                        // One that its writer never finished does not put the next one off.
                        DecodedRecord::Snapshot(chunk) if chunk.index + 1 < chunk.count => {}
                        DecodedRecord::Snapshot(chunk) => {
                            self.last_snapshot_offset =
                                self.last_snapshot_offset.max(chunk.covers_offset);
                        }
                        DecodedRecord::State(record) => {
                            let effect = self.state.apply(raw.offset, record);
                            self.note_audit(raw.offset, &entry, message, &effect);
                            self.on_effect(raw.offset, record, effect);
                        }
                    }
                }
            }
            Err(error) => {
                Event::EntryBad
                    .emit(&self.me.instance, format_args!("offset {}: {error}", raw.offset));
            }
        }
        self.keep(raw);
    }

    fn keep(&mut self, raw: proto::RawLogEntry) {
        self.entries_bytes += raw.body.len();
        self.entries.push_back(raw);
        while self.entries_bytes > KEPT_ENTRY_BYTES {
            let Some(oldest) = self.entries.pop_front() else { return };
            self.entries_bytes -= oldest.body.len();
        }
    }

    fn on_effect(&mut self, offset: u64, record: &StateRecord, effect: ApplyResult) {
        match (record, effect) {
            (StateRecord::Scope(scope, record), ApplyResult::Scope(verdict)) => {
                if scope == self.lease.scope() {
                    let now_ms = self.clock.now_ms();
                    self.lease.on_record(now_ms, record, verdict, &self.state.terms);
                }
                if verdict == LeaseRecordResult::Acquired {
                    self.active_orders.clear();
                }
            }
            (StateRecord::Ticket(ticket), ApplyResult::Ticket(_, verdict)) => {
                self.on_ticket_read(offset, ticket, &verdict);
            }
            (StateRecord::CallStart(start), ApplyResult::CallStart(verdict)) => {
                self.on_call_verdict(start, verdict);
            }
            (StateRecord::UsageCount { writer, sequence, .. }, ApplyResult::Usage(_))
                if *writer == self.me =>
            {
                self.on_usage_read(*sequence);
            }
            (StateRecord::CallEnd { .. }, ApplyResult::CallEnd(true)) => {
                self.tick_followers(self.clock.now_ms());
            }
            _ => {}
        }
    }

    /// Sends records to the log; `false` when the queue is full.
    pub(super) fn append(&self, records: Vec<proto::Record>, is_alone: bool) -> bool {
        self.outlets.records.try_send(WriteJob { records, is_alone }).is_ok()
    }

    /// Sends a record to the log; `false` when the queue is full.
    pub(super) fn append_state(&self, record: &StateRecord) -> bool {
        record_to_proto(record).is_some_and(|record| self.append(vec![record], false))
    }

    pub(super) fn tick_lease(&mut self, now_ms: u64) {
        // Claims of an instance that does not know the newest state would only lose.
        if self.freshness.age_ms(now_ms).is_some_and(|age_ms| age_ms < self.lease_ms())
            && let Some(LeaseAction::Append(record)) = self.lease.on_tick(now_ms, &self.state.terms)
        {
            let scope = self.lease.scope().clone();
            self.append_state(&StateRecord::Scope(scope, record));
        }
        let term = self.lease.valid_term(now_ms);
        if term != self.reported_term {
            if let Some(ended) = self.reported_term {
                Event::TermEnded.emit(&self.me.instance, format_args!("term {ended}"));
            }
            if let Some(begun) = term {
                Event::TermBegun.emit(&self.me.instance, format_args!("term {begun}"));
            }
            self.reported_term = term;
        }
    }

    fn lease_ms(&self) -> u64 {
        self.config.settings.authority.lease_ms
    }

    /// The holder writes a snapshot after every so many entries.
    pub(super) fn tick_snapshot(&mut self, now_ms: u64) {
        let every = self.config.settings.platform.snapshot_every_entries;
        let is_due = self.next_offset >= self.last_snapshot_offset + every;
        if !is_due || self.lease.valid_term(now_ms).is_none() {
            return;
        }
        let chunks = encode_snapshot(&self.state, self.next_offset, &self.me);
        let count = chunks.len();
        let is_sent = chunks.into_iter().all(|chunk| self.append(vec![chunk], true));
        self.last_snapshot_offset = self.next_offset;
        if is_sent {
            Event::SnapshotWritten
                .emit(&self.me.instance, format_args!("{count} chunks at {}", self.next_offset));
        }
    }
}
