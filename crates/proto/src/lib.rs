//! Messages, log records and settings, generated from the `schema` folder.
//!
//! Only code that encodes or decodes messages uses these types. The decision crates have types of
//! their own, which `cowslip-codec` converts.

#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[rustfmt::skip]
mod generated;
#[rustfmt::skip]
mod setting_table;

pub use generated::*;
pub use setting_table::{SETTING_TABLE, SettingKind, SettingSpec};
