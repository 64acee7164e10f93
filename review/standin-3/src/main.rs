//! Stand-ins and drivers of the third review's scripts.
//!
//! Usage: review-standin-3 CASE ROOT RECORD. The exit code is 1 if the rule was broken, 0 if it held
//! and 2 if the case could not run. With `TROUBLE=0` in the environment, the disruption is left out.

mod cases;
mod deployment;
mod http;
mod json;
mod record;
mod store;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use crate::deployment::{Deployment, Verdict};
use crate::record::Record;

/// Time after which a script gives up.
const LONGEST_RUN: Duration = Duration::from_secs(112);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, root, output] = arguments.as_slice() else {
        eprintln!("usage: review-standin-3 CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    let late = record.clone();
    let late_output = output.clone();
    std::thread::spawn(move || {
        std::thread::sleep(LONGEST_RUN);
        deployment::end_all();
        late.add("not run: the script takes too long");
        let _ = late.write(&late_output);
        std::process::exit(2);
    });
    let verdict = run(name, PathBuf::from(root), &record, trouble);
    let (code, line) = match verdict {
        Verdict::Held => (0, "held".to_owned()),
        Verdict::Broken(what) => (1, format!("broken: {what}")),
        Verdict::NotRun(cause) => (2, format!("not run: {cause}")),
    };
    record.add(&line);
    println!("{line}");
    if let Err(error) = record.write(output) {
        eprintln!("cannot write {output}: {error}");
    }
    ExitCode::from(code)
}

fn run(name: &str, root: PathBuf, record: &Record, trouble: bool) -> Verdict {
    let Some(case) = cases::find(name) else {
        return Verdict::NotRun(format!("no case {name:?}"));
    };
    let folder = std::env::temp_dir().join(format!("lacewingrail-review-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&folder) {
        return Verdict::NotRun(error.to_string());
    }
    let verdict = match Deployment::start(root, folder.clone(), record.clone()) {
        Ok(mut deployment) => case(&mut deployment, trouble).unwrap_or_else(Verdict::NotRun),
        Err(error) => Verdict::NotRun(error.to_string()),
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    verdict
}
