//! Keys and values that the system keeps in the key-value service.
//!
//! | key | value | written by |
//! |---|---|---|
//! | `fleet/lead/holder` | [`LeaderRecord`], bound to a lease | the scheduler, when it takes over |
//! | `fleet/lead/epoch` | number of the newest leadership | the scheduler, when it takes over |
//! | `fleet/in/job/ID` | submission | the instance that accepts a job, once |
//! | `fleet/in/cancel/ID` | empty | the instance that accepts a cancellation |
//! | `fleet/progress/ID` | progress | the scheduler |
//! | `fleet/mark` | revision of the former batch of progress | the scheduler, with every batch |
//! | `fleet/roster` | ids of the workers that may hold runs | the scheduler |

use lacewingrail_fleet::JobKey;
use lacewingrail_model::Epoch;
use serde::{Deserialize, Serialize};

/// Prefix of the keys of the leadership.
pub const LEADERSHIP_PREFIX: &str = "fleet/lead/";
/// Key of the present leader.
pub const HOLDER_KEY: &str = "fleet/lead/holder";
/// Key of the newest epoch.
pub const EPOCH_KEY: &str = "fleet/lead/epoch";
/// Prefix of all that clients hand in.
pub const INPUT_PREFIX: &str = "fleet/in/";
/// Prefix of progress.
pub const PROGRESS_PREFIX: &str = "fleet/progress/";
/// Key that every batch of progress replaces.
pub const MARK_KEY: &str = "fleet/mark";
/// Key of the list of workers that may hold runs.
pub const ROSTER_KEY: &str = "fleet/roster";
const JOB_PREFIX: &str = "fleet/in/job/";
const CANCEL_PREFIX: &str = "fleet/in/cancel/";

/// Describes the active scheduler.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaderRecord {
    /// Instance.
    pub instance: String,
    /// Address on which it takes messages of peers, `ip:port`.
    pub address: String,
    /// Number of the leadership.
    pub epoch: Epoch,
    /// Distinguishes the processes of one instance.
    pub nonce: u64,
}

/// Names what a client has handed in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InputKey {
    /// A job.
    Job(JobKey),
    /// A cancellation.
    Cancel(JobKey),
}

/// Returns the key of a submission.
pub fn job_key(job: JobKey) -> String {
    format!("{JOB_PREFIX}{job:016x}")
}

/// Returns the key of a cancellation.
pub fn cancel_key(job: JobKey) -> String {
    format!("{CANCEL_PREFIX}{job:016x}")
}

/// Returns the key of a job's progress.
pub fn progress_key(job: JobKey) -> String {
    format!("{PROGRESS_PREFIX}{job:016x}")
}

/// Reads the key of something that a client has handed in.
pub fn parse_input_key(key: &str) -> Option<InputKey> {
    let number = |text: &str| u64::from_str_radix(text, 16).ok();
    if let Some(id) = key.strip_prefix(JOB_PREFIX) {
        return number(id).map(InputKey::Job);
    }
    key.strip_prefix(CANCEL_PREFIX).and_then(number).map(InputKey::Cancel)
}

/// Reads the key of a job's progress.
pub fn parse_progress_key(key: &str) -> Option<JobKey> {
    u64::from_str_radix(key.strip_prefix(PROGRESS_PREFIX)?, 16).ok()
}
