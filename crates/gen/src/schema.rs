//! Loads the schema files and completes their definitions.

use std::fs;
use std::path::Path;

use serde_json::{Map, Value, json};
use snafu::{OptionExt, ResultExt};

use crate::error::{Error, FileSnafu, JsonSnafu, SchemaSnafu};

/// Definitions by type name, merged from all files.
pub(crate) type Definitions = Map<String, Value>;

/// Whose messages a folder declares.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Owner {
    /// Ours: every field is there and no other.
    Own,
    /// Another system's: what is not listed as required may be missing, and more may come.
    Other,
}

/// Reads every `*.json` in `folder` in name order.
pub(crate) fn load(folder: &Path, owner: Owner) -> Result<Definitions, Error> {
    let mut paths: Vec<_> = fs::read_dir(folder)
        .context(FileSnafu { path: folder })?
        .filter_map(|entry| entry.ok().map(|entry| entry.path()))
        .filter(|path| path.extension().is_some_and(|extension| extension == "json"))
        .collect();
    paths.sort();
    let mut merged = Definitions::new();
    for path in paths {
        merge(&mut merged, &path)?;
    }
    if owner == Owner::Own {
        merged.insert("Name".to_owned(), json!({ "type": "string" }));
        merged.values_mut().for_each(complete);
    }
    Ok(merged)
}

fn merge(merged: &mut Definitions, path: &Path) -> Result<(), Error> {
    let text = fs::read_to_string(path).context(FileSnafu { path })?;
    let file: Value = serde_json::from_str(&text).context(JsonSnafu { path })?;
    let reason = format!("{}: no definitions", path.display());
    let definitions = file["definitions"].as_object().context(SchemaSnafu { reason })?;
    for (name, definition) in definitions {
        if merged.insert(name.clone(), definition.clone()).is_some() {
            let reason = format!("{}: {name} is defined twice", path.display());
            return SchemaSnafu { reason }.fail();
        }
    }
    Ok(())
}

/// Makes every property required and forbids unknown ones, at all depths.
fn complete(value: &mut Value) {
    match value {
        Value::Object(object) => {
            if let Some(properties) = object.get("properties").and_then(Value::as_object) {
                let names: Vec<Value> = properties.keys().cloned().map(Value::from).collect();
                object.insert("required".to_owned(), names.into());
                object.insert("additionalProperties".to_owned(), false.into());
            }
            object.values_mut().for_each(complete);
        }
        Value::Array(items) => items.iter_mut().for_each(complete),
        _ => {}
    }
}
