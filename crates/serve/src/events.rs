//! Numbered log events, written as one JSON line each.

pub use cowslip_task::EventRow;

cowslip_task::events! {
    Started = 100, Info, "instance started";
    Reloaded = 101, Info, "settings file read again";
    Stopping = 102, Info, "signal to stop, the balancer is told";
    Stopped = 103, Info, "instance stopped";
    StoreLost = 200, Warn, "a topic of the store cannot be read";
    StoreRecovered = 201, Info, "a topic of the store can be read again";
    RecordMalformed = 202, Warn, "a record cannot be read and has no effect";
    AppendFailed = 203, Warn, "records were not appended";
    ConfigApplied = 300, Info, "a configuration is in force";
    UpstreamJoined = 310, Info, "an upstream takes work";
    UpstreamLeft = 311, Info, "an upstream takes no new work";
    UpstreamRole = 312, Info, "an engine has another role";
    LeaseAcquired = 400, Info, "this instance holds the lease";
    LeaseLost = 401, Info, "this instance no longer holds the lease";
    CapacityOrdered = 402, Info, "upstreams were ordered";
    RoleOrdered = 403, Info, "an engine was ordered into another role";
    WindowReported = 404, Info, "a usage window was reported";
    DutyFailed = 405, Warn, "a call of a duty was not accepted";
    RequestPlaced = 500, Info, "a request goes to an upstream";
    RequestReassigned = 501, Info, "a request goes to another upstream";
    RequestRefused = 502, Info, "a request is refused, it has not run";
    RequestFailed = 503, Warn, "a request ends without an answer, it may have run";
    SendFailed = 504, Warn, "an upstream did not answer as it should";
    RequestSuspected = 505, Warn, "a request was in flight at an upstream that was lost";
    PrefillEnded = 506, Info, "an engine has read a prompt for another";
    StreamStarted = 507, Info, "the first event of a stream has come";
    PeerLost = 600, Warn, "another instance cannot be reached";
    PeerRecovered = 601, Info, "another instance can be reached again";
    PeerMessageMalformed = 602, Warn, "another instance sent a malformed message";
    StoreReadingStarted = 603, Info, "this instance reads the store itself";
    StoreReadingStopped = 604, Info, "feeders read the store for this instance";
    LinesDropped = 900, Warn, "log lines were dropped to bound the volume";
}

/// Logs an event with its fields: `event!(Event::Started, address = text)`.
macro_rules! event {
    ($event:expr $(, $key:ident = $value:expr)* $(,)?) => {{
        let row = $event.row();
        log::log!(row.level, event = row.code $(, $key:% = $value)*; "{}", row.summary);
    }};
}

pub(crate) use event;
