//! Runs the fault proxy with its HTTP control interface.

use lacewingrail_standins::fault_proxy::control::spawn_control;
use lacewingrail_standins::{FaultProxy, LinkSpec, cli};
use pico_args::Arguments;

#[tokio::main]
async fn main() -> Result<(), cli::CliError> {
    let mut arguments = Arguments::from_env();
    let listen = cli::option(&mut arguments, "--control", "127.0.0.1:7040".to_owned())?;
    let seed = cli::seed(&mut arguments)?;
    let links: Vec<String> = arguments.values_from_str("--link")?;
    cli::refuse_unknown(arguments)?;
    let proxy = FaultProxy::new(seed);
    for link in links {
        proxy.add_link(parse_link(&link)?).await?;
    }
    let control = spawn_control(&listen, proxy).await?;
    cli::announce_and_wait("proxy", &control.url(), seed).await
}

/// Parses a link of the form `name,from,to,listen,target`.
fn parse_link(link: &str) -> Result<LinkSpec, cli::CliError> {
    let fields: Vec<&str> = link.split(',').collect();
    let [name, from, to, listen, target] = fields[..] else {
        return Err(format!("link {link:?} must have the form name,from,to,listen,target").into());
    };
    Ok(LinkSpec { listen: listen.into(), ..LinkSpec::new(name, from, to, target) })
}
