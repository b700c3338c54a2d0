//! Calls of the store, whose responses count only in the newest era.

use bytes::Bytes;
use cowslip_era::{EraStatement, StoreEra};

use super::HubHandle;
use crate::hub::HubMessage;
use crate::platform::{Appended, LatestPage, Page, Platform, StoreError, StoreResponse, Topic};

/// The contents of a response, and the era of the store in which it was given.
#[derive(Clone, Debug)]
pub(super) struct InEra<T> {
    pub(super) era: StoreEra,
    pub(super) value: T,
}

/// Calls the store and drops responses of earlier eras.
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
    ) -> Result<InEra<Page>, StoreError> {
        let mut read = self.settle(self.platform.read(topic, from, wait_ms).await).await?;
        set_era(&mut read.value, read.era);
        Ok(read)
    }

    pub(super) async fn read_latest(
        &self,
        topic: Topic,
        after: Option<&str>,
    ) -> Result<InEra<LatestPage>, StoreError> {
        let mut read = self.settle(self.platform.read_latest(topic, after).await).await?;
        set_era(&mut read.value.page, read.era);
        Ok(read)
    }

    pub(super) async fn append(
        &self,
        topic: Topic,
        expected_offset: Option<u64>,
        records: &[(String, Bytes)],
    ) -> Result<InEra<Appended>, StoreError> {
        self.settle(self.platform.append(topic, expected_offset, records).await).await
    }

    pub(super) fn close_idle_connections(&self) {
        self.platform.close_idle_connections();
    }

    /// Tells the hub what a response states about the era, and drops the response if it is late or
    /// its era is invalid.
    async fn settle<T>(&self, response: StoreResponse<T>) -> Result<InEra<T>, StoreError> {
        let StoreResponse { era, result } = response;
        let result = match (era, result) {
            // A call without a response says nothing about the era.
            (EraStatement::Absent, Err(error)) => return Err(error),
            (_, result) => result,
        };
        let settled = self.hub.request(|reply| HubMessage::EraStated { era, reply }).await;
        let era = settled.flatten().ok_or(StoreError::OtherEra)?;
        result.map(|value| InEra { era, value })
    }
}

fn set_era(page: &mut Page, era: StoreEra) {
    for record in &mut page.records {
        record.era = era;
    }
}
