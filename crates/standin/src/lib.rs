//! Minimal stand-ins for the platform, an inference engine and an HTTP service, for tests and the
//! demo.

mod batch;
mod engine;
mod http;
mod platform;
mod request_reply;
mod service;

pub use engine::{EngineOptions, run_engine};
pub use platform::{PlatformOptions, run_platform};
pub use service::{ServiceOptions, run_service};
