//! Command line of the entry process: reads the settings, serves until SIGTERM or SIGINT, then
//! drains.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use lacewingrail_clients::{HttpInstanceList, HttpStore};
use lacewingrail_entry::{EntryProcess, EntrySettings};
use lacewingrail_model::timer::TimerService;
use lacewingrail_settings::ProcessSettings;
use lacewingrail_telemetry::JsonLogger;
use lacewingrail_telemetry::spans::SpanPipeline;
use tokio::signal::unix::{SignalKind, signal};

const USAGE: &str = "usage: lacewingrail-entry --settings FILE";

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lacewingrail-entry: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        println!("{USAGE}");
        return Ok(());
    }
    let file: PathBuf =
        arguments.value_from_str("--settings").map_err(|error| format!("{error}; {USAGE}"))?;
    if let [unknown, ..] = arguments.finish().as_slice() {
        return Err(format!("unknown argument {unknown:?}; {USAGE}"));
    }
    let settings = ProcessSettings::load(&file).map_err(|errors| errors.to_string())?;
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    runtime.block_on(serve(settings))
}

/// Runs the entry process until SIGTERM or SIGINT, then shuts it down gracefully.
async fn serve(settings: ProcessSettings) -> Result<(), String> {
    let level = settings.log_level.as_str().parse().unwrap_or(log::LevelFilter::Info);
    JsonLogger::install(level, "entry", &settings.name).map_err(|error| error.to_string())?;
    let export_spans = settings.otlp.is_some() || level >= log::LevelFilter::Debug;
    let _spans = match export_spans {
        true => Some(SpanPipeline::install("lacewingrail-entry", settings.otlp.as_deref())?),
        false => None,
    };
    let entry_settings =
        EntrySettings::from_process(&settings).map_err(|errors| errors.to_string())?;
    let store = Arc::new(HttpStore::new(&settings.store));
    let list = Arc::new(HttpInstanceList::new(&settings.instances));
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|error| error.to_string())?;
    let handle = EntryProcess::start(entry_settings, store, list, TimerService::new())
        .await
        .map_err(|error| error.to_string())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    handle.shut_down().await;
    Ok(())
}
