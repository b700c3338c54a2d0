//! The engine's batch: a time model of prefill and decode.

use std::collections::VecDeque;

use async_channel::Sender;

/// A request inside the engine.
#[derive(Debug)]
pub(crate) struct Sequence {
    /// Prompt tokens that are not prefilled yet.
    pub(crate) prefill_left_tokens: u64,
    /// Number of the next token, from 1.
    pub(crate) next_token: u64,
    /// Number of the last token.
    pub(crate) last_token: u64,
    /// Where tokens go, by number.
    pub(crate) tokens: Sender<u64>,
}

/// What one step did.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct StepCount {
    pub(crate) tokens: u64,
    pub(crate) cancelled: u64,
}

/// Running and queued sequences.
#[derive(Debug)]
pub(crate) struct Batch {
    slots: usize,
    prefill_tokens_per_step: u64,
    running: Vec<Sequence>,
    queued: VecDeque<Sequence>,
}

impl Batch {
    pub(crate) fn new(slots: usize, prefill_tokens_per_step: u64) -> Self {
        Self { slots, prefill_tokens_per_step, running: Vec::new(), queued: VecDeque::new() }
    }

    pub(crate) fn push(&mut self, sequence: Sequence) {
        self.queued.push_back(sequence);
    }

    /// Drops all work, as an engine does that takes another role.
    pub(crate) fn clear(&mut self) {
        self.running.clear();
        self.queued.clear();
    }

    pub(crate) fn len(&self) -> usize {
        self.running.len() + self.queued.len()
    }

    pub(crate) fn queued_tokens(&self) -> u64 {
        self.running.iter().chain(&self.queued).map(|sequence| sequence.prefill_left_tokens).sum()
    }

    /// One step: some prefill, and one token for each sequence that is past it.
    pub(crate) fn step(&mut self) -> StepCount {
        while self.running.len() < self.slots {
            let Some(next) = self.queued.pop_front() else { break };
            self.running.push(next);
        }
        let mut count = StepCount::default();
        let mut budget_tokens = self.prefill_tokens_per_step;
        self.running.retain_mut(|sequence| {
            if sequence.prefill_left_tokens > 0 {
                let done_tokens = sequence.prefill_left_tokens.min(budget_tokens);
                sequence.prefill_left_tokens -= done_tokens;
                budget_tokens -= done_tokens;
                return !sequence.tokens.is_closed();
            }
            if sequence.tokens.try_send(sequence.next_token).is_err() {
                count.cancelled += 1;
                return false;
            }
            count.tokens += 1;
            sequence.next_token += 1;
            sequence.next_token <= sequence.last_token
        });
        count
    }
}
