//! The planner of one failure domain, as the scheduler drives it.
//!
//! The scheduler reports every event and then calls [`DomainPlanner::decide`] until it returns
//! nothing. Accelerators of a gang count as held from the decision to start it until
//! [`DomainPlanner::release`], which is called only once its teardown is confirmed.

use std::collections::BTreeMap;
use std::time::Duration;

use lacewingrail_model::admin::{GuaranteeStatus, WaitingJob};
use lacewingrail_model::config::PlacementChoice;
use lacewingrail_model::{CustomerName, DomainName, JobId, RackName, WorkerId};

use crate::amount::{GangDemand, covers};
use crate::board::PlacementBoard;
use crate::gang::{GangPhase, PlacedGang};
use crate::health::WorkerHealth;
use crate::packing::PlacePart;
use crate::policy::{PlacementPolicy, policy_of};
use crate::queue::QueueWalk;
use crate::types::{
    CustomerShare, DomainCounts, FragmentationStats, PendingJob, PlacementAction, RunningGang,
    ShapeGuarantee, WorkerCapacity,
};
use crate::{audit, status};

/// Decides placement for one failure domain.
pub struct DomainPlanner {
    board: PlacementBoard,
    policy: Box<dyn PlacementPolicy>,
    decided: Duration,
}

impl Clone for DomainPlanner {
    fn clone(&self) -> Self {
        let policy = policy_of(self.board.choice);
        Self { board: self.board.clone(), policy, decided: self.decided }
    }
}

impl DomainPlanner {
    /// Creates a planner without workers. The seed selects among equal places.
    pub fn new(domain: DomainName, choice: PlacementChoice, seed: u64) -> Self {
        let board = PlacementBoard::new(domain, choice, seed);
        Self { board, policy: policy_of(choice), decided: Duration::ZERO }
    }

    /// Changes the policy; running gangs keep their places.
    pub fn set_policy(&mut self, choice: PlacementChoice) {
        if self.board.choice == choice {
            return;
        }
        self.board.choice = choice;
        self.board.dirty = true;
        self.policy = policy_of(choice);
    }

    /// Takes the list of all workers of the domain, healthy or not.
    ///
    /// Workers that are missing from a later list count as silent.
    pub fn set_workers(&mut self, workers: Vec<WorkerCapacity>) {
        self.board.dirty |= self.board.floor.set_workers(workers);
    }

    /// Takes the accelerators of each worker of the healthy domain from settings.
    ///
    /// Without them, a job is judged by the workers seen so far, and one that needs workers which
    /// were lost before this planner began would be refused. Call it before the first decision.
    pub fn set_nominal_racks(&mut self, racks: BTreeMap<RackName, Vec<u32>>) {
        self.board.floor.set_nominal_racks(racks);
    }

    /// Changes the health of a worker. Gangs on it stay until they are released.
    pub fn set_health(&mut self, worker: &WorkerId, health: WorkerHealth) {
        let Some(index) = self.board.floor.find(worker) else {
            return;
        };
        self.board.dirty |= self.board.floor.set_health(index, health);
    }

    /// Changes the measured speed of a worker, 1 for nominal.
    pub fn set_speed(&mut self, worker: &WorkerId, speed: f64) {
        if let Some(index) = self.board.floor.find(worker) {
            self.board.floor.workers[index].speed = speed;
        }
    }

    /// Takes the guarantees in this domain.
    pub fn set_guarantees(&mut self, guarantees: Vec<ShapeGuarantee>) {
        if self.board.entries != guarantees {
            self.board.entries = guarantees;
            self.board.dirty = true;
        }
    }

    /// Takes the customers' shares.
    pub fn set_customer_shares(&mut self, customers: BTreeMap<CustomerName, CustomerShare>) {
        self.board.ledger.shares = customers;
    }

    /// Adds a waiting job, or replaces its entry. A job whose earlier attempt is still being torn
    /// down may be added; it waits until that attempt is released.
    pub fn enqueue(&mut self, entry: PendingJob) {
        if let Some(slot) = self.claim_of(&entry.record.id) {
            self.board.leave(slot);
        }
        self.board.queue.insert(entry);
    }

    /// Notes that a waiting job failed to start on a worker, which is then avoided for it.
    pub fn avoid_worker(&mut self, job: &JobId, worker: &WorkerId) {
        let Some(index) = self.board.floor.find(worker) else {
            return;
        };
        let key = self.board.queue.find(job);
        if let Some(job) = key.and_then(|key| self.board.queue.get_mut(key)) {
            job.avoid.push(index);
        }
    }

    /// Removes a waiting job. A running one is removed by [`Self::release`].
    pub fn remove(&mut self, job: &JobId) {
        if let Some(slot) = self.claim_of(job) {
            self.board.leave(slot);
        }
        self.board.queue.remove(job);
    }

    /// Enters a gang that was found running when the scheduler became active.
    pub fn adopt(&mut self, entry: RunningGang) {
        if let Some(slot) = self.board.gangs.slot(&entry.job) {
            self.board.leave(slot);
        }
        self.board.queue.remove(&entry.job);
        let mut place: Vec<PlacePart> = Vec::new();
        for member in &entry.members {
            let worker = self.board.floor.find_or_add(&member.worker);
            match place.iter_mut().find(|part| part.worker == worker) {
                Some(part) => part.members += 1,
                None => place.push(PlacePart { worker, members: 1 }),
            }
        }
        self.board.enter(PlacedGang {
            job: entry.job,
            customer: entry.spec.customer.clone(),
            class: entry.spec.class,
            shape: entry.spec.shape,
            demand: GangDemand::of_job(&entry.spec),
            place,
            phase: GangPhase::Running,
            guaranteed: entry.guaranteed,
            protected: entry.guaranteed,
            checkpointable: entry.spec.checkpointable,
            preemptions: entry.preemptions,
            started_at: entry.checkpointed_at,
            checkpointed_at: entry.checkpointed_at,
            backfill_for: None,
            shielded: false,
            order: 0,
        });
        self.board.dirty = true;
    }

    /// Takes one decision. It places a bounded number of jobs; call it again until it is empty.
    pub fn decide(&mut self, now: Duration) -> Vec<PlacementAction> {
        self.decided = now;
        self.policy.decide(&mut self.board, now)
    }

    /// Notes that all members of a gang run.
    pub fn confirm_start(&mut self, job: &JobId) {
        let Some(slot) = self.board.gangs.slot(job) else {
            return;
        };
        let starting = |gang: &PlacedGang| gang.phase == GangPhase::Starting;
        if self.board.gangs.get(slot).is_some_and(starting) {
            self.board.set_phase(slot, GangPhase::Running);
        }
    }

    /// Notes that a gang is being torn down for another reason than a preemption decided here, so
    /// that it is not chosen as a victim.
    pub fn mark_stopping(&mut self, job: &JobId) {
        let Some(slot) = self.board.gangs.slot(job) else {
            return;
        };
        let holds =
            |gang: &PlacedGang| matches!(gang.phase, GangPhase::Starting | GangPhase::Running);
        if self.board.gangs.get(slot).is_some_and(holds) {
            self.board.set_phase(slot, GangPhase::Stopping);
        }
    }

    /// Frees a gang's accelerators. Call it only once the teardown is confirmed.
    pub fn release(&mut self, job: &JobId) {
        let Some(slot) = self.board.gangs.slot(job) else {
            return;
        };
        if self.claim_of(job).is_none() {
            self.board.leave(slot);
        }
    }

    /// Notes that a running gang wrote a checkpoint.
    pub fn record_checkpoint(&mut self, job: &JobId, now: Duration) {
        let slot = self.board.gangs.slot(job);
        if let Some(gang) = slot.and_then(|slot| self.board.gangs.get_mut(slot)) {
            gang.checkpointed_at = now;
        }
    }

    /// Returns one sentence on where a job stands and what is in its way.
    pub fn explain(&self, job: &JobId) -> String {
        status::explain(&self.board, job)
    }

    /// Returns the waiting jobs in the order in which they would be tried if each could start, as of
    /// the newest decision.
    pub fn queue(&self) -> Vec<WaitingJob> {
        let mut ledger = self.board.ledger.clone();
        let mut walk = QueueWalk::new(&self.board.queue, &ledger, self.decided);
        let mut jobs = Vec::new();
        while let Some(key) = walk.next(&ledger) {
            let Some(job) = self.board.queue.get(key) else {
                continue;
            };
            let record = job.entry.record.clone();
            ledger.charge(&record.spec.customer, record.spec.shape.total());
            let position = u32::try_from(jobs.len()).unwrap_or(u32::MAX).saturating_add(1);
            let reason = self.explain(&record.id);
            jobs.push(WaitingJob { record, position, reason });
        }
        jobs
    }

    /// Returns the state of all guarantees.
    pub fn guarantees(&self) -> Vec<GuaranteeStatus> {
        if !self.board.dirty {
            return status::guarantees(&self.board);
        }
        let mut board = self.board.clone();
        board.refresh_plan();
        status::guarantees(&board)
    }

    /// Returns counts for operators.
    pub fn counts(&self) -> DomainCounts {
        status::counts(&self.board)
    }

    /// Returns what could be placed at once without preemption.
    pub fn fragmentation(&self) -> FragmentationStats {
        status::fragmentation(&self.board)
    }

    /// Returns what a change of guarantees would do, one sentence for each effect.
    pub fn dry_run(&self, guarantees: Vec<ShapeGuarantee>, _now: Duration) -> Vec<String> {
        let mut before = self.board.clone();
        before.refresh_plan();
        let mut after = before.clone();
        after.entries = guarantees;
        after.dirty = true;
        after.refresh_plan();
        status::compare(&before, &after)
    }

    /// Returns whether a waiting job is within an unused guarantee of its customer.
    pub fn is_entitled(&self, job: &JobId) -> bool {
        let key = self.board.queue.find(job);
        let Some(spec) = key.and_then(|key| Some(&self.board.queue.get(key)?.entry.record.spec))
        else {
            return false;
        };
        let units = self.board.plan.units_of(&spec.customer).iter();
        units
            .map(|unit| &self.board.plan.units[*unit])
            .any(|unit| unit.is_unused() && covers(&unit.shape, &spec.shape))
    }

    /// Checks the invariants and returns the violations found, which are also counted.
    pub fn check_invariants(&self) -> Vec<String> {
        audit::check(&self.board)
    }

    fn claim_of(&self, job: &JobId) -> Option<usize> {
        let slot = self.board.gangs.slot(job)?;
        let claimed = self.board.gangs.get(slot)?.phase == GangPhase::Claimed;
        claimed.then_some(slot)
    }
}
