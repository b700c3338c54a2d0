//! Clients and servers for HTTP/1.1 (`hyper`) and HTTP/2 (`h2`), both on the `compio` runtime.
//!
//! This crate only transfers messages; all decisions are in the crates that use it.

mod body;
mod client;
mod error;
mod fair_stream;
mod peer;
mod server;

pub use body::{Body, BodyAborted, ChunkSender, body_channel, empty_body, full_body};
pub use client::{Client, ClientOptions, Connection, SendError, read_body};
pub use error::Error;
pub use peer::{PeerConnection, serve_peers};
pub use server::{ServerLimits, bind, serve_http};
