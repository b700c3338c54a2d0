//! Loads the schema files and applies the strict mode to their definitions.

use std::fs;
use std::path::Path;

use serde_json::{Map, Value, json};
use snafu::{OptionExt, ResultExt};

use crate::error::{Error, FileSnafu, JsonSnafu, SchemaSnafu};

/// Definitions of all files, by type name.
pub(crate) type Definitions = Map<String, Value>;

/// Treatment of missing and unknown fields in the messages of a schema folder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum SchemaMode {
    /// For messages of this project: every field is required and unknown fields are rejected.
    Strict,
    /// For messages of another system: only fields listed as required must be present, and unknown
    /// fields are ignored.
    Lenient,
}

/// Reads every `*.json` in `folder` in name order.
pub(crate) fn load(folder: &Path, mode: SchemaMode) -> Result<Definitions, Error> {
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
    if mode == SchemaMode::Strict {
        merged.insert("Name".to_owned(), json!({ "type": "string" }));
        merged.values_mut().for_each(make_strict);
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
fn make_strict(value: &mut Value) {
    match value {
        Value::Object(object) => {
            if let Some(properties) = object.get("properties").and_then(Value::as_object) {
                let names: Vec<Value> = properties.keys().cloned().map(Value::from).collect();
                object.insert("required".to_owned(), names.into());
                object.insert("additionalProperties".to_owned(), false.into());
            }
            object.values_mut().for_each(make_strict);
        }
        Value::Array(items) => items.iter_mut().for_each(make_strict),
        _ => {}
    }
}
