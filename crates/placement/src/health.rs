//! Health of workers, judged by the starts that fail on them.
//!
//! A worker that fails every task looks free, so a scheduler that only looks at free accelerators
//! sends it one job after another. A job that fails everywhere looks like a row of bad workers. The
//! tracker tells the two apart by counting different jobs for a worker and different workers for a
//! job.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lacewingrail_model::{JobId, WorkerId};
use serde::{Deserialize, Serialize};

/// Failed starts in a row after which a worker is quarantined.
pub const MIN_QUARANTINE_FAILURES: usize = 3;
/// Different jobs that must be among these failures, so that one bad job condemns no worker.
pub const MIN_QUARANTINE_JOBS: usize = 2;
/// Different workers on which a job fails to start before it is refused as faulty.
pub const MIN_FAULTY_JOB_WORKERS: usize = 3;
/// Successful probes in a row after which a worker returns to service.
pub const MIN_RETURN_PROBES: u32 = 2;
/// Time from quarantine to the first probe.
pub const INITIAL_PROBE_DELAY: Duration = Duration::from_secs(30);
/// Longest time between two probes.
pub const MAX_PROBE_DELAY: Duration = Duration::from_secs(480);
/// Failures that are remembered for one worker, so that memory stays bounded.
const MAX_FAILURES_KEPT: usize = 16;

/// States whether a worker may get new members.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkerHealth {
    /// Gets new members.
    Healthy,
    /// Does not answer, or is not listed any more.
    Silent,
    /// Failed its starts and waits for the next probe.
    Quarantined,
    /// Runs a probe.
    Probing,
}

impl WorkerHealth {
    /// Returns the name shown to operators.
    pub fn name(self) -> &'static str {
        match self {
            Self::Healthy => "healthy",
            Self::Silent => "silent",
            Self::Quarantined => "quarantined",
            Self::Probing => "probing",
        }
    }
}

/// Reports what a failed start led to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FailureOutcome {
    /// Nothing yet; the job may try another worker.
    Continue,
    /// The worker was quarantined.
    WorkerQuarantined(WorkerId),
    /// The job is faulty and is to be refused with the reason. Workers that were quarantined only
    /// because of it are back in service.
    JobFaulty {
        /// Reason for the customer.
        reason: String,
        /// Workers returned to service.
        returned: Vec<WorkerId>,
    },
}

#[derive(Clone, Debug, Default)]
struct TrackedWorker {
    failures: Vec<JobId>,
    quarantine: Option<Quarantine>,
}

#[derive(Clone, Debug)]
struct Quarantine {
    next_probe: Duration,
    delay: Duration,
    good_probes: u32,
    probing: bool,
}

/// Tracks failed starts of workers and jobs.
#[derive(Clone, Debug, Default)]
pub struct HealthTracker {
    workers: BTreeMap<WorkerId, TrackedWorker>,
    jobs: BTreeMap<JobId, BTreeSet<WorkerId>>,
}

impl HealthTracker {
    /// Creates a tracker that holds every worker for healthy.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a whole gang started, which clears the job of its earlier failures.
    pub fn record_gang_start(&mut self, job: &JobId) {
        self.jobs.remove(job);
    }

    /// Notes a successful start of a member, which ends the worker's row of failures.
    pub fn record_start(&mut self, worker: &WorkerId) {
        if let Some(tracked) = self.workers.get_mut(worker) {
            tracked.failures.clear();
        }
    }

    /// Notes a failed start of a job on a worker.
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
        if tracked.failures.len() == MAX_FAILURES_KEPT {
            tracked.failures.remove(0);
        }
        tracked.failures.push(job.clone());
        if faulty {
            return self.condemn_job(job);
        }
        if tracked.quarantine.is_some() || !is_condemned(&tracked.failures) {
            return FailureOutcome::Continue;
        }
        tracked.quarantine = Some(Quarantine {
            next_probe: now + INITIAL_PROBE_DELAY,
            delay: INITIAL_PROBE_DELAY,
            good_probes: 0,
            probing: false,
        });
        FailureOutcome::WorkerQuarantined(worker.clone())
    }

    /// Forgets a job that ended or left for another failure domain.
    pub fn remove_job(&mut self, job: &JobId) {
        self.jobs.remove(job);
    }

    /// Forgets workers that the platform does not list any more.
    pub fn retain_workers<F>(&mut self, keep: F)
    where
        F: Fn(&WorkerId) -> bool,
    {
        self.workers.retain(|worker, _| keep(worker));
    }

    /// Returns the workers whose probe is due and marks them as probing.
    pub fn start_due_probes(&mut self, now: Duration) -> Vec<WorkerId> {
        let mut due = Vec::new();
        for (worker, tracked) in &mut self.workers {
            let Some(quarantine) = &mut tracked.quarantine else {
                continue;
            };
            if !quarantine.probing && quarantine.next_probe <= now {
                quarantine.probing = true;
                due.push(worker.clone());
            }
        }
        due
    }

    /// Notes the result of a probe and returns whether the worker is back in service.
    ///
    /// The next probe follows a good one after the first delay, a bad one after twice the last.
    pub fn record_probe_result(&mut self, worker: &WorkerId, good: bool, now: Duration) -> bool {
        let Some(tracked) = self.workers.get_mut(worker) else {
            return true;
        };
        let Some(quarantine) = &mut tracked.quarantine else {
            return true;
        };
        quarantine.probing = false;
        if good {
            quarantine.good_probes += 1;
            quarantine.delay = INITIAL_PROBE_DELAY;
        } else {
            quarantine.good_probes = 0;
            quarantine.delay = (quarantine.delay * 2).min(MAX_PROBE_DELAY);
        }
        quarantine.next_probe = now + quarantine.delay;
        if quarantine.good_probes < MIN_RETURN_PROBES {
            return false;
        }
        self.workers.remove(worker);
        true
    }

    /// Returns the health of a worker as far as failed starts tell.
    pub fn health(&self, worker: &WorkerId) -> WorkerHealth {
        match self.workers.get(worker).and_then(|tracked| tracked.quarantine.as_ref()) {
            None => WorkerHealth::Healthy,
            Some(quarantine) if quarantine.probing => WorkerHealth::Probing,
            Some(_) => WorkerHealth::Quarantined,
        }
    }

    /// Returns the workers on which a job failed to start.
    pub fn failed_workers(&self, job: &JobId) -> Vec<WorkerId> {
        self.jobs.get(job).into_iter().flatten().cloned().collect()
    }

    /// Takes a faulty job's failures off the workers' accounts.
    fn condemn_job(&mut self, job: &JobId) -> FailureOutcome {
        let failed = self.jobs.remove(job).unwrap_or_default();
        let mut returned = Vec::new();
        for (worker, tracked) in &mut self.workers {
            let before = tracked.failures.len();
            tracked.failures.retain(|other| other != job);
            let changed = tracked.failures.len() < before;
            if changed && tracked.quarantine.is_some() && !is_condemned(&tracked.failures) {
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

fn is_condemned(failures: &[JobId]) -> bool {
    let jobs: BTreeSet<&JobId> = failures.iter().collect();
    failures.len() >= MIN_QUARANTINE_FAILURES && jobs.len() >= MIN_QUARANTINE_JOBS
}
