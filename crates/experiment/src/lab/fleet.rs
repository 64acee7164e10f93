//! Workers that run tasks in simulated time: speeds, gangs, data locality and checkpoints.

use std::collections::BTreeMap;
use std::time::Duration;

use lacewingrail_fleet::spec::CheckpointName;
use lacewingrail_fleet::{
    ActiveRun, EndReason, EndedRun, LeaseReport, ResourceAmount, RunNumber, StartOrder,
    StartOutcome, StartRefusal, StepKey, StepSpec, TaskKey, WorkerListing,
};
use lacewingrail_model::RackName;

use crate::lab::sheet::LoadSheet;

/// Time that the members of a gang wait for each other.
const GANG_WAIT: Duration = Duration::from_secs(3);
/// Cores that an accelerator counts as when work is measured.
const ACCELERATOR_CORES: f64 = 8.0;

/// Runs the tasks of all workers.
pub struct SimFleet {
    workers: Vec<SimWorker>,
    away_factor: f64,
    checkpoint: f64,
    restore: Duration,
    /// Work that was stopped or broken and not saved, in core-seconds.
    pub lost: f64,
}

/// Holds one worker.
struct SimWorker {
    listing: WorkerListing,
    speed: f64,
    used: ResourceAmount,
    running: BTreeMap<(TaskKey, RunNumber), SimRun>,
    ended: Vec<EndedRun>,
    ends: u64,
}

/// Holds one run.
struct SimRun {
    since: Duration,
    demand: ResourceAmount,
    /// Seconds of work on a worker of speed 1 where it runs now.
    work: f64,
    /// Seconds of that work done, and saved.
    done: f64,
    saved: f64,
    checkpoints: bool,
    /// Members of its gang, if it has one.
    gang: Option<u32>,
    begun: bool,
}

impl SimRun {
    /// Returns whether all members of the run's gang are there, given how many of each are.
    fn is_whole(&self, key: StepKey, present: &BTreeMap<StepKey, u32>) -> bool {
        self.gang.is_none_or(|count| present.get(&key) == Some(&count))
    }

    /// Returns the name of the newest checkpoint: the share of the work that it holds.
    fn checkpoint(&self) -> Option<CheckpointName> {
        (self.saved > 0.0).then(|| (self.saved / self.work).to_string())
    }
}

impl SimFleet {
    /// Creates the idle workers of a sheet.
    pub fn new(sheet: &LoadSheet) -> Self {
        let workers = sheet.listings().into_iter().enumerate().map(|(index, listing)| SimWorker {
            listing,
            speed: sheet.speeds[index % sheet.speeds.len()],
            used: ResourceAmount::default(),
            running: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
        });
        Self {
            workers: workers.collect(),
            away_factor: sheet.away_factor,
            checkpoint: sheet.checkpoint_s,
            restore: Duration::from_millis(sheet.restore_ms),
            lost: 0.0,
        }
    }

    /// Starts a task whose work on a worker of speed 1 takes some seconds.
    pub fn start(&mut self, order: &StartOrder, seconds: f64, now: Duration) -> StartOutcome {
        let target = &order.target;
        let spec = &order.submission.spec.steps[target.task.step as usize];
        let factor = self.locality(target.task.step_key(), spec, &order.basis.rack);
        let restored = order.checkpoint.as_deref().and_then(|name| name.parse::<f64>().ok());
        let restore = if restored.is_some() { self.restore } else { Duration::ZERO };
        let Some(worker) = self.worker(&target.worker) else {
            return StartOutcome::Refused(StartRefusal::Unhealthy);
        };
        let free = worker.listing.capacity - worker.used;
        if !free.covers(&spec.demand) {
            return StartOutcome::Refused(StartRefusal::NoCapacity);
        }
        worker.used += spec.demand;
        let work = seconds * factor;
        let done = restored.unwrap_or_default() * work;
        let run = SimRun {
            since: now + restore,
            demand: spec.demand,
            work,
            done,
            saved: done,
            checkpoints: spec.checkpoints,
            gang: spec.gang.then_some(spec.count),
            begun: false,
        };
        worker.running.insert((target.task, target.run), run);
        StartOutcome::Started
    }

    /// Returns how many times longer a task takes on a rack, by its data and by its gang.
    fn locality(&self, key: StepKey, spec: &StepSpec, rack: &Option<RackName>) -> f64 {
        let from_data = spec.data_rack.is_some() && spec.data_rack != *rack;
        let split =
            spec.one_rack && self.members(key).any(|(worker, _)| worker.listing.rack != *rack);
        if from_data || split { self.away_factor } else { 1.0 }
    }

    /// Stops a run.
    pub fn stop(&mut self, worker: &str, task: TaskKey, run: RunNumber) {
        let Some(index) = self.index(worker) else {
            return;
        };
        self.end(index, task, run, EndReason::Stopped);
    }

    /// Lets all runs work for a time.
    pub fn pass(&mut self, now: Duration, step: Duration) {
        let checkpoint = self.checkpoint;
        let present = self.gang_members();
        for worker in &mut self.workers {
            let amount = step.as_secs_f64() * worker.speed;
            for ((task, _), run) in &mut worker.running {
                if run.is_whole(task.step_key(), &present) && now >= run.since {
                    run.begun = true;
                    run.done = (run.done + amount).min(run.work);
                }
                if run.checkpoints && run.done - run.saved >= checkpoint * worker.speed {
                    run.saved = run.done;
                }
            }
        }
        self.end_runs(now, &present);
    }

    /// Ends the runs that are done and the gangs that were broken or did not come together.
    fn end_runs(&mut self, now: Duration, present: &BTreeMap<StepKey, u32>) {
        let mut slowest: BTreeMap<StepKey, bool> = BTreeMap::new();
        for ((task, _), run) in self.workers.iter().flat_map(|worker| &worker.running) {
            *slowest.entry(task.step_key()).or_insert(true) &= run.done >= run.work;
        }
        let mut ends = Vec::new();
        for (index, worker) in self.workers.iter().enumerate() {
            for ((task, number), run) in &worker.running {
                let key = task.step_key();
                let whole = run.is_whole(key, present);
                let done = if run.gang.is_some() { slowest[&key] } else { run.done >= run.work };
                if whole && done {
                    ends.push((index, *task, *number, EndReason::Done));
                } else if !whole && run.begun {
                    ends.push((index, *task, *number, EndReason::GangBroken));
                } else if !whole && now > run.since + GANG_WAIT {
                    ends.push((index, *task, *number, EndReason::GangIncomplete));
                }
            }
        }
        for (index, task, run, reason) in ends {
            self.end(index, task, run, reason);
        }
    }

    fn end(&mut self, index: usize, task: TaskKey, number: RunNumber, reason: EndReason) {
        let worker = &mut self.workers[index];
        let Some(mut run) = worker.running.remove(&(task, number)) else {
            return;
        };
        worker.used -= run.demand;
        worker.ends += 1;
        if run.checkpoints && reason == EndReason::Stopped {
            run.saved = run.done;
        }
        let checkpoint = run.checkpoint();
        worker.ended.push(EndedRun { number: worker.ends, task, run: number, reason, checkpoint });
        if reason != EndReason::Done {
            let cores = run.demand.cpu_milli as f64 / 1000.0
                + run.demand.accelerators as f64 * ACCELERATOR_CORES;
            self.lost += (run.done - run.saved) / worker.speed * cores;
        }
    }

    /// Returns a worker's report after forgetting the ends up to a number.
    pub fn report(&mut self, worker: &str, acknowledge: u64, now: Duration) -> Option<LeaseReport> {
        let worker = self.worker(worker)?;
        worker.ended.retain(|end| end.number > acknowledge);
        let row = |((task, run), entry): (&(TaskKey, RunNumber), &SimRun)| ActiveRun {
            task: *task,
            run: *run,
            checkpoint: entry.checkpoint(),
            percent: (entry.done / entry.work * 100.0) as u32,
            usage: 0,
        };
        let running = worker.running.iter().map(row).collect();
        Some(LeaseReport { incarnation: 1, clock: now, running, ended: worker.ended.clone() })
    }

    /// Returns whether a worker has ends to report beyond a number.
    pub fn has_ended(&self, worker: &str, acknowledge: u64) -> bool {
        let index = self.index(worker);
        index.is_some_and(|index| {
            self.workers[index].ended.iter().any(|end| end.number > acknowledge)
        })
    }

    fn gang_members(&self) -> BTreeMap<StepKey, u32> {
        let mut members = BTreeMap::new();
        for ((task, _), run) in self.workers.iter().flat_map(|worker| &worker.running) {
            if run.gang.is_some() {
                *members.entry(task.step_key()).or_insert(0) += 1;
            }
        }
        members
    }

    fn members(&self, key: StepKey) -> impl Iterator<Item = (&SimWorker, &SimRun)> {
        let own = move |(task, _): &(TaskKey, RunNumber)| task.step_key() == key;
        self.workers.iter().flat_map(move |worker| {
            let runs = worker.running.iter().filter(move |(name, _)| own(name));
            runs.map(move |(_, run)| (worker, run))
        })
    }

    fn index(&self, id: &str) -> Option<usize> {
        self.workers.iter().position(|worker| worker.listing.id == id)
    }

    fn worker(&mut self, id: &str) -> Option<&mut SimWorker> {
        self.workers.iter_mut().find(|worker| worker.listing.id == id)
    }
}
