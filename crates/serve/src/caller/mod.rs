//! Requests of callers.

mod exchange;
mod job;
mod refusal;
mod relay;
mod server;
mod shared;
mod sse;
mod stream;
mod whole;

pub(crate) use server::{CallerServer, run_caller_server};
