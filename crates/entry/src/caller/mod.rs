//! The HTTP interfaces towards callers and operators.

mod context;
mod error;
mod forward;
mod memory;
mod model;
mod operator;
mod request;
mod server;
mod service;
mod sse;

pub(crate) use context::HandlerContext;
pub(crate) use operator::run_operator_server;
pub(crate) use server::run_caller_server;
