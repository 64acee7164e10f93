//! Runs the stand-in of the key-value service.

use lacewingrail_standins::{StoreServer, cli};
use pico_args::Arguments;

#[tokio::main]
async fn main() -> Result<(), cli::CliError> {
    let mut arguments = Arguments::from_env();
    let listen = cli::option(&mut arguments, "--listen", "127.0.0.1:7000".to_owned())?;
    let seed = cli::seed(&mut arguments)?;
    cli::refuse_unknown(arguments)?;
    let server = StoreServer::spawn(&listen, seed).await?;
    cli::announce_and_wait("store", &server.url(), seed).await
}
