//! Replays a load on the production planner in simulated time.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use lacewingrail_fleet::order::RenewOrder;
use lacewingrail_fleet::queue::QueueOrder;
use lacewingrail_fleet::{
    FleetEvent, FleetOrder, FleetPlanner, JobKey, JobPhase, PlannerLogEvent, PlannerSettings,
    StartOutcome, TaskRun,
};

use crate::lab::fleet::SimFleet;
use crate::lab::sheet::{LabJob, LoadSheet};

/// Step of the simulated time. The planner sees the results of its orders one step later.
const TIME_STEP: Duration = Duration::from_millis(20);
/// Time after the last arrival in which jobs may still complete.
const DRAIN_TIME: Duration = Duration::from_secs(30);
/// Time before the first arrival in which the planner receives the first reports of its workers.
const WARM_UP_TIME: Duration = Duration::from_secs(2);

/// The outcome of one replay.
#[derive(Clone, Debug, Default)]
pub struct ReplayRecord {
    /// The time from arrival to completion of each completed job.
    pub completed: BTreeMap<JobKey, Duration>,
    /// Work that unfinished runs did after their last checkpoint, in core-seconds.
    pub lost_core_seconds: f64,
    /// The jobs refused at submission because they would complete far too late.
    pub rejected_jobs: u64,
    /// The starts ordered by the planner.
    pub starts: u64,
    /// The starts that workers refused, such as for lack of capacity.
    pub refused_starts: u64,
    /// The stops ordered by the planner.
    pub stops: u64,
    /// The preemptions counted by the planner: stops of borrowers for urgent work.
    pub preemptions: u64,
    /// The lease renewals sent.
    pub renewals: u64,
    /// The writes to the store.
    pub writes: u64,
}

/// A replay in progress.
struct Replay<'a> {
    planner: FleetPlanner,
    fleet: SimFleet,
    jobs_by_key: BTreeMap<JobKey, &'a LabJob>,
    /// The renewals that have not been answered, with the time at which each was sent.
    pending_renewals: Vec<(RenewOrder, Duration)>,
    events: VecDeque<FleetEvent>,
    record: ReplayRecord,
    now: Duration,
}

/// Replays jobs under a queue order; `jobs` must be sorted by arrival.
pub fn replay(sheet: &LoadSheet, jobs: &[LabJob], order: QueueOrder) -> ReplayRecord {
    let settings = PlannerSettings {
        epoch: 1,
        lease_duration: Duration::from_secs(6),
        renewal_grace: Duration::from_secs(6),
        max_order_delay: Duration::ZERO,
        report_poll_timeout: Duration::from_secs(1),
        ended_job_retention: Duration::from_secs(120),
        unix_origin_ms: 0,
    };
    let mut planner = FleetPlanner::new(settings, Duration::ZERO);
    planner.set_queue_order(order);
    let mut replay = Replay {
        planner,
        fleet: SimFleet::new(sheet),
        jobs_by_key: jobs.iter().map(|job| (job.submission.key, job)).collect(),
        pending_renewals: Vec::new(),
        events: VecDeque::new(),
        record: ReplayRecord::default(),
        now: Duration::ZERO,
    };
    replay.events.push_back(FleetEvent::ConfigChanged(Arc::new(sheet.config())));
    replay.events.push_back(FleetEvent::WorkersListed(sheet.listings()));
    replay.events.push_back(FleetEvent::RosterLoaded(Default::default()));
    let last_arrival = jobs.last().map_or(Duration::ZERO, |job| job.arrival);
    let mut arrivals = jobs.iter().peekable();
    while replay.now < WARM_UP_TIME + last_arrival + DRAIN_TIME {
        while let Some(job) = arrivals.next_if(|job| job.arrival + WARM_UP_TIME <= replay.now) {
            if replay.planner.check_submission(&job.submission, replay.now).is_err() {
                replay.record.rejected_jobs += 1;
                continue;
            }
            replay.events.push_back(FleetEvent::JobAccepted {
                submission: job.submission.clone(),
                progress: None,
                age: Duration::ZERO,
            });
        }
        replay.step();
    }
    replay.record.lost_core_seconds = replay.fleet.lost_core_seconds;
    replay.record.preemptions = replay.planner.counts().preemptions;
    replay.record
}

impl Replay<'_> {
    /// Advances the simulated time by one step and lets the planner handle the pending
    /// events.
    fn step(&mut self) {
        self.now += TIME_STEP;
        self.fleet.advance(self.now, TIME_STEP);
        self.answer_renewals();
        for event in std::mem::take(&mut self.events) {
            self.planner.apply_event(self.now, event);
        }
        for order in self.planner.plan(self.now) {
            self.execute_order(order);
        }
        for event in self.planner.drain_log_events() {
            if let PlannerLogEvent::JobEnded { job, phase: JobPhase::Completed, age, .. } = event {
                self.record.completed.insert(job, age);
            }
        }
    }

    /// Answers the renewals whose worker has ended runs to report or whose poll timeout has passed.
    fn answer_renewals(&mut self) {
        let (now, fleet) = (self.now, &mut self.fleet);
        let is_due = |(order, sent): &mut (RenewOrder, Duration)| {
            now >= *sent + order.poll_timeout || fleet.has_ended(&order.worker, order.acknowledge)
        };
        let answered: Vec<_> = self.pending_renewals.extract_if(.., is_due).collect();
        for (order, sent) in answered {
            if let Some(report) = self.fleet.report(&order.worker, order.acknowledge, now) {
                self.events.push_back(FleetEvent::RenewalAnswered {
                    worker: order.worker,
                    sent,
                    report,
                });
            }
        }
    }

    /// Executes an order of the planner and queues the event that reports its outcome, if any.
    fn execute_order(&mut self, order: FleetOrder) {
        match order {
            FleetOrder::Start(order) => {
                self.record.starts += 1;
                let TaskRun { worker, task, run, .. } = order.target.clone();
                let work_s =
                    self.jobs_by_key[&task.job].work[task.step as usize][task.index as usize];
                let outcome = self.fleet.start(&order, work_s, self.now);
                self.record.refused_starts += u64::from(outcome != StartOutcome::Started);
                self.events.push_back(FleetEvent::StartAnswered { worker, task, run, outcome });
            }
            FleetOrder::Stop(TaskRun { worker, task, run, .. }) => {
                self.record.stops += 1;
                self.fleet.stop(&worker, task, run);
                let confirmed = true;
                self.events.push_back(FleetEvent::StopAnswered { worker, task, run, confirmed });
            }
            FleetOrder::Renew(order) => {
                self.record.renewals += 1;
                self.pending_renewals.push((order, self.now));
            }
            FleetOrder::StoreProgress { job, progress } => {
                self.record.writes += 1;
                let sequence = progress.sequence;
                self.events.push_back(FleetEvent::ProgressStored { job, sequence });
            }
            FleetOrder::StoreRoster(_) => self.record.writes += 1,
            FleetOrder::RemoveJob(job) => {
                self.record.writes += 1;
                self.events.push_back(FleetEvent::JobDeleted(job));
            }
            // The lab has no filler tasks, no advisers and only one scheduler.
            FleetOrder::LimitCpu { .. } | FleetOrder::Advise(_) | FleetOrder::StepDown => {}
        }
    }
}
