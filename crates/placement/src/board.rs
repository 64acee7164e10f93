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
use crate::floor::{FloorWorker, WorkerFloor};
use crate::gang::{GangPhase, GangTable, PlacedGang};
use crate::packing::GangPlace;
use crate::plan::GuaranteePlan;
use crate::queue::{CustomerLedger, JobQueue, QueueKey};
use crate::reason::WaitReason;
use crate::replan;
use crate::types::{MemberPlacement, PlacementAction, ShapeGuarantee};

/// A place kept for the first waiting gang that does not fit.
#[derive(Clone, Debug)]
pub struct GangReservation {
    /// Waiting job.
    pub job: JobId,
    /// Demand of the job.
    pub demand: GangDemand,
    /// Place.
    pub place: GangPlace,
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
pub struct PlaceDecision {
    /// Place.
    pub place: GangPlace,
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
pub struct PlacementBoard {
    /// Failure domain.
    pub domain: DomainName,
    /// Policy in force.
    pub choice: PlacementChoice,
    /// Seed of the order among equal places.
    pub seed: u64,
    /// Workers.
    pub floor: WorkerFloor,
    /// Gangs.
    pub gangs: GangTable,
    /// Guarantees as set.
    pub entries: Vec<ShapeGuarantee>,
    /// Plan of guarantees.
    pub plan: GuaranteePlan,
    /// Waiting jobs.
    pub queue: JobQueue,
    /// Use by customer.
    pub ledger: CustomerLedger,
    /// Reservation of the first waiting gang, if any.
    pub reservation: Option<GangReservation>,
    /// Whether the plan must be rebuilt before the next decision.
    pub dirty: bool,
    /// Starts decided so far.
    pub starts_total: u64,
    /// Gangs preempted so far.
    pub preemptions_total: u64,
    next_order: u64,
}

impl PlacementBoard {
    /// Creates an empty board.
    pub fn new(domain: DomainName, choice: PlacementChoice, seed: u64) -> Self {
        Self {
            domain,
            choice,
            seed,
            floor: WorkerFloor::default(),
            gangs: GangTable::default(),
            entries: Vec::new(),
            plan: GuaranteePlan::default(),
            queue: JobQueue::default(),
            ledger: CustomerLedger::default(),
            reservation: None,
            dirty: true,
            starts_total: 0,
            preemptions_total: 0,
            next_order: 0,
        }
    }

    /// Rebuilds the plan if a change requires it.
    pub fn refresh_plan(&mut self) {
        if !self.dirty {
            return;
        }
        self.dirty = false;
        // The baselines keep no plan; a gang started under a guarantee is protected by its mark.
        let shape = self.choice == PlacementChoice::Shape;
        let entries = if shape { self.entries.clone() } else { Vec::new() };
        self.plan = replan::rebuild(entries, &self.plan, &self.floor, &mut self.gangs);
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
        let record = &job.entry.record;
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
    pub fn find_impossible(&mut self, key: QueueKey) -> Option<String> {
        let job = self.queue.get(key)?;
        let spec = &job.entry.record.spec;
        let quota = self.ledger.shares.get(&spec.customer).map(|share| share.quota);
        if let Some(quota) = quota.filter(|quota| spec.shape.total() > *quota) {
            return Some(format!(
                "the job needs {} accelerators, over the quota of {quota} of {}; request a smaller \
                 shape or a larger quota",
                spec.shape.total(),
                spec.customer
            ));
        }
        if job.possible || self.floor.is_unknown() {
            return None;
        }
        let reason = if self.floor.may_ever_fit(&job.demand) {
            None
        } else if self.floor.may_ever_fit(&GangDemand::of_shape(&spec.shape)) {
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
            job.possible = reason.is_none();
        }
        reason
    }

    /// Sets the reason for which a job waits.
    pub fn note_reason(&mut self, key: QueueKey, reason: WaitReason) {
        if let Some(job) = self.queue.get_mut(key) {
            job.reason = reason;
        }
    }

    /// Starts a job in a place, or claims the place until the victims have left it.
    pub fn settle(
        &mut self,
        candidate: &JobCandidate,
        decision: PlaceDecision,
        now: Duration,
        actions: &mut Vec<PlacementAction>,
    ) {
        let victims = self.preempt(&decision.victims);
        let Some(job) = self.queue.get(candidate.key) else {
            return;
        };
        let record = &job.entry.record;
        let demand = candidate.demand;
        let free = decision.place.iter().all(|part| {
            let need = demand.each.times(part.members);
            self.floor.workers[part.worker].free().contains(&need)
        });
        let starts = free && victims.is_empty();
        let gang = PlacedGang {
            job: candidate.job.clone(),
            customer: candidate.customer.clone(),
            class: candidate.class,
            shape: candidate.shape,
            demand,
            place: decision.place,
            phase: if starts { GangPhase::Starting } else { GangPhase::Claimed },
            guaranteed: decision.guaranteed,
            protected: decision.guaranteed,
            checkpointable: record.spec.checkpointable,
            preemptions: record.preemptions,
            started_at: now,
            checkpointed_at: now,
            backfill_for: decision.backfill_for,
            shielded: candidate.overdue,
            order: 0,
        };
        let slot = self.enter(gang);
        if let Some(unit) = decision.unit {
            let footprint = self.plan.units[unit].footprint.clone();
            self.plan.place(unit, footprint, crate::plan::UnitState::Held(slot));
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
        self.note_reason(candidate.key, WaitReason::Preempting(count));
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
            .map(|(slot, gang)| (gang.order, slot))
            .collect();
        claims.sort_unstable();
        for (_, slot) in claims {
            let Some(gang) = self.gangs.get(slot) else {
                continue;
            };
            let lost = gang.place.iter().any(|part| !self.floor.workers[part.worker].is_usable());
            if lost {
                self.leave(slot);
                continue;
            }
            let ready = gang.place.iter().all(|part| {
                let need = gang.demand.each.times(part.members);
                room_now(&self.floor.workers[part.worker]).contains(&need)
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
    pub fn enter(&mut self, mut gang: PlacedGang) -> usize {
        gang.order = self.next_order;
        self.next_order += 1;
        self.ledger.charge(&gang.customer, gang.demand.total());
        let slot = self.gangs.insert(gang);
        if let Some(gang) = self.gangs.get(slot) {
            self.floor.enter(slot, gang);
        }
        slot
    }

    /// Removes a gang from all accounts. Its unit of the plan becomes unused.
    pub fn leave(&mut self, slot: usize) {
        let Some(gang) = self.gangs.remove(slot) else {
            return;
        };
        self.floor.leave(slot, &gang);
        self.ledger.refund(&gang.customer, gang.demand.total());
        if let Some(unit) = self.plan.vacate(slot) {
            let footprint = &self.plan.units[unit].footprint;
            let usable = |worker: usize| self.floor.workers[worker].is_usable();
            let valid = footprint.iter().all(|part| usable(part.worker))
                && self.plan.units[unit].is_whole(&self.floor.map);
            let suspended = self.plan.units.iter().any(|unit| unit.footprint.is_empty());
            self.dirty |= !valid || suspended;
        }
    }

    /// Moves a gang to another phase.
    pub fn set_phase(&mut self, slot: usize, phase: GangPhase) {
        let Some(gang) = self.gangs.get_mut(slot) else {
            return;
        };
        self.floor.leave(slot, gang);
        gang.phase = phase;
        self.floor.enter(slot, gang);
    }

    /// Returns whether a claim waits until other gangs of its customer have stopped.
    fn waits_for_quota(&self, gang: &PlacedGang) -> bool {
        let quota = self.ledger.shares.get(&gang.customer).map_or(u32::MAX, |share| share.quota);
        self.ledger.in_use(&gang.customer) > quota
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
                    self.leave(*slot);
                    if let Some(key) = key {
                        self.note_reason(key, WaitReason::Turn);
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
        let workers = gang.place.iter().flat_map(|part| (0..part.members).map(|_| part.worker));
        (0..)
            .zip(workers)
            .map(|(index, worker)| MemberPlacement {
                index,
                worker: self.floor.workers[worker].id.clone(),
                accelerators: gang.demand.each.accelerators,
            })
            .collect()
    }
}

/// Returns what a claim may start with now.
fn room_now(worker: &FloorWorker) -> ResourceAmount {
    let mut room = worker.usable_capacity();
    room.subtract(worker.held);
    room.subtract(worker.stopping);
    room
}
