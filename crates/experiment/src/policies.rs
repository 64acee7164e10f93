//! The `jobs` and `domains` commands: compare policies over several seeds.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use futures::StreamExt;
use lacewingrail_model::config::{DomainOutAction, PlacementChoice};
use serde::Serialize;

use crate::report;
use crate::trial::faults::{DisableFault, DisablePlan};
use crate::trial::figures::{self, FigureSet};
use crate::trial::summary::{ConfigurationFigures, summary_table};
use crate::trial::user::UserName;
use crate::trial::{TrialPlan, disabled_domain, runner, serialized_name};

/// Time from the start of the load until the domain is disabled.
const DISABLE_OFFSET: Duration = Duration::from_secs(12);
/// Time from disabling the domain until it is re-enabled.
const DISABLED_DURATION: Duration = Duration::from_secs(15);

/// Options of the `jobs` and `domains` commands.
pub struct PolicyOptions {
    /// The user whose region is simulated.
    pub user: UserName,
    /// The number of consecutive seeds.
    pub seeds: u64,
    /// The first seed.
    pub first_seed: u64,
    /// The maximum number of trials at the same time; 0 counts as 1.
    pub max_parallel: usize,
    /// The time during which jobs arrive, in seconds.
    pub seconds: u64,
    /// The directory for the results; created if missing.
    pub output_dir: PathBuf,
    /// Runs only configurations whose name contains this text; empty for all.
    pub name_filter: String,
}

/// The JSON document that a command writes.
#[derive(Serialize)]
struct PolicyResults {
    command: String,
    user: String,
    seeds: Vec<u64>,
    load_seconds: u64,
    configurations: Vec<ConfigurationFigures>,
}

/// Compares the placement policies under bursts of jobs.
///
/// Fails if a trial fails or the results can't be written.
pub async fn run_jobs(options: &PolicyOptions) -> Result<(), String> {
    let configurations = [PlacementChoice::Shape, PlacementChoice::Count, PlacementChoice::Fifo]
        .map(|placement| (serialized_name(&placement), placement, DomainOutAction::Move, None));
    run(options, "jobs", configurations.to_vec()).await
}

/// Compares the policies for a failure domain that is disabled and re-enabled, with and without a
/// concurrent fault.
///
/// Fails if a trial fails or the results can't be written.
pub async fn run_domains(options: &PolicyOptions) -> Result<(), String> {
    let mut configurations = Vec::new();
    for fault in [DisableFault::None, DisableFault::StoreOutage, DisableFault::DomainCut] {
        let disable = DisablePlan { offset: DISABLE_OFFSET, duration: DISABLED_DURATION, fault };
        for action in [DomainOutAction::Move, DomainOutAction::Finish, DomainOutAction::Stop] {
            let name = format!("shape {} {}", serialized_name(&action), serialized_name(&fault));
            configurations.push((name, PlacementChoice::Shape, action, Some(disable)));
        }
        if fault == DisableFault::None {
            for placement in [PlacementChoice::Count, PlacementChoice::Fifo] {
                let name = format!("{} move none", serialized_name(&placement));
                configurations.push((name, placement, DomainOutAction::Move, Some(disable)));
            }
        }
    }
    run(options, "domains", configurations).await
}

/// Runs the selected configurations with every seed and writes the results.
async fn run(
    options: &PolicyOptions,
    command: &str,
    mut configurations: Vec<(String, PlacementChoice, DomainOutAction, Option<DisablePlan>)>,
) -> Result<(), String> {
    configurations.retain(|(name, ..)| name.contains(&options.name_filter));
    let seeds: Vec<u64> = (options.first_seed..options.first_seed + options.seeds).collect();
    let user = options.user.region();
    println!("{command} of {user}, seeds {seeds:?}, load {} s", options.seconds);
    let mut plans = Vec::new();
    // Schedules all policies of a seed next to each other, so that other load on the machine
    // affects them alike.
    for seed in &seeds {
        for (name, placement, on_domain_out, disable) in &configurations {
            let plan = TrialPlan {
                user: options.user,
                placement: *placement,
                on_domain_out: *on_domain_out,
                seed: *seed,
                load: Duration::from_secs(options.seconds),
                disable: *disable,
            };
            plans.push((name.clone(), plan));
        }
    }
    let trials = plans.into_iter().map(|(name, plan)| async move {
        let start = Instant::now();
        let figures = tokio::spawn(run_trial(plan.clone())).await;
        let figures = figures.unwrap_or_else(|error| Err(error.to_string()));
        println!("{name}, seed {}: {:.0} s", plan.seed, start.elapsed().as_secs_f64());
        (name, plan.seed, figures)
    });
    let mut figure_sets: BTreeMap<String, BTreeMap<u64, FigureSet>> = BTreeMap::new();
    let mut finished_trials =
        futures::stream::iter(trials).buffer_unordered(options.max_parallel.max(1));
    while let Some((name, seed, figures)) = finished_trials.next().await {
        let figures = figures.map_err(|error| format!("{name}, seed {seed}: {error}"))?;
        figure_sets.entry(name).or_default().insert(seed, figures);
    }
    let configurations: Vec<ConfigurationFigures> = configurations
        .into_iter()
        .filter_map(|(name, ..)| {
            Some(ConfigurationFigures::new(name.clone(), figure_sets.remove(&name)?))
        })
        .collect();
    let text = summary_table(&configurations);
    println!("{text}");
    let results = PolicyResults {
        command: command.to_owned(),
        user: user.to_owned(),
        seeds,
        load_seconds: options.seconds,
        configurations,
    };
    report::write_json(&options.output_dir.join(format!("{command}-{user}.json")), &results)?;
    report::write_text(&options.output_dir.join(format!("{command}-{user}.md")), &text)
}

/// Runs one trial and computes its figures.
async fn run_trial(plan: TrialPlan) -> Result<FigureSet, String> {
    let record = runner::run(&plan).await?;
    let measured = tokio::task::spawn_blocking(move || {
        let mut set = figures::measure(&record);
        disabled_domain::measure(&record, &mut set);
        set
    });
    measured.await.map_err(|error| error.to_string())
}
