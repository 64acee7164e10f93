//! Runs stand-ins of one or more backend servers in one process.

use lacewingrail_standins::{BackendServer, BackendSettings, cli};
use pico_args::Arguments;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

#[tokio::main]
async fn main() -> Result<(), cli::CliError> {
    let mut arguments = Arguments::from_env();
    let base = BackendSettings::default();
    let listen = cli::option(&mut arguments, "--listen", "127.0.0.1:0".to_owned())?;
    let count = cli::option(&mut arguments, "--count", 1_usize)?;
    let seed = cli::seed(&mut arguments)?;
    let spread: f64 = cli::option(&mut arguments, "--speed-spread", 0.0)?;
    let register: Option<String> = arguments.opt_value_from_str("--register")?;
    let base = BackendSettings {
        name: cli::option(&mut arguments, "--name", base.name)?,
        service: cli::option(&mut arguments, "--service", base.service)?,
        domain: cli::option(&mut arguments, "--domain", base.domain)?,
        slots: cli::option(&mut arguments, "--slots", base.slots)?,
        queue: cli::option(&mut arguments, "--queue", base.queue)?,
        connections: cli::option(&mut arguments, "--connections", base.connections)?,
        speed: cli::option(&mut arguments, "--speed", base.speed)?,
        median_ms: cli::option(&mut arguments, "--median-ms", base.median_ms)?,
        sigma: cli::option(&mut arguments, "--sigma", base.sigma)?,
        seed,
    };
    cli::refuse_unknown(arguments)?;
    if count > 1 && !listen.ends_with(":0") {
        return Err("several servers need a free port each; --listen must end with :0".into());
    }
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut servers = Vec::new();
    for number in 0..count {
        let deviation = spread.clamp(0.0, 0.99) * (2.0 * random.random::<f64>() - 1.0);
        let name = if count == 1 { base.name.clone() } else { format!("{}-{number}", base.name) };
        let settings = BackendSettings {
            name,
            speed: base.speed * (1.0 + deviation),
            seed: random.random(),
            ..base.clone()
        };
        servers.push(BackendServer::spawn(&listen, settings).await?);
    }
    if let Some(list_url) = register {
        let entries: Vec<_> = servers.iter().map(BackendServer::entry).collect();
        let request =
            reqwest::Client::new().post(format!("{list_url}/v1/instances")).json(&entries);
        request.send().await?.error_for_status()?;
    }
    let urls: Vec<_> = servers.iter().map(BackendServer::url).collect();
    cli::announce_and_wait("backend", &urls.join(" "), seed).await
}
