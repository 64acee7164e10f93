//! Runs the demonstration in one process: `cargo run --release -p lacewingrail-dev`.

use std::fs::File;
use std::io::sink;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use lacewingrail_dev::demonstration::Demonstration;
use lacewingrail_dev::demonstration::plan::DemonstrationPlan;
use lacewingrail_dev::environment::StandinEnvironment;
use lacewingrail_dev::report::{print_line, print_progress};
use lacewingrail_dev::system::{DevSystem, ListenAddresses};
use lacewingrail_settings::StoredTree;
use lacewingrail_telemetry::JsonLogger;
use log::LevelFilter;
use simplelog::CombinedLogger;
use tokio::signal::unix::{SignalKind, signal};

const HELP: &str = "\
Demonstrates the system in one process, with stand-ins for all external systems.

Usage: lacewingrail-dev [options]

Options:
  --settings FILE   Settings tree (default: examples/om-north.yaml)
  --seed N          Seed of speeds, service times and requests (default: random, printed)
  --log FILE        Writes JSON log lines to a file
  --keep            Starts the system and keeps it running until Ctrl-C, for use with the
                    command line tool lacewingrail
  --callers ADDRESS Address for callers with --keep (default: 127.0.0.1:8080)
  --admin ADDRESS   Address of the administration API with --keep (default: 127.0.0.1:8090)
  --help            Prints this help

The exit code is 1 if an expectation does not hold, and 2 if the system cannot start.
";
/// Exit code if the options are invalid or the system cannot start.
const EXIT_START_FAILED: u8 = 2;
/// Path of the settings tree that is used and printed without `--settings`.
const DEFAULT_TREE_PATH: &str = "examples/om-north.yaml";
/// Text of that tree, compiled in so that the program runs in any directory.
const DEFAULT_TREE: &str = include_str!("../../../examples/om-north.yaml");

/// Command line options.
struct DevOptions {
    /// Path of the settings tree; `None` selects the built-in one.
    settings: Option<PathBuf>,
    seed: u64,
    /// Path of the log file; `None` turns logging off.
    log: Option<PathBuf>,
    /// Whether the system serves until it is interrupted, without a demonstration.
    keep_running: bool,
    /// Listen addresses of the first instance.
    addresses: ListenAddresses,
}

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print_line(HELP.trim_end());
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
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

fn read_options(mut arguments: pico_args::Arguments) -> Result<DevOptions, String> {
    let add_help_hint = |error: pico_args::Error| format!("{error}; see --help");
    let settings = arguments.opt_value_from_str("--settings").map_err(add_help_hint)?;
    let seed = arguments.opt_value_from_str("--seed").map_err(add_help_hint)?;
    let log = arguments.opt_value_from_str("--log").map_err(add_help_hint)?;
    let callers = arguments.opt_value_from_str("--callers").map_err(add_help_hint)?;
    let admin = arguments.opt_value_from_str("--admin").map_err(add_help_hint)?;
    let keep_running = arguments.contains("--keep");
    if let [unknown, ..] = arguments.finish().as_slice() {
        return Err(format!("the argument {unknown:?} is unknown; see --help"));
    }
    let addresses = if keep_running {
        ListenAddresses {
            callers: callers.unwrap_or_else(|| "127.0.0.1:8080".to_owned()),
            admin: admin.unwrap_or_else(|| "127.0.0.1:8090".to_owned()),
        }
    } else {
        ListenAddresses::default()
    };
    Ok(DevOptions {
        settings,
        seed: seed.unwrap_or_else(rand::random),
        log,
        keep_running,
        addresses,
    })
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

/// Runs the demonstration, or the system itself with `--keep`, until it ends or is interrupted.
///
/// Returns whether the process exits with success: all expectations hold, or a system started with
/// `--keep` was interrupted.
async fn run(options: DevOptions) -> Result<bool, String> {
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|error| error.to_string())?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    let stop_signal = async {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
    };
    tokio::select! {
        outcome = run_system(&options) => outcome,
        () = stop_signal => {
            print_progress("stopped; all processes end");
            // With `--keep`, an interrupt is the normal way to stop; an interrupted demonstration
            // has not checked all its expectations.
            Ok(options.keep_running)
        }
    }
}

/// Starts the stand-ins and the system, then runs the demonstration, or serves with `--keep`.
async fn run_system(options: &DevOptions) -> Result<bool, String> {
    let (path, tree) = match &options.settings {
        Some(path) => {
            let name = path.display().to_string();
            let tree = std::fs::read_to_string(path)
                .map_err(|error| format!("{name} cannot be read ({error}); check --settings"))?;
            (name, tree)
        }
        None => (DEFAULT_TREE_PATH.to_owned(), DEFAULT_TREE.to_owned()),
    };
    let stored = StoredTree::first(&tree, "dev", String::new());
    let view = stored.and_then(|stored| stored.view()).map_err(|error| error.to_string())?;
    let plan = DemonstrationPlan::choose(&view).ok_or_else(|| {
        format!("{path} has no guarantee of several members in one rack, or only one customer")
    })?;
    print_progress(format!("settings {path}, seed {}", options.seed));
    let environment =
        StandinEnvironment::start(&view, options.seed).await.map_err(|error| error.to_string())?;
    let counts = environment.worker_counts();
    let domains: Vec<String> =
        counts.iter().map(|(domain, workers)| format!("{domain} {workers}")).collect();
    print_progress(format!(
        "stand-ins: key-value service, instance list, {} workers ({}), {} backend servers",
        counts.values().sum::<usize>(),
        domains.join(", "),
        environment.backends.len()
    ));
    let system = DevSystem::start(&environment, &view, &tree, &options.addresses)
        .await
        .map_err(|error| error.to_string())?;
    print_progress(format!(
        "system: {} instances, each an entry and a scheduler process; every failure domain has an \
         active scheduler",
        system.instances.len()
    ));
    if options.keep_running {
        return serve(&environment, &system).await;
    }
    let table = Demonstration::new(&environment, &system, plan)
        .run(options.seed)
        .await
        .map_err(|error| format!("the administration API failed: {error}"))?;
    table.print();
    let verdict = if table.holds() { "all expectations hold" } else { "an expectation FAILED" };
    print_line("");
    print_line(&format!("{verdict}; seed {}", options.seed));
    Ok(table.holds())
}

/// Prints the addresses of the running system and never returns.
async fn serve(environment: &StandinEnvironment, system: &DevSystem) -> Result<bool, String> {
    for instance in &system.instances {
        print_line(&format!(
            "  {} in {}: callers {}, administration {}",
            instance.name, instance.domain, instance.caller_url, instance.admin_url
        ));
    }
    let first = &system.instances[0];
    print_line(&format!("  key-value service {}", environment.store.url()));
    print_line(&format!("  workers {}", environment.workers.url()));
    print_line(&format!("  control of the fault proxy {}", environment.proxy_control.url()));
    print_line("");
    print_line(&format!(
        "status page: {}/ (user operator, password dev-operator)",
        first.admin_url
    ));
    print_line("command line, in another terminal:");
    print_line(&format!("  export LACEWINGRAIL_SERVERS={}", first.admin_url));
    print_line("  export LACEWINGRAIL_TOKEN=dev-operator");
    print_line("  cargo run --release -q -p lacewingrail-ctl -- status");
    print_line("Ctrl-C ends the system");
    std::future::pending::<()>().await;
    Ok(true)
}
