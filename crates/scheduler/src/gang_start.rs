//! The start protocol of a gang: reserve, commit, start.
//!
//! Each step is sent to all members at once and must succeed on all of them before the next step
//! begins. All calls are idempotent, so a call whose answer was lost is repeated. No task runs
//! before every member is committed, and every start call carries the time for which it is still
//! permitted.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use lacewingrail_model::Epoch;
use lacewingrail_model::invariant::{InvariantName, check};
use lacewingrail_model::timer::TimerService;
use lacewingrail_model::worker::{
    RESERVE_TTL, ReserveRequest, TASK_LEASE_TTL, WorkerError, WorkerService,
};
use tokio::sync::watch;

use crate::gang::{GangEnd, GangPlan, PlannedMember};
use crate::permission::{PERMISSION_TTL, StartPermission};

/// Timeout of the reserve step. Together with the commit step it ends before an unused reservation
/// expires.
const RESERVE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout of the commit step.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout of a single call.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before a call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Runs the start protocol under one epoch.
#[derive(Clone)]
pub struct GangStarter {
    /// Client of the workers.
    pub workers: Arc<dyn WorkerService>,
    /// Permission that every start call needs.
    pub permission: Arc<StartPermission>,
    /// Timer for the delays between calls.
    pub timer: TimerService,
    /// Epoch of the active scheduler, sent with every call as its fencing token.
    pub epoch: Epoch,
}

/// Outcome of a start.
#[derive(Clone, Debug)]
pub struct StartReport {
    /// Reason for the failure; `None` if all members run.
    pub failure: Option<GangEnd>,
    /// Send time of the newest successful call to each member.
    pub confirmed_at: Vec<Option<Instant>>,
    /// Highest epoch that a worker has seen; `None` if no worker rejected the epoch.
    pub higher_epoch: Option<Epoch>,
}

enum StartStep {
    Reserve,
    Commit,
    Start,
}

impl GangStarter {
    /// Runs all steps of the protocol.
    pub async fn start(&self, plan: &GangPlan, cancel: watch::Receiver<bool>) -> StartReport {
        let mut confirmed_at = vec![None; plan.members.len()];
        for step in [StartStep::Reserve, StartStep::Commit, StartStep::Start] {
            if let Some(report) = self.run_step(plan, &step, &cancel, &mut confirmed_at).await {
                return report;
            }
        }
        StartReport { failure: None, confirmed_at, higher_epoch: None }
    }

    /// Runs the start step for a gang that a takeover found with all members committed.
    pub async fn resume(&self, plan: &GangPlan, cancel: watch::Receiver<bool>) -> StartReport {
        let mut confirmed_at = vec![None; plan.members.len()];
        match self.run_step(plan, &StartStep::Start, &cancel, &mut confirmed_at).await {
            Some(report) => report,
            None => StartReport { failure: None, confirmed_at, higher_epoch: None },
        }
    }

    async fn run_step(
        &self,
        plan: &GangPlan,
        step: &StartStep,
        cancel: &watch::Receiver<bool>,
        confirmed_at: &mut [Option<Instant>],
    ) -> Option<StartReport> {
        if *cancel.borrow() {
            return Some(failure_report(GangEnd::Stopped, confirmed_at, None));
        }
        let timeout = match step {
            StartStep::Reserve => RESERVE_TIMEOUT,
            StartStep::Commit => COMMIT_TIMEOUT,
            StartStep::Start => PERMISSION_TTL,
        };
        let deadline = Instant::now() + timeout;
        let calls =
            plan.members.iter().map(|member| self.call_with_retry(plan, member, step, deadline));
        let mut failures = Vec::new();
        let (mut higher_epoch, mut denial) = (None, None);
        for (index, outcome) in join_all(calls).await.into_iter().enumerate() {
            match outcome {
                Ok(sent) => confirmed_at[index] = confirmed_at[index].max(Some(sent)),
                Err(WorkerError::StaleEpoch { seen }) => {
                    higher_epoch = higher_epoch.max(Some(seen))
                }
                Err(WorkerError::PermissionExpired) => {
                    denial = Some(WorkerError::PermissionExpired)
                }
                Err(error) => failures.push((plan.members[index].worker.id.clone(), error)),
            }
        }
        if higher_epoch.is_some() {
            return Some(failure_report(GangEnd::Stopped, confirmed_at, higher_epoch));
        }
        if !failures.is_empty() {
            return Some(failure_report(GangEnd::StartFailed(failures), confirmed_at, None));
        }
        denial.map(|denial| {
            failure_report(GangEnd::NotPermitted(denial.to_string()), confirmed_at, None)
        })
    }

    /// Calls one member until the outcome is known or the deadline passes; returns the send time of
    /// the successful call.
    async fn call_with_retry(
        &self,
        plan: &GangPlan,
        member: &PlannedMember,
        step: &StartStep,
        deadline: Instant,
    ) -> Result<Instant, WorkerError> {
        loop {
            let sent = Instant::now();
            let call = self.call(plan, member, step);
            let outcome = tokio::time::timeout(CALL_TIMEOUT, call).await.unwrap_or_else(|_| {
                Err(WorkerError::Unclear { reason: "no answer in time".to_owned() })
            });
            match outcome {
                Ok(()) => return Ok(sent),
                Err(WorkerError::Unclear { .. } | WorkerError::Unreachable { .. })
                    if Instant::now() + RETRY_DELAY < deadline =>
                {
                    self.timer.wait(RETRY_DELAY).await;
                }
                Err(error) => return Err(error),
            }
        }
    }

    async fn call(
        &self,
        plan: &GangPlan,
        member: &PlannedMember,
        step: &StartStep,
    ) -> Result<(), WorkerError> {
        let worker = member.worker.as_ref();
        match step {
            StartStep::Reserve => {
                let request = ReserveRequest {
                    member: member.id.clone(),
                    gang_members: u32::try_from(plan.members.len()).unwrap_or(u32::MAX),
                    accelerators: member.accelerators,
                    cores: plan.cores,
                    memory_mb: plan.memory_mb,
                    ttl_ms: u64::try_from(RESERVE_TTL.as_millis()).unwrap_or(u64::MAX),
                    command: plan.command.clone(),
                    work_ms: plan.work_ms,
                };
                self.workers.reserve(worker, self.epoch, request).await
            }
            StartStep::Commit => {
                self.workers.commit(worker, self.epoch, &member.id, TASK_LEASE_TTL).await
            }
            StartStep::Start => {
                let Ok((call_id, not_after)) = self.permission.register_call() else {
                    return Err(WorkerError::PermissionExpired);
                };
                check(InvariantName::DomainOutNoStart, not_after <= PERMISSION_TTL, || {
                    format!("the start of {} is permitted for {not_after:?}", member.id)
                });
                let result = self.workers.start(worker, self.epoch, &member.id, not_after).await;
                // A call without an answer can still arrive until its permission expires.
                if !matches!(result, Err(WorkerError::Unclear { .. })) {
                    self.permission.complete_call(call_id);
                }
                result
            }
        }
    }
}

fn failure_report(
    failure: GangEnd,
    confirmed_at: &[Option<Instant>],
    higher_epoch: Option<Epoch>,
) -> StartReport {
    StartReport { failure: Some(failure), confirmed_at: confirmed_at.to_vec(), higher_epoch }
}
