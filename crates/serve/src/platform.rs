//! The edge of the process: what an adapter to a platform translates.
//!
//! An adapter decides nothing. It turns the platform's messages into the types below and back.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use cowslip_fleet::{CapacityOrder, DeclaredConfig, EngineRole, Prompt, Upstream};
use cowslip_net::Body;
use http::{HeaderMap, Method, Request, Response, StatusCode, request, response};

/// Everything that an adapter provides.
pub trait Platform: HttpCodec + Store + RecordDecoder + DutyCalls + Clone + 'static {}

impl<T> Platform for T where T: HttpCodec + Store + RecordDecoder + DutyCalls + Clone + 'static {}

/// Requests of callers and exchanges with upstreams.
pub trait HttpCodec {
    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    /// Returns what is wrong with the head.
    fn decode_request_head(
        &self,
        parts: &request::Parts,
    ) -> Result<CallerRequestHead, &'static str>;

    /// Forms the request for an upstream.
    ///
    /// # Errors
    /// Returns an error when the caller's own fields cannot be sent on.
    fn upstream_request(
        &self,
        call: &CallerRequest,
        outgoing: &UpstreamRequest<'_>,
    ) -> Result<Request<Body>, http::Error>;

    /// Decodes the head of an upstream's answer.
    fn decode_response_head(&self, parts: &response::Parts) -> ResponseHead;

    /// The head that the caller gets for an upstream's answer.
    fn caller_response_head(&self, parts: response::Parts) -> response::Builder;

    /// An answer of the system's own.
    fn error_response(&self, refusal: &ErrorResponse) -> Response<Body>;

    /// Reads the answer to a prompt that was read for another engine.
    fn decode_prefilled(&self, reader: &Upstream, body: &[u8]) -> Option<PrefilledPrompt>;

    /// Forms the request that frees a prompt that nobody takes.
    fn release_prefilled(&self, prefilled: &PrefilledPrompt) -> Request<Body>;
}

/// The store that keeps what must last.
pub trait Store {
    /// Reads a topic's records from an offset on, waiting up to `wait_ms` for the first.
    fn read(
        &self,
        topic: Topic,
        from: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Page, StoreError>>;

    /// Reads the newest record of each key.
    fn read_latest(&self, topic: Topic) -> impl Future<Output = Result<Page, StoreError>>;

    /// Appends records, all or none; with `expected_offset` only if the topic ends there.
    fn append(
        &self,
        topic: Topic,
        expected_offset: Option<u64>,
        records: &[(String, Bytes)],
    ) -> impl Future<Output = Result<Appended, StoreError>>;
}

/// What others wrote into the store.
pub trait RecordDecoder {
    /// Decodes the declared configuration; `None` for a record that is none.
    ///
    /// # Errors
    /// Returns what is wrong with it.
    fn deployment(&self, key: &str, value: &[u8]) -> Option<Result<DeclaredConfig, String>>;

    /// Decodes an upstream's entry.
    ///
    /// # Errors
    /// Returns what is wrong with it.
    fn upstream(&self, key: &str, value: &[u8]) -> Result<Upstream, String>;
}

/// Calls that only the holder of the lease makes.
pub trait DutyCalls {
    /// Orders a number of upstreams.
    fn order_capacity(
        &self,
        authority: &LeaseCredentials,
        order: &CapacityOrder,
    ) -> impl Future<Output = DutyResult>;

    /// Reports the usage of a window.
    fn report_usage(
        &self,
        authority: &LeaseCredentials,
        window: u64,
        rows: &BTreeMap<Arc<str>, u64>,
    ) -> impl Future<Output = DutyResult>;

    /// Orders an engine into another role.
    fn order_role(
        &self,
        authority: &LeaseCredentials,
        engine: &Upstream,
        role: EngineRole,
    ) -> impl Future<Output = DutyResult>;
}

/// The right to make a call of a duty.
#[derive(Clone, Debug)]
pub struct LeaseCredentials {
    /// Name of this instance.
    pub holder: Arc<str>,
    /// Fencing number.
    pub fence: u64,
}

/// What came of a call of a duty.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum DutyResult {
    /// Accepted, or it held already.
    Done,
    /// Refused because a higher fencing number was used.
    Fenced,
    /// Refused for another reason, which may pass.
    Refused(String),
    /// Not known.
    Unknown(String),
}

/// Topics that the system reads or writes.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Topic {
    /// Declared configuration, written by operators.
    Declaration,
    /// Entries of upstreams, written by themselves.
    Roster,
    /// Entries of this system's instances.
    Instances,
    /// The lease and the usage windows whose figures are fixed.
    Lease,
    /// Starts that instances have counted.
    Starts,
}

/// A record of a keyed topic.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredRecord {
    /// Its key.
    pub key: Arc<str>,
    /// Its place.
    pub offset: u64,
    /// Empty for a removed key.
    pub value: Bytes,
}

/// What a read returned.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// Records by place, or by key for the newest ones.
    pub records: Vec<StoredRecord>,
    /// Place of the next record to read.
    pub next_offset: u64,
    /// Records that cannot be read and were skipped.
    pub skipped: usize,
}

/// Where records were appended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Appended {
    /// Place of the first record.
    pub offset: u64,
    /// Where the next record would go.
    pub next_offset: u64,
}

/// Why the store did not do what it was asked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// The records that were asked for are gone.
    Expired,
    /// The topic ends elsewhere than at the named place.
    Outdated,
    /// It refused; nothing was done.
    Refused(u16),
    /// Not known whether it was done.
    Unknown(String),
}

/// A caller's request, but for its body.
#[derive(Clone, Debug, Default)]
pub struct CallerRequestHead {
    /// Unique id of the caller's attempt.
    pub attempt_id: Arc<str>,
    /// Host that it names.
    pub host: String,
    /// How long the caller will wait.
    pub timeout_ms: Option<u64>,
    /// Key that came with it.
    pub api_key: Option<String>,
    /// What is known of its prompt.
    pub prompt: Option<Prompt>,
}

/// A caller's request as it is sent on.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Decoded head.
    pub head: CallerRequestHead,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Fields as the caller sent them.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// How a request is sent to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamRequest<'a> {
    /// The upstream.
    pub upstream: &'a Upstream,
    /// Workspace that the request is for.
    pub workspace: Option<&'a str>,
    /// Rank, 0 for the most urgent.
    pub priority: u8,
    /// Time that is left for it.
    pub remaining_ms: u64,
    /// What is asked for.
    pub operation: Operation<'a>,
}

/// What an upstream is asked to do with a request.
#[derive(Clone, Copy, Debug)]
pub enum Operation<'a> {
    /// Answer it, reading the prompt itself if there is one.
    Serve {
        /// The prompt as another engine has read it.
        prefilled: Option<&'a PrefilledPrompt>,
        /// Go on after this event.
        after_event: Option<&'a str>,
    },
    /// Only read the prompt, for another engine.
    Prefill,
}

/// A prompt that an engine has read and keeps for a while.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PrefilledPrompt {
    /// Engine that keeps it.
    pub address: SocketAddr,
    /// Its name there.
    pub handle: Arc<str>,
}

/// What an upstream's answer says of itself.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// Attempt that it answers.
    pub attempt_id: Option<Arc<str>>,
    /// What it states.
    pub execution: ExecutionStatus,
    /// How long the connection may be reused, if the upstream says so.
    pub keep_alive_ms: Option<u64>,
    /// Whether the connection ends with this answer.
    pub closes_connection: bool,
}

/// What an answer states about the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExecutionStatus {
    /// An upstream has run it, and this is its answer.
    Ran,
    /// It was not run.
    NotRun,
    /// It was not run, since another upstream, or one in another role, was meant.
    Misdirected,
    /// An answer without the mark of an upstream.
    MissingStamp,
    /// An answer whose body was changed on the way.
    BodyAltered,
}

/// An answer of the system's own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ErrorResponse {
    /// Status; 429, 503, 408 and 421 promise that nothing has run.
    pub status: StatusCode,
    /// Stable name of the reason.
    pub reason: &'static str,
    /// When to come back, for what has not run.
    pub retry_after_ms: Option<u64>,
}
