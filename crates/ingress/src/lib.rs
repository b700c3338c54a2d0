//! Checks of callers' requests that come before any rule looks at them: a path in normal form, an
//! unambiguous head, and no API key in a part that an upstream receives.
//!
//! The crate only decides: it uses no clock, no socket and no state.

mod api_key;
mod defect;
mod head;
mod path;

pub use api_key::exposes_key;
pub use defect::Defect;
pub use head::check_head;
pub use path::check_path;
