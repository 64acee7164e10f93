//! The lease that elects the active scheduler of a failure domain.
//!
//! The holder owns the key `lease/<domain>`, which is bound to a lease of the store, and increments
//! the counter `epoch/<domain>`. It writes the key, then the counter, then the key again with the
//! new epoch. The last write fails if the lease has expired in the meantime, so a process that was
//! paused between the writes never uses an epoch above that of its successor.

use std::convert::Infallible;
use std::time::Duration;

use lacewingrail_clients::{UpdateError, WriteIdRecord, read, update};
use lacewingrail_model::store::{KeyValueService, LeaseId, Revision, StoreError};
use lacewingrail_model::write_id::{WriteId, WriteIdGenerator};
use lacewingrail_model::{Epoch, InstanceId, keys};
use serde::{Deserialize, Serialize};

/// Time after which the lease expires unless it is renewed.
pub const LEASE_TTL: Duration = Duration::from_secs(4);
/// Interval between renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of a renewal.
pub const RENEW_TIMEOUT: Duration = Duration::from_millis(900);
/// Timeout of an acquisition; half of the lease time, so that the rest remains for the rebuild.
pub const ACQUIRE_TIMEOUT: Duration = Duration::from_secs(2);

/// Stored holder of a domain's scheduler lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// Instance id of the holding process.
    pub holder: InstanceId,
    /// Address on which the process accepts messages of its peers, as `ip:port`.
    pub address: String,
    /// Epoch of the holder; 0 while it acquires the lease.
    pub epoch: Epoch,
    /// Id of the newest write, which identifies its writer after a lost answer.
    pub mark: WriteId,
}

/// Identity of a process that acquires the lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeaseHolder {
    /// Instance id of the process.
    pub instance: InstanceId,
    /// Address on which the process accepts messages of its peers, as `ip:port`.
    pub address: String,
}

/// Stored counter of the acquisitions of a domain's scheduler lease.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EpochRecord {
    /// Epoch of the newest acquisition.
    pub epoch: Epoch,
    /// Id of the newest write, which identifies its writer after a lost answer.
    pub mark: WriteId,
}

impl WriteIdRecord for EpochRecord {
    fn write_id(&self) -> &str {
        &self.mark
    }

    fn set_write_id(&mut self, write_id: WriteId) {
        self.mark = write_id;
    }
}

/// Lease that this process has acquired.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeldLease {
    /// Lease of the store to which the key is bound.
    pub lease: LeaseId,
    /// Epoch that was assigned with the acquisition.
    pub epoch: Epoch,
}

/// Outcome of an attempt to acquire the lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AcquireOutcome {
    /// This process holds the lease.
    Acquired(HeldLease),
    /// Another process holds the lease.
    Taken,
}

/// Reads the holder of the lease and the revision of its key.
///
/// # Errors
/// Returns the error of the store.
pub async fn holder(
    store: &dyn KeyValueService,
    domain: &str,
) -> Result<Option<(LeaseRecord, Revision)>, StoreError> {
    read(store, &keys::scheduler_lease(domain)).await
}

/// Tries to acquire the lease of a domain without a holder.
///
/// # Errors
/// Returns the error of the store. The lease is then revoked, or expires if that fails too.
pub async fn acquire(
    store: &dyn KeyValueService,
    generator: &WriteIdGenerator,
    domain: &str,
    holder: &LeaseHolder,
) -> Result<AcquireOutcome, StoreError> {
    let lease = store.grant_lease(LEASE_TTL).await?;
    let outcome = acquire_with(store, generator, domain, holder, lease).await;
    if !matches!(outcome, Ok(AcquireOutcome::Acquired(_))) {
        // A key whose write is still in flight would otherwise block the domain until the lease
        // expires.
        let _ = store.revoke_lease(lease).await;
    }
    outcome
}

async fn acquire_with(
    store: &dyn KeyValueService,
    generator: &WriteIdGenerator,
    domain: &str,
    holder: &LeaseHolder,
    lease: LeaseId,
) -> Result<AcquireOutcome, StoreError> {
    let record = |epoch| LeaseRecord {
        holder: holder.instance.clone(),
        address: holder.address.clone(),
        epoch,
        mark: generator.generate(),
    };
    let Some(revision) = write_lease_key(store, domain, record(0), 0, lease).await? else {
        return Ok(AcquireOutcome::Taken);
    };
    let increment = |current: Option<EpochRecord>| {
        let epoch = current.map_or(0, |current| current.epoch) + 1;
        Ok::<_, Infallible>(EpochRecord { epoch, mark: WriteId::new() })
    };
    let incremented = update(store, generator, &keys::epoch_counter(domain), increment).await;
    let epoch = match incremented {
        Ok(written) => written.record.epoch,
        Err(UpdateError::Store(error)) => return Err(error),
        Err(UpdateError::Refused(never)) => match never {},
    };
    match write_lease_key(store, domain, record(epoch), revision, lease).await {
        Ok(Some(_)) => Ok(AcquireOutcome::Acquired(HeldLease { lease, epoch })),
        Ok(None) | Err(StoreError::LeaseLapsed) => Ok(AcquireOutcome::Taken),
        Err(error) => Err(error),
    }
}

/// Writes the lease key; returns its revision, or `None` if another process holds it.
async fn write_lease_key(
    store: &dyn KeyValueService,
    domain: &str,
    record: LeaseRecord,
    expected: Revision,
    lease: LeaseId,
) -> Result<Option<Revision>, StoreError> {
    let key = keys::scheduler_lease(domain);
    let value =
        serde_json::to_string(&record).map_err(|error| StoreError::Malformed(error.to_string()))?;
    match store.put(&key, value, expected, Some(lease)).await {
        Ok(revision) => Ok(Some(revision)),
        Err(StoreError::Conflict { .. }) => Ok(None),
        Err(StoreError::Unclear(cause)) => {
            let current: Option<(LeaseRecord, Revision)> = read(store, &key).await?;
            match current {
                Some((current, revision)) if current.mark == record.mark => Ok(Some(revision)),
                _ => Err(StoreError::Unclear(cause)),
            }
        }
        Err(error) => Err(error),
    }
}
