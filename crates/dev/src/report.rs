//! Progress lines and the final table of checks on the standard output.

use std::io::{self, Write};
use std::time::SystemTime;

/// Expectations with their measured values, printed as a table.
#[derive(Debug, Default)]
pub struct CheckTable {
    rows: Vec<CheckRow>,
}

/// One expectation with its measured value.
#[derive(Debug)]
struct CheckRow {
    check: String,
    expected: String,
    measured: String,
    holds: bool,
}

impl CheckTable {
    /// Adds an expectation with its measured value and whether it holds.
    pub fn add(
        &mut self,
        check: impl Into<String>,
        expected: impl Into<String>,
        measured: impl Into<String>,
        holds: bool,
    ) {
        let (check, expected, measured) = (check.into(), expected.into(), measured.into());
        self.rows.push(CheckRow { check, expected, measured, holds });
    }

    /// Adds the expectation that a list of violations is empty; otherwise the measured value is
    /// their number and the first of them.
    pub fn add_violations(&mut self, check: impl Into<String>, violations: &[String]) {
        let measured = match violations {
            [] => "0".to_owned(),
            [first, ..] => format!("{}: {first}", violations.len()),
        };
        self.add(check, "0", measured, violations.is_empty());
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
        let check = width(titles[0], |row| &row.check);
        let expected = width(titles[1], |row| &row.expected);
        let measured = width(titles[2], |row| &row.measured);
        let print = |cells: [&str; 3], verdict: &str| {
            let [first, second, third] = cells;
            let line =
                format!("{first:<check$}  {second:<expected$}  {third:<measured$}  {verdict}");
            print_line(line.trim_end());
        };
        print_line("");
        print(titles, "");
        for row in &self.rows {
            let verdict = if row.holds { "ok" } else { "FAILED" };
            print([&row.check, &row.expected, &row.measured], verdict);
        }
    }
}

/// Prints a progress line with the time of day in UTC.
pub fn print_progress(text: impl AsRef<str>) {
    let time = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
    let time_of_day = time.split_once('T').map_or("", |(_, clock)| clock.trim_end_matches('Z'));
    print_line(&format!("{time_of_day}  {}", text.as_ref()));
}

/// Prints a line and ignores errors, since a pipe such as `head` may close the output early.
pub fn print_line(line: &str) {
    let _ = writeln!(io::stdout().lock(), "{line}");
}
