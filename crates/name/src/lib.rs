//! The shared immutable string type for names.

mod name;

pub use name::{MAX_NAME_BYTES, Name, NameError};
