//! Simulated state of one worker.
//!
//! The state reads no clock: every operation receives the worker's clock in milliseconds and first
//! applies what happened since the last one, such as expired reservations and leases and completed
//! work. The times of these events are computed, so the record is exact however rarely the worker
//! is called.

use std::collections::BTreeMap;

use lacewingrail_model::Epoch;
use lacewingrail_model::worker::{
    MemberId, MemberPhase, RenewItem, ReserveRequest, TASK_LEASE_TTL, WorkerError, WorkerReport,
    WorkerSpec,
};
use serde::{Deserialize, Serialize};

use crate::journal::{BoundedJournal, JournalPage};
use crate::worker_fleet::allocation::{AllocationRecord, EndReason};
use crate::worker_fleet::faults::WorkerFaults;
use crate::worker_fleet::task::WorkerTask;

/// Time for which ended tasks are still reported, in milliseconds.
const ENDED_TASK_RETENTION_MS: u64 = 60_000;
/// Tasks that a worker keeps, including ended ones.
const MAX_TASKS: usize = 1_024;
/// Ended allocations that a worker keeps on record.
const MAX_ENDED_RECORDS: usize = 4_096;
/// Longest time for which a reservation lasts, in milliseconds.
const MAX_RESERVATION_TTL_MS: u64 = 60_000;

/// Counts refusals, failed starts and restarts of a worker, so that tests can assert that a case
/// occurred.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerCounts {
    /// Calls refused because their epoch was lower than one seen before.
    pub stale_epochs: u64,
    /// Starts refused because their deadline had passed.
    pub expired_permissions: u64,
    /// Reservations refused for lack of resources.
    pub refused_reservations: u64,
    /// Starts that failed by a fault or by the command of the task.
    pub failed_starts: u64,
    /// Times that the worker restarted.
    pub restarts: u64,
}

/// Epoch, tasks and records of one worker.
#[derive(Debug)]
pub struct SimulatedWorker {
    spec: WorkerSpec,
    nominal_speed: f64,
    lag_ms: u64,
    epoch: Epoch,
    incarnation: u64,
    tasks: BTreeMap<MemberId, WorkerTask>,
    faults: WorkerFaults,
    journal: BoundedJournal<AllocationRecord>,
    counts: WorkerCounts,
}

impl SimulatedWorker {
    /// Creates an idle worker with a speed relative to nominal; the usage and progress in its
    /// reports are `lag_ms` old.
    pub fn new(spec: WorkerSpec, speed: f64, lag_ms: u64) -> Self {
        Self {
            spec,
            nominal_speed: speed.max(f64::MIN_POSITIVE),
            lag_ms,
            epoch: 0,
            incarnation: 1,
            tasks: BTreeMap::new(),
            faults: WorkerFaults::default(),
            journal: BoundedJournal::new(MAX_ENDED_RECORDS),
            counts: WorkerCounts::default(),
        }
    }

    /// Returns the worker's description in the instance list.
    pub fn spec(&self) -> &WorkerSpec {
        &self.spec
    }

    /// Returns the faults in effect.
    pub fn faults(&self) -> &WorkerFaults {
        &self.faults
    }

    /// Returns the counts since the worker was created.
    pub fn counts(&self) -> WorkerCounts {
        self.counts
    }

    /// Replaces the faults from `now_ms` on.
    pub fn set_faults(&mut self, faults: WorkerFaults, now_ms: u64) {
        self.advance_to(now_ms);
        let recovered = self.faults.dead && !faults.dead;
        if faults.dead && !self.faults.dead {
            self.end_all_tasks(now_ms);
        }
        self.faults = faults;
        let speed = self.speed();
        self.tasks.values_mut().for_each(|task| task.set_speed(speed, now_ms));
        self.fail_excess_tasks(now_ms);
        if recovered {
            self.restart(false, now_ms);
        }
    }

    /// Restarts the worker, which loses its tasks and, if `forget_epoch` is set, its epoch.
    pub fn restart(&mut self, forget_epoch: bool, now_ms: u64) {
        self.advance_to(now_ms);
        self.end_all_tasks(now_ms);
        self.faults.dead = false;
        self.incarnation += 1;
        self.counts.restarts += 1;
        if forget_epoch {
            self.epoch = 0;
        }
    }

    /// Returns whether the answer of this call is to be lost, and decrements the number of answers
    /// still to be lost.
    pub fn consume_lost_answer(&mut self) -> bool {
        let lost = self.faults.lost_answers > 0;
        self.faults.lost_answers = self.faults.lost_answers.saturating_sub(1);
        lost
    }

    /// Returns a report on the worker and all its tasks.
    ///
    /// Like every call, it fails with [`WorkerError::StaleEpoch`] if a higher epoch was seen
    /// before.
    pub fn report(&mut self, epoch: Epoch, now_ms: u64) -> Result<WorkerReport, WorkerError> {
        self.check_epoch(epoch, now_ms)?;
        Ok(WorkerReport {
            worker: self.spec.id.clone(),
            epoch: self.epoch,
            incarnation: self.incarnation,
            healthy_accelerators: self.healthy_accelerators(),
            tasks: self.tasks.values().map(|task| task.report(now_ms, self.lag_ms)).collect(),
        })
    }

    /// Reserves resources for a member; a repeated call has no further effect.
    pub fn reserve(
        &mut self,
        epoch: Epoch,
        request: ReserveRequest,
        now_ms: u64,
    ) -> Result<(), WorkerError> {
        self.check_epoch(epoch, now_ms)?;
        if let Some(task) = self.tasks.get(&request.member) {
            return if task.holds_resources() { Ok(()) } else { Err(WorkerError::UnknownMember) };
        }
        if let Some(reason) = self.find_shortage(&request) {
            self.counts.refused_reservations += 1;
            return Err(WorkerError::NoCapacity { reason });
        }
        let ttl_ms = request.ttl_ms.min(MAX_RESERVATION_TTL_MS);
        let task = WorkerTask::new(request, epoch, now_ms, now_ms + ttl_ms);
        self.tasks.insert(task.member().clone(), task);
        Ok(())
    }

    /// Converts a reservation into a lease; a repeated call has no further effect.
    pub fn commit(
        &mut self,
        epoch: Epoch,
        member: &MemberId,
        ttl_ms: u64,
        now_ms: u64,
    ) -> Result<(), WorkerError> {
        self.check_epoch(epoch, now_ms)?;
        match self.tasks.get_mut(member) {
            Some(task) if task.phase() == MemberPhase::Reserved => {
                task.commit(now_ms, now_ms + bounded_lease_ms(ttl_ms));
                Ok(())
            }
            Some(task) if task.holds_resources() => Ok(()),
            _ => Err(WorkerError::UnknownMember),
        }
    }

    /// Starts a committed member; a repeated call has no further effect.
    ///
    /// `not_after` holds the time left to start in milliseconds and, if the caller knows this
    /// clock, the latest start on it.
    pub fn start(
        &mut self,
        epoch: Epoch,
        member: &MemberId,
        not_after: (u64, Option<u64>),
        now_ms: u64,
    ) -> Result<(), WorkerError> {
        self.check_epoch(epoch, now_ms)?;
        let speed = self.speed();
        let task = self.tasks.get_mut(member).ok_or(WorkerError::UnknownMember)?;
        match task.phase() {
            MemberPhase::Running | MemberPhase::Finished => return Ok(()),
            MemberPhase::Failed => {
                let reason = task.failure().unwrap_or_default();
                return Err(WorkerError::StartFailed { reason });
            }
            MemberPhase::Reserved | MemberPhase::Stopped => return Err(WorkerError::UnknownMember),
            MemberPhase::Committed => {}
        }
        let (remaining_ms, latest_clock_ms) = not_after;
        if remaining_ms == 0 || latest_clock_ms.is_some_and(|latest_ms| latest_ms < now_ms) {
            self.counts.expired_permissions += 1;
            return Err(WorkerError::PermissionExpired);
        }
        if self.faults.fail_starts || task.fails_start() {
            let reason = "the task ended while it started".to_owned();
            task.fail(EndReason::StartFailed, &reason, now_ms);
            self.counts.failed_starts += 1;
            return Err(WorkerError::StartFailed { reason });
        }
        task.start(speed, now_ms);
        Ok(())
    }

    /// Renews the leases of members that hold resources and returns a report.
    pub fn renew(
        &mut self,
        epoch: Epoch,
        items: &[RenewItem],
        now_ms: u64,
    ) -> Result<WorkerReport, WorkerError> {
        self.check_epoch(epoch, now_ms)?;
        for item in items {
            if let Some(task) = self.tasks.get_mut(&item.member) {
                task.renew(now_ms + bounded_lease_ms(item.ttl_ms));
            }
        }
        self.report(epoch, now_ms)
    }

    /// Preserves the work done so far and returns it in milliseconds at nominal speed.
    pub fn checkpoint(
        &mut self,
        epoch: Epoch,
        member: &MemberId,
        now_ms: u64,
    ) -> Result<u64, WorkerError> {
        self.check_epoch(epoch, now_ms)?;
        let task = self.running_task(member)?;
        Ok(task.checkpoint(now_ms))
    }

    /// Limits a running member to a share of its speed, from 0 to 1.
    pub fn throttle(
        &mut self,
        epoch: Epoch,
        member: &MemberId,
        share: f64,
        now_ms: u64,
    ) -> Result<(), WorkerError> {
        self.check_epoch(epoch, now_ms)?;
        let task = self.running_task(member)?;
        task.throttle(share.clamp(0.0, 1.0), now_ms);
        Ok(())
    }

    /// Stops a member or releases its reservation; an unknown or ended member is no error.
    pub fn stop(
        &mut self,
        epoch: Epoch,
        member: &MemberId,
        now_ms: u64,
    ) -> Result<(), WorkerError> {
        self.check_epoch(epoch, now_ms)?;
        if let Some(task) = self.tasks.get_mut(member).filter(|task| task.holds_resources()) {
            task.end(EndReason::Stopped, now_ms);
        }
        Ok(())
    }

    /// Advances to `now_ms` and returns the records of all allocations, current ones included.
    pub fn journal(&mut self, now_ms: u64) -> JournalPage<AllocationRecord> {
        self.advance_to(now_ms);
        let mut page = self.journal.page();
        let unrecorded = self.tasks.values().filter(|task| !task.is_recorded());
        page.entries.extend(unrecorded.map(|task| task.record(&self.spec, now_ms)));
        page
    }

    /// Ends and records the tasks that expired or finished, and removes those that ended long ago.
    pub fn advance_to(&mut self, now_ms: u64) {
        for task in self.tasks.values_mut() {
            task.advance_to(now_ms);
            if !task.holds_resources() && !task.is_recorded() {
                self.journal.push(task.record(&self.spec, now_ms));
                task.mark_recorded();
            }
        }
        self.tasks.retain(|_, task| {
            task.ended_ms().is_none_or(|ended| ended + ENDED_TASK_RETENTION_MS > now_ms)
        });
    }

    /// Advances to `now_ms` and raises the epoch, or refuses a lower one.
    fn check_epoch(&mut self, epoch: Epoch, now_ms: u64) -> Result<(), WorkerError> {
        self.advance_to(now_ms);
        if epoch < self.epoch {
            self.counts.stale_epochs += 1;
            return Err(WorkerError::StaleEpoch { seen: self.epoch });
        }
        self.epoch = epoch;
        Ok(())
    }

    fn running_task(&mut self, member: &MemberId) -> Result<&mut WorkerTask, WorkerError> {
        self.tasks
            .get_mut(member)
            .filter(|task| task.phase() == MemberPhase::Running)
            .ok_or(WorkerError::UnknownMember)
    }

    /// Returns a sentence on the first resource that lacks capacity for a request, if any.
    fn find_shortage(&self, request: &ReserveRequest) -> Option<String> {
        let sum = |select: fn(&ReserveRequest) -> u64| {
            let holders = self.tasks.values().filter(|task| task.holds_resources());
            holders.map(|task| select(task.request())).fold(select(request), u64::saturating_add)
        };
        let limits = [
            (
                "accelerators",
                sum(|reserved| u64::from(reserved.accelerators)),
                u64::from(self.healthy_accelerators()),
            ),
            ("cores", sum(|reserved| u64::from(reserved.cores)), u64::from(self.spec.cores)),
            ("memory in MB", sum(|reserved| reserved.memory_mb), self.spec.memory_mb),
            ("tasks", self.tasks.len() as u64 + 1, MAX_TASKS as u64),
        ];
        let shortage = limits.into_iter().find(|(_, needed, limit)| needed > limit);
        shortage.map(|(name, needed, limit)| format!("{needed} {name} of {limit} would be in use"))
    }

    fn healthy_accelerators(&self) -> u32 {
        self.spec.accelerators.saturating_sub(self.faults.unhealthy)
    }

    fn speed(&self) -> f64 {
        self.nominal_speed * self.faults.speed.max(0.0)
    }

    /// Fails the newest tasks until the remaining ones fit the healthy accelerators.
    fn fail_excess_tasks(&mut self, now_ms: u64) {
        let healthy = self.healthy_accelerators();
        loop {
            let holders = || self.tasks.values().filter(|task| task.holds_resources());
            let used: u32 = holders().map(|task| task.request().accelerators).sum();
            if used <= healthy {
                return;
            }
            let newest = holders()
                .filter(|task| task.request().accelerators > 0)
                .max_by_key(|task| task.reserved_ms())
                .map(|task| task.member().clone());
            let Some(task) = newest.and_then(|member| self.tasks.get_mut(&member)) else {
                return;
            };
            task.fail(EndReason::AcceleratorFailed, "an accelerator is out of order", now_ms);
        }
    }

    /// Ends and removes all tasks, as the end of the worker's process would.
    fn end_all_tasks(&mut self, now_ms: u64) {
        for task in self.tasks.values_mut().filter(|task| task.holds_resources()) {
            task.end(EndReason::WorkerLost, now_ms);
        }
        self.advance_to(now_ms);
        self.tasks.clear();
    }
}

/// Bounds the requested duration of a lease by the task lease TTL.
fn bounded_lease_ms(ttl_ms: u64) -> u64 {
    ttl_ms.min(u64::try_from(TASK_LEASE_TTL.as_millis()).unwrap_or(u64::MAX))
}
