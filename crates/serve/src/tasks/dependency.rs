//! Notes when a topic of the store is lost and when it is back, not each failed call between.

use crate::events::{Event, event};
use crate::platform::{StoreError, Topic};

/// Whether calls of a topic have lately succeeded.
#[derive(Debug)]
pub(super) struct Dependency {
    topic: Topic,
    purpose: &'static str,
    failures: u32,
}

impl Dependency {
    /// A topic that is taken to be there, and what it is used for.
    pub(super) fn new(topic: Topic, purpose: &'static str) -> Self {
        Self { topic, purpose, failures: 0 }
    }

    /// Takes the outcome of a call; tells whether it changed what is believed.
    pub(super) fn note<T>(&mut self, outcome: &Result<T, StoreError>) -> bool {
        let topic = self.topic;
        match outcome {
            Ok(_) | Err(StoreError::Expired | StoreError::Outdated) if self.failures == 0 => false,
            Ok(_) | Err(StoreError::Expired | StoreError::Outdated) => {
                event!(
                    Event::StoreBack,
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
                        Event::StoreLost,
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
