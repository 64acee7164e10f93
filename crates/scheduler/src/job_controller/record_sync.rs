//! Synchronisation of job records with the store: writes, and changes by other writers.

use std::collections::BTreeSet;

use kameo::message::{Context, Message};
use lacewingrail_model::job::{JobRecord, JobState};
use lacewingrail_model::store::{Revision, StoreEvent};
use lacewingrail_model::{JobId, keys};
use tracing::Instrument;

use super::{JobController, JobEntry, JobPhase, StopReason};
use crate::rebuild::StoredJob;
use crate::records::{self, WriteOutcome};

/// Reports changes of the domain's records in the store.
pub struct StoreChanged {
    /// Changes in the order of their revisions.
    pub events: Vec<StoreEvent>,
    /// Whether the events list every existing record, so that records missing from it are deleted.
    pub reset: bool,
}

pub(crate) struct RecordWritten {
    job: JobId,
    outcome: WriteOutcome,
}

impl Message<StoreChanged> for JobController {
    type Reply = ();

    async fn handle(&mut self, message: StoreChanged, _context: &mut Context<Self, ()>) {
        let prefix = keys::domain_jobs(&self.settings.domain);
        let mut present = BTreeSet::new();
        for event in message.events {
            let Some(job) = event.key.strip_prefix(&prefix).map(JobId::from) else {
                continue;
            };
            present.insert(job.clone());
            match event.value {
                Some(text) => self.receive_change(&job, &text, event.revision),
                None => self.receive_deletion(&job, event.revision),
            }
        }
        if message.reset {
            let missing: Vec<JobId> =
                self.jobs.keys().filter(|job| !present.contains(*job)).cloned().collect();
            missing.iter().for_each(|job| self.receive_deletion(job, Revision::MAX));
        }
        self.request_planning();
    }
}

impl Message<RecordWritten> for JobController {
    type Reply = ();

    async fn handle(&mut self, message: RecordWritten, _context: &mut Context<Self, ()>) {
        let RecordWritten { job, outcome } = message;
        let Some(entry) = self.jobs.get_mut(&job) else {
            return;
        };
        entry.write_in_flight = false;
        match outcome {
            WriteOutcome::Written(revision) => {
                entry.revision = entry.revision.max(revision);
                self.continue_after_write(&job);
            }
            WriteOutcome::Conflict(Some(current)) => {
                entry.dirty = true;
                let (record, revision) = *current;
                self.merge_external_record(&job, record, revision);
                self.write_record(&job);
            }
            WriteOutcome::Conflict(None) => self.receive_deletion(&job, Revision::MAX),
            WriteOutcome::Failed(error) => {
                entry.dirty = true;
                log::warn!("the record of job {job} is not written yet, retrying: {error}");
                // During a store outage the permission relies on the other domains, which do not
                // reach the store either. Starting without the record is safe, because this process
                // is the only one with its epoch.
                if entry.phase == JobPhase::Claiming && self.settings.permission.is_store_outage() {
                    self.start_claimed(&job);
                }
            }
        }
        self.request_planning();
    }
}

impl JobController {
    /// Writes the record of a job unless a write is already in flight.
    pub(super) fn write_record(&mut self, job: &JobId) {
        let Some(entry) =
            self.jobs.get_mut(job).filter(|entry| entry.dirty && !entry.write_in_flight)
        else {
            return;
        };
        if entry.phase == JobPhase::Archiving {
            return;
        }
        (entry.dirty, entry.write_in_flight) = (false, true);
        entry.record.mark = self.settings.write_id_generator.generate();
        let (context, actor_ref) = (self.settings.context.clone(), self.actor_ref.clone());
        let key = keys::job(&self.settings.domain, job);
        let (job, record, revision) = (job.clone(), entry.record.clone(), entry.revision);
        let span = tracing::info_span!("record_write", job = %job, attempt = record.attempt);
        let write = async move {
            let (store, timer) = (&*context.store, &context.timer);
            let outcome = records::write(store, timer, &key, &record, revision).await;
            let _ = actor_ref.tell(RecordWritten { job, outcome }).try_send();
        };
        tokio::spawn(write.instrument(span));
    }

    /// Repeats the writes that failed.
    pub(super) fn retry_failed_writes(&mut self) {
        let dirty = self.jobs.iter().filter(|(_, entry)| entry.dirty && !entry.write_in_flight);
        let dirty: Vec<JobId> = dirty.map(|(job, _)| job.clone()).collect();
        dirty.iter().for_each(|job| self.write_record(job));
    }

    /// Continues with the step that waited for the write of the record.
    fn continue_after_write(&mut self, job: &JobId) {
        let Some(entry) = self.jobs.get(job) else {
            return;
        };
        if entry.dirty {
            self.write_record(job);
            return;
        }
        match entry.phase {
            JobPhase::Claiming => self.start_claimed(job),
            JobPhase::HandoverOut(_) => self.send_handover(job),
            _ => {}
        }
    }

    fn receive_change(&mut self, job: &JobId, text: &str, revision: Revision) {
        let record: JobRecord = match serde_json::from_str(text) {
            Ok(record) => record,
            Err(error) => {
                log::error!("the record of job {job} is malformed ({error}); delete it");
                return;
            }
        };
        if let Some(entry) = self.jobs.get_mut(job) {
            if revision <= entry.revision {
                return;
            }
            // The change is an own write. If a write is in flight, its outcome sets the revision.
            if record.mark.starts_with(&self.write_id_prefix) {
                if !entry.write_in_flight {
                    entry.revision = revision;
                }
                return;
            }
            self.merge_external_record(job, record, revision);
            return;
        }
        // An old state of a job that this controller has removed.
        if record.mark.starts_with(&self.write_id_prefix) || self.tombstones.covers(job, revision) {
            return;
        }
        if record.owner != self.settings.domain {
            // The former active scheduler wrote the new owner and did not finish the handover.
            let owner = record.owner.clone();
            let stored_job = StoredJob { record, revision, may_be_running: false };
            let mut entry = JobEntry::new(stored_job, self.settings.context.now());
            entry.phase = JobPhase::HandoverOut(owner);
            self.jobs.insert(job.clone(), entry);
            self.send_handover(job);
            return;
        }
        let stored_job = StoredJob { record, revision, may_be_running: false };
        self.jobs.insert(job.clone(), JobEntry::new(stored_job, self.settings.context.now()));
        self.resume_job(job);
    }

    /// Applies the content that another writer gave to a record.
    fn merge_external_record(&mut self, job: &JobId, record: JobRecord, revision: Revision) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        entry.revision = revision;
        if record.mark.starts_with(&self.write_id_prefix) || entry.phase == JobPhase::Archiving {
            return;
        }
        let (ended, owned) = (record.state.is_final(), record.owner == self.settings.domain);
        match entry.phase {
            // Complete the handover first. Otherwise the former owner's record would remain, and
            // the job would be handed over again. Until then, only the entry is updated.
            JobPhase::HandoverIn => entry.record = record,
            // The record already names the new owner, which takes over its state.
            JobPhase::HandoverOut(_) if !owned && ended => entry.record.state = record.state,
            JobPhase::HandoverOut(_) if !owned => {}
            _ if ended => self.end_as_recorded(job, record.state),
            _ if !owned => self.stop_and_remove(job),
            _ if entry.record.state != record.state || entry.record.owner != record.owner => {
                entry.dirty = true;
            }
            _ => {}
        }
    }

    fn receive_deletion(&mut self, job: &JobId, revision: Revision) {
        let Some(entry) = self.jobs.get(job).filter(|entry| entry.revision < revision) else {
            return;
        };
        if !matches!(entry.phase, JobPhase::Archiving | JobPhase::HandoverOut(_)) {
            log::warn!("the record of job {job} was deleted; dropping the job");
            self.stop_and_remove(job);
        }
    }

    /// Ends a job whose record another writer set to a final state, usually to cancel it.
    fn end_as_recorded(&mut self, job: &JobId, state: JobState) {
        let Some(entry) = self.jobs.get_mut(job) else {
            return;
        };
        entry.record.state = state;
        entry.record.owner.clone_from(&self.settings.domain);
        match entry.phase {
            JobPhase::Active | JobPhase::Stopping(_) => self.stop(job, StopReason::Cancelled),
            _ => {
                self.planner.release(job);
                self.planner.remove(job);
                self.archive(job);
            }
        }
        self.request_planning();
    }

    /// Stops and removes a job whose record was deleted or belongs to another domain.
    fn stop_and_remove(&mut self, job: &JobId) {
        let Some(entry) = self.jobs.get(job) else {
            return;
        };
        match entry.phase {
            JobPhase::Active | JobPhase::Stopping(_) => self.stop(job, StopReason::Disowned),
            _ => {
                self.planner.release(job);
                self.remove_job(job);
            }
        }
    }
}
