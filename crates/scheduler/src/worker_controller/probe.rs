//! Trial tasks on quarantined workers.

use std::sync::Arc;
use std::time::Duration;

use lacewingrail_model::WorkerId;
use lacewingrail_model::worker::{
    MemberId, RESERVE_TTL, ReserveRequest, TASK_LEASE_TTL, WorkerError, WorkerSpec,
};

use super::{ProbeEnded, WorkerController};
use crate::gang_start::GangStarter;

/// Prefix of the job ids of probes.
pub const PROBE_PREFIX: &str = "probe~";
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(3);
/// Work of a probe in milliseconds.
const PROBE_WORK_MS: u64 = 1;

impl WorkerController {
    /// Starts a trial task on a worker and reports its outcome.
    pub(super) fn probe(&self, worker: &WorkerId) {
        let Some(tracked) = self.workers.get(worker) else {
            return;
        };
        let (spec, starter, actor_ref) =
            (tracked.spec.clone(), self.settings.starter.clone(), self.actor_ref.clone());
        tokio::spawn(async move {
            let succeeded = tokio::time::timeout(PROBE_TIMEOUT, run(&starter, &spec)).await;
            let succeeded = matches!(succeeded, Ok(Ok(())));
            let _ = actor_ref.tell(ProbeEnded { worker: spec.id.clone(), succeeded }).try_send();
        });
    }
}

async fn run(starter: &GangStarter, spec: &Arc<WorkerSpec>) -> Result<(), WorkerError> {
    let job = format!("{PROBE_PREFIX}{}~{:08x}", spec.id, rand::random::<u32>());
    let member = MemberId { job, attempt: 1, index: 0 };
    let request = ReserveRequest {
        member: member.clone(),
        gang_members: 1,
        accelerators: spec.accelerators.min(1),
        cores: 0,
        memory_mb: 0,
        ttl_ms: u64::try_from(RESERVE_TTL.as_millis()).unwrap_or(u64::MAX),
        command: "true".to_owned(),
        work_ms: PROBE_WORK_MS,
    };
    let (workers, epoch) = (&starter.workers, starter.epoch);
    workers.reserve(spec, epoch, request).await?;
    workers.commit(spec, epoch, &member, TASK_LEASE_TTL).await?;
    // A probe starts a task, so it needs the start permission.
    let registered = starter.permission.register_call().map_err(|_| WorkerError::PermissionExpired);
    let (call_id, remaining) = registered?;
    let started = workers.start(spec, epoch, &member, remaining).await;
    if !matches!(started, Err(WorkerError::Unclear { .. })) {
        starter.permission.complete_call(call_id);
    }
    let _ = workers.stop(spec, epoch, &member).await;
    started
}
