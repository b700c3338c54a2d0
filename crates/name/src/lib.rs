//! Shared immutable strings for names of instances, upstreams, workspaces and other objects.

mod name;

pub use name::{MAX_NAME_BYTES, Name, NameError};
