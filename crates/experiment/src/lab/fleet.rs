//! Simulates workers in virtual time, with their speeds, gangs, data locality and checkpoints.

use std::collections::BTreeMap;
use std::time::Duration;

use lacewingrail_fleet::spec::CheckpointName;
use lacewingrail_fleet::{
    ActiveRun, EndReason, EndedRun, LeaseReport, ResourceAmount, RunNumber, StartOrder,
    StartOutcome, StartRefusal, StepKey, StepSpec, TaskKey, WorkerListing,
};
use lacewingrail_model::RackName;

use crate::lab::sheet::LoadSheet;

/// Time for which the members of a gang wait for each other.
const GANG_FORMATION_TIMEOUT: Duration = Duration::from_secs(3);
/// Cores that an accelerator counts as in the lost work.
const CORES_PER_ACCELERATOR: f64 = 8.0;

/// All simulated workers and the runs on them.
pub struct SimFleet {
    workers: Vec<SimWorker>,
    /// The factor by which work takes longer outside the rack of its data or gang.
    remote_factor: f64,
    checkpoint_interval_s: f64,
    restore_time: Duration,
    /// Work that unfinished runs did after their last checkpoint, in core-seconds.
    pub lost_core_seconds: f64,
}

/// A simulated worker.
struct SimWorker {
    listing: WorkerListing,
    speed: f64,
    used: ResourceAmount,
    running: BTreeMap<(TaskKey, RunNumber), SimRun>,
    /// The ended runs that have not been acknowledged.
    ended: Vec<EndedRun>,
    /// The number of the last ended run, counted from 1.
    end_count: u64,
}

/// A task run on a worker.
struct SimRun {
    /// The simulated time at which a checkpoint, if any, is restored and the work can start.
    work_starts_at: Duration,
    demand: ResourceAmount,
    /// Total work in seconds at speed 1, including the locality factor of its worker.
    work_s: f64,
    /// The part of `work_s` that is done.
    done_s: f64,
    /// The part of `work_s` that the latest checkpoint covers.
    saved_s: f64,
    checkpoints: bool,
    /// The size of its gang; `None` if the step isn't a gang.
    gang_size: Option<u32>,
    /// Whether the run has progressed since it started.
    has_progressed: bool,
}

impl SimRun {
    /// Returns whether all members of the run's gang are running, given the number of running
    /// members of each gang; true if the run belongs to no gang.
    fn is_gang_complete(&self, key: StepKey, gang_counts: &BTreeMap<StepKey, u32>) -> bool {
        self.gang_size.is_none_or(|count| gang_counts.get(&key) == Some(&count))
    }

    /// Returns the name of the latest checkpoint, which encodes the share of the work done; `None`
    /// before the first.
    fn checkpoint(&self) -> Option<CheckpointName> {
        (self.saved_s > 0.0).then(|| (self.saved_s / self.work_s).to_string())
    }
}

impl SimFleet {
    /// Creates the workers of a sheet, all idle.
    pub fn new(sheet: &LoadSheet) -> Self {
        let workers = sheet.listings().into_iter().enumerate().map(|(index, listing)| SimWorker {
            listing,
            speed: sheet.speeds[index % sheet.speeds.len()],
            used: ResourceAmount::default(),
            running: BTreeMap::new(),
            ended: Vec::new(),
            end_count: 0,
        });
        Self {
            workers: workers.collect(),
            remote_factor: sheet.away_factor,
            checkpoint_interval_s: sheet.checkpoint_s,
            restore_time: Duration::from_millis(sheet.restore_ms),
            lost_core_seconds: 0.0,
        }
    }

    /// Starts a task with `seconds` of work at speed 1, before the locality factor; `now` is
    /// simulated time.
    pub fn start(&mut self, order: &StartOrder, seconds: f64, now: Duration) -> StartOutcome {
        let target = &order.target;
        let spec = &order.submission.spec.steps[target.task.step as usize];
        let factor = self.locality_factor(target.task.step_key(), spec, &order.basis.rack);
        let restored_share = order.checkpoint.as_deref().and_then(|name| name.parse::<f64>().ok());
        let restore_time =
            if restored_share.is_some() { self.restore_time } else { Duration::ZERO };
        let Some(worker) = self.worker_mut(&target.worker) else {
            return StartOutcome::Refused(StartRefusal::Unhealthy);
        };
        let free_capacity = worker.listing.capacity - worker.used;
        if !free_capacity.covers(&spec.demand) {
            return StartOutcome::Refused(StartRefusal::NoCapacity);
        }
        worker.used += spec.demand;
        let work_s = seconds * factor;
        let done_s = restored_share.unwrap_or_default() * work_s;
        let run = SimRun {
            work_starts_at: now + restore_time,
            demand: spec.demand,
            work_s,
            done_s,
            saved_s: done_s,
            checkpoints: spec.checkpoints,
            gang_size: spec.gang.then_some(spec.count),
            has_progressed: false,
        };
        worker.running.insert((target.task, target.run), run);
        StartOutcome::Started
    }

    /// Returns the factor by which a task takes longer on a rack because its data or its gang is
    /// elsewhere.
    fn locality_factor(&self, key: StepKey, spec: &StepSpec, rack: &Option<RackName>) -> f64 {
        let is_data_remote = spec.data_rack.is_some() && spec.data_rack != *rack;
        let is_gang_split =
            spec.one_rack && self.step_runs(key).any(|(worker, _)| worker.listing.rack != *rack);
        if is_data_remote || is_gang_split { self.remote_factor } else { 1.0 }
    }

    /// Stops a run and saves a checkpoint if it supports them; ignores unknown workers and runs.
    pub fn stop(&mut self, worker: &str, task: TaskKey, run: RunNumber) {
        let Some(index) = self.worker_index(worker) else {
            return;
        };
        self.end_run(index, task, run, EndReason::Stopped);
    }

    /// Advances all runs by `step` of simulated time up to `now`.
    pub fn advance(&mut self, now: Duration, step: Duration) {
        let interval_s = self.checkpoint_interval_s;
        let gang_counts = self.gang_counts();
        for worker in &mut self.workers {
            let work_s = step.as_secs_f64() * worker.speed;
            for ((task, _), run) in &mut worker.running {
                if run.is_gang_complete(task.step_key(), &gang_counts) && now >= run.work_starts_at
                {
                    run.has_progressed = true;
                    run.done_s = (run.done_s + work_s).min(run.work_s);
                }
                if run.checkpoints && run.done_s - run.saved_s >= interval_s * worker.speed {
                    run.saved_s = run.done_s;
                }
            }
        }
        self.end_due_runs(now, &gang_counts);
    }

    /// Ends the runs that are done, gangs that lost a member and gangs that did not form within the
    /// timeout.
    fn end_due_runs(&mut self, now: Duration, gang_counts: &BTreeMap<StepKey, u32>) {
        let mut all_done: BTreeMap<StepKey, bool> = BTreeMap::new();
        for ((task, _), run) in self.workers.iter().flat_map(|worker| &worker.running) {
            *all_done.entry(task.step_key()).or_insert(true) &= run.done_s >= run.work_s;
        }
        let mut due_runs = Vec::new();
        for (index, worker) in self.workers.iter().enumerate() {
            for ((task, number), run) in &worker.running {
                let key = task.step_key();
                let complete = run.is_gang_complete(key, gang_counts);
                let done =
                    if run.gang_size.is_some() { all_done[&key] } else { run.done_s >= run.work_s };
                if complete && done {
                    due_runs.push((index, *task, *number, EndReason::Done));
                } else if !complete && run.has_progressed {
                    due_runs.push((index, *task, *number, EndReason::GangBroken));
                } else if !complete && now > run.work_starts_at + GANG_FORMATION_TIMEOUT {
                    due_runs.push((index, *task, *number, EndReason::GangIncomplete));
                }
            }
        }
        for (index, task, run, reason) in due_runs {
            self.end_run(index, task, run, reason);
        }
    }

    /// Ends a run, frees its resources and adds the work that it loses.
    fn end_run(&mut self, index: usize, task: TaskKey, number: RunNumber, reason: EndReason) {
        let worker = &mut self.workers[index];
        let Some(mut run) = worker.running.remove(&(task, number)) else {
            return;
        };
        worker.used -= run.demand;
        worker.end_count += 1;
        if run.checkpoints && reason == EndReason::Stopped {
            run.saved_s = run.done_s;
        }
        let checkpoint = run.checkpoint();
        worker.ended.push(EndedRun {
            number: worker.end_count,
            task,
            run: number,
            reason,
            checkpoint,
        });
        if reason != EndReason::Done {
            let cores = run.demand.cpu_milli as f64 / 1000.0
                + run.demand.accelerators as f64 * CORES_PER_ACCELERATOR;
            self.lost_core_seconds += (run.done_s - run.saved_s) / worker.speed * cores;
        }
    }

    /// Returns a worker's report after discarding ended runs up to the acknowledged number; `None`
    /// for an unknown worker.
    pub fn report(&mut self, worker: &str, acknowledge: u64, now: Duration) -> Option<LeaseReport> {
        let worker = self.worker_mut(worker)?;
        worker.ended.retain(|end| end.number > acknowledge);
        let active_run = |((task, number), run): (&(TaskKey, RunNumber), &SimRun)| ActiveRun {
            task: *task,
            run: *number,
            checkpoint: run.checkpoint(),
            percent: (run.done_s / run.work_s * 100.0) as u32,
            usage: 0,
        };
        let running = worker.running.iter().map(active_run).collect();
        let ended = worker.ended.clone();
        Some(LeaseReport { incarnation: 1, clock: now, running, ended, ends_omitted: false })
    }

    /// Returns whether a worker has ended runs beyond the acknowledged number.
    pub fn has_ended(&self, worker: &str, acknowledge: u64) -> bool {
        let index = self.worker_index(worker);
        index.is_some_and(|index| {
            self.workers[index].ended.iter().any(|end| end.number > acknowledge)
        })
    }

    /// Returns the number of running members of each gang.
    fn gang_counts(&self) -> BTreeMap<StepKey, u32> {
        let mut counts = BTreeMap::new();
        for ((task, _), run) in self.workers.iter().flat_map(|worker| &worker.running) {
            if run.gang_size.is_some() {
                *counts.entry(task.step_key()).or_insert(0) += 1;
            }
        }
        counts
    }

    /// Returns the runs of a step with their workers.
    fn step_runs(&self, key: StepKey) -> impl Iterator<Item = (&SimWorker, &SimRun)> {
        let is_in_step = move |(task, _): &(TaskKey, RunNumber)| task.step_key() == key;
        self.workers.iter().flat_map(move |worker| {
            let runs = worker.running.iter().filter(move |(run_key, _)| is_in_step(run_key));
            runs.map(move |(_, run)| (worker, run))
        })
    }

    fn worker_index(&self, id: &str) -> Option<usize> {
        self.workers.iter().position(|worker| worker.listing.id == id)
    }

    fn worker_mut(&mut self, id: &str) -> Option<&mut SimWorker> {
        self.workers.iter_mut().find(|worker| worker.listing.id == id)
    }
}
