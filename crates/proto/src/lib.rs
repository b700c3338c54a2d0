//! Messages, log records and settings, generated from the `schema` folder.
//!
//! Only code at a border uses these types: decision crates have their own.

#[allow(clippy::all, clippy::pedantic, missing_docs)]
#[rustfmt::skip]
mod generated;
#[rustfmt::skip]
mod setting_table;

pub use generated::*;
pub use setting_table::{SETTING_TABLE, SettingKind, SettingSpec};
