//! The queue and its order.
//!
//! Urgent work goes before normal and slow work; within a class the customer with the least share of
//! its quota in use by weight goes first, then the longest wait. So that nobody starves, work rises
//! by one class after a wait, and the oldest overdue job of each customer goes before everything
//! else. Only one overdue job of a customer does, since a long queue would otherwise undo the fair
//! order.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use lacewingrail_model::job::WorkClass;
use lacewingrail_model::{CustomerName, JobId};

use crate::amount::GangDemand;
use crate::reason::WaitReason;
use crate::types::{CustomerShare, PendingJob};

/// Wait after which slow work counts as normal.
pub const SLOW_PROMOTION_WAIT: Duration = Duration::from_secs(30 * 60);
/// Wait after which a job is overdue. Most jobs run for hours, so a shorter limit would put most of
/// a busy queue before the fair order.
pub const OVERDUE_WAIT: Duration = Duration::from_secs(2 * 60 * 60);

/// Ranks of waiting jobs: overdue, urgent, normal and slow.
const RANKS: usize = 4;

/// Numbers waiting jobs in the order of their arrival here.
pub type QueueKey = u64;

/// Describes a waiting job.
#[derive(Clone, Debug)]
pub struct QueuedJob {
    /// Entry.
    pub entry: PendingJob,
    /// Demand.
    pub demand: GangDemand,
    /// Workers on which the job failed to start.
    pub avoid: Vec<usize>,
    /// Reason for which it waits, from the last decision.
    pub reason: WaitReason,
    /// Whether the nominal domain was found able to hold it.
    pub possible: bool,
}

impl QueuedJob {
    /// Returns whether the job has waited too long.
    pub fn is_overdue(&self, now: Duration) -> bool {
        now.saturating_sub(self.entry.waiting_since) >= OVERDUE_WAIT
    }
}

/// Holds waiting jobs.
#[derive(Clone, Debug, Default)]
pub struct JobQueue {
    jobs: BTreeMap<QueueKey, QueuedJob>,
    by_job: HashMap<JobId, QueueKey>,
    next: QueueKey,
}

impl JobQueue {
    /// Adds a job; a job that waits already is replaced.
    pub fn insert(&mut self, entry: PendingJob) {
        self.remove(&entry.record.id);
        let demand = GangDemand::of_job(&entry.record.spec);
        self.by_job.insert(entry.record.id.clone(), self.next);
        let job = QueuedJob {
            entry,
            demand,
            avoid: Vec::new(),
            reason: WaitReason::Turn,
            possible: false,
        };
        self.jobs.insert(self.next, job);
        self.next += 1;
    }

    /// Removes a job.
    pub fn remove(&mut self, job: &JobId) -> Option<QueuedJob> {
        let key = self.by_job.remove(job)?;
        self.jobs.remove(&key)
    }

    /// Returns a job by key.
    pub fn get(&self, key: QueueKey) -> Option<&QueuedJob> {
        self.jobs.get(&key)
    }

    /// Returns a job by key for change.
    pub fn get_mut(&mut self, key: QueueKey) -> Option<&mut QueuedJob> {
        self.jobs.get_mut(&key)
    }

    /// Returns the key of a job.
    pub fn find(&self, job: &JobId) -> Option<QueueKey> {
        self.by_job.get(job).copied()
    }

    /// Returns all jobs by arrival.
    pub fn iter(&self) -> impl Iterator<Item = (QueueKey, &QueuedJob)> {
        self.jobs.iter().map(|(key, job)| (*key, job))
    }

    /// Returns the number of waiting jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }
}

/// Counts the accelerators in use by customer.
#[derive(Clone, Debug, Default)]
pub struct CustomerLedger {
    /// Shares from settings.
    pub shares: BTreeMap<CustomerName, CustomerShare>,
    in_use: HashMap<CustomerName, u32>,
}

impl CustomerLedger {
    /// Adds accelerators to a customer's use.
    pub fn charge(&mut self, customer: &CustomerName, accelerators: u32) {
        if let Some(count) = self.in_use.get_mut(customer) {
            *count += accelerators;
        } else {
            self.in_use.insert(customer.clone(), accelerators);
        }
    }

    /// Subtracts accelerators from a customer's use.
    pub fn refund(&mut self, customer: &CustomerName, accelerators: u32) {
        if let Some(count) = self.in_use.get_mut(customer) {
            *count = count.saturating_sub(accelerators);
        }
    }

    /// Returns a customer's accelerators in use over all failure domains.
    pub fn in_use(&self, customer: &CustomerName) -> u32 {
        let elsewhere = self.shares.get(customer).map_or(0, |share| share.in_use_elsewhere);
        self.in_use.get(customer).copied().unwrap_or(0) + elsewhere
    }

    /// Returns the share of the quota in use, divided by the weight.
    pub fn weighted_share(&self, customer: &CustomerName) -> f64 {
        let Some(share) = self.shares.get(customer) else {
            return f64::INFINITY;
        };
        f64::from(self.in_use(customer)) / (f64::from(share.quota.max(1)) * share.weight.max(1e-9))
    }
}

/// Walks through the waiting jobs in order; uses change the order as it goes.
pub struct QueueWalk {
    lines: Vec<WalkLine>,
    heap: BinaryHeap<LineHead>,
    current: Option<usize>,
}

/// Jobs of one customer with the same rank, the longest wait first.
struct WalkLine {
    rank: u8,
    customer: CustomerName,
    jobs: VecDeque<(Duration, QueueKey)>,
}

struct LineHead {
    rank: u8,
    share: f64,
    since: Duration,
    key: QueueKey,
    line: usize,
}

impl QueueWalk {
    /// Starts a walk.
    pub fn new(queue: &JobQueue, ledger: &CustomerLedger, now: Duration) -> Self {
        let mut by_customer: BTreeMap<&CustomerName, Vec<(Duration, QueueKey, u8)>> =
            BTreeMap::new();
        for (key, job) in queue.iter() {
            let waited = now.saturating_sub(job.entry.waiting_since);
            let rank = rank_of(job.entry.record.spec.class, waited);
            let jobs = by_customer.entry(&job.entry.record.spec.customer).or_default();
            jobs.push((job.entry.waiting_since, key, rank));
        }
        let mut walk = Self { lines: Vec::new(), heap: BinaryHeap::new(), current: None };
        for (customer, mut jobs) in by_customer {
            jobs.sort_unstable();
            // A job that waits for its customer's own quota or teardown holds no overdue place.
            let overdue = jobs.iter().position(|(since, key, _)| {
                now.saturating_sub(*since) >= OVERDUE_WAIT
                    && queue.get(*key).is_some_and(|job| !job.reason.is_own_limit())
            });
            let mut lines: [VecDeque<(Duration, QueueKey)>; RANKS] = Default::default();
            for (position, (since, key, rank)) in jobs.into_iter().enumerate() {
                let rank = if overdue == Some(position) { 0 } else { usize::from(rank) };
                lines[rank].push_back((since, key));
            }
            for (rank, jobs) in (0..).zip(lines).filter(|(_, jobs)| !jobs.is_empty()) {
                walk.lines.push(WalkLine { rank, customer: customer.clone(), jobs });
                walk.push_head(walk.lines.len() - 1, ledger);
            }
        }
        walk
    }

    /// Returns the next job.
    pub fn next(&mut self, ledger: &CustomerLedger) -> Option<QueueKey> {
        if let Some(line) = self.current.take() {
            self.push_head(line, ledger);
        }
        let head = self.heap.pop()?;
        self.current = Some(head.line);
        Some(head.key)
    }

    fn push_head(&mut self, line: usize, ledger: &CustomerLedger) {
        let WalkLine { rank, customer, jobs } = &mut self.lines[line];
        let Some((since, key)) = jobs.pop_front() else {
            return;
        };
        // Overdue jobs are ordered by their wait alone.
        let share = if *rank == 0 { 0.0 } else { ledger.weighted_share(customer) };
        self.heap.push(LineHead { rank: *rank, share, since, key, line });
    }
}

impl Ord for LineHead {
    fn cmp(&self, other: &Self) -> Ordering {
        // The heap returns the greatest element, so the order is reversed.
        (other.rank.cmp(&self.rank))
            .then(other.share.total_cmp(&self.share))
            .then(other.since.cmp(&self.since))
            .then(other.key.cmp(&self.key))
    }
}

impl PartialOrd for LineHead {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for LineHead {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for LineHead {}

fn rank_of(class: WorkClass, waited: Duration) -> u8 {
    match class {
        WorkClass::Urgent => 1,
        WorkClass::Slow if waited < SLOW_PROMOTION_WAIT => 3,
        WorkClass::Normal | WorkClass::Slow => 2,
    }
}
