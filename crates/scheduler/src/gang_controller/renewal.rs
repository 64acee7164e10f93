//! Renewal of leases and detection of lost members.

use std::sync::Arc;
use std::time::{Duration, Instant};

use kameo::message::{Context, Message};
use lacewingrail_model::invariant::{InvariantName, check};
use lacewingrail_model::worker::{
    MemberId, MemberPhase, RenewItem, TASK_LEASE_TTL, TASK_RENEWAL_INTERVAL, TaskReport,
    WorkerError, WorkerReport,
};
use lacewingrail_model::{JobId, WorkerId};

use super::{GangController, GangEvent, Poll, RenewTick, WorkerAnswered, is_probe};
use crate::gang::{GangEnd, GangPhase, GangTrack, lease_limit};
use crate::metrics::DomainLabel;

/// Parts of the renewal period; each renews its share of the workers, so that calls, connections and
/// buffers do not come all at once.
const RENEW_SLOTS: usize = 8;
/// Time between two parts of the renewal period.
pub const RENEW_TICK: Duration = Duration::from_millis(250);
/// Longest time of one renewal call, below the renewal period so that calls do not pile up.
const RENEW_LIMIT: Duration = Duration::from_millis(1_500);
/// Shortest time between two calls because of an expected end.
const SHORTEST_POLL: Duration = Duration::from_millis(100);
/// Time without an answer after which a worker's members count as lost.
const SILENT_AFTER: Duration = Duration::from_secs(4);
/// Failed calls that are needed besides, so that a pause of the coordinator ends no gang.
const SILENT_FAILURES: u32 = 2;
/// Longest time for which a gang may run partially: the task lease with a clock drift of 1% on both
/// sides, and one message delay.
const PARTIAL_BOUND: Duration = Duration::from_millis(10_400);

impl Message<RenewTick> for GangController {
    type Reply = ();

    async fn handle(&mut self, _tick: RenewTick, _context: &mut Context<Self, ()>) {
        self.drop_silent();
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
            link.poll_due = false;
            self.renew(&message.0);
        }
    }
}

impl Message<WorkerAnswered> for GangController {
    type Reply = ();

    async fn handle(&mut self, message: WorkerAnswered, _context: &mut Context<Self, ()>) {
        let Some(link) = self.workers.get_mut(&message.worker) else {
            return;
        };
        link.in_flight = false;
        match &message.outcome {
            Ok(report) => {
                link.answered = Some(message.sent);
                link.failures = 0;
                if self.is_unsettled(&message.worker, report) {
                    // What a former scheduler left there may be whole gangs that run or finished,
                    // and only a rebuild sees all their members.
                    self.emit(GangEvent::Unsettled);
                    return;
                }
                self.settings.late.remove(&message.worker);
                self.take_report(&message.worker, message.sent, report);
                self.poll_at_end(&message.worker);
            }
            Err(WorkerError::StaleEpoch { seen }) => {
                let seen = *seen;
                self.emit(GangEvent::Stale { seen });
                return;
            }
            Err(_) => {
                link.failures += 1;
                if link.failures < SILENT_FAILURES {
                    self.renew(&message.worker);
                }
                self.drop_silent();
            }
        }
        self.emit(GangEvent::WorkerSeen { worker: message.worker, outcome: message.outcome });
    }
}

impl GangController {
    /// Renews all members on one worker and asks for its report.
    pub(super) fn renew(&mut self, worker: &WorkerId) {
        let Some(link) = self.workers.get_mut(worker).filter(|link| !link.in_flight) else {
            return;
        };
        link.in_flight = true;
        let spec = link.spec.clone();
        let sent = Instant::now();
        let mut items = Vec::new();
        for track in self.gangs.values_mut().filter(|track| track.is_renewed()) {
            let Some(ttl) = track.renewal(sent) else {
                continue;
            };
            check_renewal(track, sent, ttl);
            let members = track.members.iter_mut().filter(|member| !member.finished);
            for member in members.filter(|member| member.place.worker.id == *worker) {
                let ttl_ms = u64::try_from(ttl.as_millis()).unwrap_or(0);
                items.push(RenewItem { member: member.place.id.clone(), ttl_ms });
                member.lease_until = member.lease_until.max(lease_limit(sent + RENEW_LIMIT, ttl));
            }
        }
        let (starter, me) = (self.settings.starter.clone(), self.me.clone());
        tokio::spawn(async move {
            let call = starter.workers.renew(&spec, starter.epoch, items);
            let outcome = tokio::time::timeout(RENEW_LIMIT, call).await.unwrap_or_else(|_| {
                Err(WorkerError::Unclear { reason: "no answer in time".to_owned() })
            });
            let _ = me.tell(WorkerAnswered { worker: spec.id.clone(), sent, outcome }).try_send();
        });
    }

    /// Asks a worker again when its next member should end, since the period alone would leave
    /// accelerators idle and the end unnoticed for up to 2 s.
    pub(super) fn poll_at_end(&mut self, worker: &WorkerId) {
        let ends = self.gangs.values().filter(|track| track.phase == GangPhase::Running);
        let ends = ends.flat_map(|track| {
            let members = track
                .members
                .iter()
                .filter(|member| !member.finished && member.place.worker.id == *worker);
            // A member that works longer than declared is left to the period.
            members.filter_map(|member| track.plan.work_ms.checked_sub(member.progress_ms))
        });
        let Some(left) = ends.filter(|left| *left > 0).min().map(Duration::from_millis) else {
            return;
        };
        let Some(link) = self.workers.get_mut(worker) else {
            return;
        };
        if link.poll_due || left >= TASK_RENEWAL_INTERVAL {
            return;
        }
        link.poll_due = true;
        let (me, timer, worker) =
            (self.me.clone(), self.settings.context.timer.clone(), worker.clone());
        tokio::spawn(async move {
            timer.wait(left.max(SHORTEST_POLL)).await;
            let _ = me.tell(Poll(worker)).try_send();
        });
    }

    /// Stops the gangs whose members run on workers that do not answer.
    fn drop_silent(&mut self) {
        let now = Instant::now();
        let workers = &self.workers;
        let silent = |worker: &WorkerId| {
            workers.get(worker).is_none_or(|link| link.failures >= SILENT_FAILURES)
        };
        let lost: Vec<(JobId, WorkerId)> = self
            .gangs
            .values()
            .filter(|track| track.is_renewed())
            .filter_map(|track| {
                let member = track.members.iter().find(|member| {
                    let age = member.evidence.map(|sent| now.saturating_duration_since(sent));
                    !member.finished
                        && age.is_none_or(|age| age >= SILENT_AFTER)
                        && silent(&member.place.worker.id)
                })?;
                Some((track.plan.job.clone(), member.place.worker.id.clone()))
            })
            .collect();
        for (job, worker) in lost {
            let reason = format!("worker {worker} has not answered for {SILENT_AFTER:?}");
            self.tear_down(&job, GangEnd::MemberLost { worker, reason });
        }
    }

    /// Returns whether a worker that missed the rebuild has members that the rebuild had to know.
    fn is_unsettled(&self, worker: &WorkerId, report: &WorkerReport) -> bool {
        self.settings.late.contains(worker)
            && report.tasks.iter().any(|task| {
                let counts = !matches!(task.phase, MemberPhase::Failed | MemberPhase::Stopped);
                counts && !is_probe(&task.member) && !self.owns(worker, &task.member)
            })
    }

    /// Returns whether a member on a worker belongs to a gang of this controller.
    fn owns(&self, worker: &WorkerId, member: &MemberId) -> bool {
        self.gangs.get(&member.job).is_some_and(|track| {
            let mut members = track.members.iter();
            members.any(|own| own.place.id == *member && own.place.worker.id == *worker)
        })
    }

    /// Takes over what a worker says about its members.
    fn take_report(&mut self, worker: &WorkerId, sent: Instant, report: &WorkerReport) {
        let jobs: Vec<JobId> = self
            .gangs
            .iter()
            .filter(|(_, track)| track.is_renewed() && track.since < sent || is_old(track, sent))
            .filter(|(_, track)| {
                track.members.iter().any(|member| member.place.worker.id == *worker)
            })
            .map(|(job, _)| job.clone())
            .collect();
        for job in jobs {
            self.take_members(&job, worker, sent, report);
        }
        for task in &report.tasks {
            self.check_task(worker, sent, task);
        }
    }

    fn take_members(
        &mut self,
        job: &JobId,
        worker: &WorkerId,
        sent: Instant,
        report: &WorkerReport,
    ) {
        let Some(track) = self.gangs.get_mut(job) else {
            return;
        };
        let kept = track.kept_ms();
        let mut end = None;
        let members = track
            .members
            .iter_mut()
            .filter(|member| member.place.worker.id == *worker && !member.finished);
        for member in members {
            let task = report.tasks.iter().find(|task| task.member == member.place.id);
            let Some(task) = task else {
                let reason = format!("worker {worker} does not know the member any more");
                end = Some(GangEnd::MemberLost { worker: worker.clone(), reason });
                continue;
            };
            member.progress_ms = member.progress_ms.max(task.progress_ms);
            member.checkpoint_ms = member.checkpoint_ms.max(task.checkpoint_ms);
            match task.phase {
                MemberPhase::Running => member.evidence = member.evidence.max(Some(sent)),
                MemberPhase::Finished => {
                    member.evidence = member.evidence.max(Some(sent));
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
        let (attempt, renewed) = (track.plan.attempt, track.is_renewed());
        let kept = Some(track.kept_ms()).filter(|newer| *newer > kept);
        if let Some(kept_ms) = kept {
            self.emit(GangEvent::Checkpoint { job: job.clone(), attempt, kept_ms });
        }
        match end {
            Some(end) if renewed => self.tear_down(job, end),
            _ => self.finish_if_done(job),
        }
    }

    /// Looks for members of no gang and for gangs that run partially.
    fn check_task(&mut self, worker: &WorkerId, sent: Instant, task: &TaskReport) {
        let holds = matches!(
            task.phase,
            MemberPhase::Reserved | MemberPhase::Committed | MemberPhase::Running
        );
        if !holds || is_probe(&task.member) {
            return;
        }
        if !self.owns(worker, &task.member) {
            self.count_double(task);
            if let Some(link) = self.workers.get(worker) {
                let spec = Arc::clone(&link.spec);
                self.stop_orphan(&spec, task.member.clone());
            }
            return;
        }
        // In renew-only mode another process may renew the same gang with newer evidence.
        let Some(track) = self.gangs.get(&task.member.job).filter(|_| !self.settings.renew_only)
        else {
            return;
        };
        let oldest = track.oldest_evidence().filter(|_| track.running_since.is_some());
        let partial = task.phase == MemberPhase::Running
            && oldest.is_some_and(|oldest| sent > oldest + PARTIAL_BOUND);
        check(InvariantName::GangWhole, !partial, || {
            format!(
                "member {} still runs {PARTIAL_BOUND:?} after another was last seen",
                task.member
            )
        });
    }

    /// Counts the time of a member that runs beside another attempt of its job.
    fn count_double(&self, task: &TaskReport) {
        let running = |track: &GangTrack| track.running_since.is_some() && track.is_renewed();
        if task.phase != MemberPhase::Running
            || !self.gangs.get(&task.member.job).is_some_and(running)
        {
            return;
        }
        log::error!("member {} runs beside a newer attempt of its job", task.member);
        let label = DomainLabel { domain: self.settings.domain.clone() };
        let spent = u64::from(task.accelerators) * 1_000;
        self.settings.context.metrics.doubly_spent.get_or_create(&label).inc_by(spent);
    }
}

/// Returns whether a gang that is being stopped may still learn from a report, such as that its
/// members finished before the stop arrived.
fn is_old(track: &GangTrack, sent: Instant) -> bool {
    track.phase == GangPhase::Checkpointing && track.running_since.is_some_and(|since| since < sent)
}

/// Asserts that no member outlives the evidence of life of all others by more than its lease.
fn check_renewal(track: &GangTrack, sent: Instant, ttl: Duration) {
    let within =
        track.oldest_evidence().is_some_and(|oldest| sent + ttl <= oldest + TASK_LEASE_TTL);
    check(InvariantName::GangWhole, within, || {
        format!("job {} is renewed for {ttl:?} beyond the evidence of its members", track.plan.job)
    });
}
