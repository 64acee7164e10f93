//! Runs one case of the review: `review-standin CASE FOLDER RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment, the disruption is left out.

mod bed;
mod cases;
mod client;
mod judge;
mod record;
mod store;
mod worker;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use record::Record;

/// Time after which a case that has not ended counts as one that could not run.
const CASE_TIMEOUT: Duration = Duration::from_secs(112);

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, folder, output] = arguments.as_slice() else {
        eprintln!("usage: review-standin CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (folder, output) = (PathBuf::from(folder), PathBuf::from(output));
    let run = cases::run(name, &folder, trouble);
    match tokio::time::timeout(CASE_TIMEOUT, run).await {
        Ok(Ok((record, breaks))) => finish(&record, &breaks, &output, trouble),
        Ok(Err(error)) => fail(&error),
        Err(_) => fail("the case took too long"),
    }
}

fn finish(record: &Record, breaks: &[String], output: &Path, trouble: bool) -> ExitCode {
    let disruption = if trouble { "with the disruption" } else { "without the disruption" };
    record.line(format!("verdict {disruption}: {} breaks", breaks.len()));
    breaks.iter().for_each(|text| record.line(text.clone()));
    if let Err(error) = record.save(output) {
        return fail(&format!("{}: {error}", output.display()));
    }
    println!("{disruption}: {} breaks", breaks.len());
    breaks.iter().take(5).for_each(|text| println!("  {text}"));
    if breaks.is_empty() { ExitCode::SUCCESS } else { ExitCode::from(1) }
}

fn fail(cause: &str) -> ExitCode {
    eprintln!("review-standin: {cause}");
    ExitCode::from(2)
}
