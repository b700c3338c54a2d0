//! The interface to the platform, which an adapter implements.
//!
//! An adapter only translates the platform's messages to the types below and back; it makes no
//! decisions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use cowslip_era::{EraStatement, Position, StoreEra};
use cowslip_fleet::{CapacityOrder, DeclaredConfig, EngineRole, Prompt, Upstream, UpstreamEntry};
use cowslip_net::{Account, Body};
use http::{HeaderMap, Method, Request, Response, StatusCode, request, response};

/// The traits that an adapter implements.
pub trait Platform: HttpCodec + Store + RecordDecoder + DutyCalls + Clone + 'static {}

impl<T> Platform for T where T: HttpCodec + Store + RecordDecoder + DutyCalls + Clone + 'static {}

/// Translates callers' requests and the exchanges with upstreams.
pub trait HttpCodec {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    /// Returns the reason code of a malformed head.
    fn decode_request_head(
        &self,
        parts: &request::Parts,
    ) -> Result<CallerRequestHead, &'static str>;

    /// Builds the HTTP request to an upstream.
    ///
    /// # Errors
    /// Returns an error when the caller's headers or path cannot be forwarded.
    fn upstream_request(
        &self,
        request: &CallerRequest,
        upstream_request: &UpstreamRequest<'_>,
    ) -> Result<Request<Body>, http::Error>;

    /// Decodes the head of an upstream's response.
    fn decode_response_head(&self, parts: &response::Parts) -> ResponseHead;

    /// Builds the head of the caller's response from an upstream's response.
    fn caller_response_head(&self, parts: response::Parts) -> response::Builder;

    /// Builds the HTTP response for an error of the daemon itself.
    fn error_response(&self, response: &ErrorResponse) -> Response<Body>;

    /// Decodes the response to a prefill; `None` if it names no prefilled prompt.
    fn decode_prefilled(&self, prefill_upstream: &Upstream, body: &[u8])
    -> Option<PrefilledPrompt>;

    /// Builds the request that releases an unused prefilled prompt.
    fn release_prefilled(&self, prefilled: &PrefilledPrompt) -> Request<Body>;
}

/// The platform's store of keyed records, grouped by topic. It may be restored from an older copy of
/// itself, and then gives offsets out again in a higher era.
pub trait Store {
    /// Reads a topic's records from an offset on. If there are none, waits up to `wait_ms` for one.
    fn read(
        &self,
        topic: Topic,
        from: u64,
        wait_ms: u64,
    ) -> impl Future<Output = StoreResponse<Page>>;

    /// Reads the newest record of each key of a topic, one page at a time: the keys after `after`,
    /// or the first ones.
    fn read_latest(
        &self,
        topic: Topic,
        after: Option<&str>,
    ) -> impl Future<Output = StoreResponse<LatestPage>>;

    /// Appends all of the records or none. With `expected_offset`, appends only if the topic ends
    /// there.
    fn append(
        &self,
        topic: Topic,
        expected_offset: Option<u64>,
        records: &[(String, Bytes)],
    ) -> impl Future<Output = StoreResponse<Appended>>;

    /// Closes idle connections, so that the next call opens a new one.
    fn close_idle_connections(&self);
}

/// Decodes records that operators and upstreams wrote to the store.
pub trait RecordDecoder {
    /// Decodes the declared configuration; `None` for a record of another kind.
    ///
    /// # Errors
    /// Returns why the configuration is invalid.
    fn decode_config(&self, key: &str, value: &[u8]) -> Option<Result<DeclaredConfig, String>>;

    /// Decodes an upstream's entry.
    ///
    /// # Errors
    /// Returns why the entry is invalid.
    fn decode_upstream(&self, key: &str, value: &[u8]) -> Result<UpstreamEntry, String>;
}

/// Calls to the platform that only the lease holder makes.
pub trait DutyCalls {
    /// Orders a number of upstreams for a service.
    fn order_capacity(
        &self,
        credentials: &LeaseCredentials,
        order: &CapacityOrder,
    ) -> impl Future<Output = DutyResult>;

    /// Reports the request starts of a usage window, by workspace.
    fn report_usage(
        &self,
        credentials: &LeaseCredentials,
        window: u64,
        rows: &BTreeMap<Arc<str>, u64>,
    ) -> impl Future<Output = DutyResult>;

    /// Orders an engine into another role.
    fn order_role(
        &self,
        credentials: &LeaseCredentials,
        engine: &Upstream,
        role: EngineRole,
    ) -> impl Future<Output = DutyResult>;
}

/// Proof that this instance held the lease when it made a call.
#[derive(Clone, Debug)]
pub struct LeaseCredentials {
    /// Name of this instance, the holder of the lease.
    pub holder: Arc<str>,
    /// Fencing token of the lease.
    pub fence: u64,
}

/// Result of a duty call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DutyResult {
    /// The platform accepted the call, or had done so before.
    Done,
    /// The platform refused the call because it has accepted a higher fencing token.
    Fenced,
    /// The platform refused the call for another reason, which may be temporary.
    Refused(String),
    /// The call failed, and the platform may have accepted it.
    Unknown(String),
}

/// Topics of the store that the daemon reads or writes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Topic {
    /// Declared configuration, written by operators.
    Declaration,
    /// Entries of upstreams, which the upstreams write themselves.
    Roster,
    /// Entries of the instances of this daemon.
    Instances,
    /// The lease record and the finalized usage windows.
    Lease,
    /// Request starts that instances have counted.
    Starts,
}

/// The result of a call of the store.
#[derive(Clone, Debug)]
pub struct StoreResponse<T> {
    /// What the response states about the store's era; absent also without a response.
    pub era: EraStatement,
    /// Contents of the response.
    pub result: Result<T, StoreError>,
}

/// A record of a keyed topic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredRecord {
    /// Key of the record within its topic.
    pub key: Arc<str>,
    /// Era in which the record was read. A [`Store`] leaves it at 0, since its response states it.
    pub era: StoreEra,
    /// Offset of the record in its topic, within its era.
    pub offset: u64,
    /// Contents; empty for a removed key.
    pub value: Bytes,
}

impl StoredRecord {
    /// Returns the position of the record in its topic.
    #[must_use]
    pub fn position(&self) -> Position {
        Position { era: self.era, offset: self.offset }
    }
}

/// The result of a read.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// Records in the order of their offsets, or of their keys if the read returns the newest ones.
    pub records: Vec<StoredRecord>,
    /// Offset at which the next read continues.
    pub next_offset: u64,
    /// Number of malformed records that were skipped.
    pub skipped_records: usize,
}

/// A page of the newest records of a topic's keys.
#[derive(Clone, Debug, Default)]
pub struct LatestPage {
    /// Records in the order of their keys; the offset is the end of the topic at this read.
    pub page: Page,
    /// Key after which the next page starts; `None` after the last page.
    pub continue_after: Option<Arc<str>>,
}

/// Offsets of appended records.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Appended {
    /// Offset of the first appended record.
    pub first_offset: u64,
    /// Offset after the last appended record.
    pub next_offset: u64,
}

/// Why a call to the store failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// The records at the requested offset have been removed.
    Expired,
    /// The topic does not end at the expected offset.
    Outdated,
    /// The store refused the call with this HTTP status; nothing was done.
    Refused(u16),
    /// The call failed, and the store may have executed it.
    Unknown(String),
    /// The response states an earlier era than a known one, or one that is invalid. An append may
    /// have been executed.
    OtherEra,
}

/// The head of a caller's request.
#[derive(Clone, Debug, Default)]
pub struct CallerRequestHead {
    /// Unique id of the caller's attempt.
    pub attempt_id: Arc<str>,
    /// Host that the request names.
    pub host: String,
    /// Timeout that the caller states, in milliseconds.
    pub timeout_ms: Option<u64>,
    /// API key that the request holds.
    pub api_key: Option<String>,
    /// Size and segments of the prompt, if the caller states them.
    pub prompt: Option<Prompt>,
    /// Number of the prompt's segments that are malformed; each counts as one that no prompt shares
    /// unless it has the same text.
    pub malformed_segments: usize,
    /// Whether the caller expects a property of the upstream, which may refuse the request for it.
    pub has_condition: bool,
}

/// A complete request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Decoded head of the request.
    pub head: CallerRequestHead,
    /// HTTP method.
    pub method: Method,
    /// Path and query of the URI.
    pub path: String,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Account of the memory that responses to the caller use.
    pub account: Account,
}

/// The parameters of one send of a request to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamRequest<'a> {
    /// Upstream that receives the request.
    pub upstream: &'a Arc<Upstream>,
    /// Workspace of the caller's API key.
    pub workspace: Option<&'a str>,
    /// Priority, 0 for the most urgent.
    pub priority: u8,
    /// Time until the request's deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Operation that the upstream runs.
    pub operation: Operation<'a>,
}

/// Operation that an upstream runs for a request.
#[derive(Clone, Copy, Debug)]
pub enum Operation<'a> {
    /// Serve the request, including its prefill if there is no prefilled prompt.
    Serve {
        /// Prompt that another engine has prefilled.
        prefilled: Option<&'a PrefilledPrompt>,
        /// Id of the event after which the stream resumes.
        after_event: Option<&'a str>,
    },
    /// Only run the prefill, for another engine.
    Prefill,
}

/// A prompt that an engine has prefilled and keeps for a limited time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PrefilledPrompt {
    /// Address of the engine that keeps the prompt.
    pub address: SocketAddr,
    /// Handle of the prompt at that engine.
    pub handle: Arc<str>,
}

/// The decoded head of an upstream's response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Id of the caller's attempt that the response belongs to.
    pub attempt_id: Option<Arc<str>>,
    /// Whether the upstream ran the request.
    pub execution: ExecutionStatus,
    /// Time for which the upstream keeps the idle connection open, if it states one.
    pub keep_alive_ms: Option<u64>,
    /// Whether the connection closes after this response.
    pub closes_connection: bool,
    /// Whether the upstream states that it is leaving.
    pub is_leaving: bool,
    /// Time for which the upstream wants no further requests, in milliseconds, if it states one.
    pub hold_ms: Option<u64>,
}

/// Execution of a request, as its response states it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExecutionStatus {
    /// An upstream ran the request, and this is its response.
    Ran,
    /// The request was not run.
    NotRun,
    /// The request was not run, because it was meant for another upstream or another role.
    Misdirected,
    /// The response lacks the header by which upstreams stamp their responses.
    MissingStamp,
    /// The body was altered in transit.
    BodyAltered,
}

/// An error response of the daemon itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ErrorResponse {
    /// HTTP status; 429, 503, 408 and 421 promise that the request did not run.
    pub status: StatusCode,
    /// Stable reason code.
    pub reason: &'static str,
    /// Delay after which the caller may retry a request that did not run, in milliseconds.
    pub retry_after_ms: Option<u64>,
}
