//! Connections through libraries: HTTP/1.1 by `hyper`, HTTP/2 streams by `h2`, both on `compio`.
//!
//! Nothing here decides anything; a process starts here and ends at its decisions.

mod body;
mod client;
mod error;
mod peer;
mod server;

pub use body::{Body, BodyAborted, ChunkSender, body_channel, empty_body, full_body};
pub use client::{Client, ClientOptions, Connection, SendError, read_body};
pub use error::Error;
pub use peer::{PeerConnection, serve_peers};
pub use server::{ServerLimits, bind, serve_http};
