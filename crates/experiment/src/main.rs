//! Load and measurement tool.
//!
//! It drives the real decision code and the real processes against the stand-ins of this repository.
//! Each command prints a readable table and writes JSON; seeds are printed.

mod capacity;
mod harness;
mod report;
mod slope;

use std::path::PathBuf;
use std::process::ExitCode;

const USAGE: &str = "\
usage: lacewingrail-experiment COMMAND [OPTIONS]

commands:
  capacity   measure slopes of every role, write JSON, tables and plots
             --out DIR (default docs/capacity), --only NAME (one of scheduler, entry,
             membership, settings, placement, bursts), --seconds N for each point (default 15)

example:
  cargo run --release -p lacewingrail-experiment -- capacity --out docs/capacity";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lacewingrail-experiment: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        println!("{USAGE}");
        return Ok(());
    }
    let command = arguments.subcommand().map_err(|error| error.to_string())?;
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    match command.as_deref() {
        Some("capacity") => {
            let options = capacity::CapacityOptions {
                out: read(&mut arguments, "--out")?
                    .unwrap_or_else(|| PathBuf::from("docs/capacity")),
                only: read(&mut arguments, "--only")?,
                seconds: read(&mut arguments, "--seconds")?.unwrap_or(15),
            };
            refuse_rest(arguments)?;
            runtime.block_on(capacity::run(&options))
        }
        Some(other) => Err(format!("the command {other:?} is unknown\n{USAGE}")),
        None => Err(format!("a command is missing\n{USAGE}")),
    }
}

fn read<T>(arguments: &mut pico_args::Arguments, key: &'static str) -> Result<Option<T>, String>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    arguments.opt_value_from_str(key).map_err(|error| format!("{error}\n{USAGE}"))
}

fn refuse_rest(arguments: pico_args::Arguments) -> Result<(), String> {
    match arguments.finish().as_slice() {
        [] => Ok(()),
        [unknown, ..] => Err(format!("the argument {unknown:?} is unknown\n{USAGE}")),
    }
}
