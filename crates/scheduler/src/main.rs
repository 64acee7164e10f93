//! The scheduler binary: `lacewingrail-scheduler --settings FILE`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use lacewingrail_clients::{HttpInstanceList, HttpStore, HttpWorkerClient};
use lacewingrail_model::timer::TimerService;
use lacewingrail_scheduler::SchedulerProcess;
use lacewingrail_settings::ProcessSettings;
use lacewingrail_telemetry::JsonLogger;
use lacewingrail_telemetry::spans::SpanPipeline;
use tokio::signal::unix::{SignalKind, signal};

const HELP: &str = "\
Schedules jobs and serves the administration API.

Usage: lacewingrail-scheduler --settings FILE

Options:
  --settings FILE  Settings of the process, see docs/settings.md
  --help           Shows this text
";

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let file: PathBuf = match arguments.value_from_str("--settings") {
        Ok(file) => file,
        Err(error) => return fail(&format!("{error}; see --help")),
    };
    let rest = arguments.finish();
    if !rest.is_empty() {
        return fail(&format!("unknown arguments {rest:?}; see --help"));
    }
    let settings = match ProcessSettings::load(&file) {
        Ok(settings) => settings,
        Err(error) => return fail(&error.to_string()),
    };
    let level = settings.log_level.as_str().parse().unwrap_or(log::LevelFilter::Info);
    if let Err(error) = JsonLogger::install(level, "scheduler", &settings.name) {
        return fail(&format!("cannot install the logger: {error}"));
    }
    // Two threads suffice: a placement decision takes a few milliseconds, and all other work is
    // I/O.
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .max_blocking_threads(4)
        .enable_all()
        .build();
    match runtime {
        Ok(runtime) => runtime.block_on(run(settings)),
        Err(error) => fail(&format!("cannot start the runtime: {error}")),
    }
}

async fn run(settings: ProcessSettings) -> ExitCode {
    let _spans = match SpanPipeline::install("scheduler", settings.otlp.as_deref()) {
        Ok(spans) => spans,
        Err(error) => return fail(&error),
    };
    let store = Arc::new(HttpStore::new(&settings.store));
    let list = Arc::new(HttpInstanceList::new(&settings.instances));
    let workers = Arc::new(HttpWorkerClient::new());
    let (mut terminate, mut interrupt) =
        match (signal(SignalKind::terminate()), signal(SignalKind::interrupt())) {
            (Ok(terminate), Ok(interrupt)) => (terminate, interrupt),
            _ => return fail("cannot listen for signals"),
        };
    let started =
        SchedulerProcess::start(settings, store, workers, list, TimerService::new()).await;
    let process = match started {
        Ok(process) => process,
        Err(error) => return fail(&error.to_string()),
    };
    log::info!(
        "peers reach this process on {}, operators on {:?}",
        process.peer_address(),
        process.admin_address()
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("shutting down");
    process.shut_down().await;
    ExitCode::SUCCESS
}

fn fail(cause: &str) -> ExitCode {
    eprintln!("lacewingrail-scheduler: {cause}");
    ExitCode::FAILURE
}
