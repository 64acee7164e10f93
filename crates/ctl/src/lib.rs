//! The command line tool `lacewingrail` for operators.
//!
//! Each command makes a few calls to the administration API. Results go to the standard output as a
//! table or as JSON, errors and their remedies to the standard error, and scripts can read the
//! outcome from the exit code. If a server fails, commands that are safe to retry use the next one.

mod client;
mod config;
mod doctor;
mod domain;
mod error;
mod help;
mod job;
mod options;
mod status;
mod table;

use std::ffi::OsString;
use std::io::Write;

use pico_args::Arguments;

use crate::client::ApiClient;
use crate::error::CtlError;
use crate::options::{CommonOptions, Environment};
use crate::table::Printer;

/// Exit code if the command succeeded.
pub const EXIT_OK: u8 = 0;
/// Exit code if the request was rejected, a check failed or a watched job did not succeed.
pub const EXIT_REFUSED: u8 = 1;
/// Exit code if the command line is invalid.
pub const EXIT_USAGE: u8 = 2;
/// Exit code if no server completed the command or the outcome is unknown.
pub const EXIT_UNREACHABLE: u8 = 3;
/// Exit code if a concurrent change took effect first.
pub const EXIT_CONFLICT: u8 = 4;

/// Runs one command and returns its exit code.
///
/// `args` excludes the program name. Results are written to `out`, errors and notes to `err`.
pub async fn run(
    args: Vec<OsString>,
    environment: &Environment<'_>,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> u8 {
    match dispatch(args, environment, out, err).await {
        Ok(code) => code,
        Err(error) => {
            // If the standard error is closed, there is nowhere to report to.
            let _ = writeln!(err, "{}", table::replace_control_chars_in_lines(&error.to_string()));
            error.exit_code()
        }
    }
}

async fn dispatch(
    args: Vec<OsString>,
    environment: &Environment<'_>,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> Result<u8, CtlError> {
    let (args, job_command) = split_job_command(args);
    let mut args = Arguments::from_vec(args);
    let help_flag = args.contains(["-h", "--help"]);
    if args.contains(["-V", "--version"]) {
        let _ = writeln!(out, "lacewingrail {}", env!("CARGO_PKG_VERSION"));
        return Ok(EXIT_OK);
    }
    let options = CommonOptions::parse(&mut args, environment)?;
    let command = args.subcommand()?.unwrap_or_default();
    let help_requested = help_flag || command == "help";
    if help_requested || command.is_empty() {
        let topic =
            if command == "help" { args.subcommand()?.unwrap_or_default() } else { command };
        let _ = out.write_all(help::help_text(&topic).as_bytes());
        return Ok(if help_requested { EXIT_OK } else { EXIT_USAGE });
    }
    let mut printer = Printer::new(out, err, options.output);
    let client = ApiClient::new(options)?;
    if command != "job" && !job_command.is_empty() {
        return Err(CtlError::usage(
            "\"--\" is allowed only in \"job submit\", before the command of the job",
        ));
    }
    match command.as_str() {
        "config" => config::run(args, &client, &mut printer).await,
        "job" => job::run(args, job_command, &client, &mut printer).await,
        "domain" => domain::run(args, &client, &mut printer).await,
        "worker" => status::run_workers(args, &client, &mut printer).await,
        "guarantee" => status::run_guarantees(args, &client, &mut printer).await,
        "status" => status::run(args, &client, &mut printer).await,
        "doctor" => doctor::run(args, &client, &mut printer).await,
        other => Err(CtlError::usage(format!("the command \"{other}\" does not exist"))),
    }
}

/// Splits off the arguments after `--`, which are the command of a job.
fn split_job_command(mut args: Vec<OsString>) -> (Vec<OsString>, Vec<OsString>) {
    match args.iter().position(|argument| argument == "--") {
        Some(position) => {
            let job_command = args.split_off(position).split_off(1);
            (args, job_command)
        }
        None => (args, Vec::new()),
    }
}

/// Returns a usage error if unparsed arguments are left.
pub(crate) fn expect_no_more_args(args: Arguments) -> Result<(), CtlError> {
    match args.finish().first() {
        None => Ok(()),
        Some(argument) => Err(CtlError::usage(format!(
            "the argument \"{}\" is unexpected",
            argument.to_string_lossy()
        ))),
    }
}

/// Parses a required positional argument, which the error calls `name` if it is missing.
pub(crate) fn required_argument(args: &mut Arguments, name: &str) -> Result<String, CtlError> {
    let argument = args.opt_free_from_str::<String>()?;
    argument.ok_or_else(|| CtlError::usage(format!("the argument {name} is missing")))
}
