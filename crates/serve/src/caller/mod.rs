//! Handling of callers' requests: the HTTP server, sends to upstreams, and relayed streams.

mod assignment_guard;
mod buffered;
mod error_response;
mod exchange;
mod hedge;
mod in_flight_request;
mod memory;
mod relay;
mod server;
mod shared;
mod sse;
mod stream;

pub(crate) use server::{CallerServer, run_caller_server};
