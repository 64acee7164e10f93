//! Refusal of submissions that the fleet could never run.
//!
//! Some submissions could never run on the fleet: a task is larger than every worker, requires a
//! label that no worker has, or belongs to a gang that is larger than the fleet. Such a job would
//! wait until its customer gives up, so it is refused at once. Whether a job could end in time is
//! decided by [`backlog`](crate::backlog).

use std::fmt;
use std::time::Duration;

use crate::spec::{JobSpec, StepSpec};
use crate::worker::WorkerEntry;

/// Reason why a submission is refused. The job has not run and never will.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionRefusal {
    /// No worker has both the capacity for a task and the label that it requires.
    NoSuitableWorker {
        /// Index of the step within the job, from 0.
        step: u32,
    },
    /// All workers together have too little capacity for a gang.
    GangTooLarge {
        /// Index of the step within the job, from 0.
        step: u32,
    },
    /// Work that ranks before the job would delay it until its customer has likely abandoned it.
    Backlog {
        /// Time after which the job could still be served.
        retry_after: Duration,
    },
}

impl AdmissionRefusal {
    /// Returns the time after which the same submission may be accepted, or `None` if only a change
    /// of the fleet could help.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Backlog { retry_after } => Some(*retry_after),
            Self::NoSuitableWorker { .. } | Self::GangTooLarge { .. } => None,
        }
    }
}

impl fmt::Display for AdmissionRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoSuitableWorker { step } => {
                write!(formatter, "no worker can run a task of step {step}")
            }
            Self::GangTooLarge { step } => {
                write!(formatter, "all workers together are too small for the gang of step {step}")
            }
            Self::Backlog { retry_after } => {
                write!(
                    formatter,
                    "waiting work would delay the job by {} ms too long",
                    retry_after.as_millis()
                )
            }
        }
    }
}

/// Checks that a job could run on a fleet in which nothing else runs.
///
/// # Errors
///
/// Returns an error if some step does not fit on any worker, or a gang on all of them together.
pub fn check_fleet<'a, W>(spec: &JobSpec, workers: W) -> Result<(), AdmissionRefusal>
where
    W: Iterator<Item = &'a WorkerEntry> + Clone,
{
    for (index, step) in spec.steps.iter().enumerate() {
        let index = index as u32;
        let room: i64 = workers.clone().map(|worker| tasks_on(step, worker)).sum();
        if room == 0 {
            return Err(AdmissionRefusal::NoSuitableWorker { step: index });
        }
        if step.gang && room < i64::from(step.count) {
            return Err(AdmissionRefusal::GangTooLarge { step: index });
        }
    }
    Ok(())
}

/// Returns how many tasks of a step a worker could hold if nothing else ran there.
fn tasks_on(step: &StepSpec, worker: &WorkerEntry) -> i64 {
    if step.label.as_ref().is_some_and(|label| !worker.listing.labels.contains(label)) {
        return 0;
    }
    let limit = step.worker_limit.map_or(i64::MAX, i64::from);
    worker.listing.capacity.multiples(&step.demand).min(limit).min(i64::from(step.count))
}
