//! Numbered log events.

use std::fmt;

use cowslip_name::Name;
pub use cowslip_task::EventRow;

cowslip_task::events! {
    Started = 100, Info, "instance started";
    Ready = 101, Info, "configuration is complete, requests are admitted";
    Stopping = 102, Info, "shutdown began, open requests are finished";
    Stopped = 103, Info, "instance stopped";
    LogUnreachable = 200, Warn, "the platform's log cannot be read";
    LogReachable = 201, Info, "the platform's log can be read again";
    LogGap = 202, Warn, "entries had expired before they were read, a snapshot is looked for";
    SnapshotRestored = 203, Info, "state restored from a snapshot";
    BadSnapshot = 204, Error, "a snapshot cannot be restored";
    BadEntry = 205, Error, "a log entry cannot be decoded and has no effect";
    AppendDropped = 206, Warn, "records were given up because the log did not take them";
    SnapshotWritten = 207, Info, "snapshot sent to the log";
    AdmissionStopped = 300, Warn, "requests are refused because the configuration may be old";
    AdmissionStale = 301, Warn, "requests are admitted by an old configuration that a majority shares";
    TicketApplied = 302, Info, "a change ticket was applied";
    TicketRefused = 303, Warn, "a change ticket was refused";
    TermStarted = 400, Info, "this instance holds a scope";
    TermEnded = 401, Info, "this instance no longer holds a scope";
    OrderSent = 402, Info, "an order was written to an upstream";
    OrderAbandoned = 403, Warn, "an order was not sent";
    OrderDone = 404, Info, "an order was carried out";
    WindowReported = 405, Info, "the platform has a usage window";
    UpstreamLost = 500, Warn, "an upstream broke a connection or cannot be reached";
    PoisonRefused = 501, Warn, "a request was refused because upstreams were lost with it";
    CallIdMismatch = 502, Warn, "an answer that belongs to another call was dropped";
    StreamResumed = 503, Info, "a stream goes on at another upstream";
    PeerUnreachable = 600, Warn, "another instance cannot be reached";
    PeerReachable = 601, Info, "another instance can be reached again";
    BadPeerMessage = 602, Warn, "another instance sent a malformed message";
}

impl Event {
    /// Writes the event with its details to the log.
    pub(crate) fn emit(self, instance_name: &Name, details: fmt::Arguments<'_>) {
        let row = self.row();
        log::log!(row.level, "E{} {} [{instance_name}] {details}", row.code, row.summary);
    }
}
