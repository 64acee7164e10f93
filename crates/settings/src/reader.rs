//! Reads YAML values key by key and collects all errors.
//!
//! Deserializing a whole record would stop at the first error. The reader deserializes each key
//! separately and continues after an error.

use serde::de::DeserializeOwned;
use serde_norway::{Mapping, Value};

use crate::error::{SettingsError, SettingsErrors};
use crate::keys::KeySpec;

/// Errors found so far in one text.
pub(crate) struct ErrorList {
    file: String,
    errors: Vec<SettingsError>,
}

impl ErrorList {
    pub(crate) fn new(file: &str) -> Self {
        Self { file: file.to_owned(), errors: Vec::new() }
    }

    pub(crate) fn add(&mut self, path: &str, reason: impl Into<String>, remedy: impl Into<String>) {
        self.errors.push(SettingsError {
            file: self.file.clone(),
            path: path.to_owned(),
            reason: reason.into(),
            mend: remedy.into(),
        });
    }

    pub(crate) fn file(&self) -> &str {
        &self.file
    }

    pub(crate) fn into_errors(self) -> SettingsErrors {
        SettingsErrors(self.errors)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.errors.is_empty()
    }

    /// Returns `value`, or all errors if there are any.
    pub(crate) fn finish<T>(self, value: T) -> Result<T, SettingsErrors> {
        if self.errors.is_empty() { Ok(value) } else { Err(SettingsErrors(self.errors)) }
    }
}

/// Reads the keys of one mapping.
pub(crate) struct SectionReader {
    pub(crate) path: String,
    entries: Mapping,
    keys: &'static [KeySpec],
}

impl SectionReader {
    /// Creates a reader for a mapping; adds an error for each key that is not in `keys`.
    pub(crate) fn new(
        path: &str,
        value: Value,
        keys: &'static [KeySpec],
        errors: &mut ErrorList,
    ) -> Self {
        let entries = read_mapping(path, value, errors);
        for key in entries.keys() {
            let name = key_name(key);
            if !keys.iter().any(|spec| spec.name == name) {
                let known = keys.iter().map(|spec| spec.name).collect::<Vec<_>>().join(", ");
                let key_path = join(path, &name);
                errors.add(&key_path, "the key is unknown", format!("use one of: {known}"));
            }
        }
        Self { path: path.to_owned(), entries, keys }
    }

    /// Returns the full path of a key of the section.
    pub(crate) fn path_of(&self, name: &str) -> String {
        join(&self.path, name)
    }

    /// Removes a key and returns its raw value.
    pub(crate) fn remove(&mut self, name: &str) -> Option<Value> {
        debug_assert!(
            self.keys.iter().any(|spec| spec.name == name),
            "{name} is not in the table of keys"
        );
        self.entries.remove(name)
    }

    /// Reads an optional key; an invalid value adds an error and returns `None`.
    pub(crate) fn optional<T>(&mut self, name: &str, errors: &mut ErrorList) -> Option<T>
    where
        T: DeserializeOwned,
    {
        let value = self.remove(name)?;
        let kind = self.keys.iter().find(|spec| spec.name == name).map_or("", |spec| spec.kind);
        read_value(&self.path_of(name), value, kind, errors)
    }

    /// Reads a required key; a missing key adds an error.
    pub(crate) fn required<T>(&mut self, name: &str, errors: &mut ErrorList) -> Option<T>
    where
        T: DeserializeOwned,
    {
        if !self.entries.contains_key(name) {
            let kind = self.keys.iter().find(|spec| spec.name == name).map_or("", |spec| spec.kind);
            errors.add(&self.path_of(name), "the key is missing", format!("add it: {kind}"));
            return None;
        }
        self.optional(name, errors)
    }
}

/// Deserializes one value; `kind` describes the expected form in errors.
pub(crate) fn read_value<T>(
    path: &str,
    value: Value,
    kind: &str,
    errors: &mut ErrorList,
) -> Option<T>
where
    T: DeserializeOwned,
{
    if value.is_null() {
        errors.add(path, "the key has no value", format!("write {kind}, or remove the key"));
        return None;
    }
    match serde_norway::from_value(value) {
        Ok(value) => Some(value),
        Err(error) => {
            let text = error.to_string();
            match text.split_once("; ") {
                Some((reason, remedy)) => errors.add(path, reason, remedy),
                None => errors.add(path, text, format!("write {kind}")),
            }
            None
        }
    }
}

/// Reads a mapping from names to values and validates each name.
pub(crate) fn read_named_values(
    path: &str,
    value: Option<Value>,
    errors: &mut ErrorList,
) -> Vec<(String, Value)> {
    let Some(value) = value else { return Vec::new() };
    let mut names = Vec::new();
    for (key, value) in read_mapping(path, value, errors) {
        let name = key_name(&key);
        check_name(&join(path, &name), &name, errors);
        names.push((name, value));
    }
    names
}

/// Reads an optional sequence; a missing or invalid one is empty.
pub(crate) fn read_sequence(
    path: &str,
    value: Option<Value>,
    errors: &mut ErrorList,
) -> Vec<Value> {
    match value {
        None => Vec::new(),
        Some(Value::Sequence(values)) => values,
        Some(_) => {
            errors.add(
                path,
                "a list is expected",
                "write each entry on a line of its own with \"- \"",
            );
            Vec::new()
        }
    }
}

/// Parses a text as one YAML value.
pub(crate) fn read_text(text: &str, file: &str) -> Result<Value, SettingsErrors> {
    serde_norway::from_str::<Value>(text).map_err(|error| {
        SettingsErrors::for_source(
            file,
            format!("the text is not valid YAML ({error})"),
            "correct the line that is named; indent with spaces and write each key once",
        )
    })
}

/// Returns the path of a key below another path.
pub(crate) fn join(path: &str, name: &str) -> String {
    if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") }
}

fn read_mapping(path: &str, value: Value, errors: &mut ErrorList) -> Mapping {
    match value {
        Value::Mapping(entries) => entries,
        Value::Null => Mapping::new(),
        _ => {
            errors.add(
                path,
                "a section with keys is expected",
                "write \"key: value\" lines below it",
            );
            Mapping::new()
        }
    }
}

fn key_name(key: &Value) -> String {
    match key {
        Value::String(name) => name.clone(),
        Value::Bool(value) => value.to_string(),
        Value::Number(number) => number.to_string(),
        _ => "?".to_owned(),
    }
}

/// Checks the characters and length of a name, which becomes part of store keys and URLs.
pub(crate) fn check_name(path: &str, name: &str, errors: &mut ErrorList) {
    const MAX_NAME_BYTES: usize = 63;
    let valid_start = name.bytes().next().is_some_and(|byte| byte.is_ascii_alphanumeric());
    let valid_bytes =
        name.bytes().all(|byte| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.'));
    if !valid_start || !valid_bytes || name.len() > MAX_NAME_BYTES {
        errors.add(
            path,
            format!("\"{name}\" is not a valid name"),
            "use up to 63 of a-z, 0-9, \"-\", \"_\" and \".\", beginning with a letter or a digit",
        );
    }
}
