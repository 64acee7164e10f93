//! Questions to the adviser of a queue and what their answers allow.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lacewingrail_model::{RackName, WorkerId};

use super::FleetPlanner;
use crate::advice::{AdviceCandidate, AdvicePolicy, QUESTIONS, WorkerTicket};
use crate::order::{AdviceRequest, FleetOrder};
use crate::placement::{PlaceBoard, PlaceRequest, SlotIndex};
use crate::spec::StepKey;

/// Holds what advice a step can go by.
pub(super) struct AdvisedWorkers {
    policy: AdvicePolicy,
    /// Workers that the step may need, those with its data and in the freest racks first.
    candidates: Vec<AdviceCandidate>,
    /// Those of them that may run it.
    pub usable: BTreeSet<WorkerId>,
}

impl FleetPlanner {
    /// Returns what the adviser has said of a step; nothing if its queue has none.
    pub(super) fn advised_workers(
        &self,
        board: &PlaceBoard,
        request: &PlaceRequest<'_>,
        now: Duration,
    ) -> Option<AdvisedWorkers> {
        let key = request.key;
        let policy = self.advice_policy(key)?;
        let step = self.jobs.get(&key.job)?.step(key)?;
        let any_speed = PlaceRequest { least_speed: 0.0, ..*request };
        let candidates = self.advice_candidates(board, &any_speed);
        let usable = step.advice.usable(&candidates, now);
        Some(AdvisedWorkers { policy, candidates, usable })
    }

    /// Returns the adviser of the queue of a step's job, if it has one.
    fn advice_policy(&self, key: StepKey) -> Option<AdvicePolicy> {
        let queue = &self.jobs.get(&key.job)?.submission.queue;
        self.config.queues.get(queue)?.advice
    }

    fn advice_candidates(
        &self,
        board: &PlaceBoard,
        request: &PlaceRequest<'_>,
    ) -> Vec<AdviceCandidate> {
        let mut free: BTreeMap<Option<&RackName>, i64> = BTreeMap::new();
        for slot in &board.slots {
            *free.entry(slot.rack.as_ref()).or_default() += slot.free.accelerators;
        }
        let mut chosen: Vec<SlotIndex> =
            (0..board.slots.len()).filter(|slot| board.suits(*slot, request)).collect();
        chosen.sort_by_key(|slot| {
            let slot = &board.slots[*slot];
            let away = request.spec.data_rack.is_some() && request.spec.data_rack != slot.rack;
            let rack_free = free.get(&slot.rack.as_ref()).copied().unwrap_or_default();
            (away, Reverse(rack_free), slot.rack.clone(), Reverse(slot.free.accelerators))
        });
        let candidates = chosen.into_iter().filter_map(|slot| {
            let worker = self.workers.get(&board.slots[slot].id)?;
            let (worker, incarnation) = (worker.listing.id.clone(), worker.listing.incarnation);
            Some(AdviceCandidate { worker, incarnation })
        });
        candidates.collect()
    }

    /// Asks about more workers for a step that still waits, unless enough questions are in flight.
    pub(super) fn ask_advice(&mut self, key: StepKey, advised: &AdvisedWorkers, now: Duration) {
        let served = self.reservations.iter().any(|reservation| reservation.key == key);
        if served || self.questions >= QUESTIONS {
            return;
        }
        let step = self.jobs.get_mut(&key.job).and_then(|job| job.step_mut(key));
        let Some(step) = step.filter(|step| step.waiting().next().is_some()) else {
            return;
        };
        let workers = step.advice.begin_question(&advised.candidates, now);
        if workers.is_empty() {
            return;
        }
        self.questions += 1;
        let answer_timeout = advised.policy.answer_time(workers.len()) * QUESTIONS as u32;
        self.orders.push(FleetOrder::Advise(AdviceRequest { key, workers, answer_timeout }));
    }

    /// Takes an answer of the adviser; nothing if none came.
    pub(super) fn take_advice(
        &mut self,
        question: &AdviceRequest,
        allowed: Option<&[WorkerTicket]>,
        now: Duration,
    ) {
        self.questions = self.questions.saturating_sub(1);
        let key = question.key;
        let validity = self.advice_policy(key).unwrap_or_default().validity;
        let step = self.jobs.get_mut(&key.job).and_then(|job| job.step_mut(key));
        if let Some(step) = step {
            step.advice.end_question(&question.workers, allowed, now + validity);
        }
    }
}
