//! Usage accounting: each instance appends its usage to the log, and the lease holder closes usage
//! windows and reports them to the platform.

use cowslip_codec::usage_totals_to_proto;
use cowslip_name::Name;
use cowslip_state::{StateRecord, WindowRef};
use cowslip_usage::{Meter, Usage};

use super::{FencedWrite, FencedWriteKind, Hub, RequestUsage};
use crate::events::Event;

/// Usage counters of this instance, and the lease holder's progress with usage windows.
#[derive(Debug, Default)]
pub(super) struct UsageReporter {
    meter: Meter,
    last_flush_at_ms: u64,
    last_window_finalized_at_ms: u64,
    is_reporting: bool,
}

impl UsageReporter {
    /// Whether a usage report is in flight.
    pub(super) fn is_reporting(&self) -> bool {
        self.is_reporting
    }
}

impl Hub {
    pub(super) fn count_usage(&mut self, workspace: &Name, usage: RequestUsage) {
        if !usage.has_response {
            return;
        }
        let usage = Usage {
            requests: 1,
            prompt_tokens: usage.prompt_tokens,
            output_tokens: usage.output_tokens,
        };
        self.usage_reporter.meter.count(workspace, usage);
    }

    /// Appends the current batch. A batch that was not read back from the log is retried unchanged.
    pub(super) fn flush_usage(&mut self) {
        let Some(batch) = self.usage_reporter.meter.batch() else { return };
        let record = StateRecord::UsageCount {
            writer: self.own_id.clone(),
            sequence: batch.sequence,
            totals: batch.totals.clone(),
        };
        self.append_state(&record);
    }

    /// Appends the remaining usage; returns whether all of it was read back from the log.
    pub(super) fn flush_remaining_usage(&mut self) -> bool {
        self.flush_usage();
        self.usage_reporter.meter.is_flushed()
    }

    /// Records that a batch of this instance was read back from the log.
    pub(super) fn on_usage_read_back(&mut self, sequence: u64) {
        self.usage_reporter.meter.on_read_back(sequence);
        if self.is_stopping {
            self.flush_usage();
        }
    }

    pub(super) fn tick_usage(&mut self, now_ms: u64) {
        let (flush_ms, window_ms) =
            (self.config.settings.usage.flush_ms, self.config.settings.usage.window_ms);
        if now_ms >= self.usage_reporter.last_flush_at_ms + flush_ms {
            self.usage_reporter.last_flush_at_ms = now_ms;
            self.flush_usage();
        }
        let Some(term) = self.lease.valid_term(now_ms) else { return };
        if now_ms >= self.usage_reporter.last_window_finalized_at_ms + window_ms {
            self.usage_reporter.last_window_finalized_at_ms = now_ms;
            self.finalize_window(term);
        }
        self.report_oldest_window(term);
    }

    /// Closes the open window, unless nothing was counted in it.
    fn finalize_window(&self, term: u64) {
        if self.state.usage.open_totals().is_empty() {
            return;
        }
        let window = self.state.usage.open_window();
        let scope = self.lease.scope().clone();
        self.append_state(&StateRecord::WindowFinalized(WindowRef { scope, term, window }));
    }

    fn report_oldest_window(&mut self, term: u64) {
        if self.usage_reporter.is_reporting || self.is_stopping {
            return;
        }
        let Some((window, totals)) = self.state.usage.oldest_unreported() else { return };
        let write = FencedWrite {
            term,
            // Fenced writes are numbered from 1, windows from 0.
            sequence: window + 1,
            checks_fencing: false,
            address: self.config.platform_address,
            kind: FencedWriteKind::Report { rows: usage_totals_to_proto(totals) },
        };
        if self.outbound.fenced_writes.try_send(write).is_ok() {
            self.usage_reporter.is_reporting = true;
        }
    }

    pub(super) fn on_usage_report_ended(&mut self, term: u64, sequence: u64, is_done: bool) {
        self.usage_reporter.is_reporting = false;
        if !is_done {
            return;
        }
        let (scope, window) = (self.lease.scope().clone(), sequence - 1);
        Event::WindowReported.emit(&self.own_id.instance, format_args!("{window}"));
        self.append_state(&StateRecord::WindowReported(WindowRef { scope, term, window }));
    }
}
