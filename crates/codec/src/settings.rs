//! Loads and checks settings from an INI file.

use std::fmt;
use std::str::FromStr;

use cowslip_proto::{SETTING_TABLE, SettingKind, SettingSpec};
use ini::Ini;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// Least Jaro-Winkler similarity, from 0 to 1, at which an unknown key counts as a misspelling of a
/// known one.
const MIN_SIMILARITY: f64 = 0.75;

/// Error in a settings file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingError {
    /// Line in the file, from 1; 0 if the error belongs to no line, such as a missing key.
    pub line: usize,
    /// Section and key as `[section] key`, or `file` or `settings` for an error in no single key.
    pub location: String,
    /// Explanation of what is wrong with the line or value.
    pub reason: String,
}

impl fmt::Display for SettingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(f, "{}: {}", self.location, self.reason),
            line => write!(f, "line {line}: {}: {}", self.location, self.reason),
        }
    }
}

/// A setting from the command line, which takes precedence over the file. An empty value keeps that
/// of the file, or the default.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingOverride {
    section: String,
    key: String,
    value: String,
}

impl FromStr for SettingOverride {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts = text.split_once('=').and_then(|(name, value)| {
            let (section, key) = name.split_once('.')?;
            Some((section, key, value))
        });
        let (section, key, value) =
            parts.ok_or_else(|| format!("{text:?} is not SECTION.KEY=VALUE"))?;
        Ok(Self { section: section.to_owned(), key: key.to_owned(), value: value.to_owned() })
    }
}

/// Sections that `cowslip-entry` reads.
pub const ENTRY_SETTING_SECTIONS: &[&str] =
    &["instance", "platform", "authority", "config", "usage", "limits", "metrics"];
/// Sections that an instance serving a declared fleet reads.
pub const FLEET_SETTING_SECTIONS: &[&str] =
    &["instance", "platform", "authority", "limits", "fleet", "allowances", "hedging"];

/// Loads the settings in `sections` from the text of an INI file and from `overrides`, with defaults
/// for absent keys.
///
/// # Errors
/// Returns all errors at once: unknown, repeated and missing keys, and invalid values.
pub fn load_settings<T>(
    text: &str,
    overrides: &[SettingOverride],
    sections: &[&str],
) -> Result<T, Vec<SettingError>>
where
    T: DeserializeOwned,
{
    let mut ini = Ini::load_from_str(text).map_err(|error| {
        let reason = error.msg.to_string();
        vec![SettingError { line: error.line, location: "file".to_owned(), reason }]
    })?;
    let rows: Vec<&SettingSpec> =
        SETTING_TABLE.iter().filter(|row| sections.contains(&row.section)).collect();
    let mut errors = unknown_keys(text, &ini, &rows);
    errors.extend(duplicate_keys(text, &ini, &rows));
    errors.extend(apply_overrides(&mut ini, overrides, &rows));
    let mut values = Map::new();
    for row in rows {
        match setting_value(text, &ini, row) {
            Ok(value) => {
                let section =
                    values.entry(row.section).or_insert_with(|| Value::Object(Map::new()));
                section[row.key] = value;
            }
            Err(error) => errors.push(error),
        }
    }
    if !errors.is_empty() {
        return Err(errors);
    }
    let sections_json = Value::Object(values);
    // Each value was checked by itself above, so that all errors are reported at once.
    serde_json::from_value(sections_json).map_err(|error| {
        vec![SettingError { line: 0, location: "settings".to_owned(), reason: error.to_string() }]
    })
}

/// Sets the values of `overrides` and returns an error for each unknown key.
fn apply_overrides(
    ini: &mut Ini,
    overrides: &[SettingOverride],
    rows: &[&SettingSpec],
) -> Vec<SettingError> {
    let mut errors = Vec::new();
    for SettingOverride { section, key, value } in overrides {
        if !rows.iter().any(|row| row.section == section && row.key == key) {
            let reason = suggestion(section, key, rows);
            errors.push(SettingError { line: 0, location: format!("[{section}] {key}"), reason });
        } else if !value.is_empty() {
            ini.set_to(Some(section.as_str()), key.clone(), value.clone());
        }
    }
    errors
}

/// Returns the value of one setting, or its default, as JSON of the setting's kind.
fn setting_value(text: &str, ini: &Ini, row: &SettingSpec) -> Result<Value, SettingError> {
    let configured = ini.get_from(Some(row.section), row.key);
    let error = |reason: String| SettingError {
        line: configured.map_or(0, |_| line_of(text, row.section, row.key)),
        location: format!("[{}] {}", row.section, row.key),
        reason,
    };
    let raw = configured.or(row.default).ok_or_else(|| error("must be given".to_owned()))?;
    match row.kind {
        SettingKind::Integer => raw
            .parse::<u64>()
            .map(Value::from)
            .map_err(|_| error(format!("{raw:?} is not a whole number"))),
        SettingKind::Number => raw
            .parse::<f64>()
            .ok()
            .filter(|number| number.is_finite() && *number >= 0.0)
            .map(Value::from)
            .ok_or_else(|| error(format!("{raw:?} is not a number from 0 on"))),
        SettingKind::Text if row.key.ends_with("_address") => {
            check_address(raw, row).map_err(error)
        }
        SettingKind::Text if is_name(row) => cowslip_name::Name::new(raw)
            .map(|name| Value::from(name.as_str()))
            .map_err(|reason| error(reason.to_string())),
        SettingKind::Text => Ok(Value::from(raw)),
    }
}

/// Returns whether the setting has the type `Name` in the schema; the table holds it as plain text.
fn is_name(row: &SettingSpec) -> bool {
    matches!(row.key, "name" | "failure_domain" | "region" | "scope")
}

fn check_address(raw: &str, row: &SettingSpec) -> Result<Value, String> {
    let is_empty_allowed = row.default == Some("");
    match raw.parse::<std::net::SocketAddr>() {
        Ok(_) => Ok(Value::from(raw)),
        Err(_) if raw.is_empty() && is_empty_allowed => Ok(Value::from(raw)),
        Err(_) => Err(format!("{raw:?} is not an IP address and port")),
    }
}

/// Returns an error for each unknown key, with the likely intended key if there is any.
fn unknown_keys(text: &str, ini: &Ini, rows: &[&SettingSpec]) -> Vec<SettingError> {
    let mut errors = Vec::new();
    for (section, properties) in ini {
        let section = section.unwrap_or("");
        for (key, _) in properties {
            if rows.iter().any(|row| row.section == section && row.key == key) {
                continue;
            }
            let line = line_of(text, section, key);
            errors.push(SettingError {
                line,
                location: format!("[{section}] {key}"),
                reason: suggestion(section, key, rows),
            });
        }
    }
    errors
}

/// Returns an error for each key that the file holds more than once, itself or by a repeated
/// section, because it would not be clear which value applies.
fn duplicate_keys(text: &str, ini: &Ini, rows: &[&SettingSpec]) -> Vec<SettingError> {
    let mut errors = Vec::new();
    for row in rows {
        let sections = ini.section_all(Some(row.section)).count();
        let values = ini
            .section_all(Some(row.section))
            .flat_map(|properties| properties.get_all(row.key))
            .count();
        if values > 1 || (sections > 1 && values > 0) {
            errors.push(SettingError {
                line: line_of(text, row.section, row.key),
                location: format!("[{}] {}", row.section, row.key),
                reason: "the key or its section is given twice".to_owned(),
            });
        }
    }
    errors
}

/// Returns the error text for an unknown key with the most similar setting, preferring those of the
/// same section.
fn suggestion(section: &str, key: &str, rows: &[&SettingSpec]) -> String {
    let similarity = |row: &SettingSpec| {
        let section_bonus = if row.section == section { 0.1 } else { 0.0 };
        strsim::jaro_winkler(row.key, key) + section_bonus
    };
    rows.iter()
        .max_by(|a, b| similarity(a).total_cmp(&similarity(b)))
        .filter(|row| strsim::jaro_winkler(row.key, key) >= MIN_SIMILARITY)
        .map_or_else(
            || "unknown key".to_owned(),
            |row| format!("unknown key; did you mean [{}] {}?", row.section, row.key),
        )
}

/// Returns the line of the first occurrence of a key in a section, from 1; 0 if it is not found.
fn line_of(text: &str, section: &str, key: &str) -> usize {
    let mut current_section = "";
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
            current_section = name.trim();
        }
        let line_key = line.split(['=', ':']).next().map(str::trim);
        if current_section == section && line_key == Some(key) {
            return index + 1;
        }
    }
    0
}
