//! Phase, lease and progress of one member on a worker.

use lacewingrail_model::Epoch;
use lacewingrail_model::hash::digest;
use lacewingrail_model::worker::{MemberId, MemberPhase, ReserveRequest, TaskReport, WorkerSpec};

use crate::worker_fleet::allocation::{AllocationRecord, EndReason};

/// Command prefix of a task whose start always fails.
pub const FAIL_START_PREFIX: &str = "fail-start";
/// Command prefix of a task that fails after a run time in milliseconds, such as `fail-after 500`.
pub const FAIL_AFTER_PREFIX: &str = "fail-after ";
/// Command prefix of a task that uses a share of its accelerators, from 0 to 1, such as `usage
/// 0.4`.
pub const USAGE_PREFIX: &str = "usage ";

/// State of one member on a worker.
#[derive(Debug)]
pub(super) struct WorkerTask {
    request: ReserveRequest,
    epoch: Epoch,
    phase: MemberPhase,
    reserved_ms: u64,
    committed_ms: Option<u64>,
    started_ms: Option<u64>,
    ended_ms: Option<u64>,
    /// End of the reservation or of the lease.
    deadline_ms: u64,
    reason: Option<EndReason>,
    failure: Option<String>,
    /// Whether the journal has the record of the ended allocation.
    recorded: bool,
    /// Work done at `measured_ms`, in milliseconds at nominal speed; since then it grows by
    /// `speed * share`.
    done_ms: f64,
    measured_ms: u64,
    /// Speed of the worker relative to nominal.
    speed: f64,
    /// Share of that speed to which the member is throttled, from 0 to 1.
    share: f64,
    checkpoint_ms: u64,
}

impl WorkerTask {
    pub fn new(request: ReserveRequest, epoch: Epoch, now_ms: u64, deadline_ms: u64) -> Self {
        Self {
            request,
            epoch,
            phase: MemberPhase::Reserved,
            reserved_ms: now_ms,
            committed_ms: None,
            started_ms: None,
            ended_ms: None,
            deadline_ms,
            reason: None,
            failure: None,
            recorded: false,
            done_ms: 0.0,
            measured_ms: now_ms,
            speed: 0.0,
            share: 1.0,
            checkpoint_ms: 0,
        }
    }

    pub fn member(&self) -> &MemberId {
        &self.request.member
    }

    pub fn request(&self) -> &ReserveRequest {
        &self.request
    }

    pub fn phase(&self) -> MemberPhase {
        self.phase
    }

    pub fn reserved_ms(&self) -> u64 {
        self.reserved_ms
    }

    pub fn ended_ms(&self) -> Option<u64> {
        self.ended_ms
    }

    pub fn failure(&self) -> Option<String> {
        self.failure.clone()
    }

    /// Returns whether the member occupies its resources.
    pub fn holds_resources(&self) -> bool {
        matches!(self.phase, MemberPhase::Reserved | MemberPhase::Committed | MemberPhase::Running)
    }

    pub fn is_recorded(&self) -> bool {
        self.recorded
    }

    pub fn mark_recorded(&mut self) {
        self.recorded = true;
    }

    pub fn fails_start(&self) -> bool {
        self.request.command.starts_with(FAIL_START_PREFIX)
    }

    pub fn commit(&mut self, now_ms: u64, deadline_ms: u64) {
        self.phase = MemberPhase::Committed;
        self.committed_ms = Some(now_ms);
        self.deadline_ms = deadline_ms;
    }

    pub fn start(&mut self, speed: f64, now_ms: u64) {
        self.phase = MemberPhase::Running;
        self.started_ms = Some(now_ms);
        self.measured_ms = now_ms;
        self.speed = speed;
    }

    /// Extends the lease; a delayed renewal never shortens it.
    pub fn renew(&mut self, deadline_ms: u64) {
        if matches!(self.phase, MemberPhase::Committed | MemberPhase::Running) {
            self.deadline_ms = self.deadline_ms.max(deadline_ms);
        }
    }

    pub fn checkpoint(&mut self, now_ms: u64) -> u64 {
        self.checkpoint_ms = floor_ms(self.done_ms_at(now_ms));
        self.checkpoint_ms
    }

    pub fn throttle(&mut self, share: f64, now_ms: u64) {
        self.update_done(now_ms);
        self.share = share;
    }

    pub fn set_speed(&mut self, speed: f64, now_ms: u64) {
        self.update_done(now_ms);
        self.speed = speed;
    }

    pub fn end(&mut self, reason: EndReason, at_ms: u64) {
        self.update_done(at_ms);
        self.phase = match reason {
            EndReason::Finished => MemberPhase::Finished,
            EndReason::StartFailed | EndReason::TaskFailed | EndReason::AcceleratorFailed => {
                MemberPhase::Failed
            }
            _ => MemberPhase::Stopped,
        };
        self.reason = Some(reason);
        self.ended_ms = Some(at_ms);
    }

    pub fn fail(&mut self, reason: EndReason, cause: &str, at_ms: u64) {
        self.end(reason, at_ms);
        self.failure = Some(cause.into());
    }

    /// Ends the member at the earliest of its expiry, failure and completion, if that has passed.
    pub fn advance_to(&mut self, now_ms: u64) {
        if !self.holds_resources() {
            return;
        }
        let expiry = match self.phase {
            MemberPhase::Reserved => EndReason::ReservationLapsed,
            _ => EndReason::LeaseLapsed,
        };
        let mut possible_ends = vec![(self.deadline_ms, expiry)];
        if self.phase == MemberPhase::Running {
            possible_ends.extend(self.finish_ms().map(|at_ms| (at_ms, EndReason::Finished)));
            possible_ends.extend(self.failure_ms().map(|at_ms| (at_ms, EndReason::TaskFailed)));
        }
        let Some((at_ms, reason)) =
            possible_ends.into_iter().min().filter(|(at_ms, _)| *at_ms <= now_ms)
        else {
            return;
        };
        if reason == EndReason::TaskFailed {
            self.fail(reason, "the task failed as its command asks", at_ms);
        } else {
            self.end(reason, at_ms);
        }
        if reason == EndReason::Finished {
            self.done_ms = total_work(&self.request);
        }
    }

    /// Returns a report whose progress and usage are `lag_ms` old.
    pub fn report(&self, now_ms: u64, lag_ms: u64) -> TaskReport {
        let observed_ms = now_ms.saturating_sub(lag_ms);
        let progress = match self.phase {
            MemberPhase::Running => {
                let lagged_ms = self.speed * self.share * now_ms.saturating_sub(observed_ms) as f64;
                (self.done_ms_at(now_ms) - lagged_ms).max(0.0)
            }
            _ => self.done_ms,
        };
        let measured = self.phase == MemberPhase::Running
            && self.started_ms.is_some_and(|started| started <= observed_ms);
        TaskReport {
            member: self.request.member.clone(),
            gang_members: self.request.gang_members,
            phase: self.phase,
            accelerators: self.request.accelerators,
            progress_ms: floor_ms(progress),
            checkpoint_ms: self.checkpoint_ms,
            usage: if measured { self.usage() * self.share } else { 0.0 },
            failure: self.failure.clone(),
        }
    }

    pub fn record(&self, spec: &WorkerSpec, now_ms: u64) -> AllocationRecord {
        let progress = if self.holds_resources() { self.done_ms_at(now_ms) } else { self.done_ms };
        AllocationRecord {
            worker: spec.id.clone(),
            domain: spec.domain.clone(),
            rack: spec.rack.clone(),
            member: self.request.member.clone(),
            gang_members: self.request.gang_members,
            accelerators: self.request.accelerators,
            epoch: self.epoch,
            reserved_ms: self.reserved_ms,
            committed_ms: self.committed_ms,
            started_ms: self.started_ms,
            ended_ms: self.ended_ms,
            reason: self.reason,
            progress_ms: floor_ms(progress),
            checkpoint_ms: self.checkpoint_ms,
        }
    }

    fn update_done(&mut self, now_ms: u64) {
        self.done_ms = self.done_ms_at(now_ms);
        self.measured_ms = now_ms;
    }

    fn done_ms_at(&self, now_ms: u64) -> f64 {
        if self.phase != MemberPhase::Running {
            return self.done_ms;
        }
        let elapsed = now_ms.saturating_sub(self.measured_ms) as f64;
        (self.done_ms + elapsed * self.speed * self.share).min(total_work(&self.request))
    }

    fn finish_ms(&self) -> Option<u64> {
        let rate = self.speed * self.share;
        let remaining_ms = (total_work(&self.request) - self.done_ms).max(0.0);
        (rate > 0.0).then(|| self.measured_ms.saturating_add((remaining_ms / rate).ceil() as u64))
    }

    fn failure_ms(&self) -> Option<u64> {
        let run_ms =
            self.request.command.strip_prefix(FAIL_AFTER_PREFIX)?.trim().parse::<u64>().ok()?;
        Some(self.started_ms?.saturating_add(run_ms))
    }

    /// Returns the share of the accelerators in use: as the command says, or a value from 0.5 to 1
    /// that is derived from the member id.
    fn usage(&self) -> f64 {
        let commanded = self.request.command.strip_prefix(USAGE_PREFIX);
        if let Some(usage) = commanded.and_then(|usage| usage.trim().parse::<f64>().ok()) {
            return usage.clamp(0.0, 1.0);
        }
        let variation = digest(self.request.member.to_string().as_bytes()) % 1_000;
        0.5 + variation as f64 / 2_000.0
    }
}

fn total_work(request: &ReserveRequest) -> f64 {
    request.work_ms as f64
}

fn floor_ms(milliseconds: f64) -> u64 {
    milliseconds.max(0.0).floor() as u64
}
