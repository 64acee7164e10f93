//! Runs stand-ins of many workers in one process.

use lacewingrail_standins::cli;
use lacewingrail_standins::worker_fleet::{FleetLayout, FleetSettings, WorkerFleet};
use pico_args::Arguments;

#[tokio::main]
async fn main() -> Result<(), cli::CliError> {
    let mut arguments = Arguments::from_env();
    let listen = cli::option(&mut arguments, "--listen", "127.0.0.1:7020".to_owned())?;
    let seed = cli::seed(&mut arguments)?;
    let layout = FleetLayout {
        domain: String::new(),
        workers: cli::option(&mut arguments, "--workers", 13)?,
        per_rack: cli::option(&mut arguments, "--per-rack", 6)?,
        accelerators: cli::option(&mut arguments, "--accelerators", 8)?,
        cores: cli::option(&mut arguments, "--cores", 64)?,
        memory_mb: cli::option(&mut arguments, "--memory-mb", 128_000)?,
    };
    let settings = FleetSettings {
        lag_ms: cli::option(&mut arguments, "--lag-ms", 1_000)?,
        speed_spread: cli::option(&mut arguments, "--speed-spread", 0.0)?,
        seed,
    };
    let register: Option<String> = arguments.opt_value_from_str("--register")?;
    let mut domains: Vec<String> = arguments.values_from_str("--domain")?;
    cli::refuse_unknown(arguments)?;
    if domains.is_empty() {
        domains.push("domain-1".into());
    }
    let specs = domains
        .into_iter()
        .flat_map(|domain| FleetLayout { domain, ..layout.clone() }.specs())
        .collect();
    let fleet = WorkerFleet::spawn(&listen, specs, settings).await?;
    if let Some(list_url) = register {
        let client = reqwest::Client::new();
        let request = client.post(format!("{list_url}/v1/workers")).json(&fleet.specs());
        request.send().await?.error_for_status()?;
    }
    cli::announce_and_wait("workers", &fleet.url(), seed).await
}
