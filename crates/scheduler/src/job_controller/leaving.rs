//! Jobs that go to another failure domain and jobs that arrive.

use std::time::Duration;

use kameo::message::{Context, Message};
use lacewingrail_model::clock::unix_millis;
use lacewingrail_model::{DomainName, JobId};

use super::{JobController, JobEntry, JobPhase};
use crate::handover::{self, ArrivalOutcome};

/// Time that a job waits before it goes to a domain with room.
const MOVE_AFTER: Duration = Duration::from_secs(5);
/// Share of its age that a job waits in each domain, so that a job that fits nowhere moves ever
/// less often.
const MOVE_AGE_SHARE: f64 = 0.25;
/// Pause before a failed step is repeated.
const RETRY: Duration = Duration::from_millis(500);
/// Jobs that leave in one round, so that a burst does not fill the store's write rate.
const MAX_LEAVING: usize = 32;

pub(crate) struct Sent {
    job: JobId,
    done: bool,
}

pub(crate) struct Received {
    job: JobId,
    outcome: ArrivalOutcome,
}

impl Message<Sent> for JobController {
    type Reply = ();

    async fn handle(&mut self, message: Sent, _context: &mut Context<Self, ()>) {
        if message.done {
            self.forget(&message.job);
        } else {
            self.send_away(&message.job);
        }
    }
}

impl Message<Received> for JobController {
    type Reply = ();

    async fn handle(&mut self, message: Received, _context: &mut Context<Self, ()>) {
        let Received { job, outcome } = message;
        let Some(entry) = self.jobs.get_mut(&job).filter(|entry| entry.phase == JobPhase::Arriving)
        else {
            return;
        };
        match outcome {
            ArrivalOutcome::Confirmed(confirmed) => {
                // A cancellation may have been seen since.
                if confirmed.1 >= entry.revision {
                    (entry.record, entry.revision) = *confirmed;
                }
                // The first attempt's record drops the mark of the arrival.
                if entry.record.state.is_final() {
                    self.end(&job);
                } else {
                    self.enqueue(&job);
                }
            }
            ArrivalOutcome::Ghost => self.forget(&job),
            ArrivalOutcome::Failed(error) => {
                log::warn!("the arrival of job {job} is not confirmed yet: {error}");
                self.receive(&job);
            }
        }
    }
}

impl JobController {
    /// Hands waiting jobs to domains that can run them sooner.
    pub(super) fn hand_over(&mut self) {
        let context = &self.settings.context;
        let own = &self.settings.domain;
        let config = context.membership.current();
        let schedulers = context.membership.schedulers();
        let Some(region) = config.domains.get(own).map(|settings| settings.region.clone()) else {
            return;
        };
        let out = self.out_handled;
        let mut room: Vec<(DomainName, u32)> = config
            .domains
            .iter()
            .filter(|(name, settings)| {
                *name != own && settings.region == region && !context.membership.is_out(name)
            })
            .filter_map(|(name, _)| Some((name.clone(), schedulers.get(name)?.free_accelerators)))
            .collect();
        if room.is_empty() {
            return;
        }
        let now = context.now();
        let mut moves = Vec::new();
        for (job, entry) in &self.jobs {
            if moves.len() >= MAX_LEAVING {
                break;
            }
            if entry.phase != JobPhase::Waiting || !(out || waited(entry, now)) {
                continue;
            }
            let spec = &entry.record.spec;
            let need = spec.shape.total();
            let allowed =
                |name: &DomainName| spec.domains.is_empty() || spec.domains.contains(name);
            let target = room
                .iter_mut()
                .filter(|(name, free)| allowed(name) && (out || *free >= need.max(1)))
                .max_by_key(|(_, free)| *free);
            // A job within its guarantee stays, because its share here is reclaimed for it.
            if let Some((name, free)) = target
                && (out || !self.planner.is_entitled(job))
            {
                *free = free.saturating_sub(need);
                moves.push((job.clone(), name.clone()));
            }
        }
        for (job, target) in moves {
            self.leave(&job, target);
        }
    }

    /// Names the new owner in the record.
    fn leave(&mut self, job: &JobId, target: DomainName) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        log::info!("job {job} goes to failure domain {target}");
        self.planner.remove(job);
        entry.record.owner.clone_from(&target);
        entry.record.arrival = None;
        entry.phase = JobPhase::Leaving(target);
        entry.dirty = true;
        self.settings.context.metrics.handovers.get_or_create(&self.label()).inc();
        self.flush(job);
    }

    /// Creates the new owner's record.
    pub(super) fn send_away(&mut self, job: &JobId) {
        let Some(entry) = self.jobs.get(job) else {
            return;
        };
        let (context, issuer) = (self.settings.context.clone(), self.settings.issuer.clone());
        let (domain, record, me) =
            (self.settings.domain.clone(), entry.record.clone(), self.me.clone());
        tokio::spawn(async move {
            let sent = handover::send(&context, &issuer, &domain, &record).await;
            if let Err(error) = &sent {
                log::warn!("job {} is not handed over yet: {error}", record.id);
                context.timer.wait(RETRY).await;
            }
            let _ = me.tell(Sent { job: record.id, done: sent.is_ok() }).try_send();
        });
    }

    /// Confirms the arrival of a job.
    pub(super) fn receive(&mut self, job: &JobId) {
        let (context, issuer) = (self.settings.context.clone(), self.settings.issuer.clone());
        let (domain, job, me) = (self.settings.domain.clone(), job.clone(), self.me.clone());
        tokio::spawn(async move {
            let outcome = handover::receive(&context, &issuer, &domain, &job).await;
            if matches!(outcome, ArrivalOutcome::Failed(_)) {
                context.timer.wait(RETRY).await;
            }
            let _ = me.tell(Received { job, outcome }).try_send();
        });
    }
}

fn waited(entry: &JobEntry, now: Duration) -> bool {
    let age = Duration::from_millis(unix_millis().saturating_sub(entry.record.submitted_at));
    now.saturating_sub(entry.since) >= MOVE_AFTER.max(age.mul_f64(MOVE_AGE_SHARE))
}
