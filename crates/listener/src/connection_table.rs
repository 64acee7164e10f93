//! Open connections of one listener, and which of them is closed when there are too many.
//!
//! Each connection has an entry with its progress ([`progress`]). The tasks that read, serve and
//! write record there what the client has completed; the accepting task and the timer read it. To
//! close a connection is to wake its task, which then drops it, and with it everything that the
//! process holds for the client.

pub mod progress;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use prometheus_client::metrics::gauge::Gauge;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::connection_table::progress::{ConnectionProgress, EvictionRank};
use crate::limits::ListenerLimits;
use crate::refusal::{RefusalCounter, RefusalReason};

/// Number of a connection of one listener.
type ConnectionId = u64;

/// Connections of one listener; clones share them.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    shared: Arc<SharedTable>,
}

#[derive(Debug)]
struct SharedTable {
    limits: ListenerLimits,
    refusals: Arc<RefusalCounter>,
    gauge: Gauge,
    state: Mutex<TableState>,
    /// Number of whole requests in progress on all connections.
    requests: AtomicUsize,
    /// Notified when a connection is removed.
    removed: Notify,
}

#[derive(Debug, Default)]
struct TableState {
    next_id: ConnectionId,
    entries: BTreeMap<ConnectionId, Arc<ConnectionEntry>>,
}

#[derive(Debug)]
struct ConnectionEntry {
    progress: Mutex<ConnectionProgress>,
    /// Whether the connection was told to close.
    is_closing: AtomicBool,
    close: Notify,
}

/// Open connection; dropping it makes room for another one.
#[derive(Debug)]
pub struct ConnectionGuard {
    table: ConnectionTable,
    id: ConnectionId,
    entry: Arc<ConnectionEntry>,
}

/// Records the progress of a connection.
#[derive(Clone, Debug)]
pub struct ConnectionRecorder {
    table: ConnectionTable,
    entry: Arc<ConnectionEntry>,
}

/// Request in progress, which ends when this is dropped.
#[derive(Debug)]
pub struct RequestGuard {
    table: ConnectionTable,
    entry: Arc<ConnectionEntry>,
    /// Whether the whole request was received.
    is_complete: AtomicBool,
}

impl ConnectionTable {
    /// Creates an empty table; `gauge` shows the number of connections.
    pub fn new(limits: ListenerLimits, refusals: Arc<RefusalCounter>, gauge: Gauge) -> Self {
        let shared = SharedTable {
            limits,
            refusals,
            gauge,
            state: Mutex::default(),
            requests: AtomicUsize::new(0),
            removed: Notify::new(),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Adds a connection, and closes another one before if there are too many.
    ///
    /// Returns `None` if all connections have whole requests in progress. Only one task may wait
    /// here at a time.
    pub async fn admit(&self) -> Option<ConnectionGuard> {
        loop {
            {
                let mut state = self.lock();
                if state.entries.len() < self.shared.limits.max_connections {
                    return Some(self.insert(&mut state));
                }
                if !self.close_one(&state) {
                    self.shared.refusals.count(RefusalReason::ConnectionLimit);
                    return None;
                }
            }
            self.shared.removed.notified().await;
        }
    }

    /// Closes the connections whose clients exceed a time limit.
    pub fn close_overdue(&self, now: Instant) {
        let state = self.lock();
        for entry in state.entries.values() {
            let overdue = entry.lock().overdue(now, &self.shared.limits);
            if let Some(reason) = overdue {
                self.close(entry, reason);
            }
        }
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.lock().entries.len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of whole requests in progress on all connections.
    pub fn requests(&self) -> usize {
        self.shared.requests.load(Ordering::Acquire)
    }

    /// Returns whether so many connections are open that clients should not keep theirs.
    pub fn is_crowded(&self) -> bool {
        let limit = self.shared.limits.max_connections;
        self.len() >= limit - limit / 4
    }

    /// Waits until all connections are closed, after the last one was admitted.
    pub async fn wait_until_empty(&self) {
        while !self.is_empty() {
            self.shared.removed.notified().await;
        }
    }

    fn insert(&self, state: &mut TableState) -> ConnectionGuard {
        let id = state.next_id;
        state.next_id += 1;
        let entry = Arc::new(ConnectionEntry {
            progress: Mutex::new(ConnectionProgress::new(Instant::now())),
            is_closing: AtomicBool::new(false),
            close: Notify::new(),
        });
        state.entries.insert(id, entry.clone());
        self.show(state);
        ConnectionGuard { table: self.clone(), id, entry }
    }

    /// Closes the connection that goes first, unless one is closing already; returns false if none
    /// may be closed.
    fn close_one(&self, state: &TableState) -> bool {
        let is_closing = |entry: &Arc<ConnectionEntry>| entry.is_closing.load(Ordering::Relaxed);
        if state.entries.values().any(is_closing) {
            return true;
        }
        let now = Instant::now();
        let ranked = state
            .entries
            .values()
            .filter_map(|entry| Some((entry.lock().eviction_rank(now)?, entry)));
        let Some((rank, entry)) = ranked.min_by_key(|(rank, _)| *rank) else {
            return false;
        };
        let reason = match rank {
            EvictionRank::Unfinished(_) => RefusalReason::UnfinishedClosed,
            EvictionRank::Idle(_) => RefusalReason::IdleClosed,
        };
        self.close(entry, reason);
        true
    }

    fn close(&self, entry: &ConnectionEntry, reason: RefusalReason) {
        if !entry.is_closing.swap(true, Ordering::Relaxed) {
            self.shared.refusals.count(reason);
            entry.close.notify_one();
        }
    }

    fn show(&self, state: &TableState) {
        self.shared.gauge.set(i64::try_from(state.entries.len()).unwrap_or(i64::MAX));
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ConnectionEntry {
    fn lock(&self) -> MutexGuard<'_, ConnectionProgress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ConnectionGuard {
    /// Waits until the connection must be closed.
    pub async fn closed(&self) {
        self.entry.close.notified().await;
    }

    /// Returns a recorder of what the connection's task reads and writes.
    pub fn recorder(&self) -> ConnectionRecorder {
        ConnectionRecorder { table: self.table.clone(), entry: self.entry.clone() }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let mut state = self.table.lock();
        state.entries.remove(&self.id);
        self.table.show(&state);
        drop(state);
        self.table.shared.removed.notify_one();
    }
}

impl ConnectionRecorder {
    /// Records that bytes were received.
    pub fn record_read(&self) {
        self.entry.lock().record_read(Instant::now());
    }

    /// Records whether the client reads what is sent to it.
    pub fn record_write(&self, is_blocked: bool) {
        self.entry.lock().record_write(is_blocked, Instant::now());
    }

    /// Records that the connection carries several requests at a time, so that not all bytes belong
    /// to heads.
    pub fn set_multiplexed(&self) {
        self.entry.lock().set_multiplexed();
    }

    /// Begins a request whose head is complete; without a body the whole request is.
    ///
    /// # Errors
    /// As for [`RequestGuard::complete`].
    pub fn begin_request(&self, has_body: bool) -> Result<Arc<RequestGuard>, RefusalReason> {
        self.entry.lock().begin_request(Instant::now());
        let guard = RequestGuard {
            table: self.table.clone(),
            entry: self.entry.clone(),
            is_complete: AtomicBool::new(false),
        };
        if !has_body {
            guard.complete()?;
        }
        Ok(Arc::new(guard))
    }
}

impl RequestGuard {
    /// Records that the whole request was received: its connection is not closed for another one
    /// until it is answered.
    ///
    /// # Errors
    /// Counts and returns [`RefusalReason::RequestLimit`] if too many are in progress. Incomplete
    /// ones are none of them, so that they can't keep whole ones out.
    pub fn complete(&self) -> Result<(), RefusalReason> {
        if self.is_complete.load(Ordering::Acquire) {
            return Ok(());
        }
        let shared = &self.table.shared;
        if shared.requests.fetch_add(1, Ordering::AcqRel) >= shared.limits.max_requests {
            shared.requests.fetch_sub(1, Ordering::AcqRel);
            shared.refusals.count(RefusalReason::RequestLimit);
            return Err(RefusalReason::RequestLimit);
        }
        self.is_complete.store(true, Ordering::Release);
        self.entry.lock().complete_request();
        Ok(())
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let is_complete = self.is_complete.load(Ordering::Acquire);
        self.entry.lock().end_request(is_complete, Instant::now());
        if is_complete {
            self.table.shared.requests.fetch_sub(1, Ordering::AcqRel);
        }
    }
}
