//! Gangs that hold or claim accelerators.
//!
//! Gangs are kept in numbered slots, because the searches compare thousands of them and a number is
//! cheaper to compare than a job id. The lowest free slot is used first, so that a replay of the
//! same events assigns the same slots.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use lacewingrail_model::job::WorkClass;
use lacewingrail_model::shape::GangShape;
use lacewingrail_model::{CustomerName, JobId};

use crate::amount::GangDemand;
use crate::packing::GangPlacement;

/// Lost work, for each accelerator, that the first preemption of a job adds to the cost of another
/// one. Each further preemption adds twice as much as the one before.
const PREEMPTION_PENALTY: Duration = Duration::from_secs(600);
/// Number of preemptions after which the penalty no longer grows, so that it stays finite.
const MAX_PENALTY_DOUBLINGS: u32 = 16;
/// Accelerators that a CPU-only member counts as, so that preempting it has a cost.
const CPU_MEMBER_WEIGHT: f64 = 0.1;

/// Stage of a gang between the decision to place it and its release.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GangPhase {
    /// Has a placement and waits until the gangs on it are stopped.
    Claimed,
    /// The start is decided but not confirmed.
    Starting,
    /// All members run.
    Running,
    /// Being torn down; holds its accelerators until it is released.
    Stopping,
}

/// A gang with a placement.
#[derive(Clone, Debug)]
pub struct PlacedGang {
    pub job: JobId,
    pub customer: CustomerName,
    pub class: WorkClass,
    pub shape: GangShape,
    pub demand: GangDemand,
    /// Workers of the gang; members are numbered in this order.
    pub placement: GangPlacement,
    pub phase: GangPhase,
    /// Whether the gang was started under a guarantee.
    pub guaranteed: bool,
    /// Whether the guarantee is in force, so that the gang is not preempted.
    pub protected: bool,
    /// Whether the job can be checkpointed and moved.
    pub checkpointable: bool,
    /// Number of preemptions of the job before this start.
    pub preemptions: u32,
    pub started_at: Duration,
    /// Time of the latest checkpoint, or of the start if there is none.
    pub checkpointed_at: Duration,
    /// Waiting job whose reserved accelerators the gang uses until that job can start.
    pub backfill_for: Option<JobId>,
    /// Whether urgent jobs may not preempt the gang, because it was overdue when it was placed.
    pub exempt_from_urgent: bool,
    /// Rising number, given when the gang was placed or adopted.
    pub sequence: u64,
}

impl PlacedGang {
    /// Returns whether the gang may be stopped in favour of others.
    pub fn is_preemptible(&self) -> bool {
        !self.protected && self.phase != GangPhase::Stopping
    }

    /// Returns the cost of a preemption in accelerator-seconds: the work since the last checkpoint
    /// plus a penalty for earlier preemptions of the job. A claim has done no work yet.
    pub fn preemption_cost(&self, now: Duration) -> f64 {
        if self.phase == GangPhase::Claimed {
            return self.penalty();
        }
        let lost = now.saturating_sub(self.checkpointed_at).as_secs_f64();
        self.cost_weight() * lost + self.penalty()
    }

    /// Returns the number of accelerators by which costs are weighted, with a small value for
    /// CPU-only gangs.
    pub fn cost_weight(&self) -> f64 {
        let members = f64::from(self.demand.members) * CPU_MEMBER_WEIGHT;
        f64::from(self.demand.total()).max(members)
    }

    fn penalty(&self) -> f64 {
        let doublings = self.preemptions.min(MAX_PENALTY_DOUBLINGS);
        let factor = f64::from((1_u32 << doublings) - 1);
        self.cost_weight() * PREEMPTION_PENALTY.as_secs_f64() * factor
    }
}

/// All placed gangs of a failure domain, by slot and by job.
#[derive(Clone, Debug, Default)]
pub struct GangTable {
    slots: Vec<Option<PlacedGang>>,
    free_slots: BTreeSet<usize>,
    by_job: HashMap<JobId, usize>,
}

impl GangTable {
    /// Adds a gang and returns its slot.
    pub fn insert(&mut self, gang: PlacedGang) -> usize {
        let slot = self.free_slots.pop_first().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.by_job.insert(gang.job.clone(), slot);
        self.slots[slot] = Some(gang);
        slot
    }

    /// Removes the gang in a slot; the slot is used again later.
    pub fn remove(&mut self, slot: usize) -> Option<PlacedGang> {
        let gang = self.slots.get_mut(slot)?.take()?;
        self.by_job.remove(&gang.job);
        self.free_slots.insert(slot);
        Some(gang)
    }

    /// Returns the slot of a job's gang, or none if it has no placement.
    pub fn find(&self, job: &JobId) -> Option<usize> {
        self.by_job.get(job).copied()
    }

    /// Returns the gang in a slot, or none if the slot is free.
    pub fn get(&self, slot: usize) -> Option<&PlacedGang> {
        self.slots.get(slot)?.as_ref()
    }

    pub fn get_mut(&mut self, slot: usize) -> Option<&mut PlacedGang> {
        self.slots.get_mut(slot)?.as_mut()
    }

    /// Returns all gangs with their slots, in slot order.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &PlacedGang)> {
        self.slots.iter().enumerate().filter_map(|(slot, gang)| Some((slot, gang.as_ref()?)))
    }

    /// Returns the number of slots, free ones included.
    pub fn slot_count(&self) -> usize {
        self.slots.len()
    }
}
