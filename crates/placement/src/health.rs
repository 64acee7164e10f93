//! Worker health, derived from failed starts.
//!
//! A worker on which every task fails stays free, so a scheduler that looks only at free
//! accelerators sends it one job after another. A job that fails on every worker looks like many
//! bad workers. The tracker distinguishes the two cases: it counts the different jobs that failed
//! on a worker and the different workers on which a job failed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lacewingrail_model::{JobId, WorkerId};
use serde::{Deserialize, Serialize};

/// Number of consecutive failed starts after which a worker is quarantined.
pub const MIN_QUARANTINE_FAILURES: usize = 3;
/// Number of different jobs that must be among these failures, so that one faulty job can't
/// quarantine a worker.
pub const MIN_QUARANTINE_JOBS: usize = 2;
/// Number of different workers on which a job fails to start until it is refused as faulty.
pub const MIN_FAULTY_JOB_WORKERS: usize = 3;
/// Number of consecutive successful probes after which a worker returns to service.
pub const MIN_RETURN_PROBES: u32 = 2;
/// Delay from quarantine to the first probe, and from a successful probe to the next.
pub const INITIAL_PROBE_DELAY: Duration = Duration::from_secs(30);
/// Upper bound of the delay between two probes, which doubles after each failed one.
pub const MAX_PROBE_DELAY: Duration = Duration::from_secs(480);
/// Maximum number of failures kept for each worker, which bounds memory.
const MAX_RETAINED_FAILURES: usize = 16;

/// Whether a worker may get new members; only a healthy one may.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerHealth {
    /// Listed by the platform, answering and not in quarantine, so new members may be placed on it.
    Healthy,
    /// Does not answer, or is no longer listed by the platform.
    Silent,
    /// Out of service after failed starts, waiting for the next probe.
    Quarantined,
    /// Out of service while a probe runs.
    Probing,
}

impl WorkerHealth {
    /// Returns the name that operators see.
    pub fn name(self) -> &'static str {
        match self {
            Self::Healthy => "healthy",
            Self::Silent => "silent",
            Self::Quarantined => "quarantined",
            Self::Probing => "probing",
        }
    }
}

/// Consequence of a failed start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FailureOutcome {
    /// No limit is reached; the job may try another worker.
    Continue,
    /// The worker is quarantined.
    WorkerQuarantined(WorkerId),
    /// The job is faulty and has to be refused. Workers that were quarantined only because of it
    /// are back in service.
    JobFaulty {
        /// Cause and remedy in one sentence, for the customer.
        reason: String,
        /// Workers that are back in service.
        returned: Vec<WorkerId>,
    },
}

#[derive(Clone, Debug, Default)]
struct TrackedWorker {
    /// Jobs of the consecutive failed starts, the oldest first.
    failures: Vec<JobId>,
    quarantine: Option<Quarantine>,
}

#[derive(Clone, Debug)]
struct Quarantine {
    next_probe_at: Duration,
    /// Delay before the next probe; grows with failed probes.
    delay: Duration,
    /// Consecutive successful probes.
    successful_probes: u32,
    probing: bool,
}

/// Counts failed starts by worker and by job, and quarantines workers.
#[derive(Clone, Debug, Default)]
pub struct HealthTracker {
    workers: BTreeMap<WorkerId, TrackedWorker>,
    /// Workers on which each job failed to start.
    jobs: BTreeMap<JobId, BTreeSet<WorkerId>>,
}

impl HealthTracker {
    /// Creates a tracker without failures; every worker counts as healthy.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that all members of a gang started, which clears the job's failures.
    pub fn record_gang_start(&mut self, job: &JobId) {
        self.jobs.remove(job);
    }

    /// Records that a member started, which clears the worker's consecutive failures.
    pub fn record_start(&mut self, worker: &WorkerId) {
        if let Some(tracked) = self.workers.get_mut(worker) {
            tracked.failures.clear();
        }
    }

    /// Records that a member of a job failed to start on a worker.
    pub fn record_start_failure(
        &mut self,
        worker: &WorkerId,
        job: &JobId,
        now: Duration,
    ) -> FailureOutcome {
        let workers = self.jobs.entry(job.clone()).or_default();
        workers.insert(worker.clone());
        let faulty = workers.len() >= MIN_FAULTY_JOB_WORKERS;
        let tracked = self.workers.entry(worker.clone()).or_default();
        if tracked.failures.len() == MAX_RETAINED_FAILURES {
            tracked.failures.remove(0);
        }
        tracked.failures.push(job.clone());
        if faulty {
            return self.clear_faulty_job(job);
        }
        if tracked.quarantine.is_some() || !needs_quarantine(&tracked.failures) {
            return FailureOutcome::Continue;
        }
        tracked.quarantine = Some(Quarantine {
            next_probe_at: now + INITIAL_PROBE_DELAY,
            delay: INITIAL_PROBE_DELAY,
            successful_probes: 0,
            probing: false,
        });
        FailureOutcome::WorkerQuarantined(worker.clone())
    }

    /// Removes the failures of a job that ended or moved to another failure domain.
    pub fn remove_job(&mut self, job: &JobId) {
        self.jobs.remove(job);
    }

    /// Removes all workers for which `keep` returns false, such as those that the platform no
    /// longer lists.
    pub fn retain_workers<F>(&mut self, keep: F)
    where
        F: Fn(&WorkerId) -> bool,
    {
        self.workers.retain(|worker, _| keep(worker));
    }

    /// Marks the quarantined workers whose probe is due as probing and returns them.
    pub fn start_due_probes(&mut self, now: Duration) -> Vec<WorkerId> {
        let mut due = Vec::new();
        for (worker, tracked) in &mut self.workers {
            let Some(quarantine) = &mut tracked.quarantine else {
                continue;
            };
            if !quarantine.probing && quarantine.next_probe_at <= now {
                quarantine.probing = true;
                due.push(worker.clone());
            }
        }
        due
    }

    /// Records the result of a probe and returns whether the worker is in service.
    ///
    /// A successful probe resets the delay before the next one to [`INITIAL_PROBE_DELAY`]; a failed
    /// one doubles it, up to [`MAX_PROBE_DELAY`].
    pub fn record_probe_result(
        &mut self,
        worker: &WorkerId,
        succeeded: bool,
        now: Duration,
    ) -> bool {
        let Some(tracked) = self.workers.get_mut(worker) else {
            return true;
        };
        let Some(quarantine) = &mut tracked.quarantine else {
            return true;
        };
        quarantine.probing = false;
        if succeeded {
            quarantine.successful_probes += 1;
            quarantine.delay = INITIAL_PROBE_DELAY;
        } else {
            quarantine.successful_probes = 0;
            quarantine.delay = (quarantine.delay * 2).min(MAX_PROBE_DELAY);
        }
        quarantine.next_probe_at = now + quarantine.delay;
        if quarantine.successful_probes < MIN_RETURN_PROBES {
            return false;
        }
        self.workers.remove(worker);
        true
    }

    /// Returns the health of a worker by its failed starts and probes alone; it is never
    /// [`WorkerHealth::Silent`].
    pub fn health(&self, worker: &WorkerId) -> WorkerHealth {
        match self.workers.get(worker).and_then(|tracked| tracked.quarantine.as_ref()) {
            None => WorkerHealth::Healthy,
            Some(quarantine) if quarantine.probing => WorkerHealth::Probing,
            Some(_) => WorkerHealth::Quarantined,
        }
    }

    /// Returns the workers on which a job failed to start, sorted by id.
    pub fn failed_workers(&self, job: &JobId) -> Vec<WorkerId> {
        self.jobs.get(job).into_iter().flatten().cloned().collect()
    }

    /// Removes the failures of a faulty job, and the quarantines that they alone caused.
    fn clear_faulty_job(&mut self, job: &JobId) -> FailureOutcome {
        let failed = self.jobs.remove(job).unwrap_or_default();
        let mut returned = Vec::new();
        for (worker, tracked) in &mut self.workers {
            let before = tracked.failures.len();
            tracked.failures.retain(|other| other != job);
            let changed = tracked.failures.len() < before;
            if changed && tracked.quarantine.is_some() && !needs_quarantine(&tracked.failures) {
                tracked.quarantine = None;
                returned.push(worker.clone());
            }
        }
        let names: Vec<&str> = failed.iter().map(String::as_str).collect();
        let reason = format!(
            "the job failed to start on {} different workers ({}); correct its command and submit \
             it again",
            names.len(),
            names.join(", ")
        );
        FailureOutcome::JobFaulty { reason, returned }
    }
}

/// Returns whether a worker with these failed starts has to be quarantined.
fn needs_quarantine(failures: &[JobId]) -> bool {
    let jobs: BTreeSet<&JobId> = failures.iter().collect();
    failures.len() >= MIN_QUARANTINE_FAILURES && jobs.len() >= MIN_QUARANTINE_JOBS
}
