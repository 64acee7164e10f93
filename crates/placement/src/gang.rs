//! Gangs that hold or claim accelerators.
//!
//! Gangs are kept in numbered slots, because the searches compare thousands of them and the number
//! is cheaper than the job's name. The lowest free slot is used first, so that replays agree.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use lacewingrail_model::job::WorkClass;
use lacewingrail_model::shape::GangShape;
use lacewingrail_model::{CustomerName, JobId};

use crate::amount::GangDemand;
use crate::packing::GangPlace;

/// Lost work that a first preemption adds for each accelerator; doubled by each further one.
const PREEMPTION_PENALTY: Duration = Duration::from_secs(600);
/// Preemptions after which the penalty stays the same, so that it remains finite.
const PENALTY_DOUBLINGS: u32 = 16;
/// Accelerators that a member without any counts as, so that stopping it is not free of cost.
const PROCESSOR_MEMBER_WEIGHT: f64 = 0.1;

/// States how far a gang has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GangPhase {
    /// Waits until its victims have left the place.
    Claimed,
    /// Start was decided, not confirmed.
    Starting,
    /// Runs.
    Running,
    /// Is being torn down; holds its accelerators until released.
    Stopping,
}

/// Describes a gang in its place.
#[derive(Clone, Debug)]
pub struct PlacedGang {
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
    /// Place; members are numbered in its order.
    pub place: GangPlace,
    /// Phase.
    pub phase: GangPhase,
    /// Whether the gang was started under a guarantee.
    pub guaranteed: bool,
    /// Whether the guarantee is in force, so that the gang is not preempted.
    pub protected: bool,
    /// Whether the job can be checkpointed and moved.
    pub checkpointable: bool,
    /// Times the job was preempted.
    pub preemptions: u32,
    /// Time of the start.
    pub started_at: Duration,
    /// Time of the newest checkpoint or of the start.
    pub checkpointed_at: Duration,
    /// Waiting job whose reserved place the gang uses meanwhile.
    pub backfill_for: Option<JobId>,
    /// Whether the gang had waited so long that urgent work does not preempt it.
    pub shielded: bool,
    /// Number of the start, rising.
    pub order: u64,
}

impl PlacedGang {
    /// Returns whether the gang may be stopped for others.
    pub fn is_borrower(&self) -> bool {
        !self.protected && self.phase != GangPhase::Stopping
    }

    /// Returns the cost of a preemption in accelerator-seconds.
    ///
    /// It is the work since the last checkpoint and a penalty for earlier preemptions of the job.
    pub fn preemption_cost(&self, now: Duration) -> f64 {
        if self.phase == GangPhase::Claimed {
            return self.penalty();
        }
        let lost = now.saturating_sub(self.checkpointed_at).as_secs_f64();
        self.weight() * lost + self.penalty()
    }

    /// Returns the accelerators, with a small value for work on processors only.
    pub fn weight(&self) -> f64 {
        let members = f64::from(self.demand.members) * PROCESSOR_MEMBER_WEIGHT;
        f64::from(self.demand.total()).max(members)
    }

    fn penalty(&self) -> f64 {
        let doublings = self.preemptions.min(PENALTY_DOUBLINGS);
        let factor = f64::from((1_u32 << doublings) - 1);
        self.weight() * PREEMPTION_PENALTY.as_secs_f64() * factor
    }
}

/// Holds gangs by slot and by job.
#[derive(Clone, Debug, Default)]
pub struct GangTable {
    slots: Vec<Option<PlacedGang>>,
    vacant: BTreeSet<usize>,
    by_job: HashMap<JobId, usize>,
}

impl GangTable {
    /// Adds a gang and returns its slot.
    pub fn insert(&mut self, gang: PlacedGang) -> usize {
        let slot = self.vacant.pop_first().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.by_job.insert(gang.job.clone(), slot);
        self.slots[slot] = Some(gang);
        slot
    }

    /// Removes a gang.
    pub fn remove(&mut self, slot: usize) -> Option<PlacedGang> {
        let gang = self.slots.get_mut(slot)?.take()?;
        self.by_job.remove(&gang.job);
        self.vacant.insert(slot);
        Some(gang)
    }

    /// Returns the slot of a job.
    pub fn slot(&self, job: &JobId) -> Option<usize> {
        self.by_job.get(job).copied()
    }

    /// Returns the gang in a slot.
    pub fn get(&self, slot: usize) -> Option<&PlacedGang> {
        self.slots.get(slot)?.as_ref()
    }

    /// Returns the gang in a slot for change.
    pub fn get_mut(&mut self, slot: usize) -> Option<&mut PlacedGang> {
        self.slots.get_mut(slot)?.as_mut()
    }

    /// Returns all gangs with their slots, in slot order.
    pub fn iter(&self) -> impl Iterator<Item = (usize, &PlacedGang)> {
        self.slots.iter().enumerate().filter_map(|(slot, gang)| Some((slot, gang.as_ref()?)))
    }

    /// Returns the number of slots, used or not.
    pub fn capacity(&self) -> usize {
        self.slots.len()
    }
}
