//! Keys and values in the key-value service.
//!
//! | key | value | written by |
//! |---|---|---|
//! | `fleet/lead/holder` | [`LeaderRecord`], bound to a lease | the new scheduler, on election |
//! | `fleet/lead/epoch` | epoch of the newest leadership | the new scheduler, on election |
//! | `fleet/in/job/ID` | submission | the instance that accepts a job, once |
//! | `fleet/in/cancel/ID` | empty | the instance that accepts a cancellation |
//! | `fleet/progress/ID` | progress | the scheduler |
//! | `fleet/mark` | revision of the previous batch of progress | the scheduler, with every batch |
//! | `fleet/roster` | ids of the workers that may have active runs | the scheduler |

use lacewingrail_fleet::JobKey;
use lacewingrail_model::Epoch;
use serde::{Deserialize, Serialize};

/// Prefix of the holder and epoch keys.
pub const LEADERSHIP_PREFIX: &str = "fleet/lead/";
/// Key of the [`LeaderRecord`]; absent while no scheduler is active.
pub const HOLDER_KEY: &str = "fleet/lead/holder";
/// Key of the newest epoch; never deleted.
pub const EPOCH_KEY: &str = "fleet/lead/epoch";
/// Prefix of submissions and cancellations.
pub const INPUT_PREFIX: &str = "fleet/in/";
/// Prefix of the progress of jobs.
pub const PROGRESS_PREFIX: &str = "fleet/progress/";
/// Key that every batch of progress compares and replaces, which keeps batches in order.
pub const MARK_KEY: &str = "fleet/mark";
/// Key of the list of workers that may have active runs.
pub const ROSTER_KEY: &str = "fleet/roster";
const JOB_PREFIX: &str = "fleet/in/job/";
const CANCEL_PREFIX: &str = "fleet/in/cancel/";

/// Active scheduler, as stored under [`HOLDER_KEY`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaderRecord {
    /// Name of its instance.
    pub instance: String,
    /// Address at which peers call it, `ip:port`.
    pub address: String,
    /// Epoch of the leadership, which is also its fencing token.
    pub epoch: Epoch,
    /// Random number that distinguishes successive processes of one instance.
    pub nonce: u64,
}

/// Parsed key of a client's input.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InputKey {
    /// Submission of a job.
    Job(JobKey),
    /// Cancellation of a job.
    Cancel(JobKey),
}

/// Returns the key under which a job's submission is stored.
pub fn job_key(job: JobKey) -> String {
    format!("{JOB_PREFIX}{job:016x}")
}

/// Returns the key under which a job's cancellation is stored.
pub fn cancel_key(job: JobKey) -> String {
    format!("{CANCEL_PREFIX}{job:016x}")
}

/// Returns the key under which a job's progress is stored.
pub fn progress_key(job: JobKey) -> String {
    format!("{PROGRESS_PREFIX}{job:016x}")
}

/// Parses the key of a submission or cancellation; `None` for any other key.
pub fn parse_input_key(key: &str) -> Option<InputKey> {
    let parse_id = |text: &str| u64::from_str_radix(text, 16).ok();
    if let Some(id) = key.strip_prefix(JOB_PREFIX) {
        return parse_id(id).map(InputKey::Job);
    }
    key.strip_prefix(CANCEL_PREFIX).and_then(parse_id).map(InputKey::Cancel)
}

/// Parses the key of a job's progress; `None` for any other key.
pub fn parse_progress_key(key: &str) -> Option<JobKey> {
    u64::from_str_radix(key.strip_prefix(PROGRESS_PREFIX)?, 16).ok()
}
