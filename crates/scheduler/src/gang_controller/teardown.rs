//! Checkpointing and stopping of whole gangs.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use lacewingrail_model::timer::TimerService;
use lacewingrail_model::worker::{MemberId, WorkerError, WorkerService, WorkerSpec};
use lacewingrail_model::{Epoch, JobId};
use tracing::Instrument;

use super::{CheckpointEnded, EventSink, GangController, GangEvent, TeardownEnded};
use crate::gang::{GangEnd, GangPhase};

/// Timeout of a stop call.
const STOP_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay before a failed stop is repeated.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(250);

struct MemberStopper {
    workers: Arc<dyn WorkerService>,
    on_event: EventSink,
    timer: TimerService,
    epoch: Epoch,
}

impl GangController {
    /// Requests a checkpoint from all members and then stops the gang.
    pub(super) fn checkpoint(&mut self, job: &JobId, grace: Duration) {
        let Some(gang) = self.gangs.get_mut(job) else {
            return;
        };
        (gang.phase, gang.phase_since) = (GangPhase::Checkpointing, Instant::now());
        let starter = &self.settings.starter;
        let (workers, epoch, actor_ref) =
            (starter.workers.clone(), starter.epoch, self.actor_ref.clone());
        let (job, attempt) = (job.clone(), gang.plan.attempt);
        let members = gang.plan.members.clone();
        tokio::spawn(async move {
            let calls = members.iter().map(|member| async {
                let call = workers.checkpoint(&member.worker, epoch, &member.id);
                tokio::time::timeout(grace, call).await.ok()?.ok()
            });
            let checkpoints = join_all(calls).await;
            let _ = actor_ref.tell(CheckpointEnded { job, attempt, checkpoints }).try_send();
        });
    }

    /// Stops all members. The attempt ends when each member is confirmed stopped or its lease has
    /// expired.
    pub(super) fn tear_down(&mut self, job: &JobId, end: GangEnd) {
        let Some(gang) = self.gangs.get_mut(job) else {
            return;
        };
        if gang.phase == GangPhase::Stopping {
            return;
        }
        if !matches!(end, GangEnd::Stopped) {
            log::info!("attempt {} of job {job} ends: {end:?}", gang.plan.attempt);
        }
        (gang.phase, gang.phase_since) = (GangPhase::Stopping, Instant::now());
        gang.end = Some(end);
        gang.cancel.send_replace(true);
        let stopper = MemberStopper {
            workers: self.settings.starter.workers.clone(),
            on_event: self.settings.on_event.clone(),
            timer: self.settings.context.timer.clone(),
            epoch: self.settings.starter.epoch,
        };
        let members: Vec<_> = gang
            .members
            .iter()
            .map(|member| {
                (
                    member.placement.worker.clone(),
                    member.placement.id.clone(),
                    member.lease_expires_at,
                )
            })
            .collect();
        let (job, attempt, actor_ref) = (job.clone(), gang.plan.attempt, self.actor_ref.clone());
        let span = tracing::info_span!("gang_stop", job = %job, attempt);
        let stop = async move {
            let stops = members.iter().map(|(worker, member, lease_expires_at)| {
                stopper.stop(worker, member, *lease_expires_at)
            });
            join_all(stops).await;
            let _ = actor_ref.tell(TeardownEnded { job, attempt }).try_send();
        };
        tokio::spawn(stop.instrument(span));
    }

    /// Stops a member that belongs to no gang. A lost call is repeated after the worker's next
    /// report.
    pub(super) fn stop_orphan(&self, worker: &Arc<WorkerSpec>, member: MemberId) {
        let label = crate::metrics::DomainLabel { domain: self.settings.domain.clone() };
        self.settings.context.metrics.orphans.get_or_create(&label).inc();
        log::warn!(
            "worker {} holds member {member}, which belongs to no gang; stopping it",
            worker.id
        );
        let (worker, starter) = (worker.clone(), self.settings.starter.clone());
        tokio::spawn(async move {
            let call = starter.workers.stop(&worker, starter.epoch, &member);
            let _ = tokio::time::timeout(STOP_TIMEOUT, call).await;
        });
    }
}

impl MemberStopper {
    /// Stops a member; returns once this is confirmed or the lease of the member has expired.
    async fn stop(&self, worker: &WorkerSpec, member: &MemberId, lease_expires_at: Instant) {
        while Instant::now() < lease_expires_at {
            let call = self.workers.stop(worker, self.epoch, member);
            match tokio::time::timeout(STOP_TIMEOUT, call).await {
                Ok(Ok(()) | Err(WorkerError::UnknownMember)) => return,
                Ok(Err(WorkerError::StaleEpoch { seen })) => {
                    (self.on_event)(GangEvent::StaleEpoch { seen });
                    return;
                }
                Ok(Err(_)) | Err(_) => self.timer.wait(STOP_RETRY_DELAY).await,
            }
        }
    }
}
