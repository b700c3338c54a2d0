//! Ends the assignment of a request whatever becomes of its handler.

use crate::hub::HubMessage;
use crate::tasks::HubHandle;

/// Reserves the id of an assignment. Dropping it ends the assignment, also if the handler is dropped
/// while the hub places the request.
#[derive(Debug)]
pub(super) struct AssignmentGuard {
    hub: HubHandle,
    id: u64,
}

impl AssignmentGuard {
    pub(super) fn new(hub: HubHandle, id: u64) -> Self {
        Self { hub, id }
    }

    pub(super) fn id(&self) -> u64 {
        self.id
    }
}

impl Drop for AssignmentGuard {
    fn drop(&mut self) {
        self.hub.send_detached(HubMessage::RequestEnded { id: self.id });
    }
}
