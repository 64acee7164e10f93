//! Plays a case of the review against the programs of the deploy file.
//!
//! Usage: `standin CASE RECORD`, from the top of the repository. The exit code is 1 if the rule was
//! broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` in the environment the
//! same is done without the disruption.

mod base64;
mod cases;
mod deployment;
mod http;
mod json;
mod record;
mod runner;
mod store;

use std::path::Path;
use std::process::ExitCode;

use crate::cases::Verdict;
use crate::record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = !std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let record = match Record::create(Path::new(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    record.note(format!("case {case}, with the disruption: {trouble}"));
    let verdict = cases::play(case, &record, trouble);
    let (code, text) = match verdict {
        Ok(Verdict::Held) => (0, "the rule held".to_owned()),
        Ok(Verdict::Broken(what)) => (1, format!("the rule is broken: {what}")),
        Err(error) => (2, format!("the case could not run: {error}")),
    };
    record.note(&text);
    println!("{text}");
    ExitCode::from(code)
}
