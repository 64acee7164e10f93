//! The queue of waiting jobs and its fair order.
//!
//! Urgent jobs come first, then normal, then slow ones. Within a class, jobs of the customer that
//! uses the smallest weighted share of its quota come first, and among those the longest wait. To
//! prevent starvation, a slow job counts as normal after [`SLOW_PROMOTION_DELAY`], and the oldest
//! overdue job of each customer comes before all others. Only one overdue job of each customer
//! does, since a customer with a long queue would otherwise defeat the fair order.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use lacewingrail_model::job::WorkClass;
use lacewingrail_model::{CustomerName, JobId};

use crate::amount::GangDemand;
use crate::types::{CustomerShare, PendingJob};
use crate::wait_reason::WaitReason;

/// Waiting time after which a slow job counts as normal.
pub const SLOW_PROMOTION_DELAY: Duration = Duration::from_secs(30 * 60);
/// Waiting time after which a job is overdue. Most jobs run for hours, so with a shorter delay most
/// of a busy queue would be overdue and bypass the fair order.
pub const OVERDUE_DELAY: Duration = Duration::from_secs(2 * 60 * 60);

/// Number of ranks: overdue, urgent, normal and slow, from 0 on.
const RANK_COUNT: usize = 4;

/// Key of a waiting job; keys rise in the order in which jobs are added to the queue.
pub type QueueKey = u64;

/// A waiting job and the results of earlier decisions about it.
#[derive(Clone, Debug)]
pub struct QueuedJob {
    pub pending: PendingJob,
    pub demand: GangDemand,
    /// Indices of workers on which the job failed to start.
    pub avoided_workers: Vec<usize>,
    /// Why the job waits, as of the last decision that considered it.
    pub reason: WaitReason,
    /// Whether a check found that the job fits into the healthy domain; false before the first
    /// check.
    pub feasible: bool,
}

impl QueuedJob {
    /// Returns whether the job has waited for at least [`OVERDUE_DELAY`].
    pub fn is_overdue(&self, now: Duration) -> bool {
        now.saturating_sub(self.pending.waiting_since) >= OVERDUE_DELAY
    }
}

/// The waiting jobs of a failure domain, by arrival and by job.
#[derive(Clone, Debug, Default)]
pub struct JobQueue {
    jobs: BTreeMap<QueueKey, QueuedJob>,
    by_job: HashMap<JobId, QueueKey>,
    next_key: QueueKey,
}

impl JobQueue {
    /// Adds a job at the end. If the job is already waiting, its old entry is removed.
    pub fn insert(&mut self, pending: PendingJob) {
        self.remove(&pending.record.id);
        let demand = GangDemand::from_job(&pending.record.spec);
        self.by_job.insert(pending.record.id.clone(), self.next_key);
        let job = QueuedJob {
            pending,
            demand,
            avoided_workers: Vec::new(),
            reason: WaitReason::NotConsidered,
            feasible: false,
        };
        self.jobs.insert(self.next_key, job);
        self.next_key += 1;
    }

    /// Removes a job and returns it, or none if it was not waiting.
    pub fn remove(&mut self, job: &JobId) -> Option<QueuedJob> {
        let key = self.by_job.remove(job)?;
        self.jobs.remove(&key)
    }

    /// Returns the job with a key, or none if it no longer waits.
    pub fn get(&self, key: QueueKey) -> Option<&QueuedJob> {
        self.jobs.get(&key)
    }

    pub fn get_mut(&mut self, key: QueueKey) -> Option<&mut QueuedJob> {
        self.jobs.get_mut(&key)
    }

    /// Returns the key of a job, or none if it does not wait.
    pub fn find(&self, job: &JobId) -> Option<QueueKey> {
        self.by_job.get(job).copied()
    }

    /// Returns all jobs with their keys, in the order of arrival.
    pub fn iter(&self) -> impl Iterator<Item = (QueueKey, &QueuedJob)> {
        self.jobs.iter().map(|(key, job)| (*key, job))
    }

    pub fn len(&self) -> usize {
        self.jobs.len()
    }
}

/// The accelerators that each customer uses, and its quota and weight.
#[derive(Clone, Debug, Default)]
pub struct CustomerUsage {
    /// Quotas, weights and use in other failure domains, as last reported by the scheduler.
    pub shares: BTreeMap<CustomerName, CustomerShare>,
    in_use: HashMap<CustomerName, u32>,
}

impl CustomerUsage {
    pub fn add(&mut self, customer: &CustomerName, accelerators: u32) {
        if let Some(count) = self.in_use.get_mut(customer) {
            *count += accelerators;
        } else {
            self.in_use.insert(customer.clone(), accelerators);
        }
    }

    /// Subtracts accelerators from a customer's use; stops at zero.
    pub fn subtract(&mut self, customer: &CustomerName, accelerators: u32) {
        if let Some(count) = self.in_use.get_mut(customer) {
            *count = count.saturating_sub(accelerators);
        }
    }

    /// Returns the number of accelerators that a customer uses in all failure domains.
    pub fn in_use(&self, customer: &CustomerName) -> u32 {
        let elsewhere = self.shares.get(customer).map_or(0, |share| share.in_use_elsewhere);
        self.in_use.get(customer).copied().unwrap_or(0) + elsewhere
    }

    /// Returns the share of its quota that a customer uses, divided by its weight; infinite for an
    /// unknown customer.
    pub fn weighted_share(&self, customer: &CustomerName) -> f64 {
        let Some(share) = self.shares.get(customer) else {
            return f64::INFINITY;
        };
        f64::from(self.in_use(customer)) / (f64::from(share.quota.max(1)) * share.weight.max(1e-9))
    }
}

/// Iterates over the waiting jobs in fair order. The order follows the usage, which changes as jobs
/// start between two calls of [`Self::next`].
pub struct QueueCursor {
    groups: Vec<JobGroup>,
    /// First job of each group that has one left, except the current group.
    heap: BinaryHeap<GroupHead>,
    /// Group of the job that was returned last. Its next job joins the heap with the usage of the
    /// next call, so that a start counts.
    current: Option<usize>,
}

/// Jobs of one customer with the same rank, the longest wait first.
struct JobGroup {
    rank: u8,
    customer: CustomerName,
    jobs: VecDeque<(Duration, QueueKey)>,
}

/// First waiting job of a group. The greatest in the heap is the one that is considered next.
struct GroupHead {
    rank: u8,
    share: f64,
    waiting_since: Duration,
    key: QueueKey,
    /// Index of the group that the job belongs to.
    group: usize,
}

impl QueueCursor {
    /// Creates a cursor before the first job of the queue.
    pub fn new(queue: &JobQueue, usage: &CustomerUsage, now: Duration) -> Self {
        let mut by_customer: BTreeMap<&CustomerName, Vec<(Duration, QueueKey, u8)>> =
            BTreeMap::new();
        for (key, job) in queue.iter() {
            let waited = now.saturating_sub(job.pending.waiting_since);
            let rank = rank_of(job.pending.record.spec.class, waited);
            let jobs = by_customer.entry(&job.pending.record.spec.customer).or_default();
            jobs.push((job.pending.waiting_since, key, rank));
        }
        let mut cursor = Self { groups: Vec::new(), heap: BinaryHeap::new(), current: None };
        for (customer, mut jobs) in by_customer {
            jobs.sort_unstable();
            // A job that waits for its customer's quota or its own teardown is skipped, so that it
            // doesn't keep the customer's other overdue jobs from the first rank.
            let overdue = jobs.iter().position(|(waiting_since, key, _)| {
                now.saturating_sub(*waiting_since) >= OVERDUE_DELAY
                    && queue.get(*key).is_some_and(|job| !job.reason.is_customer_limit())
            });
            let mut groups: [VecDeque<(Duration, QueueKey)>; RANK_COUNT] = Default::default();
            for (position, (waiting_since, key, rank)) in jobs.into_iter().enumerate() {
                let rank = if overdue == Some(position) { 0 } else { usize::from(rank) };
                groups[rank].push_back((waiting_since, key));
            }
            for (rank, jobs) in (0..).zip(groups).filter(|(_, jobs)| !jobs.is_empty()) {
                cursor.groups.push(JobGroup { rank, customer: customer.clone(), jobs });
                cursor.push_head(cursor.groups.len() - 1, usage);
            }
        }
        cursor
    }

    /// Returns the key of the next job, or none after the last one.
    pub fn next(&mut self, usage: &CustomerUsage) -> Option<QueueKey> {
        if let Some(group) = self.current.take() {
            self.push_head(group, usage);
        }
        let head = self.heap.pop()?;
        self.current = Some(head.group);
        Some(head.key)
    }

    /// Moves the first job of a group into the heap.
    fn push_head(&mut self, group: usize, usage: &CustomerUsage) {
        let JobGroup { rank, customer, jobs } = &mut self.groups[group];
        let Some((waiting_since, key)) = jobs.pop_front() else {
            return;
        };
        // Overdue jobs are ordered by waiting time alone.
        let share = if *rank == 0 { 0.0 } else { usage.weighted_share(customer) };
        self.heap.push(GroupHead { rank: *rank, share, waiting_since, key, group });
    }
}

impl Ord for GroupHead {
    fn cmp(&self, other: &Self) -> Ordering {
        // The heap returns the greatest element first, so the order is reversed.
        (other.rank.cmp(&self.rank))
            .then(other.share.total_cmp(&self.share))
            .then(other.waiting_since.cmp(&self.waiting_since))
            .then(other.key.cmp(&self.key))
    }
}

impl PartialOrd for GroupHead {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for GroupHead {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for GroupHead {}

/// Returns the rank of a job that is not overdue.
fn rank_of(class: WorkClass, waited: Duration) -> u8 {
    match class {
        WorkClass::Urgent => 1,
        WorkClass::Slow if waited < SLOW_PROMOTION_DELAY => 3,
        WorkClass::Normal | WorkClass::Slow => 2,
    }
}
