//! Changes of single values that keep the rest of the operators' text.
//!
//! The edit works on lines, so that comments and layout stay. The result is parsed and compared with
//! the intended tree; a text whose layout the line edit does not understand, such as one in braces,
//! is written anew from its values, which loses its comments.

use serde_norway::{Mapping, Value};

use crate::error::SettingsErrors;
use crate::reader;
use crate::tree::{SettingsTree, parse};

/// File name in the faults of an edited text.
const FILE: &str = lacewingrail_model::keys::CONFIG_TREE;

/// Sets whether a failure domain is out and returns the changed text.
///
/// # Errors
/// Reports the faults of the text, or that the failure domain does not exist.
pub fn set_domain_out(text: &str, domain: &str, out: bool) -> Result<String, SettingsErrors> {
    let mut wanted = parse(text, FILE)?;
    let found = wanted.regions.iter_mut().find_map(|(region, settings)| {
        settings.domains.get_mut(domain).map(|settings| (region.clone(), settings))
    });
    let Some((region, settings)) = found else {
        return Err(SettingsErrors::whole(
            FILE,
            format!("failure domain \"{domain}\" does not exist"),
            "name one that `lacewingrail domain list` shows",
        ));
    };
    if settings.out == out {
        return Ok(text.to_owned());
    }
    settings.out = out;
    let path = ["regions", region.as_str(), "domains", domain];
    if let Some(edited) = edit_lines(text, &path, out).filter(|edited| is_tree(edited, &wanted)) {
        return Ok(edited);
    }
    rewrite(text, &path, out)
}

fn is_tree(text: &str, wanted: &SettingsTree) -> bool {
    parse(text, FILE).is_ok_and(|tree| tree == *wanted)
}

/// Replaces or adds the line `out:` in the block below `path`.
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
        indent = lines[start..end].iter().find(|line| is_content(line)).map(|line| indent_of(line));
        if indent.is_some_and(|child| child <= parent) {
            return None;
        }
    }
    let indent = indent?;
    let line_end = if lines[start - 1].ends_with("\r\n") { "\r\n" } else { "\n" };
    match find_key(&lines[start..end], "out", Some(indent)) {
        Some(found) => {
            let line = &mut lines[start + found];
            let comment = line.find(" #").map(|place| line[place..].trim_end().to_owned());
            let comment = comment.unwrap_or_default();
            *line = format!("{}out: {out}{comment}{line_end}", " ".repeat(indent));
        }
        None => lines.insert(start, format!("{}out: {out}{line_end}", " ".repeat(indent))),
    }
    Some(lines.concat())
}

/// Finds the line of a key; at the top level the first content line sets the indentation.
fn find_key(lines: &[String], name: &str, indent: Option<usize>) -> Option<usize> {
    let indent = match indent {
        Some(indent) => indent,
        None => lines.iter().find(|line| is_content(line)).map(|line| indent_of(line))?,
    };
    lines.iter().position(|line| {
        let key = line.trim_start().split(':').next().unwrap_or_default();
        let key = key.trim().trim_matches(['"', '\'']);
        is_content(line) && indent_of(line) == indent && line.contains(':') && key == name
    })
}

/// Returns the number of lines before the first that is not indented deeper than `parent`.
fn block_end(lines: &[String], parent: usize) -> usize {
    lines
        .iter()
        .position(|line| is_content(line) && indent_of(line) <= parent)
        .unwrap_or(lines.len())
}

fn is_content(line: &str) -> bool {
    let text = line.trim();
    !text.is_empty() && !text.starts_with('#') && text != "---"
}

fn indent_of(line: &str) -> usize {
    line.len() - line.trim_start_matches(' ').len()
}

fn rewrite(text: &str, path: &[&str], out: bool) -> Result<String, SettingsErrors> {
    let mut value = reader::read_text(text, FILE)?;
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
        SettingsErrors::whole(
            FILE,
            format!("the changed tree cannot be written ({error})"),
            "change the value with `lacewingrail config put`",
        )
    })
}
