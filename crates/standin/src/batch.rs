//! Continuous batching of an engine, as a step model of prefill and decode.

use std::collections::VecDeque;

use async_channel::Sender;

/// A request that the engine has accepted.
#[derive(Debug)]
pub(crate) struct Sequence {
    /// Prompt tokens that are not prefilled yet.
    pub(crate) prefill_left_tokens: u64,
    /// Number of the next token to generate, counted from 1.
    pub(crate) next_token: u64,
    /// Number of the last token to generate.
    pub(crate) last_token: u64,
    /// Channel for the numbers of generated tokens; its receiver is dropped when the client
    /// disconnects.
    pub(crate) token_sender: Sender<u64>,
}

/// Counts of one batch step.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct StepCount {
    /// Generated tokens.
    pub(crate) tokens: u64,
    /// Sequences dropped after prefill because their receiver was closed.
    pub(crate) cancelled: u64,
}

/// Sequences in the batch, and sequences queued for a slot.
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

    pub(crate) fn enqueue(&mut self, sequence: Sequence) {
        self.queued.push_back(sequence);
    }

    /// Drops all sequences, as an engine does when it changes its role.
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

    /// Runs one step: fills free slots from the queue, prefills up to the token limit of a step,
    /// and generates one token for each sequence that was prefilled before.
    pub(crate) fn step(&mut self) -> StepCount {
        while self.running.len() < self.slots {
            let Some(next) = self.queued.pop_front() else { break };
            self.running.push(next);
        }
        let mut count = StepCount::default();
        let mut budget_tokens = self.prefill_tokens_per_step;
        self.running.retain_mut(|sequence| {
            if sequence.prefill_left_tokens > 0 {
                let prefilled_tokens = sequence.prefill_left_tokens.min(budget_tokens);
                sequence.prefill_left_tokens -= prefilled_tokens;
                budget_tokens -= prefilled_tokens;
                return !sequence.token_sender.is_closed();
            }
            if sequence.token_sender.try_send(sequence.next_token).is_err() {
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
