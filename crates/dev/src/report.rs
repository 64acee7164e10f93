//! Progress lines and the final table.

use std::io::{self, Write};
use std::time::SystemTime;

/// Collects expectations and prints them as a table.
#[derive(Debug, Default)]
pub struct CheckTable {
    rows: Vec<CheckRow>,
}

#[derive(Debug)]
struct CheckRow {
    what: String,
    expected: String,
    measured: String,
    holds: bool,
}

impl CheckTable {
    /// Adds an expectation with its measured value.
    pub fn add(
        &mut self,
        what: impl Into<String>,
        expected: impl Into<String>,
        measured: impl Into<String>,
        holds: bool,
    ) {
        let (what, expected, measured) = (what.into(), expected.into(), measured.into());
        self.rows.push(CheckRow { what, expected, measured, holds });
    }

    /// Adds the expectation that a list of breaches is empty.
    pub fn add_breaches(&mut self, what: impl Into<String>, breaches: &[String]) {
        let measured = match breaches {
            [] => "0".to_owned(),
            [first, ..] => format!("{}: {first}", breaches.len()),
        };
        self.add(what, "0", measured, breaches.is_empty());
    }

    /// Returns whether every expectation holds.
    pub fn holds(&self) -> bool {
        self.rows.iter().all(|row| row.holds)
    }

    /// Prints the table to the standard output.
    pub fn print(&self) {
        let titles = ["check", "expected", "measured"];
        let width = |title: &str, column: fn(&CheckRow) -> &str| {
            let widths = self.rows.iter().map(|row| column(row).chars().count());
            widths.chain([title.len()]).max().unwrap_or_default()
        };
        let what = width(titles[0], |row| &row.what);
        let expected = width(titles[1], |row| &row.expected);
        let measured = width(titles[2], |row| &row.measured);
        let print = |cells: [&str; 3], verdict: &str| {
            let [first, second, third] = cells;
            let line =
                format!("{first:<what$}  {second:<expected$}  {third:<measured$}  {verdict}");
            write_line(line.trim_end());
        };
        write_line("");
        print(titles, "");
        for row in &self.rows {
            let verdict = if row.holds { "ok" } else { "FAILED" };
            print([&row.what, &row.expected, &row.measured], verdict);
        }
    }
}

/// Prints a progress line with the time of day in UTC.
pub fn say(text: impl AsRef<str>) {
    let time = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
    let clock = time.split_once('T').map_or("", |(_, clock)| clock.trim_end_matches('Z'));
    write_line(&format!("{clock}  {}", text.as_ref()));
}

/// Prints a line; a closed output, such as a pipe to `head`, is no fault.
pub fn write_line(line: &str) {
    let _ = writeln!(io::stdout().lock(), "{line}");
}
