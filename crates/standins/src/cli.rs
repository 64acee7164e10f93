//! Argument parsing and life cycle of the stand-in binaries.

use std::fmt::Display;
use std::str::FromStr;

use pico_args::Arguments;
use tokio::signal::unix::{SignalKind, signal};

/// Error that ends a binary; its message is printed for the operator.
pub type CliError = Box<dyn std::error::Error + Send + Sync>;

/// Returns the value of an optional argument, or `default` if it is absent.
///
/// A value that cannot be parsed is an error.
pub fn option<T>(arguments: &mut Arguments, name: &'static str, default: T) -> Result<T, CliError>
where
    T: FromStr,
    T::Err: Display,
{
    Ok(arguments.opt_value_from_str(name)?.unwrap_or(default))
}

/// Returns an error that lists the arguments that no option has consumed, if there are any.
pub fn refuse_unknown(arguments: Arguments) -> Result<(), CliError> {
    let rest = arguments.finish();
    if rest.is_empty() {
        return Ok(());
    }
    Err(format!("unknown arguments {rest:?}; see docs/standins.md").into())
}

/// Returns the value of `--seed`, or a random seed if it is absent.
pub fn seed(arguments: &mut Arguments) -> Result<u64, CliError> {
    Ok(arguments.opt_value_from_str("--seed")?.unwrap_or_else(rand::random))
}

/// Prints the address and seed as one line of JSON and waits for SIGINT or SIGTERM.
pub async fn announce_and_wait(name: &str, url: &str, seed: u64) -> Result<(), CliError> {
    println!("{}", serde_json::json!({ "standin": name, "url": url, "seed": seed }));
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => {}
        outcome = tokio::signal::ctrl_c() => outcome?,
    }
    Ok(())
}
