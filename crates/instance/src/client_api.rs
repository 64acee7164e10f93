//! Handling of client calls and of calls forwarded by peers.
//!
//! A call is checked against the settings in force, then forwarded to the active scheduler. If the
//! scheduler can't be reached, this instance uses the key-value service itself: it stores a
//! submission or a cancellation, which the scheduler finds by its watch, or reads a job's status. A
//! submission is refused only if it is certain that the job was not stored.

use std::sync::Arc;
use std::time::Duration;

use lacewingrail_fleet::spec::QueueName;
use lacewingrail_fleet::{FleetEvent, JobKey, JobSpec, JobSubmission};
use lacewingrail_model::CustomerName;
use lacewingrail_model::clock::{millis, unix_millis};
use lacewingrail_model::message::{FleetCall, FleetReply, JobStatus};
use lacewingrail_model::store::StoreError;
use tokio::sync::watch;

use crate::clock;
use crate::event_sources;
use crate::input_store::{InputStore, SubmissionOutcome};
use crate::leader_client::{LeaderAnswer, LeaderClient};
use crate::leadership::LeadershipView;
use crate::metrics::CallLabels;
use crate::process::InstanceContext;
use crate::schedule_controller::{
    AdmissionReply, CheckAdmission, CountPending, GetStatus, SchedulerHandle, StatusReply,
};
use crate::unclear_jobs::UnclearJobs;

/// Retry delay sent to clients during an outage or without a scheduler: about half the time of a
/// change of leadership, and the shortest delay that the header can express.
const OUTAGE_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Retry delay sent with the refusal of a job that no worker could run until the fleet changes.
const UNSCHEDULABLE_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Longest part of a text that a client chose which is logged, in bytes.
const MAX_EXCERPT_BYTES: usize = 256;

/// Routing and authentication data of a call.
#[derive(Clone, Debug, Default)]
pub struct CallHead {
    /// Host header, without a port.
    pub host: String,
    /// Path, with the route's prefix.
    pub path: String,
    /// API key of the customer; `None` if the call carries none.
    pub api_key: Option<String>,
}

/// Operation that a client calls.
#[derive(Clone, Debug)]
pub enum ClientOperation {
    /// Submission of a job; the error says why the body can't be decoded.
    Submit(Result<JobSpec, String>),
    /// Cancellation of the job that the path names.
    Cancel,
    /// Query of the status of a job, or of the number of pending jobs of a queue.
    Query,
}

/// Answer to a client.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClientAnswer {
    /// The job is accepted and stored.
    Accepted,
    /// The cancellation is stored.
    Cancelled,
    /// Status of the job.
    Standing(JobStatus),
    /// Number of jobs of the queue of which no task has started.
    Pending(u64),
    /// The job was not stored and never runs by this submission.
    NotAccepted {
        /// Reason, shown to the client.
        reason: String,
        /// Delay after which the client should retry.
        retry: Duration,
    },
    /// The job was cancelled before it was stored, and never runs.
    CancelledBefore {
        /// Delay after which the cancellation is removed and the job's id can be used again.
        retry: Duration,
    },
    /// The call can't be served now and had no effect.
    Unavailable {
        /// Reason, shown to the client.
        reason: String,
        /// Delay after which the client should retry.
        retry: Duration,
    },
    /// This process has not read any settings yet.
    NoConfig,
    /// No route matches the host and path.
    UnknownRoute,
    /// The API key is missing or belongs to no customer.
    UnknownKey,
    /// The path or the body is malformed, or the job can never run; the text says why.
    Malformed(String),
    /// No such job is stored: it was never accepted, or its retention has expired.
    UnknownJob,
    /// The call may have taken effect; it is safe to repeat.
    Unclear,
}

impl ClientAnswer {
    /// Returns the outcome for logs and metric labels.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Cancelled => "cancelled",
            Self::Standing(_) => "standing",
            Self::Pending(_) => "pending",
            Self::NotAccepted { .. } => "not-accepted",
            Self::CancelledBefore { .. } => "cancelled-before",
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

/// Handles client calls and those forwarded by peers.
#[derive(Clone)]
pub struct ClientApi {
    context: Arc<InstanceContext>,
    leadership: watch::Receiver<LeadershipView>,
    leader: LeaderClient,
    inputs: InputStore,
    unclear: Arc<UnclearJobs>,
}

impl ClientApi {
    /// Creates a handler that forwards calls through `leader` unless `leadership` shows a scheduler
    /// in this process.
    pub fn new(
        context: Arc<InstanceContext>,
        leadership: watch::Receiver<LeadershipView>,
        leader: LeaderClient,
    ) -> Self {
        let inputs = InputStore::new(context.health.clone());
        Self { context, leadership, leader, inputs, unclear: Arc::default() }
    }

    /// Handles a client call, logs it and counts it.
    pub async fn handle_client_call(
        &self,
        head: CallHead,
        operation: ClientOperation,
    ) -> ClientAnswer {
        let started_at = clock::now();
        let name = match &operation {
            ClientOperation::Submit(_) => "submit",
            ClientOperation::Cancel => "cancel",
            ClientOperation::Query => "ask",
        };
        let answer = self.dispatch(&head, operation).await;
        self.record_answer(&head, name, &answer, clock::now().saturating_sub(started_at));
        answer
    }

    /// Returns the refusal of a submission that its head alone decides, logs it and counts it;
    /// `None` if the body is needed.
    pub fn refuse_submission(&self, head: &CallHead) -> Option<ClientAnswer> {
        let refusal = match self.route_call(head) {
            Ok(routed) => routed.job().err(),
            Err(refusal) => Some(refusal),
        }?;
        self.record_answer(head, "submit", &refusal, Duration::ZERO);
        Some(refusal)
    }

    /// Returns whether an earlier submission of the job that a call names may still take effect, so
    /// that it would be wrong to say that the job never runs.
    pub fn is_unclear(&self, head: &CallHead) -> bool {
        let job = self.route_call(head).and_then(|routed| routed.job());
        job.is_ok_and(|job| self.unclear.contains(job))
    }

    /// Counts and logs an answer.
    fn record_answer(
        &self,
        head: &CallHead,
        operation: &'static str,
        answer: &ClientAnswer,
        elapsed: Duration,
    ) {
        let labels = CallLabels { operation, outcome: answer.name() };
        self.context.metrics.calls.get_or_create(&labels).inc();
        self.context.metrics.call_seconds.observe(elapsed.as_secs_f64());
        let version =
            self.context.operator_state.borrow().tree.as_ref().map_or(0, |tree| tree.version);
        let detail = format!("{answer:?}");
        log::info!(
            operation = operation, host = excerpt(&head.host), path = excerpt(&head.path),
            config = version, outcome = answer.name(), detail = excerpt(&detail),
            taken_ms = millis(elapsed);
            "client call answered"
        );
    }

    /// Finds the route and the customer of a call; the error is the refusal.
    fn route_call(&self, head: &CallHead) -> Result<RoutedCall, ClientAnswer> {
        let Some(tree) = self.context.operator_state.borrow().tree.clone() else {
            return Err(ClientAnswer::NoConfig);
        };
        let Some((route, rest)) = tree.find_route(&head.host, &head.path) else {
            return Err(ClientAnswer::UnknownRoute);
        };
        let customer = head.api_key.as_deref().and_then(|key| tree.find_customer(key));
        if customer.is_none() && !route.public {
            return Err(ClientAnswer::UnknownKey);
        }
        Ok(RoutedCall {
            queue: route.queue.clone(),
            customer: customer.cloned().unwrap_or_default(),
            rest: rest.to_owned(),
        })
    }

    async fn dispatch(&self, head: &CallHead, operation: ClientOperation) -> ClientAnswer {
        let routed = match self.route_call(head) {
            Ok(routed) => routed,
            Err(refusal) => return refusal,
        };
        if routed.rest.is_empty() && matches!(operation, ClientOperation::Query) {
            return self.count_pending(&routed.queue).await;
        }
        let job = match routed.job() {
            Ok(job) => job,
            Err(refusal) => return refusal,
        };
        match operation {
            ClientOperation::Submit(Err(reason)) => ClientAnswer::Malformed(reason),
            ClientOperation::Submit(Ok(spec)) => {
                if let Some(reason) = spec.invalid_reason() {
                    return ClientAnswer::Malformed(reason.to_owned());
                }
                let submission = JobSubmission {
                    key: job,
                    queue: routed.queue,
                    customer: routed.customer,
                    spec,
                    accepted_unix_ms: unix_millis(),
                };
                if let Some(reason) = self.oversize_reason(&submission) {
                    return ClientAnswer::Malformed(reason);
                }
                let attempt = self.unclear.begin(job);
                let answer = self.submit(submission).await;
                attempt.finish(answer)
            }
            ClientOperation::Cancel => self.cancel(job).await,
            ClientOperation::Query => self.job_status(job).await,
        }
    }

    /// Returns why a job is too large to be stored; `None` if it is not.
    fn oversize_reason(&self, submission: &JobSubmission) -> Option<String> {
        let limit = self.context.settings.max_record_bytes;
        // The estimate is above the size of the record.
        if submission.spec.memory_bytes() <= limit as u64 {
            return None;
        }
        let bytes = serde_json::to_vec(submission).map_or(usize::MAX, |record| record.len());
        (bytes > limit).then(|| format!("the job's record has {bytes} bytes, over {limit}"))
    }

    async fn submit(&self, submission: JobSubmission) -> ClientAnswer {
        let local_scheduler = self.leadership.borrow().local_scheduler.clone();
        if let Some(scheduler) = local_scheduler {
            return self.submit_to_scheduler(&scheduler, submission).await;
        }
        let Ok(record) = serde_json::to_string(&submission) else {
            return ClientAnswer::Malformed("the job can't be stored".to_owned());
        };
        let call = FleetCall::Submit { job: submission.key, record };
        let answer = self.leader.call(call).await;
        match answer {
            LeaderAnswer::Answered(FleetReply::Accepted) => return ClientAnswer::Accepted,
            LeaderAnswer::Answered(FleetReply::CancelledBefore { retry_ms }) => {
                return ClientAnswer::CancelledBefore { retry: Duration::from_millis(retry_ms) };
            }
            LeaderAnswer::Answered(FleetReply::NotAccepted { reason, retry_ms }) => {
                let retry = Duration::from_millis(retry_ms);
                return ClientAnswer::NotAccepted { reason, retry };
            }
            _ => {}
        }
        let not_executed = matches!(
            answer,
            LeaderAnswer::NotReached | LeaderAnswer::Answered(FleetReply::NotActive)
        );
        match self.inputs.submit(&submission).await {
            // The scheduler may have stored the job, so a failed write of this instance does not
            // prove that the job is not stored.
            SubmissionOutcome::NotStored(_) if !not_executed => ClientAnswer::Unclear,
            outcome => self.submission_answer(outcome),
        }
    }

    /// Submits a job to the active scheduler of this process.
    async fn submit_to_scheduler(
        &self,
        scheduler: &SchedulerHandle,
        submission: JobSubmission,
    ) -> ClientAnswer {
        match scheduler.0.ask(CheckAdmission(submission.clone())).await {
            Ok(AdmissionReply::Known) => return ClientAnswer::Accepted,
            Ok(AdmissionReply::Refused(refusal)) => {
                let reason = refusal.to_string();
                let retry = refusal.retry_after().unwrap_or(UNSCHEDULABLE_RETRY_DELAY);
                return ClientAnswer::NotAccepted { reason, retry };
            }
            // An error means that the scheduler has just stopped; the job is then stored without
            // its check, as on an instance without a scheduler.
            Ok(AdmissionReply::Acceptable) | Err(_) => {}
        }
        let outcome = self.inputs.submit(&submission).await;
        // The scheduler loads an earlier submission from the store, together with its progress.
        if outcome == SubmissionOutcome::Created {
            scheduler.tell(event_sources::job_accepted(submission, None)).await;
        }
        self.submission_answer(outcome)
    }

    /// Returns the answer to a submission whose write had an outcome.
    fn submission_answer(&self, outcome: SubmissionOutcome) -> ClientAnswer {
        match outcome {
            SubmissionOutcome::Created | SubmissionOutcome::Existing => ClientAnswer::Accepted,
            SubmissionOutcome::Cancelled => {
                let retry = self.context.settings.stored_retention();
                ClientAnswer::CancelledBefore { retry }
            }
            SubmissionOutcome::NotStored(reason) => {
                ClientAnswer::NotAccepted { reason, retry: OUTAGE_RETRY_DELAY }
            }
            SubmissionOutcome::Unclear => ClientAnswer::Unclear,
        }
    }

    async fn cancel(&self, job: JobKey) -> ClientAnswer {
        let local_scheduler = self.leadership.borrow().local_scheduler.clone();
        match local_scheduler {
            Some(scheduler) => self.cancel_at_scheduler(&scheduler, job).await,
            None => match self.leader.call(FleetCall::Cancel { job }).await {
                LeaderAnswer::Answered(FleetReply::Cancelled) => ClientAnswer::Cancelled,
                LeaderAnswer::Answered(FleetReply::Unknown) => ClientAnswer::UnknownJob,
                _ => self.store_cancellation(job, false).await,
            },
        }
    }

    /// Cancels a job at the active scheduler of this process.
    async fn cancel_at_scheduler(&self, scheduler: &SchedulerHandle, job: JobKey) -> ClientAnswer {
        let status = scheduler.0.ask(GetStatus(job)).await;
        let is_known = matches!(status, Ok(StatusReply::Known(_)));
        let answer = self.store_cancellation(job, is_known).await;
        if answer == ClientAnswer::Cancelled {
            scheduler.tell(FleetEvent::JobCancelled(job)).await;
        }
        answer
    }

    /// Stores a cancellation, and reads whether its job is stored unless that is known.
    ///
    /// The cancellation is stored in any case, since the submission may be on its way.
    async fn store_cancellation(&self, job: JobKey, is_known: bool) -> ClientAnswer {
        match self.inputs.cancel(job).await {
            Ok(()) if is_known => ClientAnswer::Cancelled,
            Ok(()) => match self.inputs.contains(job).await {
                Ok(false) => ClientAnswer::UnknownJob,
                Ok(true) | Err(_) => ClientAnswer::Cancelled,
            },
            Err(StoreError::Unclear(_)) => ClientAnswer::Unclear,
            Err(error) => unavailable(&error),
        }
    }

    async fn job_status(&self, job: JobKey) -> ClientAnswer {
        let local_scheduler = self.leadership.borrow().local_scheduler.clone();
        match local_scheduler {
            Some(scheduler) => {
                if let Ok(StatusReply::Known(status)) = scheduler.0.ask(GetStatus(job)).await {
                    return ClientAnswer::Standing(status);
                }
            }
            None => match self.leader.call(FleetCall::State { job }).await {
                LeaderAnswer::Answered(FleetReply::State(status)) => {
                    return ClientAnswer::Standing(status);
                }
                LeaderAnswer::Answered(FleetReply::Unknown) => return ClientAnswer::UnknownJob,
                _ => {}
            },
        }
        match self.inputs.job_status(job).await {
            Ok(Some(status)) => ClientAnswer::Standing(status),
            Ok(None) => ClientAnswer::UnknownJob,
            Err(error) => unavailable(&error),
        }
    }

    async fn count_pending(&self, queue: &str) -> ClientAnswer {
        let local_scheduler = self.leadership.borrow().local_scheduler.clone();
        let count = match local_scheduler {
            Some(scheduler) => match scheduler.0.ask(CountPending(queue.to_owned())).await {
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
                retry: OUTAGE_RETRY_DELAY,
            },
        }
    }

    /// Handles a call forwarded by a peer; only the active scheduler serves it.
    pub async fn handle_peer_call(&self, call: FleetCall) -> FleetReply {
        let Some(scheduler) = self.leadership.borrow().local_scheduler.clone() else {
            return FleetReply::NotActive;
        };
        match call {
            FleetCall::Submit { job, record } => {
                let Ok(submission) = serde_json::from_str::<JobSubmission>(&record) else {
                    log::error!(job = format!("{job:016x}"); "malformed submission from a peer");
                    return FleetReply::NotActive;
                };
                match self.submit_to_scheduler(&scheduler, submission).await {
                    ClientAnswer::Accepted => FleetReply::Accepted,
                    // A failure of the store is not returned to the peer, which then tries its own
                    // connection to the store.
                    ClientAnswer::NotAccepted { retry, .. }
                        if retry != UNSCHEDULABLE_RETRY_DELAY =>
                    {
                        FleetReply::NotActive
                    }
                    ClientAnswer::NotAccepted { reason, retry } => {
                        FleetReply::NotAccepted { reason, retry_ms: millis(retry) }
                    }
                    ClientAnswer::CancelledBefore { retry } => {
                        FleetReply::CancelledBefore { retry_ms: millis(retry) }
                    }
                    _ => FleetReply::Unclear,
                }
            }
            FleetCall::Cancel { job } => match self.cancel(job).await {
                ClientAnswer::Cancelled => FleetReply::Cancelled,
                ClientAnswer::UnknownJob => FleetReply::Unknown,
                _ => FleetReply::Unclear,
            },
            FleetCall::State { job } => match self.job_status(job).await {
                ClientAnswer::Standing(status) => FleetReply::State(status),
                ClientAnswer::UnknownJob => FleetReply::Unknown,
                _ => FleetReply::NotActive,
            },
            FleetCall::Pending { queue } => match self.count_pending(&queue).await {
                ClientAnswer::Pending(count) => FleetReply::Pending(count),
                _ => FleetReply::NotActive,
            },
            FleetCall::Probe if self.context.health.outage().is_some() => FleetReply::NotActive,
            FleetCall::Probe => FleetReply::Serving,
        }
    }
}

/// Call whose route and customer are known.
struct RoutedCall {
    queue: QueueName,
    customer: CustomerName,
    /// Path after the route's prefix.
    rest: String,
}

impl RoutedCall {
    /// Returns the job that the path names; the error is the refusal.
    fn job(&self) -> Result<JobKey, ClientAnswer> {
        parse_job_id(&self.rest).ok_or_else(|| {
            let rest = excerpt(&self.rest);
            ClientAnswer::Malformed(format!("{rest:?} is no job id of 16 hex digits"))
        })
    }
}

/// Returns the beginning of a text that a client chose, for logs and answers.
fn excerpt(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_EXCERPT_BYTES)]
}

/// Parses a job id of 16 lower-case hexadecimal digits.
fn parse_job_id(text: &str) -> Option<JobKey> {
    let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    let valid = text.len() == 16 && text.bytes().all(is_digit);
    if valid { u64::from_str_radix(text, 16).ok() } else { None }
}

fn unavailable(error: &StoreError) -> ClientAnswer {
    ClientAnswer::Unavailable { reason: error.to_string(), retry: OUTAGE_RETRY_DELAY }
}
