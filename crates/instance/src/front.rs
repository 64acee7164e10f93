//! Answers the calls of clients.
//!
//! A call is checked against the settings in force, then handed to the active scheduler. When that
//! can't be reached, the instance serves the call from the key-value service itself: it stores a
//! submission or a cancellation, which the scheduler finds there, or reads how far a job has come.
//! A refusal is given only when it is certain that the job was not stored.

use std::sync::Arc;
use std::time::Duration;

use lacewingrail_fleet::{JobKey, JobPhase, JobProgress, JobSpec, JobSubmission};
use lacewingrail_model::clock::{millis, unix_millis};
use lacewingrail_model::message::{FleetCall, FleetReply, JobStanding};
use lacewingrail_model::store::{KeyExpectation, KeyWrite, StoreBatch, StoreError};
use tokio::sync::watch;

use crate::clock;
use crate::feeds;
use crate::leader_link::{LeaderAnswer, LeaderLink};
use crate::leadership::LeadershipView;
use crate::metrics::CallLabels;
use crate::process::InstanceContext;
use crate::records::{cancel_key, job_key, progress_key};
use crate::schedule_controller::{
    AskPending, AskStanding, CheckSubmission, ScheduleSender, StandingReply, SubmissionVerdict,
};
use crate::unclear_jobs::UnclearJobs;

/// Retry time during an outage of the key-value service: the resolution of the header, about half of
/// a change of leadership.
const OUTAGE_RETRY: Duration = Duration::from_secs(1);
/// Repetitions of a write whose answer was lost.
const SUBMISSION_RETRIES: u32 = 3;
/// Retry time of jobs that no worker could run; only a change of the fleet helps.
const UNFIT_RETRY: Duration = Duration::from_secs(30);

/// Holds what a call carries besides its content.
#[derive(Clone, Debug, Default)]
pub struct CallHead {
    /// Host that the call names.
    pub host: String,
    /// Path.
    pub path: String,
    /// Key of the customer.
    pub key: Option<String>,
}

/// Names what a client asks for.
#[derive(Clone, Debug)]
pub enum ClientOperation {
    /// Accept a job; an error describes what is wrong with the body.
    Submit(Result<JobSpec, String>),
    /// Cancel a job.
    Cancel,
    /// Tell how far a job or a queue is.
    Ask,
}

/// Answers a client.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClientAnswer {
    /// The job is accepted and stored.
    Accepted,
    /// The cancellation is stored.
    Cancelled,
    /// How far the job has come.
    Standing(JobStanding),
    /// Number of jobs of the queue that have not started.
    Pending(u64),
    /// The job was not accepted and has not run.
    NotAccepted {
        /// Reason.
        reason: String,
        /// When to come back.
        retry: Duration,
    },
    /// The call can't be answered now; it has changed nothing.
    Unavailable {
        /// Reason.
        reason: String,
        /// When to come back.
        retry: Duration,
    },
    /// No settings are known yet.
    NoConfig,
    /// No route leads here.
    UnknownRoute,
    /// The key belongs to no customer.
    UnknownKey,
    /// The call is malformed.
    Malformed(String),
    /// No such job exists.
    UnknownJob,
    /// The outcome is unknown; the same call may be repeated.
    Unclear,
}

impl ClientAnswer {
    /// Returns the answer's name for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Cancelled => "cancelled",
            Self::Standing(_) => "standing",
            Self::Pending(_) => "pending",
            Self::NotAccepted { .. } => "not-accepted",
            Self::Unavailable { .. } => "unavailable",
            Self::NoConfig => "no-config",
            Self::UnknownRoute => "unknown-route",
            Self::UnknownKey => "unknown-key",
            Self::Malformed(_) => "malformed",
            Self::UnknownJob => "unknown-job",
            Self::Unclear => "unclear",
        }
    }
}

/// States what a write of a submission found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StoredSubmission {
    /// The job is new.
    Created,
    /// The job was stored before.
    Existed,
}

/// Serves the calls of clients and those handed on by peers.
#[derive(Clone)]
pub struct JobFront {
    context: Arc<InstanceContext>,
    leadership: watch::Receiver<LeadershipView>,
    leader: LeaderLink,
    unclear: Arc<UnclearJobs>,
}

impl JobFront {
    /// Creates the front.
    pub fn new(
        context: Arc<InstanceContext>,
        leadership: watch::Receiver<LeadershipView>,
        leader: LeaderLink,
    ) -> Self {
        Self { context, leadership, leader, unclear: Arc::default() }
    }

    /// Answers a call of a client.
    pub async fn answer(&self, head: CallHead, operation: ClientOperation) -> ClientAnswer {
        let begun = clock::now();
        let name = match &operation {
            ClientOperation::Submit(_) => "submit",
            ClientOperation::Cancel => "cancel",
            ClientOperation::Ask => "ask",
        };
        let answer = self.decide(&head, operation).await;
        let taken = clock::now().saturating_sub(begun);
        let labels = CallLabels { operation: name, outcome: answer.name() };
        self.context.metrics.calls.get_or_create(&labels).inc();
        self.context.metrics.call_seconds.observe(taken.as_secs_f64());
        let version = self.context.operators.borrow().tree.as_ref().map_or(0, |tree| tree.version);
        log::info!(
            operation = name, host = head.host, path = head.path, config = version,
            outcome = answer.name(), detail = format!("{answer:?}"), taken_ms = millis(taken);
            "client call answered"
        );
        answer
    }

    async fn decide(&self, head: &CallHead, operation: ClientOperation) -> ClientAnswer {
        let Some(tree) = self.context.operators.borrow().tree.clone() else {
            return ClientAnswer::NoConfig;
        };
        let Some((route, rest)) = tree.find_route(&head.host, &head.path) else {
            return ClientAnswer::UnknownRoute;
        };
        let customer = head.key.as_deref().and_then(|key| tree.customer_of(key));
        if customer.is_none() && !route.public {
            return ClientAnswer::UnknownKey;
        }
        if rest.is_empty() && matches!(operation, ClientOperation::Ask) {
            return self.pending(&route.queue).await;
        }
        let Some(job) = parse_job(rest) else {
            return ClientAnswer::Malformed(format!("{rest:?} is no job id of 16 hex digits"));
        };
        match operation {
            ClientOperation::Submit(Err(reason)) => ClientAnswer::Malformed(reason),
            ClientOperation::Submit(Ok(spec)) => {
                if let Some(fault) = spec.invalid_reason() {
                    return ClientAnswer::Malformed(fault.to_owned());
                }
                let submission = JobSubmission {
                    key: job,
                    queue: route.queue.clone(),
                    customer: customer.cloned().unwrap_or_default(),
                    spec,
                    accepted_unix_ms: unix_millis(),
                };
                let answer = self.submit(submission).await;
                self.unclear.judge(job, answer)
            }
            ClientOperation::Cancel => self.cancel(job).await,
            ClientOperation::Ask => self.ask(job).await,
        }
    }

    async fn submit(&self, submission: JobSubmission) -> ClientAnswer {
        let own = self.leadership.borrow().own.clone();
        if let Some(schedule) = own {
            return self.submit_to(&schedule, submission).await;
        }
        let Ok(record) = serde_json::to_string(&submission) else {
            return ClientAnswer::Malformed("the job can't be stored".to_owned());
        };
        let call = FleetCall::Submit { job: submission.key, record };
        let answer = self.leader.call(call).await;
        match answer {
            LeaderAnswer::Answered(FleetReply::Accepted) => return ClientAnswer::Accepted,
            LeaderAnswer::Answered(FleetReply::NotAccepted { reason, retry_ms }) => {
                let retry = Duration::from_millis(retry_ms);
                return ClientAnswer::NotAccepted { reason, retry };
            }
            _ => {}
        }
        let untouched = matches!(
            answer,
            LeaderAnswer::NotReached | LeaderAnswer::Answered(FleetReply::NotActive)
        );
        match self.store_submission(&submission).await {
            Ok(_) => ClientAnswer::Accepted,
            // The scheduler may have stored the job, so a refusal by the store proves nothing.
            Err(ClientAnswer::NotAccepted { .. }) if !untouched => ClientAnswer::Unclear,
            Err(answer) => answer,
        }
    }

    /// Accepts a job as the active scheduler.
    async fn submit_to(
        &self,
        schedule: &ScheduleSender,
        submission: JobSubmission,
    ) -> ClientAnswer {
        match schedule.0.ask(CheckSubmission(submission.clone())).await {
            Ok(SubmissionVerdict::Known) => return ClientAnswer::Accepted,
            Ok(SubmissionVerdict::Refused(refusal)) => {
                let reason = refusal.to_string();
                let retry = refusal.retry_after().unwrap_or(UNFIT_RETRY);
                return ClientAnswer::NotAccepted { reason, retry };
            }
            // A scheduler that has just ended has no opinion; the store decides.
            Ok(SubmissionVerdict::Acceptable) | Err(_) => {}
        }
        match self.store_submission(&submission).await {
            Ok(StoredSubmission::Created) => {
                schedule.tell(feeds::accepted(submission, None)).await;
                ClientAnswer::Accepted
            }
            // The scheduler reads an older submission together with its progress.
            Ok(StoredSubmission::Existed) => ClientAnswer::Accepted,
            Err(answer) => answer,
        }
    }

    /// Stores a submission unless the job is stored already.
    async fn store_submission(
        &self,
        submission: &JobSubmission,
    ) -> Result<StoredSubmission, ClientAnswer> {
        let value = serde_json::to_string(submission)
            .map_err(|error| ClientAnswer::Malformed(error.to_string()))?;
        if self.context.health.outage().is_some() {
            return Err(ClientAnswer::NotAccepted {
                reason: "the key-value service is out of reach".to_owned(),
                retry: OUTAGE_RETRY,
            });
        }
        let key = job_key(submission.key);
        let batch = StoreBatch {
            expected: vec![KeyExpectation { key: key.clone(), revision: 0 }],
            writes: vec![KeyWrite { key: key.clone(), value, lease: None }],
            deletes: Vec::new(),
        };
        match self.context.store.commit(batch.clone()).await {
            Ok(_) => Ok(StoredSubmission::Created),
            Err(StoreError::Conflict { .. }) => Ok(StoredSubmission::Existed),
            Err(StoreError::Unclear(_)) => self.confirm_submission(&key, batch).await,
            Err(error) => {
                Err(ClientAnswer::NotAccepted { reason: error.to_string(), retry: OUTAGE_RETRY })
            }
        }
    }

    /// Writes a submission again whose first write was not answered; the key tells whether it was
    /// carried out. Without an answer the outcome stays open, since a write may be carried out late.
    async fn confirm_submission(
        &self,
        key: &str,
        batch: StoreBatch,
    ) -> Result<StoredSubmission, ClientAnswer> {
        for _ in 0..SUBMISSION_RETRIES {
            if self.context.health.outage().is_some() {
                break;
            }
            match self.context.store.commit(batch.clone()).await {
                // The first write may be the one that took effect, and the job may have progress.
                Ok(_) | Err(StoreError::Conflict { .. }) => return Ok(StoredSubmission::Existed),
                Err(error) => {
                    log::warn!(key = key, error = error.to_string(); "submission not confirmed");
                }
            }
        }
        Err(ClientAnswer::Unclear)
    }

    async fn cancel(&self, job: JobKey) -> ClientAnswer {
        let own = self.leadership.borrow().own.clone();
        if own.is_none() {
            match self.leader.call(FleetCall::Cancel { job }).await {
                LeaderAnswer::Answered(FleetReply::Cancelled) => return ClientAnswer::Cancelled,
                LeaderAnswer::Answered(FleetReply::Unknown) => return ClientAnswer::UnknownJob,
                _ => {}
            }
        }
        let answer = self.store_cancellation(job, own.as_ref()).await;
        if let (Some(schedule), ClientAnswer::Cancelled) = (own, &answer) {
            schedule.tell(lacewingrail_fleet::FleetEvent::JobCancelled(job)).await;
        }
        answer
    }

    async fn store_cancellation(
        &self,
        job: JobKey,
        schedule: Option<&ScheduleSender>,
    ) -> ClientAnswer {
        let known = match schedule {
            Some(schedule) => {
                matches!(schedule.0.ask(AskStanding(job)).await, Ok(StandingReply::Known(_)))
            }
            None => false,
        };
        if !known {
            match self.context.store.get(&job_key(job)).await {
                Ok(Some(_)) => {}
                Ok(None) => return ClientAnswer::UnknownJob,
                Err(error) => return unavailable(&error),
            }
        }
        let write = KeyWrite { key: cancel_key(job), value: String::new(), lease: None };
        let batch = StoreBatch { writes: vec![write], ..StoreBatch::default() };
        match self.context.store.commit(batch).await {
            Ok(_) => ClientAnswer::Cancelled,
            Err(StoreError::Unclear(_)) => ClientAnswer::Unclear,
            Err(error) => unavailable(&error),
        }
    }

    async fn ask(&self, job: JobKey) -> ClientAnswer {
        let own = self.leadership.borrow().own.clone();
        match own {
            Some(schedule) => {
                if let Ok(StandingReply::Known(standing)) = schedule.0.ask(AskStanding(job)).await {
                    return ClientAnswer::Standing(standing);
                }
            }
            None => match self.leader.call(FleetCall::State { job }).await {
                LeaderAnswer::Answered(FleetReply::State(standing)) => {
                    return ClientAnswer::Standing(standing);
                }
                LeaderAnswer::Answered(FleetReply::Unknown) => return ClientAnswer::UnknownJob,
                _ => {}
            },
        }
        match self.read_standing(job).await {
            Ok(Some(standing)) => ClientAnswer::Standing(standing),
            Ok(None) => ClientAnswer::UnknownJob,
            Err(error) => unavailable(&error),
        }
    }

    /// Reads how far a job has come from the key-value service.
    async fn read_standing(&self, job: JobKey) -> Result<Option<JobStanding>, StoreError> {
        let store = &self.context.store;
        if store.get(&job_key(job)).await?.is_none() {
            return Ok(None);
        }
        let progress = match store.get(&progress_key(job)).await? {
            Some(entry) => Some(
                serde_json::from_str::<JobProgress>(&entry.value)
                    .map_err(|error| StoreError::Malformed(error.to_string()))?,
            ),
            None => None,
        };
        let phase = progress.as_ref().map_or(JobPhase::Active, |progress| progress.phase);
        if phase == JobPhase::Active && store.get(&cancel_key(job)).await?.is_some() {
            return Ok(Some(JobStanding::Cancelled));
        }
        let begun = progress.is_some_and(|progress| progress.begun);
        Ok(Some(match phase {
            JobPhase::Completed => JobStanding::Completed,
            JobPhase::Failed => JobStanding::Failed,
            JobPhase::Cancelled => JobStanding::Cancelled,
            JobPhase::Active if begun => JobStanding::Running,
            JobPhase::Active => JobStanding::Queued,
        }))
    }

    async fn pending(&self, queue: &str) -> ClientAnswer {
        let own = self.leadership.borrow().own.clone();
        let count = match own {
            Some(schedule) => match schedule.0.ask(AskPending(queue.to_owned())).await {
                Ok(count) => count.map(|count| count as u64),
                Err(_) => None,
            },
            None => match self.leader.call(FleetCall::Pending { queue: queue.to_owned() }).await {
                LeaderAnswer::Answered(FleetReply::Pending(count)) => Some(count),
                _ => None,
            },
        };
        match count {
            Some(count) => ClientAnswer::Pending(count),
            None => ClientAnswer::Unavailable {
                reason: "no scheduler is active".to_owned(),
                retry: OUTAGE_RETRY,
            },
        }
    }

    /// Answers a call that a peer has handed on.
    pub async fn answer_peer(&self, call: FleetCall) -> FleetReply {
        let Some(schedule) = self.leadership.borrow().own.clone() else {
            return FleetReply::NotActive;
        };
        match call {
            FleetCall::Submit { job, record } => {
                let Ok(submission) = serde_json::from_str::<JobSubmission>(&record) else {
                    log::error!(job = format!("{job:016x}"); "a peer sent a malformed submission");
                    return FleetReply::NotActive;
                };
                match self.submit_to(&schedule, submission).await {
                    ClientAnswer::Accepted => FleetReply::Accepted,
                    // Whether the store refuses is for the peer's own path to the store to tell.
                    ClientAnswer::NotAccepted { retry, .. } if retry != UNFIT_RETRY => {
                        FleetReply::NotActive
                    }
                    ClientAnswer::NotAccepted { reason, retry } => {
                        FleetReply::NotAccepted { reason, retry_ms: millis(retry) }
                    }
                    _ => FleetReply::Unclear,
                }
            }
            FleetCall::Cancel { job } => match self.cancel(job).await {
                ClientAnswer::Cancelled => FleetReply::Cancelled,
                ClientAnswer::UnknownJob => FleetReply::Unknown,
                _ => FleetReply::Unclear,
            },
            FleetCall::State { job } => match self.ask(job).await {
                ClientAnswer::Standing(standing) => FleetReply::State(standing),
                ClientAnswer::UnknownJob => FleetReply::Unknown,
                _ => FleetReply::NotActive,
            },
            FleetCall::Pending { queue } => match self.pending(&queue).await {
                ClientAnswer::Pending(count) => FleetReply::Pending(count),
                _ => FleetReply::NotActive,
            },
            FleetCall::Probe if self.context.health.outage().is_some() => FleetReply::NotActive,
            FleetCall::Probe => FleetReply::Serving,
        }
    }
}

/// Reads a job id: 16 hexadecimal digits in lower case.
fn parse_job(text: &str) -> Option<JobKey> {
    let digits = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    let valid = text.len() == 16 && text.bytes().all(digits);
    if valid { u64::from_str_radix(text, 16).ok() } else { None }
}

fn unavailable(error: &StoreError) -> ClientAnswer {
    ClientAnswer::Unavailable { reason: error.to_string(), retry: OUTAGE_RETRY }
}
