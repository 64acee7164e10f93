//! The state that placement policies work on.
//!
//! The board keeps workers, gangs, plan, queue and ledger in step: a gang enters and leaves all of
//! them together. Policies decide what goes where and change nothing except through it.

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

/// A place kept for the first waiting gang that does not fit.
#[derive(Clone, Debug)]
pub struct GangReservation {
    /// Waiting job.
    pub job: JobId,
    /// Demand of the job.
    pub demand: GangDemand,
    /// Place.
    pub placement: GangPlacement,
}

/// Holds what a decision needs of one waiting job.
#[derive(Clone, Debug)]
pub struct JobCandidate {
    /// Key in the queue.
    pub key: QueueKey,
    /// Job.
    pub job: JobId,
    /// Customer.
    pub customer: CustomerName,
    /// Class.
    pub class: WorkClass,
    /// Shape.
    pub shape: GangShape,
    /// Demand.
    pub demand: GangDemand,
    /// Workers to avoid.
    pub avoid: Vec<usize>,
    /// Whether the job has waited too long.
    pub overdue: bool,
    /// Worker or rack from which searches begin.
    pub offset: usize,
}

/// Says where a job goes.
#[derive(Clone, Debug, Default)]
pub struct PlacementDecision {
    /// Place.
    pub placement: GangPlacement,
    /// Slots of gangs that must leave.
    pub victims: Vec<usize>,
    /// Whether the gang is started under a guarantee.
    pub guaranteed: bool,
    /// Unit of the plan that the gang holds.
    pub unit: Option<usize>,
    /// Waiting job on whose reserved place the gang runs.
    pub backfill_for: Option<JobId>,
}

/// Holds the whole state of one failure domain.
#[derive(Clone, Debug)]
pub struct DomainState {
    /// Failure domain.
    pub domain: DomainName,
    /// Policy in force.
    pub choice: PlacementChoice,
    /// Seed of the order among equal places.
    pub seed: u64,
    /// Workers.
    pub pool: WorkerPool,
    /// Gangs.
    pub gangs: GangTable,
    /// Guarantees as set.
    pub guarantees: Vec<ShapeGuarantee>,
    /// Plan of guarantees.
    pub plan: GuaranteePlan,
    /// Waiting jobs.
    pub queue: JobQueue,
    /// Use by customer.
    pub usage: CustomerUsage,
    /// Reservation of the first waiting gang, if any.
    pub reservation: Option<GangReservation>,
    /// Whether the plan must be rebuilt before the next decision.
    pub plan_outdated: bool,
    /// Starts decided so far.
    pub starts_total: u64,
    /// Gangs preempted so far.
    pub preemptions_total: u64,
    next_sequence: u64,
}

impl DomainState {
    /// Creates an empty board.
    pub fn new(domain: DomainName, choice: PlacementChoice, seed: u64) -> Self {
        Self {
            domain,
            choice,
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

    /// Rebuilds the plan if a change requires it.
    pub fn refresh_plan(&mut self) {
        if !self.plan_outdated {
            return;
        }
        self.plan_outdated = false;
        // The baselines keep no plan; a gang started under a guarantee is protected by its mark.
        let shape = self.choice == PlacementChoice::Shape;
        let guarantees = if shape { self.guarantees.clone() } else { Vec::new() };
        self.plan = replan::rebuild(guarantees, &self.plan, &self.pool, &mut self.gangs);
        if !shape {
            let slots: Vec<usize> = self.gangs.iter().map(|(slot, _)| slot).collect();
            for gang in slots {
                if let Some(gang) = self.gangs.get_mut(gang) {
                    gang.protected = gang.guaranteed;
                }
            }
        }
    }

    /// Returns what a decision needs of a waiting job.
    pub fn candidate(&self, key: QueueKey, now: Duration) -> Option<JobCandidate> {
        let job = self.queue.get(key)?;
        let record = &job.pending.record;
        let mixed = key.wrapping_add(self.seed).wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 33;
        Some(JobCandidate {
            key,
            job: record.id.clone(),
            customer: record.spec.customer.clone(),
            class: record.spec.class,
            shape: record.spec.shape,
            demand: job.demand,
            avoid: job.avoid.clone(),
            overdue: job.is_overdue(now),
            offset: usize::try_from(mixed).unwrap_or(0),
        })
    }

    /// Returns why a job can never run here, in one sentence, or none if it can.
    ///
    /// Workers that are lost count as present, since a loss may be temporary.
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
        if job.feasible || self.pool.is_unknown() {
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

    /// Sets the reason for which a job waits.
    pub fn set_wait_reason(&mut self, key: QueueKey, reason: WaitReason) {
        if let Some(job) = self.queue.get_mut(key) {
            job.reason = reason;
        }
    }

    /// Starts a job in a place, or claims the place until the victims have left it.
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
        let free = decision.placement.iter().all(|part| {
            let need = demand.per_member.times(part.members);
            self.pool.workers[part.worker].free().contains(&need)
        });
        let starts = free && victims.is_empty();
        let gang = PlacedGang {
            job: candidate.job.clone(),
            customer: candidate.customer.clone(),
            class: candidate.class,
            shape: candidate.shape,
            demand,
            placement: decision.placement,
            phase: if starts { GangPhase::Starting } else { GangPhase::Claimed },
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
        if self.reservation.as_ref().is_some_and(|held| held.job == candidate.job) {
            self.reservation = None;
        }
        if starts {
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

    /// Starts claims whose victims have left, and drops claims whose workers were lost.
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
                let need = gang.demand.per_member.times(part.members);
                free_for_claim(&self.pool.workers[part.worker]).contains(&need)
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

    /// Adds a gang to all accounts.
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

    /// Removes a gang from all accounts. Its unit of the plan becomes unused.
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

    /// Moves a gang to another phase.
    pub fn set_phase(&mut self, slot: usize, phase: GangPhase) {
        let Some(gang) = self.gangs.get_mut(slot) else {
            return;
        };
        self.pool.remove_gang(slot, gang);
        gang.phase = phase;
        self.pool.add_gang(slot, gang);
    }

    /// Returns whether a claim waits until other gangs of its customer have stopped.
    fn waits_for_quota(&self, gang: &PlacedGang) -> bool {
        let quota = self.usage.shares.get(&gang.customer).map_or(u32::MAX, |share| share.quota);
        self.usage.in_use(&gang.customer) > quota
            && self.gangs.iter().any(|(_, other)| {
                other.customer == gang.customer && other.phase == GangPhase::Stopping
            })
    }

    /// Stops gangs and returns the jobs that hold accelerators; claims are dropped at once.
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

    fn start_action(&mut self, slot: usize) -> PlacementAction {
        self.starts_total += 1;
        let (job, members, guaranteed) = match self.gangs.get(slot) {
            Some(gang) => (gang.job.clone(), self.members_of(gang), gang.guaranteed),
            None => (JobId::new(), Vec::new(), false),
        };
        PlacementAction::Start { job, members, guaranteed }
    }

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

/// Returns what a claim may start with now.
fn free_for_claim(worker: &PoolWorker) -> ResourceAmount {
    let mut available = worker.usable_capacity();
    available.subtract(worker.held);
    available.subtract(worker.stopping);
    available
}
