//! The HTTP interfaces towards callers and operators.

mod forward;
mod model;
mod operator;
mod refusal;
mod request;
mod server;
mod service;
mod shared;
mod sse;

pub(crate) use operator::run_operator_server;
pub(crate) use server::run_caller_server;
pub(crate) use shared::Shared;
