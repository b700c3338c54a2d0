//! Client of the platform's service.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cowslip_codec::{from_json, to_json};
use cowslip_net::{Body, Client, ClientOptions, SendError, full_body, read_body};
use cowslip_proto as proto;
use http::{Method, Request};
use snafu::{ResultExt, Snafu};

/// Largest response of the platform, in bytes.
const MAX_RESPONSE_BYTES: usize = 16_777_216;
/// Most log entries in one page.
const MAX_PAGE_ENTRIES: u32 = 512;
/// Longest idle time of a connection that is reused; the log is read more often.
const MAX_IDLE: Duration = Duration::from_secs(2);
/// Longest time that the platform holds a read of the log until there is an entry (long polling).
const LONG_POLL_MS: u64 = 1_000;

/// Reason why a request to the platform failed.
#[derive(Debug, Snafu)]
pub(crate) enum PlatformError {
    #[snafu(display("{source}"))]
    Net { source: cowslip_net::Error },
    #[snafu(display("no response from the platform in time"))]
    TimedOut,
    #[snafu(display("{source}"))]
    Decode { source: cowslip_codec::CodecError },
    #[snafu(display("the platform responded with status {status}"))]
    Status { status: u16 },
}

/// Client of the platform's log and instance list.
#[derive(Clone, Debug)]
pub(crate) struct PlatformClient {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
}

impl PlatformClient {
    pub(crate) fn new(address: SocketAddr, timeout: Duration) -> Self {
        let options =
            ClientOptions { connect_timeout: timeout, user_timeout: timeout, max_idle: MAX_IDLE };
        Self { client: Client::new(options), address, timeout }
    }

    /// Reads a page of the log from `from_offset` on.
    pub(crate) async fn read_log(&self, from_offset: u64) -> Result<proto::LogPage, PlatformError> {
        let path = format!(
            "/log?from_offset={from_offset}&max_entries={MAX_PAGE_ENTRIES}&wait_ms={LONG_POLL_MS}"
        );
        let timeout = self.timeout + Duration::from_millis(LONG_POLL_MS);
        let bytes = self.exchange(Method::GET, &path, full_body(Bytes::new()), timeout).await?;
        from_json(&bytes).context(DecodeSnafu)
    }

    /// Appends an entry to the log.
    pub(crate) async fn append_log(
        &self,
        entry: Bytes,
    ) -> Result<proto::AppendReply, PlatformError> {
        let bytes = self.exchange(Method::POST, "/log", full_body(entry), self.timeout).await?;
        from_json(&bytes).context(DecodeSnafu)
    }

    /// Reads the instance list.
    pub(crate) async fn list_instances(&self) -> Result<proto::InstanceList, PlatformError> {
        let bytes =
            self.exchange(Method::GET, "/instances", full_body(Bytes::new()), self.timeout).await?;
        from_json(&bytes).context(DecodeSnafu)
    }

    /// Adds this instance to the platform's list.
    pub(crate) async fn register_instance(
        &self,
        row: &proto::ListedInstance,
    ) -> Result<(), PlatformError> {
        let body = full_body(to_json(row));
        self.exchange(Method::POST, "/instances", body, self.timeout).await.map(drop)
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Body,
        timeout: Duration,
    ) -> Result<Bytes, PlatformError> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", self.address.to_string())
            .body(body)
            .expect("method, path and address form a request");
        let work = async {
            let response =
                self.client.send(self.address, request).await.map_err(|error| match error {
                    SendError::NotSent(source) | SendError::MaybeSent(source) => {
                        PlatformError::Net { source }
                    }
                })?;
            let status = response.status();
            if !status.is_success() {
                return StatusSnafu { status: status.as_u16() }.fail();
            }
            read_body(response.into_body(), MAX_RESPONSE_BYTES).await.context(NetSnafu)
        };
        compio::time::timeout(timeout, work).await.map_err(|_| PlatformError::TimedOut)?
    }
}
