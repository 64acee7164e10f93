//! Edits of single values that preserve the rest of the text.
//!
//! An edit works on lines, so that comments and layout are preserved. The result is parsed and compared
//! with the expected tree. If it differs, because the line edit does not support the layout (such as
//! flow style in braces), the text is serialised again from its values, which loses its comments.

use serde_norway::{Mapping, Value};

use crate::error::SettingsErrors;
use crate::reader;
use crate::tree::{SettingsTree, parse};

/// Name of the text in its errors.
const SOURCE: &str = lacewingrail_model::keys::CONFIG_TREE;

/// Sets whether a failure domain is out of service and returns the changed text.
///
/// # Errors
/// Returns the errors in the text, or an error if the failure domain does not exist.
pub fn set_domain_out(text: &str, domain: &str, out: bool) -> Result<String, SettingsErrors> {
    let mut expected = parse(text, SOURCE)?;
    let found = expected.regions.iter_mut().find_map(|(region, settings)| {
        settings.domains.get_mut(domain).map(|settings| (region.clone(), settings))
    });
    let Some((region, settings)) = found else {
        return Err(SettingsErrors::for_source(
            SOURCE,
            format!("failure domain \"{domain}\" does not exist"),
            "name one that `lacewingrail domain list` shows",
        ));
    };
    if settings.out == out {
        return Ok(text.to_owned());
    }
    settings.out = out;
    let path = ["regions", region.as_str(), "domains", domain];
    if let Some(edited) = edit_lines(text, &path, out).filter(|edited| parses_to(edited, &expected))
    {
        return Ok(edited);
    }
    reserialise(text, &path, out)
}

fn parses_to(text: &str, expected: &SettingsTree) -> bool {
    parse(text, SOURCE).is_ok_and(|tree| tree == *expected)
}

/// Replaces or adds the line `out:` in the block of the mapping at `path`.
///
/// Returns `None` if the layout is not supported.
fn edit_lines(text: &str, path: &[&str], out: bool) -> Option<String> {
    let mut lines: Vec<String> = text.split_inclusive('\n').map(str::to_owned).collect();
    let mut start = 0;
    let mut end = lines.len();
    let mut indent = None;
    for name in path {
        let found = find_key(&lines[start..end], name, indent)? + start;
        let parent = indent_of(&lines[found]);
        end = block_end(&lines[found + 1..end], parent) + found + 1;
        start = found + 1;
        indent =
            lines[start..end].iter().find(|line| has_content(line)).map(|line| indent_of(line));
        if indent.is_some_and(|child| child <= parent) {
            return None;
        }
    }
    let indent = indent?;
    let line_end = if lines[start - 1].ends_with("\r\n") { "\r\n" } else { "\n" };
    match find_key(&lines[start..end], "out", Some(indent)) {
        Some(found) => {
            let line = &mut lines[start + found];
            let comment = line.find(" #").map(|offset| line[offset..].trim_end().to_owned());
            let comment = comment.unwrap_or_default();
            *line = format!("{}out: {out}{comment}{line_end}", " ".repeat(indent));
        }
        None => lines.insert(start, format!("{}out: {out}{line_end}", " ".repeat(indent))),
    }
    Some(lines.concat())
}

/// Returns the index of the line with a key; without `indent`, that of the first content line is used.
fn find_key(lines: &[String], name: &str, indent: Option<usize>) -> Option<usize> {
    let indent = match indent {
        Some(indent) => indent,
        None => lines.iter().find(|line| has_content(line)).map(|line| indent_of(line))?,
    };
    lines.iter().position(|line| {
        let key = line.trim_start().split(':').next().unwrap_or_default();
        let key = key.trim().trim_matches(['"', '\'']);
        has_content(line) && indent_of(line) == indent && line.contains(':') && key == name
    })
}

/// Returns the number of lines before the first that is not indented deeper than `parent`.
fn block_end(lines: &[String], parent: usize) -> usize {
    lines
        .iter()
        .position(|line| has_content(line) && indent_of(line) <= parent)
        .unwrap_or(lines.len())
}

fn has_content(line: &str) -> bool {
    let text = line.trim();
    !text.is_empty() && !text.starts_with('#') && text != "---"
}

fn indent_of(line: &str) -> usize {
    line.len() - line.trim_start_matches(' ').len()
}

fn reserialise(text: &str, path: &[&str], out: bool) -> Result<String, SettingsErrors> {
    let mut value = reader::read_text(text, SOURCE)?;
    let domain = path.iter().try_fold(&mut value, |value, name| value.get_mut(*name));
    if let Some(domain) = domain {
        if domain.is_null() {
            *domain = Value::Mapping(Mapping::new());
        }
        if let Value::Mapping(entries) = domain {
            entries.insert("out".into(), out.into());
        }
    }
    serde_norway::to_string(&value).map_err(|error| {
        SettingsErrors::for_source(
            SOURCE,
            format!("the changed tree cannot be written ({error})"),
            "change the value with `lacewingrail config put`",
        )
    })
}
