//! The shared immutable string type for names of instances, upstreams, workspaces and the like.

mod name;

pub use name::{MAX_NAME_BYTES, Name, NameError};
