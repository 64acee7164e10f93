//! Runs the stand-in of the instance list.

use lacewingrail_standins::instance_server::ListFaults;
use lacewingrail_standins::{InstanceListServer, cli};
use pico_args::Arguments;

#[tokio::main]
async fn main() -> Result<(), cli::CliError> {
    let mut arguments = Arguments::from_env();
    let listen = cli::option(&mut arguments, "--listen", "127.0.0.1:7010".to_owned())?;
    let lag_ms = cli::option(&mut arguments, "--lag-ms", 0)?;
    cli::refuse_unknown(arguments)?;
    let server = InstanceListServer::spawn(&listen).await?;
    server.set_faults(ListFaults { lag_ms, ..ListFaults::default() });
    // The list uses no randomness; the seed keeps the output format that all stand-ins share.
    cli::announce_and_wait("instances", &server.url(), 0).await
}
