//! Planning rounds and the application of the planner's decisions.

use std::time::Instant;

use kameo::message::{Context, Message};
use lacewingrail_model::JobId;
use lacewingrail_model::clock::unix_millis;
use lacewingrail_model::job::JobState;
use lacewingrail_model::worker::MemberId;
use lacewingrail_placement::{MemberPlacement, PlacementAction};

use super::{GangPlacement, JobController, JobPhase, RunPlanner, StopReason};
use crate::gang::{GangPlan, PlannedMember};
use crate::gang_controller::{StartGang, StopGang};

/// Maximum consecutive planner calls before other messages are handled.
const MAX_PLANNING_ROUNDS: u32 = 16;

impl Message<RunPlanner> for JobController {
    type Reply = ();

    async fn handle(&mut self, _message: RunPlanner, _context: &mut Context<Self, ()>) {
        self.planning_pending = false;
        self.idle_ticks = 0;
        if let Err(denial) = self.settings.permission.remaining() {
            self.denial = Some(denial.to_string());
            return;
        }
        self.denial = None;
        self.start_deferred();
        for _ in 0..MAX_PLANNING_ROUNDS {
            let started = Instant::now();
            let actions = self.planner.decide(self.settings.context.now());
            let elapsed = started.elapsed().as_secs_f64();
            self.settings.context.metrics.decision_duration.observe(elapsed);
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.apply_action(action);
            }
        }
        self.request_planning();
    }
}

impl JobController {
    fn apply_action(&mut self, action: PlacementAction) {
        match action {
            PlacementAction::Start { job, members, guaranteed } => {
                self.accept_placement(&job, members, guaranteed);
            }
            PlacementAction::Preempt { victims, on_behalf_of } => {
                for victim in victims {
                    log::info!("preempting job {victim} for job {on_behalf_of}");
                    self.preemptions += 1;
                    self.settings.context.metrics.preemptions.get_or_create(&self.label()).inc();
                    self.stop(&victim, StopReason::Preempted);
                }
            }
            PlacementAction::Refuse { job, reason } => self.refuse(&job, reason),
        }
    }

    /// Fails a job that has no gang.
    pub(super) fn refuse(&mut self, job: &JobId, reason: String) {
        log::info!("job {job} is refused: {reason}");
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.record.state = JobState::Failed { reason };
            self.planner.remove(job);
            self.archive(job);
        }
    }

    fn accept_placement(&mut self, job: &JobId, members: Vec<MemberPlacement>, guaranteed: bool) {
        let Some(entry) = self.jobs.get_mut(job).filter(|entry| entry.phase == JobPhase::Queued)
        else {
            log::error!(
                "the planner placed job {job}, which is not queued; releasing the placement"
            );
            self.planner.release(job);
            return;
        };
        entry.gang = Some(GangPlacement {
            members,
            guaranteed,
            decided_at: Instant::now(),
            prior_checkpoint_ms: entry.record.checkpoint_ms,
            running: false,
        });
        entry.phase = JobPhase::Deferred;
        self.deferred.push_back(job.clone());
        self.start_deferred();
    }

    /// Starts placed jobs in order, as far as the rate limit on starts after the domain returns to
    /// service allows.
    fn start_deferred(&mut self) {
        while let Some(job) = self.deferred.front().cloned() {
            let is_deferred =
                self.jobs.get(&job).is_some_and(|entry| entry.phase == JobPhase::Deferred);
            if is_deferred {
                if let Err(denial) = self.settings.permission.admit_start() {
                    self.denial = Some(denial.to_string());
                    return;
                }
                self.claim_attempt(&job);
            }
            self.deferred.pop_front();
        }
    }

    /// Writes the record of a new attempt; the gang starts once the write is confirmed.
    fn claim_attempt(&mut self, job: &JobId) {
        let epoch = self.settings.epoch;
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        let record = &mut entry.record;
        record.state = JobState::Running;
        record.attempt += 1;
        record.epoch = epoch;
        record.arrival = None;
        record.guaranteed = entry.gang.as_ref().is_some_and(|gang| gang.guaranteed);
        record.started_at = Some(unix_millis());
        entry.phase = JobPhase::Claiming;
        entry.dirty = true;
        self.write_record(job);
    }

    /// Passes an attempt with a written record to the gang controller, or releases its placement if
    /// starts are not permitted.
    pub(super) fn start_claimed(&mut self, job: &JobId) {
        let permitted = self.settings.permission.remaining();
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        if let Err(denial) = permitted {
            log::info!("job {job} does not start: {denial}");
            self.release_placement(job);
            return;
        }
        let Some(gang) = &entry.gang else {
            return;
        };
        let record = &entry.record;
        let member = |placement: &MemberPlacement| {
            Some(PlannedMember {
                id: MemberId { job: job.clone(), attempt: record.attempt, index: placement.index },
                worker: self.specs.get(&placement.worker)?.clone(),
                accelerators: placement.accelerators,
            })
        };
        let Some(members) = gang.members.iter().map(member).collect::<Option<Vec<_>>>() else {
            log::error!("job {job} is placed on an unknown worker; queueing it again");
            self.release_placement(job);
            return;
        };
        let plan = GangPlan {
            job: job.clone(),
            attempt: record.attempt,
            members,
            cores: record.spec.cores,
            memory_mb: record.spec.memory_mb,
            command: record.spec.command.clone(),
            work_ms: record.spec.declared_ms.saturating_sub(record.checkpoint_ms),
        };
        entry.phase = JobPhase::Active;
        let _ = self.settings.gangs.tell(StartGang(plan)).try_send();
    }

    /// Releases the placement of a gang before any call reached a worker, and queues the job again.
    pub(super) fn release_placement(&mut self, job: &JobId) {
        self.planner.release(job);
        self.enqueue(job);
    }

    /// Stops the gang of a job; the reason determines what happens to the job afterwards.
    pub(super) fn stop(&mut self, job: &JobId, reason: StopReason) {
        let config = self.settings.context.membership.current();
        let domain = &self.settings.domain;
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        match &entry.phase {
            JobPhase::Active => {
                let spec = &entry.record.spec;
                let policy = config.policy(domain, Some(&spec.customer), None);
                let writes_checkpoint = matches!(
                    reason,
                    StopReason::Preempted | StopReason::DomainOut { checkpoint: true }
                );
                let grace = (writes_checkpoint && spec.checkpointable)
                    .then(|| policy.preemption_grace.0.min(crate::MAX_PREEMPTION_GRACE));
                entry.phase = JobPhase::Stopping(reason);
                self.planner.mark_stopping(job);
                let _ = self.settings.gangs.tell(StopGang { job: job.clone(), grace }).try_send();
            }
            JobPhase::Stopping(current) => {
                // A cancellation or a change of ownership overrides the earlier reason.
                if matches!(reason, StopReason::Cancelled | StopReason::Disowned) {
                    // Members of earlier attempts are already being stopped without a grace period.
                    let must_stop = *current != StopReason::Remains;
                    entry.phase = JobPhase::Stopping(reason);
                    if must_stop {
                        let stop = StopGang { job: job.clone(), grace: None };
                        let _ = self.settings.gangs.tell(stop).try_send();
                    }
                }
            }
            // No call has reached a worker yet.
            JobPhase::Deferred | JobPhase::Claiming if reason == StopReason::Preempted => {
                self.release_placement(job);
            }
            _ => {}
        }
    }
}
