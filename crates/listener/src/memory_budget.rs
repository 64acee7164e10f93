//! Memory of the requests of one listener.
//!
//! Each request is charged for the bytes that the process holds for it. When the memory is used up,
//! the request that was begun first and is still incomplete gives back its bytes: an ordinary client
//! completes its request soon, so those that stay incomplete the longest are least likely to. A
//! complete request keeps its charge. A quarter of the memory is for small requests, so that large
//! ones that wait to be answered do not keep ordinary ones out. A request that is alone is charged
//! any amount, so that the limit refuses none in calm.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use prometheus_client::metrics::gauge::Gauge;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::limits::BODY_TIMEOUT;
use crate::refusal::RefusalReason;

/// Largest charge of a small request, in bytes: that of an ordinary job.
const SMALL_REQUEST_BYTES: u64 = 32 << 10;

/// Number of a charge; later charges have higher numbers.
type ChargeId = u64;

/// Memory of requests; clones share it.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    shared: Arc<SharedBudget>,
}

#[derive(Debug)]
struct SharedBudget {
    capacity: u64,
    gauge: Gauge,
    state: Mutex<BudgetState>,
}

#[derive(Debug, Default)]
struct BudgetState {
    next_id: ChargeId,
    used: u64,
    entries: BTreeMap<ChargeId, ChargeEntry>,
}

#[derive(Debug)]
struct ChargeEntry {
    bytes: u64,
    begun_at: Instant,
    is_complete: bool,
    /// Why the charge was taken back, if it was.
    revoked: Option<RefusalReason>,
    changed: Arc<Notify>,
}

/// Charge of one request, given back when this is dropped.
#[derive(Debug)]
pub struct MemoryCharge {
    budget: MemoryBudget,
    id: ChargeId,
    changed: Arc<Notify>,
}

impl MemoryBudget {
    /// Creates a budget of a number of bytes, whose use `gauge` shows.
    pub fn new(capacity: u64, gauge: Gauge) -> Self {
        let shared = SharedBudget { capacity, gauge, state: Mutex::default() };
        Self { shared: Arc::new(shared) }
    }

    /// Begins the charge of an incomplete request, with no bytes.
    pub fn begin(&self) -> MemoryCharge {
        let mut state = self.lock();
        let id = state.next_id;
        state.next_id += 1;
        let changed = Arc::<Notify>::default();
        let entry = ChargeEntry {
            bytes: 0,
            begun_at: Instant::now(),
            is_complete: false,
            revoked: None,
            changed: changed.clone(),
        };
        state.entries.insert(id, entry);
        MemoryCharge { budget: self.clone(), id, changed }
    }

    /// Returns the number of bytes charged.
    pub fn used(&self) -> u64 {
        self.lock().used
    }

    /// Revokes the charges of requests that have been incomplete for too long.
    pub fn revoke_overdue(&self, now: Instant) {
        let mut state = self.lock();
        let is_overdue =
            |entry: &ChargeEntry| now.saturating_duration_since(entry.begun_at) > BODY_TIMEOUT;
        let overdue = state.incomplete().filter(|(_, entry)| is_overdue(entry));
        let overdue: Vec<ChargeId> = overdue.map(|(id, _)| id).collect();
        for id in overdue {
            state.revoke(id, RefusalReason::BodyTimeout);
        }
        self.show(&state);
    }

    /// Returns the memory of which a request that holds a number of bytes may be a part.
    fn available_to(&self, bytes: u64) -> u64 {
        let capacity = self.shared.capacity;
        if bytes <= SMALL_REQUEST_BYTES { capacity } else { capacity - capacity / 4 }
    }

    fn show(&self, state: &BudgetState) {
        self.shared.gauge.set(i64::try_from(state.used).unwrap_or(i64::MAX));
    }

    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BudgetState {
    /// Returns the incomplete requests that hold their charges, those begun first at the front.
    fn incomplete(&self) -> impl Iterator<Item = (ChargeId, &ChargeEntry)> {
        let entries = self.entries.iter().map(|(id, entry)| (*id, entry));
        entries.filter(|(_, entry)| !entry.is_complete && entry.revoked.is_none())
    }

    /// Takes back a charge and wakes the task that reads its request.
    fn revoke(&mut self, id: ChargeId, reason: RefusalReason) {
        if let Some(entry) = self.entries.get_mut(&id) {
            self.used -= entry.bytes;
            entry.bytes = 0;
            entry.revoked = Some(reason);
            entry.changed.notify_one();
        }
    }

    /// Sets the bytes of a charge; takes back older incomplete ones if the sum exceeds `available`.
    fn resize(&mut self, id: ChargeId, bytes: u64, available: u64) -> Result<(), RefusalReason> {
        let Some(entry) = self.entries.get(&id) else { return Ok(()) };
        if let Some(reason) = entry.revoked {
            return Err(reason);
        }
        let held = entry.bytes;
        loop {
            let others = self.used - held;
            if bytes <= held || others == 0 || others + bytes <= available {
                break;
            }
            let oldest = self.incomplete().find(|(_, entry)| entry.bytes > 0).map(|(id, _)| id);
            match oldest {
                Some(oldest) if oldest != id => self.revoke(oldest, RefusalReason::MemoryLimit),
                _ => {
                    self.revoke(id, RefusalReason::MemoryLimit);
                    return Err(RefusalReason::MemoryLimit);
                }
            }
        }
        self.used = self.used - held + bytes;
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.bytes = bytes;
        }
        Ok(())
    }
}

impl MemoryCharge {
    /// Sets the number of bytes that the request holds.
    ///
    /// # Errors
    /// Returns why the request must be refused; its charge has then been taken back.
    pub fn resize(&self, bytes: u64) -> Result<(), RefusalReason> {
        let mut state = self.budget.lock();
        let outcome = state.resize(self.id, bytes, self.budget.available_to(bytes));
        self.budget.show(&state);
        outcome
    }

    /// Marks the request as complete, after which its charge is not taken back for others.
    ///
    /// # Errors
    /// Returns why the request must be refused, if its charge was taken back before.
    pub fn complete(&self) -> Result<(), RefusalReason> {
        let mut state = self.budget.lock();
        let Some(entry) = state.entries.get_mut(&self.id) else { return Ok(()) };
        match entry.revoked {
            Some(reason) => Err(reason),
            None => {
                entry.is_complete = true;
                Ok(())
            }
        }
    }

    /// Waits until the charge is taken back, and returns why.
    pub async fn revoked(&self) -> RefusalReason {
        loop {
            let revoked = self.budget.lock().entries.get(&self.id).and_then(|entry| entry.revoked);
            if let Some(reason) = revoked {
                return reason;
            }
            self.changed.notified().await;
        }
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        if let Some(entry) = state.entries.remove(&self.id) {
            state.used -= entry.bytes;
        }
        self.budget.show(&state);
    }
}
