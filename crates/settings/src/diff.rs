//! Differences between two settings trees, shown to operators before a change is applied.

use std::collections::BTreeMap;

use serde_norway::Value;

use crate::error::SettingsErrors;
use crate::reader;

/// Lists the keys whose values differ between two texts, one line each.
///
/// Comments and the order of keys are ignored.
///
/// # Errors
/// Returns an error if one of the texts is not valid YAML.
pub fn describe(before: &str, after: &str) -> Result<Vec<String>, SettingsErrors> {
    let before = flatten_text(before, "the present tree")?;
    let after = flatten_text(after, "the new tree")?;
    let mut paths: Vec<&String> = before.keys().chain(after.keys()).collect();
    paths.sort();
    paths.dedup();
    let lines = paths.into_iter().filter_map(|path| match (before.get(path), after.get(path)) {
        (Some(old), Some(new)) if old == new => None,
        (Some(old), Some(new)) => Some(format!("{path}: {old} -> {new}")),
        (Some(old), None) => Some(format!("{path}: {old} is removed")),
        (None, Some(new)) => Some(format!("{path}: {new} is added")),
        (None, None) => None,
    });
    Ok(lines.collect())
}

fn flatten_text(text: &str, file: &str) -> Result<BTreeMap<String, String>, SettingsErrors> {
    let value = reader::read_text(text, file)?;
    let mut leaves = BTreeMap::new();
    flatten(String::new(), &value, &mut leaves);
    Ok(leaves)
}

fn flatten(path: String, value: &Value, leaves: &mut BTreeMap<String, String>) {
    match value {
        Value::Mapping(entries) => entries.iter().for_each(|(key, value)| {
            let name = key.as_str().map_or_else(|| format!("{key:?}"), str::to_owned);
            flatten(reader::join(&path, &name), value, leaves);
        }),
        Value::Sequence(values) => values.iter().enumerate().for_each(|(index, value)| {
            flatten(format!("{path}[{index}]"), value, leaves);
        }),
        Value::Null => {}
        Value::Bool(value) => drop(leaves.insert(path, value.to_string())),
        Value::Number(number) => drop(leaves.insert(path, number.to_string())),
        Value::String(text) => drop(leaves.insert(path, text.clone())),
        Value::Tagged(tagged) => flatten(path, &tagged.value, leaves),
    }
}
