//! Logs when a topic of the store becomes unavailable and when it recovers, but not each failed
//! call.

use crate::events::{Event, event};
use crate::platform::{StoreError, Topic};

/// Whether the last call for a topic succeeded.
#[derive(Debug)]
pub(super) struct StoreAvailability {
    topic: Topic,
    /// What the topic is used for, for the log.
    purpose: &'static str,
    /// Consecutive failed calls.
    failures: u32,
}

impl StoreAvailability {
    /// Starts with a topic that counts as available.
    pub(super) fn new(topic: Topic, purpose: &'static str) -> Self {
        Self { topic, purpose, failures: 0 }
    }

    /// Records the result of a call. Returns whether it changed the availability of the topic.
    pub(super) fn record<T>(&mut self, result: &Result<T, StoreError>) -> bool {
        let topic = self.topic;
        match result {
            Ok(_) | Err(StoreError::Expired | StoreError::Outdated) if self.failures == 0 => false,
            Ok(_) | Err(StoreError::Expired | StoreError::Outdated) => {
                event!(
                    Event::StoreReachable,
                    topic = format_args!("{topic:?}"),
                    purpose = self.purpose,
                    failures = self.failures
                );
                self.failures = 0;
                true
            }
            Err(error) => {
                let is_first = self.failures == 0;
                self.failures += 1;
                if is_first {
                    event!(
                        Event::StoreUnreachable,
                        topic = format_args!("{topic:?}"),
                        purpose = self.purpose,
                        why = format_args!("{error:?}")
                    );
                }
                is_first
            }
        }
    }
}
