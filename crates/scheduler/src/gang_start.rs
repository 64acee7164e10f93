//! The start of a gang: reserve, commit, start.
//!
//! Each step goes to all members at once and must succeed on all of them before the next begins. A
//! call whose answer was lost is repeated, since all calls are idempotent. Nothing runs before every
//! member is committed, and every start call carries the time for which it is still permitted.

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

/// Longest time of the reserve step. With that of the commit step it stays within the time after
/// which a reservation frees itself.
const RESERVE_LIMIT: Duration = Duration::from_millis(1_000);
/// Longest time of the commit step.
const COMMIT_LIMIT: Duration = Duration::from_millis(900);
/// Longest time of one call.
const CALL_LIMIT: Duration = Duration::from_millis(500);
/// Pause before a call is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Starts gangs under one epoch.
#[derive(Clone)]
pub struct GangStarter {
    /// Workers.
    pub workers: Arc<dyn WorkerService>,
    /// Permission to start.
    pub permission: Arc<StartPermission>,
    /// Timer service.
    pub timer: TimerService,
    /// Epoch of the active scheduler.
    pub epoch: Epoch,
}

/// States how a start ended.
#[derive(Clone, Debug)]
pub struct StartReport {
    /// Nothing when all members run.
    pub failure: Option<GangEnd>,
    /// When the newest successful call to each member was sent.
    pub evidence: Vec<Option<Instant>>,
    /// Higher epoch that a worker has seen, if any.
    pub stale: Option<Epoch>,
}

enum Step {
    Reserve,
    Commit,
    Start,
}

impl GangStarter {
    /// Takes a gang from nothing to running.
    pub async fn run(&self, plan: &GangPlan, cancel: watch::Receiver<bool>) -> StartReport {
        let mut evidence = vec![None; plan.members.len()];
        for step in [Step::Reserve, Step::Commit, Step::Start] {
            if let Some(report) = self.take_step(plan, &step, &cancel, &mut evidence).await {
                return report;
            }
        }
        StartReport { failure: None, evidence, stale: None }
    }

    /// Starts the members of a gang whose members are all committed, after a takeover.
    pub async fn resume(&self, plan: &GangPlan, cancel: watch::Receiver<bool>) -> StartReport {
        let mut evidence = vec![None; plan.members.len()];
        match self.take_step(plan, &Step::Start, &cancel, &mut evidence).await {
            Some(report) => report,
            None => StartReport { failure: None, evidence, stale: None },
        }
    }

    async fn take_step(
        &self,
        plan: &GangPlan,
        step: &Step,
        cancel: &watch::Receiver<bool>,
        evidence: &mut [Option<Instant>],
    ) -> Option<StartReport> {
        if *cancel.borrow() {
            return Some(report(GangEnd::Stopped, evidence, None));
        }
        let limit = match step {
            Step::Reserve => RESERVE_LIMIT,
            Step::Commit => COMMIT_LIMIT,
            Step::Start => PERMISSION_TTL,
        };
        let deadline = Instant::now() + limit;
        let calls = plan.members.iter().map(|member| self.repeat(plan, member, step, deadline));
        let mut failures = Vec::new();
        let (mut stale, mut denial) = (None, None);
        for (index, outcome) in join_all(calls).await.into_iter().enumerate() {
            match outcome {
                Ok(sent) => evidence[index] = evidence[index].max(Some(sent)),
                Err(WorkerError::StaleEpoch { seen }) => stale = stale.max(Some(seen)),
                Err(WorkerError::PermissionExpired) => {
                    denial = Some(WorkerError::PermissionExpired)
                }
                Err(error) => failures.push((plan.members[index].worker.id.clone(), error)),
            }
        }
        if stale.is_some() {
            return Some(report(GangEnd::Stopped, evidence, stale));
        }
        if !failures.is_empty() {
            return Some(report(GangEnd::StartFailed(failures), evidence, None));
        }
        denial.map(|denial| report(GangEnd::NotPermitted(denial.to_string()), evidence, None))
    }

    /// Calls one member until the outcome is known; returns when the successful call was sent.
    async fn repeat(
        &self,
        plan: &GangPlan,
        member: &PlannedMember,
        step: &Step,
        deadline: Instant,
    ) -> Result<Instant, WorkerError> {
        loop {
            let sent = Instant::now();
            let call = self.call(plan, member, step);
            let outcome = tokio::time::timeout(CALL_LIMIT, call).await.unwrap_or_else(|_| {
                Err(WorkerError::Unclear { reason: "no answer in time".to_owned() })
            });
            match outcome {
                Ok(()) => return Ok(sent),
                Err(WorkerError::Unclear { .. } | WorkerError::Unreachable { .. })
                    if Instant::now() + RETRY_PAUSE < deadline =>
                {
                    self.timer.wait(RETRY_PAUSE).await;
                }
                Err(error) => return Err(error),
            }
        }
    }

    async fn call(
        &self,
        plan: &GangPlan,
        member: &PlannedMember,
        step: &Step,
    ) -> Result<(), WorkerError> {
        let worker = member.worker.as_ref();
        match step {
            Step::Reserve => {
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
            Step::Commit => {
                self.workers.commit(worker, self.epoch, &member.id, TASK_LEASE_TTL).await
            }
            Step::Start => {
                let Ok((number, not_after)) = self.permission.open_call() else {
                    return Err(WorkerError::PermissionExpired);
                };
                check(InvariantName::DomainOutNoStart, not_after <= PERMISSION_TTL, || {
                    format!("the start of {} is permitted for {not_after:?}", member.id)
                });
                let result = self.workers.start(worker, self.epoch, &member.id, not_after).await;
                // After a lost answer the call may still arrive until its permission ends.
                if !matches!(result, Err(WorkerError::Unclear { .. })) {
                    self.permission.close_call(number);
                }
                result
            }
        }
    }
}

fn report(failure: GangEnd, evidence: &[Option<Instant>], stale: Option<Epoch>) -> StartReport {
    StartReport { failure: Some(failure), evidence: evidence.to_vec(), stale }
}
