//! Renewal of task leases and detection of lost members.

use std::sync::Arc;
use std::time::{Duration, Instant};

use kameo::message::{Context, Message};
use lacewingrail_model::invariant::{InvariantName, check};
use lacewingrail_model::worker::{
    MemberId, MemberPhase, RenewItem, TASK_LEASE_TTL, TASK_RENEWAL_INTERVAL, TaskReport,
    WorkerError, WorkerReport,
};
use lacewingrail_model::{JobId, WorkerId};

use super::{GangController, GangEvent, Poll, RenewTick, RenewalEnded, is_probe};
use crate::gang::{GangEnd, GangPhase, GangState, lease_expiry};
use crate::metrics::DomainLabel;

/// Slots of the renewal period. Each slot renews its share of the workers, which spreads the calls,
/// connections and buffers over the period.
const RENEW_SLOTS: usize = 8;
/// Interval between two slots of the renewal period.
pub const RENEW_TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a renewal call; shorter than the renewal period so that calls do not accumulate.
const RENEW_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Minimum delay before a poll for an expected end.
const MIN_POLL_DELAY: Duration = Duration::from_millis(100);
/// Time without an answer after which the members of a worker count as lost.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(4);
/// Consecutive failed calls that are also required, so that a pause of this process does not stop
/// gangs.
const MIN_FAILED_CALLS: u32 = 2;
/// Maximum time for which a gang may run without all members: the task lease with 1% of clock drift
/// on both sides, plus one message delay.
const MAX_PARTIAL_RUNTIME: Duration = Duration::from_millis(10_400);

impl Message<RenewTick> for GangController {
    type Reply = ();

    async fn handle(&mut self, _tick: RenewTick, _context: &mut Context<Self, ()>) {
        self.stop_gangs_with_lost_members();
        let slot = self.renew_slot;
        self.renew_slot = (slot + 1) % RENEW_SLOTS;
        let workers = self.workers.keys().skip(slot).step_by(RENEW_SLOTS);
        let workers: Vec<WorkerId> = workers.cloned().collect();
        for worker in workers {
            self.renew(&worker);
        }
    }
}

impl Message<Poll> for GangController {
    type Reply = ();

    async fn handle(&mut self, message: Poll, _context: &mut Context<Self, ()>) {
        if let Some(link) = self.workers.get_mut(&message.0) {
            link.poll_scheduled = false;
            self.renew(&message.0);
        }
    }
}

impl Message<RenewalEnded> for GangController {
    type Reply = ();

    async fn handle(&mut self, message: RenewalEnded, _context: &mut Context<Self, ()>) {
        let Some(link) = self.workers.get_mut(&message.worker) else {
            return;
        };
        link.call_in_flight = false;
        match &message.outcome {
            Ok(report) => {
                link.last_answered_at = Some(message.sent);
                link.failed_calls = 0;
                if self.has_unknown_members(&message.worker, report) {
                    // The members may belong to whole gangs of a former scheduler that run or have
                    // finished. Only a rebuild sees all members of such a gang.
                    self.emit(GangEvent::RebuildOutdated);
                    return;
                }
                self.settings.missed_rebuild.remove(&message.worker);
                self.apply_report(&message.worker, message.sent, report);
                self.poll_at_expected_end(&message.worker);
            }
            Err(WorkerError::StaleEpoch { seen }) => {
                let seen = *seen;
                self.emit(GangEvent::StaleEpoch { seen });
                return;
            }
            Err(_) => {
                link.failed_calls += 1;
                if link.failed_calls < MIN_FAILED_CALLS {
                    self.renew(&message.worker);
                }
                self.stop_gangs_with_lost_members();
            }
        }
        self.emit(GangEvent::WorkerCallEnded { worker: message.worker, outcome: message.outcome });
    }
}

impl GangController {
    /// Renews the leases of all members on one worker and fetches its report.
    pub(super) fn renew(&mut self, worker: &WorkerId) {
        let Some(link) = self.workers.get_mut(worker).filter(|link| !link.call_in_flight) else {
            return;
        };
        link.call_in_flight = true;
        let spec = link.spec.clone();
        let sent = Instant::now();
        let mut items = Vec::new();
        for gang in self.gangs.values_mut().filter(|gang| gang.is_renewed()) {
            let Some(ttl) = gang.renewal_ttl(sent) else {
                continue;
            };
            check_renewal(gang, sent, ttl);
            let members = gang.members.iter_mut().filter(|member| !member.finished);
            for member in members.filter(|member| member.placement.worker.id == *worker) {
                let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(0);
                items.push(RenewItem { member: member.placement.id.clone(), ttl_ms });
                member.lease_expires_at =
                    member.lease_expires_at.max(lease_expiry(sent + RENEW_TIMEOUT, ttl));
            }
        }
        let (starter, actor_ref) = (self.settings.starter.clone(), self.actor_ref.clone());
        tokio::spawn(async move {
            let call = starter.workers.renew(&spec, starter.epoch, items);
            let outcome = tokio::time::timeout(RENEW_TIMEOUT, call).await.unwrap_or_else(|_| {
                Err(WorkerError::Unclear { reason: "no answer in time".to_owned() })
            });
            let _ =
                actor_ref.tell(RenewalEnded { worker: spec.id.clone(), sent, outcome }).try_send();
        });
    }

    /// Schedules an early call to a worker for the expected end of its next member. With the
    /// regular period alone, accelerators could stay idle for up to 2 s after a task ends.
    pub(super) fn poll_at_expected_end(&mut self, worker: &WorkerId) {
        let running = self.gangs.values().filter(|gang| gang.phase == GangPhase::Running);
        let remaining_work = running.flat_map(|gang| {
            let members = gang
                .members
                .iter()
                .filter(|member| !member.finished && member.placement.worker.id == *worker);
            // A member that exceeds its declared work is polled with the regular period.
            members.filter_map(|member| gang.plan.work_ms.checked_sub(member.progress_ms))
        });
        let Some(remaining) =
            remaining_work.filter(|remaining| *remaining > 0).min().map(Duration::from_millis)
        else {
            return;
        };
        let Some(link) = self.workers.get_mut(worker) else {
            return;
        };
        if link.poll_scheduled || remaining >= TASK_RENEWAL_INTERVAL {
            return;
        }
        link.poll_scheduled = true;
        let (actor_ref, timer, worker) =
            (self.actor_ref.clone(), self.settings.context.timer.clone(), worker.clone());
        tokio::spawn(async move {
            timer.wait(remaining.max(MIN_POLL_DELAY)).await;
            let _ = actor_ref.tell(Poll(worker)).try_send();
        });
    }

    /// Stops the gangs with a member whose worker has not answered for [`SILENCE_TIMEOUT`].
    fn stop_gangs_with_lost_members(&mut self) {
        let now = Instant::now();
        let workers = &self.workers;
        let silent = |worker: &WorkerId| {
            workers.get(worker).is_none_or(|link| link.failed_calls >= MIN_FAILED_CALLS)
        };
        let lost: Vec<(JobId, WorkerId)> = self
            .gangs
            .values()
            .filter(|gang| gang.is_renewed())
            .filter_map(|gang| {
                let member = gang.members.iter().find(|member| {
                    let age = member.confirmed_at.map(|sent| now.saturating_duration_since(sent));
                    !member.finished
                        && age.is_none_or(|age| age >= SILENCE_TIMEOUT)
                        && silent(&member.placement.worker.id)
                })?;
                Some((gang.plan.job.clone(), member.placement.worker.id.clone()))
            })
            .collect();
        for (job, worker) in lost {
            let reason = format!("worker {worker} has not answered for {SILENCE_TIMEOUT:?}");
            self.tear_down(&job, GangEnd::MemberLost { worker, reason });
        }
    }

    /// Returns whether a worker that missed the rebuild holds members that the rebuild should have
    /// seen.
    fn has_unknown_members(&self, worker: &WorkerId, report: &WorkerReport) -> bool {
        self.settings.missed_rebuild.contains(worker)
            && report.tasks.iter().any(|task| {
                let may_be_needed =
                    !matches!(task.phase, MemberPhase::Failed | MemberPhase::Stopped);
                may_be_needed && !is_probe(&task.member) && !self.owns(worker, &task.member)
            })
    }

    /// Returns whether a member on a worker belongs to a gang of this controller.
    fn owns(&self, worker: &WorkerId, member: &MemberId) -> bool {
        self.gangs.get(&member.job).is_some_and(|gang| {
            let mut members = gang.members.iter();
            members.any(|own| own.placement.id == *member && own.placement.worker.id == *worker)
        })
    }

    /// Applies a worker's report to the gangs and members that it covers.
    ///
    /// A report that was requested before a gang ran shows an earlier state of the gang and is not
    /// applied to it.
    fn apply_report(&mut self, worker: &WorkerId, sent: Instant, report: &WorkerReport) {
        let jobs: Vec<JobId> = self
            .gangs
            .iter()
            .filter(|(_, gang)| {
                gang.is_renewed() && gang.phase_since < sent || was_running_before(gang, sent)
            })
            .filter(|(_, gang)| {
                gang.members.iter().any(|member| member.placement.worker.id == *worker)
            })
            .map(|(job, _)| job.clone())
            .collect();
        for job in jobs {
            self.apply_member_reports(&job, worker, sent, report);
        }
        for task in &report.tasks {
            self.check_task(worker, sent, task);
        }
    }

    fn apply_member_reports(
        &mut self,
        job: &JobId,
        worker: &WorkerId,
        sent: Instant,
        report: &WorkerReport,
    ) {
        let Some(gang) = self.gangs.get_mut(job) else {
            return;
        };
        let previous_ms = gang.checkpointed_ms();
        let mut end = None;
        let members = gang
            .members
            .iter_mut()
            .filter(|member| member.placement.worker.id == *worker && !member.finished);
        for member in members {
            let task = report.tasks.iter().find(|task| task.member == member.placement.id);
            let Some(task) = task else {
                let reason = format!("worker {worker} does not know the member any more");
                end = Some(GangEnd::MemberLost { worker: worker.clone(), reason });
                continue;
            };
            member.progress_ms = member.progress_ms.max(task.progress_ms);
            member.checkpoint_ms = member.checkpoint_ms.max(task.checkpoint_ms);
            match task.phase {
                MemberPhase::Running => member.confirmed_at = member.confirmed_at.max(Some(sent)),
                MemberPhase::Finished => {
                    member.confirmed_at = member.confirmed_at.max(Some(sent));
                    member.finished = true;
                }
                MemberPhase::Failed => {
                    let reason = task.failure.clone().unwrap_or_else(|| "no cause given".into());
                    end = Some(GangEnd::MemberFailed { worker: worker.clone(), reason });
                }
                MemberPhase::Stopped | MemberPhase::Reserved | MemberPhase::Committed => {
                    let reason = format!("worker {worker} reports it as {:?}", task.phase);
                    end = Some(GangEnd::MemberLost { worker: worker.clone(), reason });
                }
            }
        }
        let (attempt, renewed) = (gang.plan.attempt, gang.is_renewed());
        let newer_ms = Some(gang.checkpointed_ms()).filter(|newer| *newer > previous_ms);
        if let Some(checkpointed_ms) = newer_ms {
            self.emit(GangEvent::Checkpoint { job: job.clone(), attempt, checkpointed_ms });
        }
        match end {
            Some(end) if renewed => self.tear_down(job, end),
            _ => self.end_if_finished(job),
        }
    }

    /// Stops a reported member that belongs to no gang, and checks that no gang runs partially.
    fn check_task(&mut self, worker: &WorkerId, sent: Instant, task: &TaskReport) {
        let holds_accelerators = matches!(
            task.phase,
            MemberPhase::Reserved | MemberPhase::Committed | MemberPhase::Running
        );
        if !holds_accelerators || is_probe(&task.member) {
            return;
        }
        if !self.owns(worker, &task.member) {
            self.record_duplicate_run(task);
            if let Some(link) = self.workers.get(worker) {
                let spec = Arc::clone(&link.spec);
                self.stop_orphan(&spec, task.member.clone());
            }
            return;
        }
        // In renew-only mode, another process may renew the same gang and have a newer
        // confirmation.
        let Some(gang) = self.gangs.get(&task.member.job).filter(|_| !self.settings.renew_only)
        else {
            return;
        };
        let oldest = gang.oldest_confirmation().filter(|_| gang.running_since.is_some());
        let partial = task.phase == MemberPhase::Running
            && oldest.is_some_and(|oldest| sent > oldest + MAX_PARTIAL_RUNTIME);
        check(InvariantName::GangWhole, !partial, || {
            format!(
                "member {} still runs {MAX_PARTIAL_RUNTIME:?} after another was last confirmed",
                task.member
            )
        });
    }

    /// Logs a member that runs at the same time as another attempt of its job. Each report that
    /// shows it adds 1 s of its accelerators' time to the metric.
    fn record_duplicate_run(&self, task: &TaskReport) {
        let running = |gang: &GangState| gang.running_since.is_some() && gang.is_renewed();
        if task.phase != MemberPhase::Running
            || !self.gangs.get(&task.member.job).is_some_and(running)
        {
            return;
        }
        log::error!("member {} runs at the same time as a newer attempt of its job", task.member);
        let label = DomainLabel { domain: self.settings.domain.clone() };
        let spent = u64::from(task.accelerators) * 1_000;
        self.settings.context.metrics.doubly_spent_ms.get_or_create(&label).inc_by(spent);
    }
}

/// Returns whether a gang that writes its last checkpoint was already running when the report was
/// requested. Such a report can still show that members finished before the stop arrived.
fn was_running_before(gang: &GangState, sent: Instant) -> bool {
    gang.phase == GangPhase::Checkpointing && gang.running_since.is_some_and(|since| since < sent)
}

/// Checks that a renewal extends no member by more than one lease time beyond the oldest
/// confirmation in its gang.
fn check_renewal(gang: &GangState, sent: Instant, ttl: Duration) {
    let within =
        gang.oldest_confirmation().is_some_and(|oldest| sent + ttl <= oldest + TASK_LEASE_TTL);
    check(InvariantName::GangWhole, within, || {
        format!(
            "job {} is renewed for {ttl:?} beyond the confirmations of its members",
            gang.plan.job
        )
    });
}
