//! A time-stepped engine model: each step decodes first and uses the remaining work for prefill.

use std::collections::VecDeque;

/// Length of a step, in milliseconds.
pub(crate) const STEP_MS: u64 = 10;
/// Work units of an engine in one step.
const STEP_WORK: f64 = 1.0;
/// Work units of a slow engine in one step.
const SLOW_STEP_WORK: f64 = 0.5;
/// Work units of decoding one token.
const DECODE_WORK: f64 = 0.01;
/// Work units of prefilling one token.
const PREFILL_WORK: f64 = 1.0 / 150.0;
/// Shortest time between two tokens of one response, in milliseconds.
const MIN_TOKEN_INTERVAL_MS: u64 = 30;

/// A request that an engine has accepted.
#[derive(Clone, Debug)]
pub(crate) struct Sequence {
    pub(crate) id: usize,
    pub(crate) arrived_ms: u64,
    /// Prompt tokens that are not prefilled yet.
    pub(crate) prefill_tokens_left: f64,
    /// Output tokens that are not decoded yet.
    pub(crate) tokens_left: u32,
    /// Total number of output tokens.
    pub(crate) tokens: u32,
    pub(crate) first_token_ms: Option<u64>,
    next_token_ms: u64,
}

impl Sequence {
    pub(crate) fn new(id: usize, now_ms: u64, prompt_tokens: u32, output_tokens: u32) -> Self {
        Self {
            id,
            arrived_ms: now_ms,
            prefill_tokens_left: f64::from(prompt_tokens),
            tokens_left: output_tokens,
            tokens: output_tokens,
            first_token_ms: None,
            next_token_ms: 0,
        }
    }
}

/// Sequences that decode, and sequences queued for prefill in order of arrival.
#[derive(Clone, Debug, Default)]
pub(crate) struct Engine {
    decoding: VecDeque<Sequence>,
    prefilling: VecDeque<Sequence>,
    is_slow: bool,
}

impl Engine {
    pub(crate) fn new(is_slow: bool) -> Self {
        Self { is_slow, ..Self::default() }
    }

    pub(crate) fn enqueue(&mut self, sequence: Sequence) {
        self.prefilling.push_back(sequence);
    }

    pub(crate) fn len(&self) -> usize {
        self.decoding.len() + self.prefilling.len()
    }

    /// Runs one step. Returns the finished sequences, and the ids of the sequences that got their
    /// first token.
    pub(crate) fn step(&mut self, now_ms: u64) -> (Vec<Sequence>, Vec<usize>) {
        let mut work = if self.is_slow { SLOW_STEP_WORK } else { STEP_WORK };
        let (mut finished, mut first_token_ids) = (Vec::new(), Vec::new());
        for _ in 0..self.decoding.len() {
            let Some(mut sequence) = self.decoding.pop_front() else { break };
            if work >= DECODE_WORK && now_ms >= sequence.next_token_ms {
                work -= DECODE_WORK;
                if sequence
                    .first_token_ms
                    .replace(sequence.first_token_ms.unwrap_or(now_ms))
                    .is_none()
                {
                    first_token_ids.push(sequence.id);
                }
                sequence.next_token_ms = now_ms + MIN_TOKEN_INTERVAL_MS;
                sequence.tokens_left -= 1;
            }
            if sequence.tokens_left == 0 {
                finished.push(sequence);
            } else {
                self.decoding.push_back(sequence);
            }
        }
        while work > 0.0 {
            let Some(sequence) = self.prefilling.front_mut() else { break };
            let tokens = sequence.prefill_tokens_left.min(work / PREFILL_WORK);
            sequence.prefill_tokens_left -= tokens;
            work -= tokens * PREFILL_WORK;
            if sequence.prefill_tokens_left > 1e-9 {
                break;
            }
            let ready = self.prefilling.pop_front();
            self.decoding.extend(ready);
        }
        (finished, first_token_ids)
    }
}
