//! What the planner decides, carried out.

use std::time::Instant;

use kameo::message::{Context, Message};
use lacewingrail_model::JobId;
use lacewingrail_model::clock::unix_millis;
use lacewingrail_model::job::JobState;
use lacewingrail_model::worker::MemberId;
use lacewingrail_placement::{MemberPlacement, PlacementAction};

use super::{GangPlaces, JobController, JobPhase, Pump, StopReason};
use crate::gang::{GangPlan, PlannedMember};
use crate::gang_controller::{StartGang, StopGang};

/// Calls of the planner in a row before other messages are handled.
const MAX_DECISIONS: u32 = 16;

impl Message<Pump> for JobController {
    type Reply = ();

    async fn handle(&mut self, _message: Pump, _context: &mut Context<Self, ()>) {
        self.pump_pending = false;
        self.quiet_ticks = 0;
        if let Err(denial) = self.settings.permission.remaining() {
            self.denial = Some(denial.to_string());
            return;
        }
        self.denial = None;
        self.start_deferred();
        for _ in 0..MAX_DECISIONS {
            let begun = Instant::now();
            let actions = self.planner.decide(self.settings.context.now());
            let elapsed = begun.elapsed().as_secs_f64();
            self.settings.context.metrics.decision_time.observe(elapsed);
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.carry_out(action);
            }
        }
        self.request_pump();
    }
}

impl JobController {
    fn carry_out(&mut self, action: PlacementAction) {
        match action {
            PlacementAction::Start { job, members, guaranteed } => {
                self.decide_start(&job, members, guaranteed);
            }
            PlacementAction::Preempt { victims, on_behalf_of } => {
                for victim in victims {
                    log::info!("job {victim} is preempted for job {on_behalf_of}");
                    self.preemptions += 1;
                    self.settings.context.metrics.preemptions.get_or_create(&self.label()).inc();
                    self.stop(&victim, StopReason::Preempted);
                }
            }
            PlacementAction::Refuse { job, reason } => self.refuse(&job, reason),
        }
    }

    /// Ends a waiting job for good.
    pub(super) fn refuse(&mut self, job: &JobId, reason: String) {
        log::info!("job {job} is refused: {reason}");
        if let Some(entry) = self.jobs.get_mut(job) {
            entry.record.state = JobState::Failed { reason };
            self.planner.remove(job);
            self.end(job);
        }
    }

    fn decide_start(&mut self, job: &JobId, members: Vec<MemberPlacement>, guaranteed: bool) {
        let Some(entry) = self.jobs.get_mut(job).filter(|entry| entry.phase == JobPhase::Waiting)
        else {
            log::error!("the planner starts job {job}, which does not wait; it is released");
            self.planner.release(job);
            return;
        };
        entry.gang = Some(GangPlaces {
            members,
            guaranteed,
            decided: Instant::now(),
            kept_before: entry.record.checkpoint_ms,
            running: false,
        });
        entry.phase = JobPhase::Deferred;
        self.deferred.push_back(job.clone());
        self.start_deferred();
    }

    /// Starts decided gangs in order as far as the rate after a return allows.
    fn start_deferred(&mut self) {
        while let Some(job) = self.deferred.front().cloned() {
            let waits = self.jobs.get(&job).is_some_and(|entry| entry.phase == JobPhase::Deferred);
            if waits {
                if let Err(denial) = self.settings.permission.admit() {
                    self.denial = Some(denial.to_string());
                    return;
                }
                self.claim(&job);
            }
            self.deferred.pop_front();
        }
    }

    /// Writes the record of the new attempt; the gang starts once that is confirmed.
    fn claim(&mut self, job: &JobId) {
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
        self.flush(job);
    }

    /// Hands a claimed gang to the gang controller, or gives the place back.
    pub(super) fn start_claimed(&mut self, job: &JobId) {
        let permitted = self.settings.permission.remaining();
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        if let Err(denial) = permitted {
            log::info!("job {job} does not start: {denial}");
            self.give_back(job);
            return;
        }
        let Some(gang) = &entry.gang else {
            return;
        };
        let record = &entry.record;
        let member = |place: &MemberPlacement| {
            Some(PlannedMember {
                id: MemberId { job: job.clone(), attempt: record.attempt, index: place.index },
                worker: self.specs.get(&place.worker)?.clone(),
                accelerators: place.accelerators,
            })
        };
        let Some(members) = gang.members.iter().map(member).collect::<Option<Vec<_>>>() else {
            log::error!("job {job} is placed on an unknown worker; it waits again");
            self.give_back(job);
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

    /// Returns the place of a gang that never reached a worker.
    pub(super) fn give_back(&mut self, job: &JobId) {
        self.planner.release(job);
        self.enqueue(job);
    }

    /// Stops a gang; what follows its end depends on the reason.
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
                let keeps = matches!(
                    reason,
                    StopReason::Preempted | StopReason::DomainOut { checkpoint: true }
                );
                let grace = (keeps && spec.checkpointable)
                    .then(|| policy.preemption_grace.0.min(crate::MAX_PREEMPTION_GRACE));
                entry.phase = JobPhase::Stopping(reason);
                self.planner.mark_stopping(job);
                let _ = self.settings.gangs.tell(StopGang { job: job.clone(), grace }).try_send();
            }
            JobPhase::Stopping(current) => {
                // A cancellation outweighs what was to follow before.
                if matches!(reason, StopReason::Cancelled | StopReason::Disowned) {
                    let cut = *current != StopReason::Remains;
                    entry.phase = JobPhase::Stopping(reason);
                    if cut {
                        let stop = StopGang { job: job.clone(), grace: None };
                        let _ = self.settings.gangs.tell(stop).try_send();
                    }
                }
            }
            // Nothing has reached a worker yet.
            JobPhase::Deferred | JobPhase::Claiming if reason == StopReason::Preempted => {
                self.give_back(job);
            }
            _ => {}
        }
    }
}
