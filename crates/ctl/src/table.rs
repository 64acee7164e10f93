//! Output of results as tables or JSON.

use std::io::Write;

use serde::Serialize;

use crate::options::OutputFormat;

/// Printer of results in the selected format, and of notes to the standard error.
pub(crate) struct Printer<'a> {
    out: &'a mut dyn Write,
    err: &'a mut dyn Write,
    format: OutputFormat,
}

impl<'a> Printer<'a> {
    pub(crate) fn new(
        out: &'a mut dyn Write,
        err: &'a mut dyn Write,
        format: OutputFormat,
    ) -> Self {
        Self { out, err, format }
    }

    /// Prints a record as JSON, or as the text that `render` returns.
    pub(crate) fn print<T, F>(&mut self, record: &T, render: F)
    where
        T: Serialize,
        F: FnOnce(&T) -> String,
    {
        let text = match self.format {
            OutputFormat::Table => render(record),
            OutputFormat::Json => match serde_json::to_string_pretty(record) {
                Ok(text) => text + "\n",
                Err(error) => format!("{{\"error\":\"{error}\"}}\n"),
            },
        };
        self.print_text(&text);
    }

    /// Prints a text to the standard output.
    pub(crate) fn print_text(&mut self, text: &str) {
        // A reader that closes the pipe early, such as `head`, is not an error.
        let _ = self.out.write_all(text.as_bytes());
        let _ = self.out.flush();
    }

    /// Prints a note, which is not part of the result, to the standard error.
    pub(crate) fn print_note(&mut self, text: &str) {
        let _ = writeln!(self.err, "{}", replace_control_chars_in_lines(text));
    }
}

/// Renders a table with aligned columns; control characters in cells are replaced by `?`.
pub(crate) fn render_table(headers: &[&str], rows: &[Vec<String>]) -> String {
    let rows: Vec<Vec<String>> = rows
        .iter()
        .map(|row| row.iter().map(|cell| replace_control_chars(cell)).collect())
        .collect();
    let widths: Vec<usize> = headers
        .iter()
        .enumerate()
        .map(|(index, name)| {
            let cells = rows.iter().filter_map(|row| row.get(index));
            cells.map(|cell| cell.chars().count()).chain([name.len()]).max().unwrap_or(0)
        })
        .collect();
    let mut text = String::new();
    let headers: Vec<String> = headers.iter().map(|name| (*name).to_owned()).collect();
    for row in std::iter::once(&headers).chain(&rows) {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            line.push_str(cell);
            line.extend(std::iter::repeat_n(' ', width + 2 - cell.chars().count().min(*width)));
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

/// Replaces control characters by `?`, because names could contain terminal escape sequences.
pub(crate) fn replace_control_chars(text: &str) -> String {
    text.chars().map(|character| if character.is_control() { '?' } else { character }).collect()
}

/// Replaces control characters by `?` except for line feeds.
pub(crate) fn replace_control_chars_in_lines(text: &str) -> String {
    text.split('\n').map(replace_control_chars).collect::<Vec<_>>().join("\n")
}

/// Formats a Unix time in milliseconds as RFC 3339, or `-` if it is absent or out of range.
pub(crate) fn format_time(millis: Option<u64>) -> String {
    let Some(millis) = millis else { return "-".to_owned() };
    let time = std::time::UNIX_EPOCH.checked_add(std::time::Duration::from_millis(millis));
    // The formatter supports years up to 9999.
    const MAX_UNIX_MILLIS: u64 = 253_402_300_799_000;
    match time.filter(|_| millis <= MAX_UNIX_MILLIS) {
        Some(time) => humantime::format_rfc3339_seconds(time).to_string(),
        None => "-".to_owned(),
    }
}
