//! Load generator and benchmark tool.
//!
//! Runs the production decision code and the service binaries against the stand-ins, which simulate
//! the external systems. Each command prints its seeds and a readable table, and writes the results
//! as JSON.

mod capacity;
mod harness;
mod lab;
mod linear_fit;
mod policies;
mod report;
mod trial;

use std::path::PathBuf;
use std::process::ExitCode;

const USAGE: &str = "\
usage: lacewingrail-experiment COMMAND [OPTIONS]

commands:
  capacity   measure the cost of each role by size, write JSON, tables and plots
             --out DIR (default docs/capacity), --only NAME (one of scheduler, entry,
             membership, settings, placement, bursts), --seconds N per point (default 15)
  jobs       compare the placement policies shape, count and fifo under bursts of jobs
  domains    compare the policies for a failure domain that is disabled and re-enabled
             both: --user om-north|jawa, --seeds N (default 5), --first-seed N (default 1),
             --parallel N concurrent runs (default 5), --seconds N of load (default 40),
             --only TEXT to run configurations whose name contains it,
             --out DIR (default docs/experiments)
  lab        compare queue orders on the planner, in simulated time
             --sheet FILE (such as examples/loads/om-north.yaml), --factors LIST (default 1,2,3),
             --orders LIST (default value,arrival,deadline,density), --seeds N (default 5),
             --first-seed N (default 1), --parallel N (default 4),
             --seconds N of arrivals (default 40), --out DIR (default docs/experiments)

example:
  cargo run --release -p lacewingrail-experiment -- capacity --out docs/capacity
  cargo run --release -p lacewingrail-experiment -- jobs --user om-north --seeds 5";

/// Runtime threads of the policy comparisons; 6 threads use at most 60% of a 10-core machine.
const POLICY_THREADS: usize = 6;

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
    match command.as_deref() {
        Some("capacity") => {
            let options = capacity::CapacityOptions {
                output_dir: parse_option(&mut arguments, "--out")?
                    .unwrap_or_else(|| PathBuf::from("docs/capacity")),
                only: parse_option(&mut arguments, "--only")?,
                point_seconds: parse_option(&mut arguments, "--seconds")?.unwrap_or(15),
            };
            reject_unused(arguments)?;
            let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
            runtime.block_on(capacity::run(&options))
        }
        Some(name @ ("jobs" | "domains")) => {
            let options = policies::PolicyOptions {
                user: parse_option(&mut arguments, "--user")?.ok_or("--user is missing")?,
                seeds: parse_option(&mut arguments, "--seeds")?.unwrap_or(5),
                first_seed: parse_option(&mut arguments, "--first-seed")?.unwrap_or(1),
                max_parallel: parse_option(&mut arguments, "--parallel")?.unwrap_or(5),
                seconds: parse_option(&mut arguments, "--seconds")?.unwrap_or(40),
                name_filter: parse_option(&mut arguments, "--only")?.unwrap_or_default(),
                output_dir: parse_option(&mut arguments, "--out")?
                    .unwrap_or_else(|| PathBuf::from("docs/experiments")),
            };
            reject_unused(arguments)?;
            let runtime = tokio::runtime::Builder::new_multi_thread()
                .worker_threads(POLICY_THREADS)
                .enable_all()
                .build()
                .map_err(|error| error.to_string())?;
            match name {
                "jobs" => runtime.block_on(policies::run_jobs(&options)),
                _ => runtime.block_on(policies::run_domains(&options)),
            }
        }
        Some("lab") => {
            let factors: String =
                parse_option(&mut arguments, "--factors")?.unwrap_or_else(|| "1,2,3".to_owned());
            let factors = factors.split(',').map(str::parse::<f64>).collect::<Result<_, _>>();
            let orders: String = parse_option(&mut arguments, "--orders")?
                .unwrap_or_else(|| "value,arrival,deadline,density".to_owned());
            let options = lab::LabOptions {
                orders: orders.split(',').map(str::to_owned).collect(),
                sheet: parse_option(&mut arguments, "--sheet")?.ok_or("--sheet is missing")?,
                factors: factors.map_err(|error| format!("--factors: {error}\n{USAGE}"))?,
                seeds: parse_option(&mut arguments, "--seeds")?.unwrap_or(5),
                first_seed: parse_option(&mut arguments, "--first-seed")?.unwrap_or(1),
                seconds: parse_option(&mut arguments, "--seconds")?.unwrap_or(40),
                max_parallel: parse_option(&mut arguments, "--parallel")?.unwrap_or(4),
                output_dir: parse_option(&mut arguments, "--out")?
                    .unwrap_or_else(|| PathBuf::from("docs/experiments")),
            };
            reject_unused(arguments)?;
            lab::run(&options)
        }
        Some(other) => Err(format!("unknown command {other:?}\n{USAGE}")),
        None => Err(format!("missing command\n{USAGE}")),
    }
}

/// Parses the value of an option; `None` if the option is absent. Errors include the usage text.
fn parse_option<T>(
    arguments: &mut pico_args::Arguments,
    key: &'static str,
) -> Result<Option<T>, String>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    arguments.opt_value_from_str(key).map_err(|error| format!("{error}\n{USAGE}"))
}

/// Fails with the usage text if an argument is left over.
fn reject_unused(arguments: pico_args::Arguments) -> Result<(), String> {
    match arguments.finish().as_slice() {
        [] => Ok(()),
        [unknown, ..] => Err(format!("unknown argument {unknown:?}\n{USAGE}")),
    }
}
