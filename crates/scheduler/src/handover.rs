//! Change of a job's owner between failure domains.
//!
//! The record moves between two keys, which the store cannot change atomically:
//! 1. The former owner writes the new owner into its own record and no longer acts on the job.
//! 2. It creates the new owner's record with an unconfirmed arrival.
//! 3. The new owner finds the former record naming it, confirms the arrival in its own record,
//!    deletes the former record, and only then may start the job.
//!
//! After a crash, the successors complete the remaining steps. A delayed write of step 2 that takes
//! effect after the new owner has finished the job creates a record without a former record; it is
//! deleted and the job is not started.

use lacewingrail_clients::read;
use lacewingrail_model::job::{JobRecord, OwnerChange};
use lacewingrail_model::store::{Revision, StoreError};
use lacewingrail_model::write_id::WriteIdGenerator;
use lacewingrail_model::{DomainName, JobId, keys};

use crate::context::ProcessContext;
use crate::records::{self, WriteOutcome};

/// Outcome of confirming an arrival.
#[derive(Clone, Debug, PartialEq)]
pub enum ReceiveOutcome {
    /// The job belongs to this domain; carries its current record and revision.
    Confirmed(Box<(JobRecord, Revision)>),
    /// The record resulted from a delayed write and was deleted.
    Discarded,
    /// The outcome is unknown; the step has to be repeated.
    Failed(StoreError),
}

/// Creates the new owner's record from the former owner's record, which already names the new
/// owner.
///
/// # Errors
/// Returns the error of the store; the step can be repeated.
pub async fn send(
    context: &ProcessContext,
    generator: &WriteIdGenerator,
    from: &DomainName,
    record: &JobRecord,
) -> Result<(), StoreError> {
    let arrival = Some(OwnerChange { from: from.clone(), confirmed: false });
    let record = JobRecord { arrival, mark: generator.generate(), ..record.clone() };
    let key = keys::job(&record.owner, &record.id);
    match records::write(&*context.store, &context.timer, &key, &record, 0).await {
        // An earlier attempt has created the record.
        WriteOutcome::Written(_) | WriteOutcome::Conflict(Some(_)) => Ok(()),
        // The record existed and was deleted, so the new owner has completed the job.
        WriteOutcome::Conflict(None) => Ok(()),
        WriteOutcome::Failed(error) => Err(error),
    }
}

/// Confirms the arrival of a job in its new domain and deletes the former record.
///
/// The step can be repeated after a failure.
pub async fn receive(
    context: &ProcessContext,
    generator: &WriteIdGenerator,
    domain: &DomainName,
    job: &JobId,
) -> ReceiveOutcome {
    match try_receive(context, generator, domain, job).await {
        Ok(outcome) => outcome,
        Err(error) => ReceiveOutcome::Failed(error),
    }
}

async fn try_receive(
    context: &ProcessContext,
    generator: &WriteIdGenerator,
    domain: &DomainName,
    job: &JobId,
) -> Result<ReceiveOutcome, StoreError> {
    let store = &*context.store;
    let own_key = keys::job(domain, job);
    let Some((record, revision)) =
        records::with_timeout(read::<JobRecord>(store, &own_key)).await?
    else {
        return Ok(ReceiveOutcome::Discarded);
    };
    let Some(arrival) = record.arrival.clone() else {
        return Ok(ReceiveOutcome::Confirmed(Box::new((record, revision))));
    };
    let former_key = keys::job(&arrival.from, job);
    let former_record = records::with_timeout(read::<JobRecord>(store, &former_key)).await?;
    let Some((former_record, former_revision)) =
        former_record.filter(|(former_record, _)| former_record.owner == record.owner)
    else {
        if arrival.confirmed {
            return Ok(ReceiveOutcome::Confirmed(Box::new((record, revision))));
        }
        log::info!(
            "the record of job {job} comes from a delayed write of {}; deleting it",
            arrival.from
        );
        return match records::with_timeout(store.delete(&own_key, revision)).await {
            Ok(()) | Err(StoreError::Conflict { .. }) => Ok(ReceiveOutcome::Discarded),
            Err(error) => Err(error),
        };
    };
    let mut confirmed = JobRecord { mark: generator.generate(), ..record.clone() };
    confirmed.arrival = Some(OwnerChange { confirmed: true, ..arrival });
    // A cancellation may have changed the former record last. If one arrives even later, the delete
    // below fails and the step is repeated.
    if former_record.state.is_final() {
        confirmed.state = former_record.state;
    }
    let revision = match records::write(store, &context.timer, &own_key, &confirmed, revision).await
    {
        WriteOutcome::Written(revision) => revision,
        WriteOutcome::Conflict(_) => return Err(StoreError::Conflict { current: 0 }),
        WriteOutcome::Failed(error) => return Err(error),
    };
    records::with_timeout(store.delete(&former_key, former_revision)).await?;
    Ok(ReceiveOutcome::Confirmed(Box::new((confirmed, revision))))
}
