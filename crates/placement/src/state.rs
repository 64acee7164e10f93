//! The state of a failure domain that placement policies work on.
//!
//! Workers, gangs, the plan of guarantees, the queue and the usage of customers must agree, so a
//! gang is added to and removed from all of them together. Policies make decisions, and the state
//! applies them.

use std::time::Duration;

use lacewingrail_model::config::PlacementChoice;
use lacewingrail_model::job::WorkClass;
use lacewingrail_model::shape::GangShape;
use lacewingrail_model::{CustomerName, DomainName, JobId};

use crate::amount::{GangDemand, ResourceAmount};
use crate::gang::{GangPhase, GangTable, PlacedGang};
use crate::packing::GangPlacement;
use crate::plan::GuaranteePlan;
use crate::queue::{CustomerUsage, JobQueue, QueueKey};
use crate::replan;
use crate::types::{MemberPlacement, PlacementAction, ShapeGuarantee};
use crate::wait_reason::WaitReason;
use crate::worker_pool::{PoolWorker, WorkerPool};

/// A placement reserved for the first waiting gang that does not fit.
#[derive(Clone, Debug)]
pub struct GangReservation {
    /// Waiting job that holds the reservation.
    pub job: JobId,
    pub demand: GangDemand,
    pub placement: GangPlacement,
}

/// The properties of a waiting job that a decision needs.
#[derive(Clone, Debug)]
pub struct JobCandidate {
    /// Key of the job in the queue.
    pub key: QueueKey,
    pub job: JobId,
    pub customer: CustomerName,
    pub class: WorkClass,
    pub shape: GangShape,
    pub demand: GangDemand,
    /// Indices of workers on which the job failed to start.
    pub avoided_workers: Vec<usize>,
    /// Whether the job has waited for at least [`OVERDUE_DELAY`](crate::queue::OVERDUE_DELAY).
    pub overdue: bool,
    /// Index of the worker or rack at which searches begin, modulo their number. It depends on the
    /// job and the seed, so that ties between placements are spread over the domain.
    pub offset: usize,
}

/// The result of a successful search for a job.
#[derive(Clone, Debug, Default)]
pub struct PlacementDecision {
    pub placement: GangPlacement,
    /// Slots of the gangs to preempt.
    pub victims: Vec<usize>,
    /// Whether the gang is started under a guarantee.
    pub guaranteed: bool,
    /// Index of the unit in the plan that the gang will hold; none for a borrower.
    pub unit: Option<usize>,
    /// Waiting job whose reserved accelerators the gang uses until that job can start.
    pub backfill_for: Option<JobId>,
}

/// The state of one failure domain.
#[derive(Clone, Debug)]
pub struct DomainState {
    pub domain: DomainName,
    /// Policy in force.
    pub policy_choice: PlacementChoice,
    /// Seed of the selection among equal placements.
    pub seed: u64,
    pub pool: WorkerPool,
    pub gangs: GangTable,
    /// Guarantees from settings, whether or not they can be honoured now.
    pub guarantees: Vec<ShapeGuarantee>,
    /// Plan that reserves accelerators for the guarantees; empty under the baseline policies.
    pub plan: GuaranteePlan,
    pub queue: JobQueue,
    pub usage: CustomerUsage,
    /// Reservation of the first waiting gang that does not fit, if any.
    pub reservation: Option<GangReservation>,
    /// Whether the plan must be rebuilt before the next decision.
    pub plan_outdated: bool,
    /// Starts decided since the state was created.
    pub starts_total: u64,
    /// Gangs preempted since the state was created.
    pub preemptions_total: u64,
    next_sequence: u64,
}

impl DomainState {
    /// Creates a state without workers, gangs and jobs.
    pub fn new(domain: DomainName, policy_choice: PlacementChoice, seed: u64) -> Self {
        Self {
            domain,
            policy_choice,
            seed,
            pool: WorkerPool::default(),
            gangs: GangTable::default(),
            guarantees: Vec::new(),
            plan: GuaranteePlan::default(),
            queue: JobQueue::default(),
            usage: CustomerUsage::default(),
            reservation: None,
            plan_outdated: true,
            starts_total: 0,
            preemptions_total: 0,
            next_sequence: 0,
        }
    }

    /// Rebuilds the plan of guarantees if it is outdated.
    pub fn refresh_plan(&mut self) {
        if !self.plan_outdated {
            return;
        }
        self.plan_outdated = false;
        // The baseline policies have no plan; they protect every gang that started under a
        // guarantee.
        let has_plan = self.policy_choice == PlacementChoice::Shape;
        let guarantees = if has_plan { self.guarantees.clone() } else { Vec::new() };
        self.plan = replan::rebuild(guarantees, &self.plan, &self.pool, &mut self.gangs);
        if !has_plan {
            let slots: Vec<usize> = self.gangs.iter().map(|(slot, _)| slot).collect();
            for slot in slots {
                if let Some(gang) = self.gangs.get_mut(slot) {
                    gang.protected = gang.guaranteed;
                }
            }
        }
    }

    /// Returns the properties of a waiting job that a decision needs, or none if it no longer
    /// waits.
    pub fn candidate(&self, key: QueueKey, now: Duration) -> Option<JobCandidate> {
        let job = self.queue.get(key)?;
        let record = &job.pending.record;
        // Multiplicative hashing spreads consecutive keys over the offsets.
        let hash = key.wrapping_add(self.seed).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33;
        Some(JobCandidate {
            key,
            job: record.id.clone(),
            customer: record.spec.customer.clone(),
            class: record.spec.class,
            shape: record.spec.shape,
            demand: job.demand,
            avoided_workers: job.avoided_workers.clone(),
            overdue: job.is_overdue(now),
            offset: usize::try_from(hash).unwrap_or(0),
        })
    }

    /// Returns in one sentence why a job can never run in this domain, or none if it can.
    ///
    /// Lost workers count as present, since the loss may be temporary.
    pub fn find_infeasibility(&mut self, key: QueueKey) -> Option<String> {
        let job = self.queue.get(key)?;
        let spec = &job.pending.record.spec;
        let quota = self.usage.shares.get(&spec.customer).map(|share| share.quota);
        if let Some(quota) = quota.filter(|quota| spec.shape.total() > *quota) {
            return Some(format!(
                "the job needs {} accelerators, over the quota of {quota} of {}; request a smaller \
                 shape or a larger quota",
                spec.shape.total(),
                spec.customer
            ));
        }
        if job.feasible || self.pool.is_layout_unknown() {
            return None;
        }
        let reason = if self.pool.fits_nominal(&job.demand) {
            None
        } else if self.pool.fits_nominal(&GangDemand::from_shape(&spec.shape)) {
            Some(format!(
                "no workers of {} have {} cores and {} MB for each member beside {}; request less",
                self.domain, spec.cores, spec.memory_mb, spec.shape
            ))
        } else {
            Some(format!(
                "{} is larger than the whole healthy domain {}; request a smaller shape",
                spec.shape, self.domain
            ))
        };
        if let Some(job) = self.queue.get_mut(key) {
            job.feasible = reason.is_none();
        }
        reason
    }

    pub fn set_wait_reason(&mut self, key: QueueKey, reason: WaitReason) {
        if let Some(job) = self.queue.get_mut(key) {
            job.reason = reason;
        }
    }

    /// Applies a decision: preempts the victims and starts the job, or lets it claim the placement
    /// until enough is free.
    pub fn commit(
        &mut self,
        candidate: &JobCandidate,
        decision: PlacementDecision,
        now: Duration,
        actions: &mut Vec<PlacementAction>,
    ) {
        let victims = self.preempt(&decision.victims);
        let Some(job) = self.queue.get(candidate.key) else {
            return;
        };
        let record = &job.pending.record;
        let demand = candidate.demand;
        let is_free = decision.placement.iter().all(|part| {
            let required = demand.per_member.times(part.members);
            self.pool.workers[part.worker].free().contains(&required)
        });
        let starts_now = is_free && victims.is_empty();
        let gang = PlacedGang {
            job: candidate.job.clone(),
            customer: candidate.customer.clone(),
            class: candidate.class,
            shape: candidate.shape,
            demand,
            placement: decision.placement,
            phase: if starts_now { GangPhase::Starting } else { GangPhase::Claimed },
            guaranteed: decision.guaranteed,
            protected: decision.guaranteed,
            checkpointable: record.spec.checkpointable,
            preemptions: record.preemptions,
            started_at: now,
            checkpointed_at: now,
            backfill_for: decision.backfill_for,
            exempt_from_urgent: candidate.overdue,
            sequence: 0,
        };
        let slot = self.add_gang(gang);
        if let Some(unit) = decision.unit {
            let footprint = self.plan.units[unit].footprint.clone();
            self.plan.assign(unit, footprint, crate::plan::UnitState::Held(slot));
        }
        if self.reservation.as_ref().is_some_and(|reservation| reservation.job == candidate.job) {
            self.reservation = None;
        }
        if starts_now {
            self.queue.remove(&candidate.job);
            actions.push(self.start_action(slot));
            return;
        }
        let count = u32::try_from(victims.len()).unwrap_or(u32::MAX);
        self.set_wait_reason(candidate.key, WaitReason::Preempting(count));
        if !victims.is_empty() {
            let on_behalf_of = candidate.job.clone();
            actions.push(PlacementAction::Preempt { victims, on_behalf_of });
        }
    }

    /// Starts the claims whose placements are free now, and drops those on workers that are no
    /// longer usable.
    pub fn start_ready_claims(&mut self, now: Duration, actions: &mut Vec<PlacementAction>) {
        let mut claims: Vec<(u64, usize)> = self
            .gangs
            .iter()
            .filter(|(_, gang)| gang.phase == GangPhase::Claimed)
            .map(|(slot, gang)| (gang.sequence, slot))
            .collect();
        claims.sort_unstable();
        for (_, slot) in claims {
            let Some(gang) = self.gangs.get(slot) else {
                continue;
            };
            let lost =
                gang.placement.iter().any(|part| !self.pool.workers[part.worker].is_usable());
            if lost {
                self.remove_gang(slot);
                continue;
            }
            let ready = gang.placement.iter().all(|part| {
                let required = gang.demand.per_member.times(part.members);
                free_for_claim(&self.pool.workers[part.worker]).contains(&required)
            });
            if !ready || self.waits_for_quota(gang) {
                continue;
            }
            let job = gang.job.clone();
            self.set_phase(slot, GangPhase::Starting);
            if let Some(gang) = self.gangs.get_mut(slot) {
                gang.started_at = now;
                gang.checkpointed_at = now;
            }
            self.queue.remove(&job);
            actions.push(self.start_action(slot));
        }
    }

    /// Adds a gang to the gang table, its workers' accounts and its customer's usage.
    pub fn add_gang(&mut self, mut gang: PlacedGang) -> usize {
        gang.sequence = self.next_sequence;
        self.next_sequence += 1;
        self.usage.add(&gang.customer, gang.demand.total());
        let slot = self.gangs.insert(gang);
        if let Some(gang) = self.gangs.get(slot) {
            self.pool.add_gang(slot, gang);
        }
        slot
    }

    /// Removes a gang from the gang table, its workers' accounts and its customer's usage. The unit
    /// of the plan that it held becomes unused.
    pub fn remove_gang(&mut self, slot: usize) {
        let Some(gang) = self.gangs.remove(slot) else {
            return;
        };
        self.pool.remove_gang(slot, &gang);
        self.usage.subtract(&gang.customer, gang.demand.total());
        if let Some(unit) = self.plan.release_slot(slot) {
            let footprint = &self.plan.units[unit].footprint;
            let usable = |worker: usize| self.pool.workers[worker].is_usable();
            let valid = footprint.iter().all(|part| usable(part.worker))
                && self.plan.units[unit].has_whole_footprint(&self.pool.rack_map);
            let suspended = self.plan.units.iter().any(|unit| unit.footprint.is_empty());
            self.plan_outdated |= !valid || suspended;
        }
    }

    /// Sets the phase of a gang and moves its resources to the account of that phase.
    pub fn set_phase(&mut self, slot: usize, phase: GangPhase) {
        let Some(gang) = self.gangs.get_mut(slot) else {
            return;
        };
        self.pool.remove_gang(slot, gang);
        gang.phase = phase;
        self.pool.add_gang(slot, gang);
    }

    /// Returns whether a claim must wait because its customer is over quota until other gangs of
    /// that customer have stopped.
    fn waits_for_quota(&self, gang: &PlacedGang) -> bool {
        let quota = self.usage.shares.get(&gang.customer).map_or(u32::MAX, |share| share.quota);
        self.usage.in_use(&gang.customer) > quota
            && self.gangs.iter().any(|(_, other)| {
                other.customer == gang.customer && other.phase == GangPhase::Stopping
            })
    }

    /// Preempts gangs and returns the jobs that the scheduler has to stop. Claims have not started,
    /// so they are dropped at once and not returned.
    pub fn preempt(&mut self, slots: &[usize]) -> Vec<JobId> {
        let mut jobs = Vec::new();
        for slot in slots {
            let Some(gang) = self.gangs.get(*slot) else {
                continue;
            };
            match gang.phase {
                GangPhase::Claimed => {
                    let key = self.queue.find(&gang.job);
                    self.remove_gang(*slot);
                    if let Some(key) = key {
                        self.set_wait_reason(key, WaitReason::NotConsidered);
                    }
                }
                GangPhase::Starting | GangPhase::Running => {
                    jobs.push(gang.job.clone());
                    self.set_phase(*slot, GangPhase::Stopping);
                    self.preemptions_total += 1;
                }
                GangPhase::Stopping => {}
            }
        }
        jobs
    }

    /// Counts a start and returns the action for it.
    fn start_action(&mut self, slot: usize) -> PlacementAction {
        self.starts_total += 1;
        let (job, members, guaranteed) = match self.gangs.get(slot) {
            Some(gang) => (gang.job.clone(), self.members_of(gang), gang.guaranteed),
            None => (JobId::new(), Vec::new(), false),
        };
        PlacementAction::Start { job, members, guaranteed }
    }

    /// Returns the worker of each member, numbered in the order of the placement.
    fn members_of(&self, gang: &PlacedGang) -> Vec<MemberPlacement> {
        let workers = gang.placement.iter().flat_map(|part| (0..part.members).map(|_| part.worker));
        (0..)
            .zip(workers)
            .map(|(index, worker)| MemberPlacement {
                index,
                worker: self.pool.workers[worker].id.clone(),
                accelerators: gang.demand.per_member.accelerators,
            })
            .collect()
    }
}

/// Returns the resources of a worker on which claims may start: all that no gang holds, claimed or
/// not.
fn free_for_claim(worker: &PoolWorker) -> ResourceAmount {
    let mut available = worker.usable_capacity();
    available.subtract(worker.held);
    available.subtract(worker.stopping);
    available
}
