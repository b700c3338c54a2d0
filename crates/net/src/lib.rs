//! Clients and servers for HTTP/1.1 (`hyper`) and HTTP/2 (`h2`), both on the `compio` runtime.
//!
//! This crate only transfers messages; all decisions are in the crates that use it.

mod body;
mod body_reader;
mod client;
mod connection;
mod error;
mod fair_stream;
mod memory;
mod peer;
mod response_head;
mod response_reader;
mod sending;
mod server;
mod whole_body;

pub use body::{Body, BodyAborted, ChunkSender, body_channel, empty_body, full_body};
pub use body_reader::{read_body, read_request_body, read_response_body};
pub use client::{Client, ClientOptions, Connection, SendError};
pub use connection::Caller;
pub use error::Error;
pub use memory::{Account, CloseCause, Memory, MemoryEvent};
pub use peer::{PeerConnection, serve_peers};
pub use server::{ServerLimits, bind, serve_callers, serve_http};
pub use whole_body::WholeBody;
