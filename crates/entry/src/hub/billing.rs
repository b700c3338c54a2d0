//! Usage: counted here, fixed in windows by the log, reported by the holder.

use cowslip_codec::usage_totals_to_proto;
use cowslip_name::Name;
use cowslip_state::{StateRecord, WindowRef};
use cowslip_usage::{Meter, Usage};

use super::{Errand, ErrandTask, Hub, Spent};
use crate::events::Event;

/// Usage of this instance, and the holder's progress with windows.
#[derive(Debug, Default)]
pub(super) struct Billing {
    meter: Meter,
    flushed_at_ms: u64,
    fixed_at_ms: u64,
    is_reporting: bool,
}

impl Billing {
    /// Whether a report is under way.
    pub(super) fn is_reporting(&self) -> bool {
        self.is_reporting
    }
}

impl Hub {
    pub(super) fn count_usage(&mut self, workspace: &Name, spent: Spent) {
        if !spent.is_answered {
            return;
        }
        let usage = Usage {
            requests: 1,
            prompt_tokens: spent.prompt_tokens,
            output_tokens: spent.output_tokens,
        };
        self.billing.meter.count(workspace, usage);
    }

    /// Sends the batch that is due; one that is not read back is sent again as it was.
    pub(super) fn flush_usage(&mut self) {
        let Some(batch) = self.billing.meter.batch() else { return };
        let record = StateRecord::UsageCount {
            writer: self.me.clone(),
            sequence: batch.sequence,
            figures: batch.figures.clone(),
        };
        self.append_state(&record);
    }

    /// Sends what is left to send; returns whether nothing is.
    pub(super) fn settle_usage(&mut self) -> bool {
        self.flush_usage();
        self.billing.meter.is_flushed()
    }

    /// A batch of this instance was read back.
    pub(super) fn on_usage_read(&mut self, sequence: u64) {
        self.billing.meter.on_read_back(sequence);
        if self.is_stopping {
            self.flush_usage();
        }
    }

    pub(super) fn tick_billing(&mut self, now_ms: u64) {
        let (flush_ms, window_ms) =
            (self.config.settings.usage.flush_ms, self.config.settings.usage.window_ms);
        if now_ms >= self.billing.flushed_at_ms + flush_ms {
            self.billing.flushed_at_ms = now_ms;
            self.flush_usage();
        }
        let Some(term) = self.lease.valid_term(now_ms) else { return };
        if now_ms >= self.billing.fixed_at_ms + window_ms {
            self.billing.fixed_at_ms = now_ms;
            self.fix_window(term);
        }
        self.report_oldest(term);
    }

    /// Ends the open window, unless nothing was counted in it.
    fn fix_window(&self, term: u64) {
        if self.state.usage.open().is_empty() {
            return;
        }
        let window = self.state.usage.open_window();
        let scope = self.lease.scope().clone();
        self.append_state(&StateRecord::WindowFixed(WindowRef { scope, term, window }));
    }

    fn report_oldest(&mut self, term: u64) {
        if self.billing.is_reporting || self.is_stopping {
            return;
        }
        let Some((window, figures)) = self.state.usage.oldest_unreported() else { return };
        let errand = Errand {
            term,
            // Orders are numbered from 1, windows from 0.
            sequence: window + 1,
            checks_fencing: false,
            address: self.config.platform_address,
            task: ErrandTask::Report { rows: usage_totals_to_proto(figures) },
        };
        if self.outlets.errands.try_send(errand).is_ok() {
            self.billing.is_reporting = true;
        }
    }

    pub(super) fn on_report_ended(&mut self, term: u64, sequence: u64, is_done: bool) {
        self.billing.is_reporting = false;
        if !is_done {
            return;
        }
        let (scope, window) = (self.lease.scope().clone(), sequence - 1);
        Event::WindowReported.emit(&self.me.instance, format_args!("{window}"));
        self.append_state(&StateRecord::WindowReported(WindowRef { scope, term, window }));
    }
}
