//! Requests to the adviser of a queue, and what its answers permit.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lacewingrail_model::{RackName, WorkerId};

use super::FleetPlanner;
use crate::advice::{AdviceCandidate, AdvicePolicy, MAX_REQUESTS_IN_FLIGHT, WorkerTicket};
use crate::order::{AdviceRequest, FleetOrder};
use crate::placement::{PlacementRequest, PlacementSnapshot, SlotIndex};
use crate::spec::StepKey;

/// Workers about which a step asks its adviser, and those on which it may start now.
pub(super) struct AdvisedWorkers {
    policy: AdvicePolicy,
    /// Workers that the step may need: those in its data's rack first, then those in the racks with
    /// the most free accelerators.
    candidates: Vec<AdviceCandidate>,
    /// Candidates on which the step may start now.
    pub permitted: BTreeSet<WorkerId>,
}

impl FleetPlanner {
    /// Returns the adviser's answers about a step, or `None` if its queue has no adviser.
    pub(super) fn advised_workers(
        &self,
        snapshot: &PlacementSnapshot,
        request: &PlacementRequest<'_>,
        now: Duration,
    ) -> Option<AdvisedWorkers> {
        let key = request.key;
        let policy = self.advice_policy(key)?;
        let step = self.jobs.get(&key.job)?.step(key)?;
        let any_speed = PlacementRequest { min_speed: 0.0, ..*request };
        let candidates = self.advice_candidates(snapshot, &any_speed);
        let permitted = step.advice.permitted_workers(&candidates, now);
        Some(AdvisedWorkers { policy, candidates, permitted })
    }

    /// Returns the policy of the adviser of a step's queue, or `None` if the queue has none.
    fn advice_policy(&self, key: StepKey) -> Option<AdvicePolicy> {
        let queue = &self.jobs.get(&key.job)?.submission.queue;
        self.config.queues.get(queue)?.advice
    }

    /// Returns the workers that are eligible for a request, in the order in which to ask about
    /// them.
    fn advice_candidates(
        &self,
        snapshot: &PlacementSnapshot,
        request: &PlacementRequest<'_>,
    ) -> Vec<AdviceCandidate> {
        let mut free_by_rack: BTreeMap<Option<&RackName>, i64> = BTreeMap::new();
        for slot in &snapshot.slots {
            *free_by_rack.entry(slot.rack.as_ref()).or_default() += slot.free.accelerators;
        }
        let mut chosen: Vec<SlotIndex> =
            (0..snapshot.slots.len()).filter(|slot| snapshot.is_eligible(*slot, request)).collect();
        chosen.sort_by_key(|slot| {
            let slot = &snapshot.slots[*slot];
            let outside_data_rack =
                request.spec.data_rack.is_some() && request.spec.data_rack != slot.rack;
            let rack_free = free_by_rack.get(&slot.rack.as_ref()).copied().unwrap_or_default();
            (
                outside_data_rack,
                Reverse(rack_free),
                slot.rack.clone(),
                Reverse(slot.free.accelerators),
            )
        });
        let candidates = chosen.into_iter().filter_map(|slot| {
            let worker = self.workers.get(&snapshot.slots[slot].id)?;
            let (worker, incarnation) = (worker.listing.id.clone(), worker.listing.incarnation);
            Some(AdviceCandidate { worker, incarnation })
        });
        candidates.collect()
    }

    /// Asks the adviser about more workers for a step that still waits, unless enough requests are
    /// in flight.
    pub(super) fn request_advice(&mut self, key: StepKey, advised: &AdvisedWorkers, now: Duration) {
        let has_reservation = self.reservations.iter().any(|reservation| reservation.key == key);
        if has_reservation || self.advice_in_flight >= MAX_REQUESTS_IN_FLIGHT {
            return;
        }
        let step = self.jobs.get_mut(&key.job).and_then(|job| job.step_mut(key));
        let Some(step) = step.filter(|step| step.waiting_count() > 0) else {
            return;
        };
        let workers = step.advice.begin_request(&advised.candidates, now);
        if workers.is_empty() {
            return;
        }
        self.advice_in_flight += 1;
        let answer_timeout =
            advised.policy.answer_time(workers.len()) * MAX_REQUESTS_IN_FLIGHT as u32;
        self.orders.push(FleetOrder::Advise(AdviceRequest { key, workers, answer_timeout }));
    }

    /// Handles the adviser's answer to a request; `allowed` is `None` if no answer came.
    pub(super) fn handle_advice(
        &mut self,
        request: &AdviceRequest,
        allowed: Option<&[WorkerTicket]>,
        now: Duration,
    ) {
        self.advice_in_flight = self.advice_in_flight.saturating_sub(1);
        let key = request.key;
        let validity = self.advice_policy(key).unwrap_or_default().validity;
        let step = self.jobs.get_mut(&key.job).and_then(|job| job.step_mut(key));
        if let Some(step) = step {
            step.advice.record_answer(&request.workers, allowed, now + validity);
        }
    }
}
