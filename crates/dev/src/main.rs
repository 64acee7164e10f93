//! Shows the system at work within one process: `cargo run --release -p lacewingrail-dev`.

use std::fs::File;
use std::io::sink;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use lacewingrail_dev::demonstration::Demonstration;
use lacewingrail_dev::demonstration::plan::DemonstrationPlan;
use lacewingrail_dev::outside::OutsideWorld;
use lacewingrail_dev::report::{say, write_line};
use lacewingrail_dev::system::{DevSystem, OuterAddresses};
use lacewingrail_settings::StoredTree;
use lacewingrail_telemetry::JsonLogger;
use log::LevelFilter;
use simplelog::CombinedLogger;
use tokio::signal::unix::{SignalKind, signal};

const HELP: &str = "\
Shows the system at work: all processes and stand-ins for everything outside, in one process.

Usage: lacewingrail-dev [options]

Options:
  --settings FILE   Settings tree (default: examples/om-north.yaml)
  --seed N          Seed of speeds, service times and requests (default: drawn and printed)
  --log FILE        Writes JSON log lines to a file
  --keep            Starts the system and keeps it running until Ctrl-C, for the command line
                    lacewingrail
  --callers ADDRESS Address for callers with --keep (default: 127.0.0.1:8080)
  --admin ADDRESS   Address of the administration API with --keep (default: 127.0.0.1:8090)
  --help            Shows this text

The exit code is 1 if an expectation does not hold, and 2 if the system cannot start.
";
/// Exit code of a system that cannot start.
const EXIT_START: u8 = 2;
/// Name of the settings tree that is shown without `--settings`.
const DEFAULT_NAME: &str = "examples/om-north.yaml";
/// Text of that tree, so that the program runs in any folder.
const DEFAULT_TREE: &str = include_str!("../../../examples/om-north.yaml");

struct DevOptions {
    settings: Option<PathBuf>,
    seed: u64,
    log: Option<PathBuf>,
    keep: bool,
    outer: OuterAddresses,
}

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        write_line(HELP.trim_end());
        return ExitCode::SUCCESS;
    }
    let outcome = read_options(arguments).and_then(|options| {
        install_logger(options.log.as_deref())?;
        let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
        runtime.block_on(run(options))
    });
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(cause) => {
            eprintln!("lacewingrail-dev: {cause}");
            ExitCode::from(EXIT_START)
        }
    }
}

fn read_options(mut arguments: pico_args::Arguments) -> Result<DevOptions, String> {
    let usage = |error: pico_args::Error| format!("{error}; see --help");
    let settings = arguments.opt_value_from_str("--settings").map_err(usage)?;
    let seed = arguments.opt_value_from_str("--seed").map_err(usage)?;
    let log = arguments.opt_value_from_str("--log").map_err(usage)?;
    let callers = arguments.opt_value_from_str("--callers").map_err(usage)?;
    let admin = arguments.opt_value_from_str("--admin").map_err(usage)?;
    let keep = arguments.contains("--keep");
    if let [unknown, ..] = arguments.finish().as_slice() {
        return Err(format!("the argument {unknown:?} is unknown; see --help"));
    }
    let outer = if keep {
        OuterAddresses {
            callers: callers.unwrap_or_else(|| "127.0.0.1:8080".to_owned()),
            admin: admin.unwrap_or_else(|| "127.0.0.1:8090".to_owned()),
        }
    } else {
        OuterAddresses::default()
    };
    Ok(DevOptions { settings, seed: seed.unwrap_or_else(rand::random), log, keep, outer })
}

fn install_logger(file: Option<&Path>) -> Result<(), String> {
    let logger = match file {
        Some(path) => {
            let file = File::create(path).map_err(|error| {
                format!("the log file {} cannot be written ({error})", path.display())
            })?;
            JsonLogger::new(LevelFilter::Info, "dev", "dev", file)
        }
        None => JsonLogger::new(LevelFilter::Off, "dev", "dev", sink()),
    };
    CombinedLogger::init(vec![Box::new(logger)]).map_err(|error| error.to_string())
}

/// Runs the demonstration, or keeps the system; returns whether all expectations hold.
async fn run(options: DevOptions) -> Result<bool, String> {
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|error| error.to_string())?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    let stopped = async {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
    };
    tokio::select! {
        outcome = show(&options) => outcome,
        () = stopped => {
            say("stopped; all processes end");
            // What was asked of a kept system is done; a demonstration that is cut off shows nothing.
            Ok(options.keep)
        }
    }
}

async fn show(options: &DevOptions) -> Result<bool, String> {
    let (path, tree) = match &options.settings {
        Some(path) => {
            let name = path.display().to_string();
            let tree = std::fs::read_to_string(path)
                .map_err(|error| format!("{name} cannot be read ({error}); check --settings"))?;
            (name, tree)
        }
        None => (DEFAULT_NAME.to_owned(), DEFAULT_TREE.to_owned()),
    };
    let stored = StoredTree::first(&tree, "dev", String::new());
    let view = stored.and_then(|stored| stored.view()).map_err(|error| error.to_string())?;
    let plan = DemonstrationPlan::choose(&view).ok_or_else(|| {
        format!("{path} has no guarantee of several members in one rack, or only one customer")
    })?;
    say(format!("settings {path}, seed {}", options.seed));
    let outside =
        OutsideWorld::start(&view, options.seed).await.map_err(|error| error.to_string())?;
    let counts = outside.worker_counts();
    let domains: Vec<String> =
        counts.iter().map(|(domain, workers)| format!("{domain} {workers}")).collect();
    say(format!(
        "stand-ins: key-value service, instance list, {} workers ({}), {} backend servers",
        counts.values().sum::<usize>(),
        domains.join(", "),
        outside.backends.len()
    ));
    let system = DevSystem::start(&outside, &view, &tree, &options.outer)
        .await
        .map_err(|error| error.to_string())?;
    say(format!(
        "system: {} instances, each an entry and a scheduler process; every failure domain has an \
         active scheduler",
        system.instances.len()
    ));
    if options.keep {
        return keep(&outside, &system).await;
    }
    let table = Demonstration::new(&outside, &system, plan)
        .run(options.seed)
        .await
        .map_err(|error| format!("the administration API failed: {error}"))?;
    table.print();
    let verdict = if table.holds() { "all expectations hold" } else { "an expectation FAILED" };
    write_line("");
    write_line(&format!("{verdict}; seed {}", options.seed));
    Ok(table.holds())
}

/// Prints the addresses and waits for the end.
async fn keep(outside: &OutsideWorld, system: &DevSystem) -> Result<bool, String> {
    for instance in &system.instances {
        write_line(&format!(
            "  {} in {}: callers {}, administration {}",
            instance.name, instance.domain, instance.callers, instance.admin
        ));
    }
    let first = &system.instances[0];
    write_line(&format!("  key-value service {}", outside.store.url()));
    write_line(&format!("  workers {}", outside.workers.url()));
    write_line(&format!("  control of the fault proxy {}", outside.control.url()));
    write_line("");
    write_line(&format!("status page: {}/ (user operator, password dev-operator)", first.admin));
    write_line("command line, in another terminal:");
    write_line(&format!("  export LACEWINGRAIL_SERVERS={}", first.admin));
    write_line("  export LACEWINGRAIL_TOKEN=dev-operator");
    write_line("  cargo run --release -q -p lacewingrail-ctl -- status");
    write_line("Ctrl-C ends the system");
    std::future::pending::<()>().await;
    Ok(true)
}
