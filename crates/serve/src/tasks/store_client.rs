//! Calls of the store, whose responses state its era.

use bytes::Bytes;

use super::HubHandle;
use crate::hub::HubMessage;
use crate::platform::{Appended, LatestPage, Page, Platform, StoreError, StoreResponse, Topic};

/// Calls the store and tells the hub which era its responses state.
#[derive(Clone, Debug)]
pub(crate) struct StoreClient<P> {
    platform: P,
    hub: HubHandle,
}

impl<P> StoreClient<P>
where
    P: Platform,
{
    pub(crate) fn new(platform: P, hub: HubHandle) -> Self {
        Self { platform, hub }
    }

    pub(super) async fn read(
        &self,
        topic: Topic,
        from: u64,
        wait_ms: u64,
    ) -> Result<Page, StoreError> {
        self.settle(self.platform.read(topic, from, wait_ms).await).await
    }

    pub(super) async fn read_latest(
        &self,
        topic: Topic,
        after: Option<&str>,
    ) -> Result<LatestPage, StoreError> {
        self.settle(self.platform.read_latest(topic, after).await).await
    }

    pub(super) async fn append(
        &self,
        topic: Topic,
        expected_offset: Option<u64>,
        records: &[(String, Bytes)],
    ) -> Result<Appended, StoreError> {
        self.settle(self.platform.append(topic, expected_offset, records).await).await
    }

    pub(super) fn close_idle_connections(&self) {
        self.platform.close_idle_connections();
    }

    async fn settle<T>(&self, response: StoreResponse<T>) -> Result<T, StoreError> {
        self.hub.send(HubMessage::EraStated { era: response.era }).await;
        response.result
    }
}
