//! The planner of one failure domain, which is the interface of this crate to the scheduler.
//!
//! The scheduler reports every event and then calls [`DomainPlanner::decide`] until it returns no
//! more actions. The accelerators of a gang count as held from the decision to start it until the
//! scheduler calls [`DomainPlanner::release`], which it may do only after the teardown is
//! confirmed.

use std::collections::BTreeMap;
use std::time::Duration;

use lacewingrail_model::admin::{GuaranteeStatus, WaitingJob};
use lacewingrail_model::config::PlacementChoice;
use lacewingrail_model::{CustomerName, DomainName, JobId, RackName, WorkerId};

use crate::amount::{GangDemand, covers};
use crate::gang::{GangPhase, PlacedGang};
use crate::health::WorkerHealth;
use crate::packing::PlacementPart;
use crate::policy::{PlacementPolicy, policy_of};
use crate::queue::QueueCursor;
use crate::state::DomainState;
use crate::types::{
    CustomerShare, DomainCounts, FragmentationStats, PendingJob, PlacementAction, RunningGang,
    ShapeGuarantee, WorkerCapacity,
};
use crate::{invariants, status};

/// Decides which jobs of one failure domain start where, and which are preempted or refused.
pub struct DomainPlanner {
    state: DomainState,
    policy: Box<dyn PlacementPolicy>,
    /// Time of the last decision.
    decided_at: Duration,
}

impl Clone for DomainPlanner {
    fn clone(&self) -> Self {
        let policy = policy_of(self.state.policy_choice);
        Self { state: self.state.clone(), policy, decided_at: self.decided_at }
    }
}

impl DomainPlanner {
    /// Creates a planner without workers and jobs. The seed selects among equal placements, so
    /// planners with the same seed and events decide the same.
    pub fn new(domain: DomainName, policy_choice: PlacementChoice, seed: u64) -> Self {
        let state = DomainState::new(domain, policy_choice, seed);
        Self { state, policy: policy_of(policy_choice), decided_at: Duration::ZERO }
    }

    /// Sets the policy. Running gangs keep their accelerators.
    pub fn set_policy(&mut self, policy_choice: PlacementChoice) {
        if self.state.policy_choice == policy_choice {
            return;
        }
        self.state.policy_choice = policy_choice;
        self.state.plan_outdated = true;
        self.policy = policy_of(policy_choice);
    }

    /// Replaces the list of all workers of the domain, healthy or not.
    ///
    /// Workers that are missing from a later list count as silent.
    pub fn set_workers(&mut self, workers: Vec<WorkerCapacity>) {
        self.state.plan_outdated |= self.state.pool.set_workers(workers);
    }

    /// Sets the number of accelerators of each worker of each rack in the healthy domain, from
    /// settings.
    ///
    /// They have to be set before the first decision. Otherwise only workers that were reported to
    /// this planner count, and a job that needs workers lost before the planner was created is
    /// refused.
    pub fn set_nominal_racks(&mut self, racks: BTreeMap<RackName, Vec<u32>>) {
        self.state.pool.set_nominal_racks(racks);
    }

    /// Sets the health of a worker; an unknown worker is ignored. Gangs on it keep their
    /// accelerators until they are released.
    pub fn set_health(&mut self, worker: &WorkerId, health: WorkerHealth) {
        let Some(index) = self.state.pool.find(worker) else {
            return;
        };
        self.state.plan_outdated |= self.state.pool.set_health(index, health);
    }

    /// Sets the measured speed of a worker relative to nominal, 1 for nominal; an unknown worker is
    /// ignored.
    pub fn set_speed(&mut self, worker: &WorkerId, speed: f64) {
        if let Some(index) = self.state.pool.find(worker) {
            self.state.pool.workers[index].speed = speed;
        }
    }

    /// Replaces the guarantees in this domain.
    pub fn set_guarantees(&mut self, guarantees: Vec<ShapeGuarantee>) {
        if self.state.guarantees != guarantees {
            self.state.guarantees = guarantees;
            self.state.plan_outdated = true;
        }
    }

    /// Replaces the quotas and weights of all customers. A job of a customer that is missing is not
    /// started.
    pub fn set_customer_shares(&mut self, customers: BTreeMap<CustomerName, CustomerShare>) {
        self.state.usage.shares = customers;
    }

    /// Adds a waiting job, or replaces it if it is already waiting. A job whose previous attempt is
    /// still being torn down may be added; it waits until that attempt is released.
    pub fn enqueue(&mut self, job: PendingJob) {
        if let Some(slot) = self.claim_of(&job.record.id) {
            self.state.remove_gang(slot);
        }
        self.state.queue.insert(job);
    }

    /// Excludes a worker from the placements of a waiting job that failed to start on it. A job
    /// under a guarantee may still get the worker if it fits nowhere else.
    pub fn avoid_worker(&mut self, job: &JobId, worker: &WorkerId) {
        let Some(index) = self.state.pool.find(worker) else {
            return;
        };
        let key = self.state.queue.find(job);
        if let Some(job) = key.and_then(|key| self.state.queue.get_mut(key)) {
            job.avoided_workers.push(index);
        }
    }

    /// Removes a waiting job and its claim. A running job is removed with [`Self::release`].
    pub fn remove(&mut self, job: &JobId) {
        if let Some(slot) = self.claim_of(job) {
            self.state.remove_gang(slot);
        }
        self.state.queue.remove(job);
    }

    /// Adds a gang that was already running when the scheduler became active. It replaces what is
    /// known about the job.
    pub fn adopt(&mut self, gang: RunningGang) {
        if let Some(slot) = self.state.gangs.find(&gang.job) {
            self.state.remove_gang(slot);
        }
        self.state.queue.remove(&gang.job);
        let mut placement: Vec<PlacementPart> = Vec::new();
        for member in &gang.members {
            let worker = self.state.pool.find_or_add(&member.worker);
            match placement.iter_mut().find(|part| part.worker == worker) {
                Some(part) => part.members += 1,
                None => placement.push(PlacementPart { worker, members: 1 }),
            }
        }
        self.state.add_gang(PlacedGang {
            job: gang.job,
            customer: gang.spec.customer.clone(),
            class: gang.spec.class,
            shape: gang.spec.shape,
            demand: GangDemand::from_job(&gang.spec),
            placement,
            phase: GangPhase::Running,
            guaranteed: gang.guaranteed,
            protected: gang.guaranteed,
            checkpointable: gang.spec.checkpointable,
            preemptions: gang.preemptions,
            started_at: gang.checkpointed_at,
            checkpointed_at: gang.checkpointed_at,
            backfill_for: None,
            exempt_from_urgent: false,
            sequence: 0,
        });
        self.state.plan_outdated = true;
    }

    /// Makes one decision and returns its actions, which count as carried out from now on. A
    /// decision places a limited number of jobs, so it has to be called until it returns no
    /// actions.
    pub fn decide(&mut self, now: Duration) -> Vec<PlacementAction> {
        self.decided_at = now;
        self.policy.decide(&mut self.state, now)
    }

    /// Records that all members of a gang run.
    pub fn confirm_start(&mut self, job: &JobId) {
        let Some(slot) = self.state.gangs.find(job) else {
            return;
        };
        let starting = |gang: &PlacedGang| gang.phase == GangPhase::Starting;
        if self.state.gangs.get(slot).is_some_and(starting) {
            self.state.set_phase(slot, GangPhase::Running);
        }
    }

    /// Records that a gang is being torn down for another reason than a preemption by this planner,
    /// so that it is not chosen as a victim.
    pub fn mark_stopping(&mut self, job: &JobId) {
        let Some(slot) = self.state.gangs.find(job) else {
            return;
        };
        let is_active =
            |gang: &PlacedGang| matches!(gang.phase, GangPhase::Starting | GangPhase::Running);
        if self.state.gangs.get(slot).is_some_and(is_active) {
            self.state.set_phase(slot, GangPhase::Stopping);
        }
    }

    /// Frees the accelerators of a gang. It may be called only after the teardown is confirmed;
    /// otherwise the accelerators could be used twice.
    pub fn release(&mut self, job: &JobId) {
        let Some(slot) = self.state.gangs.find(job) else {
            return;
        };
        if self.claim_of(job).is_none() {
            self.state.remove_gang(slot);
        }
    }

    /// Records that a running gang wrote a checkpoint, which lowers the cost of preempting it.
    pub fn record_checkpoint(&mut self, job: &JobId, now: Duration) {
        let slot = self.state.gangs.find(job);
        if let Some(gang) = slot.and_then(|slot| self.state.gangs.get_mut(slot)) {
            gang.checkpointed_at = now;
        }
    }

    /// Returns one sentence on the state of a job and, if it waits, why.
    pub fn explain(&self, job: &JobId) -> String {
        status::explain(&self.state, job)
    }

    /// Returns the waiting jobs in fair order as of the last decision, as if each job started in
    /// its turn.
    pub fn queue(&self) -> Vec<WaitingJob> {
        let mut usage = self.state.usage.clone();
        let mut cursor = QueueCursor::new(&self.state.queue, &usage, self.decided_at);
        let mut jobs = Vec::new();
        while let Some(key) = cursor.next(&usage) {
            let Some(job) = self.state.queue.get(key) else {
                continue;
            };
            let record = job.pending.record.clone();
            usage.add(&record.spec.customer, record.spec.shape.total());
            let position = u32::try_from(jobs.len()).unwrap_or(u32::MAX).saturating_add(1);
            let reason = self.explain(&record.id);
            jobs.push(WaitingJob { record, position, reason });
        }
        jobs
    }

    /// Returns how many shapes of each guarantee are held, reclaimable or suspended.
    pub fn guarantees(&self) -> Vec<GuaranteeStatus> {
        if !self.state.plan_outdated {
            return status::guarantees(&self.state);
        }
        let mut state = self.state.clone();
        state.refresh_plan();
        status::guarantees(&state)
    }

    /// Returns the counts of workers, accelerators, gangs and jobs.
    pub fn counts(&self) -> DomainCounts {
        status::counts(&self.state)
    }

    /// Returns how the free accelerators are spread over workers and racks.
    pub fn fragmentation(&self) -> FragmentationStats {
        status::fragmentation(&self.state)
    }

    /// Returns the effects that a change of guarantees would have, one sentence for each, and
    /// changes nothing.
    pub fn dry_run(&self, guarantees: Vec<ShapeGuarantee>, _now: Duration) -> Vec<String> {
        let mut before = self.state.clone();
        before.refresh_plan();
        let mut after = before.clone();
        after.guarantees = guarantees;
        after.plan_outdated = true;
        after.refresh_plan();
        status::describe_changes(&before, &after)
    }

    /// Returns whether an unused guarantee of its customer covers a waiting job.
    pub fn is_entitled(&self, job: &JobId) -> bool {
        let key = self.state.queue.find(job);
        let Some(spec) = key.and_then(|key| Some(&self.state.queue.get(key)?.pending.record.spec))
        else {
            return false;
        };
        let units = self.state.plan.units_of(&spec.customer).iter();
        units
            .map(|unit| &self.state.plan.units[*unit])
            .any(|unit| unit.is_unused() && covers(&unit.shape, &spec.shape))
    }

    /// Checks the invariants and returns one message for each violation. Violations are also logged
    /// and counted.
    pub fn check_invariants(&self) -> Vec<String> {
        invariants::check(&self.state)
    }

    /// Returns the slot of a job that claims a placement, or none if it has no claim.
    fn claim_of(&self, job: &JobId) -> Option<usize> {
        let slot = self.state.gangs.find(job)?;
        let claimed = self.state.gangs.get(slot)?.phase == GangPhase::Claimed;
        claimed.then_some(slot)
    }
}
