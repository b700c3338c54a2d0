//! Numbered log events.

use std::fmt;

use cowslip_name::Name;
pub use cowslip_task::EventRow;

cowslip_task::events! {
    Started = 100, Info, "instance started";
    Ready = 101, Info, "configuration is complete, requests are admitted";
    Stopping = 102, Info, "shutdown started, requests in flight are finished";
    Stopped = 103, Info, "instance stopped";
    LogUnreachable = 200, Warn, "the platform's log cannot be read";
    LogReachable = 201, Info, "the platform's log can be read again";
    LogGap = 202, Warn, "log entries expired before they were read, searching for a snapshot";
    SnapshotRestored = 203, Info, "state restored from a snapshot";
    BadSnapshot = 204, Error, "a snapshot cannot be restored";
    EntryMalformed = 205, Error, "a log entry cannot be decoded and has no effect";
    AppendDropped = 206, Warn, "records were dropped because the log did not accept them";
    SnapshotWritten = 207, Info, "snapshot sent to the log";
    AdmissionStopped = 300, Warn, "requests are refused because the configuration may be old";
    AdmissionStale = 301, Warn, "requests are admitted by a stale configuration that a majority shares";
    TicketApplied = 302, Info, "a change ticket was applied";
    TicketRefused = 303, Warn, "a change ticket was refused";
    LeaseAcquired = 400, Info, "this instance acquired the lease of a scope";
    LeaseLost = 401, Info, "this instance no longer holds the lease of a scope";
    FencedWriteSent = 402, Info, "a fenced write is sent";
    FencedWriteAbandoned = 403, Warn, "a fenced write failed or was abandoned";
    OrderCompleted = 404, Info, "an upstream applied an order";
    WindowReported = 405, Info, "a usage window was reported to the platform";
    UpstreamLost = 500, Warn, "an upstream lost a connection, failed or cannot be reached";
    PoisonRefused = 501, Warn, "a request was refused because upstreams were lost while they ran it";
    CallIdMismatch = 502, Warn, "a response to another call was dropped";
    StreamResumed = 503, Info, "a stream was resumed at another upstream";
    CallerClosed = 504, Warn, "a caller's connection, body or response was closed, others needed its room or it was not read";
    PeerUnreachable = 600, Warn, "a peer is unreachable";
    PeerReachable = 601, Info, "a peer is reachable again";
    PeerMessageMalformed = 602, Warn, "a peer sent a malformed message";
}

impl Event {
    /// Writes the event with its details to the log.
    pub(crate) fn emit(self, instance_name: &Name, details: fmt::Arguments<'_>) {
        let row = self.row();
        log::log!(row.level, "E{} {} [{instance_name}] {details}", row.code, row.summary);
    }
}
