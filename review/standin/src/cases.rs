//! The cases, by name.

mod compacted_history;
mod ends_over_page;
mod overlapping_occurrences;
mod recurring_handover;

use std::path::Path;

use crate::record::Record;

/// Record of a case and the breaks of the rule that it found.
pub type Outcome = Result<(Record, Vec<String>), String>;

/// Runs a case, with or without its disruption.
pub async fn run(name: &str, folder: &Path, trouble: bool) -> Outcome {
    match name {
        "recurring-handover" => recurring_handover::run(folder, trouble).await,
        "compacted-history" => compacted_history::run(folder, trouble).await,
        "overlapping-occurrences" => overlapping_occurrences::run(folder, trouble).await,
        "ends-over-page" => ends_over_page::run(folder, trouble).await,
        _ => Err(format!("no case {name:?}")),
    }
}
