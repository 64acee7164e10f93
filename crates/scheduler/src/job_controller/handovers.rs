//! Handover of jobs to and from other failure domains.

use std::time::Duration;

use kameo::message::{Context, Message};
use lacewingrail_model::clock::unix_millis;
use lacewingrail_model::{DomainName, JobId};

use super::{JobController, JobEntry, JobPhase};
use crate::handover::{self, ReceiveOutcome};

/// Minimum time that a job waits before it is handed over to a domain with free accelerators.
const HANDOVER_DELAY: Duration = Duration::from_secs(5);
/// Fraction of its age that a job waits in each domain, so that a job that fits nowhere moves less
/// and less often.
const HANDOVER_AGE_FRACTION: f64 = 0.25;
/// Delay before a failed step is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Maximum jobs handed over at a time, so that a burst does not exhaust the store's write rate.
const MAX_HANDOVER_BATCH: usize = 32;

pub(crate) struct HandoverSent {
    job: JobId,
    succeeded: bool,
}

pub(crate) struct HandoverReceived {
    job: JobId,
    outcome: ReceiveOutcome,
}

impl Message<HandoverSent> for JobController {
    type Reply = ();

    async fn handle(&mut self, message: HandoverSent, _context: &mut Context<Self, ()>) {
        if message.succeeded {
            self.remove_job(&message.job);
        } else {
            self.send_handover(&message.job);
        }
    }
}

impl Message<HandoverReceived> for JobController {
    type Reply = ();

    async fn handle(&mut self, message: HandoverReceived, _context: &mut Context<Self, ()>) {
        let HandoverReceived { job, outcome } = message;
        let Some(entry) =
            self.jobs.get_mut(&job).filter(|entry| entry.phase == JobPhase::HandoverIn)
        else {
            return;
        };
        match outcome {
            ReceiveOutcome::Confirmed(confirmed) => {
                // A cancellation may have been received in the meantime.
                if confirmed.1 >= entry.revision {
                    (entry.record, entry.revision) = *confirmed;
                }
                // The arrival field is cleared with the record of the next attempt.
                if entry.record.state.is_final() {
                    self.archive(&job);
                } else {
                    self.enqueue(&job);
                }
            }
            ReceiveOutcome::Discarded => self.remove_job(&job),
            ReceiveOutcome::Failed(error) => {
                log::warn!("the handover of job {job} is not confirmed yet, retrying: {error}");
                self.receive_handover(&job);
            }
        }
    }
}

impl JobController {
    /// Hands queued jobs over to domains that can run them sooner.
    pub(super) fn hand_over_jobs(&mut self) {
        let context = &self.settings.context;
        let own_domain = &self.settings.domain;
        let config = context.membership.current();
        let schedulers = context.membership.schedulers();
        let Some(region) = config.domains.get(own_domain).map(|settings| settings.region.clone())
        else {
            return;
        };
        let domain_out = self.domain_out;
        let mut free_capacity: Vec<(DomainName, u32)> = config
            .domains
            .iter()
            .filter(|(name, settings)| {
                *name != own_domain && settings.region == region && !context.membership.is_out(name)
            })
            .filter_map(|(name, _)| Some((name.clone(), schedulers.get(name)?.free_accelerators)))
            .collect();
        if free_capacity.is_empty() {
            return;
        }
        let now = context.now();
        let mut handovers = Vec::new();
        for (job, entry) in &self.jobs {
            if handovers.len() >= MAX_HANDOVER_BATCH {
                break;
            }
            if entry.phase != JobPhase::Queued || !(domain_out || is_handover_due(entry, now)) {
                continue;
            }
            let spec = &entry.record.spec;
            let required = spec.shape.total();
            let allowed =
                |name: &DomainName| spec.domains.is_empty() || spec.domains.contains(name);
            let target = free_capacity
                .iter_mut()
                .filter(|(name, free)| allowed(name) && (domain_out || *free >= required.max(1)))
                .max_by_key(|(_, free)| *free);
            // A job within its customer's guarantee stays, because borrowers in this domain are
            // preempted for it.
            if let Some((name, free)) = target
                && (domain_out || !self.planner.is_entitled(job))
            {
                *free = free.saturating_sub(required);
                handovers.push((job.clone(), name.clone()));
            }
        }
        for (job, target) in handovers {
            self.start_handover(&job, target);
        }
    }

    /// Writes the new owner into the record, which is the first step of a handover.
    fn start_handover(&mut self, job: &JobId, target: DomainName) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        log::info!("handing job {job} over to failure domain {target}");
        self.planner.remove(job);
        entry.record.owner.clone_from(&target);
        entry.record.arrival = None;
        entry.phase = JobPhase::HandoverOut(target);
        entry.dirty = true;
        self.settings.context.metrics.handovers.get_or_create(&self.label()).inc();
        self.write_record(job);
    }

    /// Creates the new owner's record, which is the second step of a handover.
    pub(super) fn send_handover(&mut self, job: &JobId) {
        let Some(entry) = self.jobs.get(job) else {
            return;
        };
        let (context, generator) =
            (self.settings.context.clone(), self.settings.write_id_generator.clone());
        let (domain, record, actor_ref) =
            (self.settings.domain.clone(), entry.record.clone(), self.actor_ref.clone());
        tokio::spawn(async move {
            let sent = handover::send(&context, &generator, &domain, &record).await;
            if let Err(error) = &sent {
                log::warn!("job {} is not handed over yet, retrying: {error}", record.id);
                context.timer.wait(RETRY_DELAY).await;
            }
            let _ =
                actor_ref.tell(HandoverSent { job: record.id, succeeded: sent.is_ok() }).try_send();
        });
    }

    /// Confirms the arrival of a job, which is the last step of a handover.
    pub(super) fn receive_handover(&mut self, job: &JobId) {
        let (context, generator) =
            (self.settings.context.clone(), self.settings.write_id_generator.clone());
        let (domain, job, actor_ref) =
            (self.settings.domain.clone(), job.clone(), self.actor_ref.clone());
        tokio::spawn(async move {
            let outcome = handover::receive(&context, &generator, &domain, &job).await;
            if matches!(outcome, ReceiveOutcome::Failed(_)) {
                context.timer.wait(RETRY_DELAY).await;
            }
            let _ = actor_ref.tell(HandoverReceived { job, outcome }).try_send();
        });
    }
}

fn is_handover_due(entry: &JobEntry, now: Duration) -> bool {
    let age = Duration::from_millis(unix_millis().saturating_sub(entry.record.submitted_at));
    now.saturating_sub(entry.waiting_since)
        >= HANDOVER_DELAY.max(age.mul_f64(HANDOVER_AGE_FRACTION))
}
