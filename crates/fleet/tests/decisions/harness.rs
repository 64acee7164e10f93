//! A planner with simulated workers, an adviser and a store that answer at once.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use lacewingrail_fleet::order::RenewOrder;
use lacewingrail_fleet::record::WorkerRoster;
use lacewingrail_fleet::spec::JobSchedule;
use lacewingrail_fleet::{
    ActiveRun, AdvicePolicy, AdviceRequest, CustomerGuarantee, EndReason, EndedRun, FleetConfig,
    FleetEvent, FleetOrder, FleetPlanner, JobKey, JobProgress, JobSpec, JobSubmission, LeaseReport,
    PlannerSettings, QueuePolicy, ResourceAmount, RunNumber, StartOrder, StartOutcome,
    StartRefusal, StepSpec, TaskKey, TaskRun, WorkerListing, WorkerTicket,
};

/// Capacity of every simulated worker.
pub const CAPACITY: ResourceAmount =
    ResourceAmount { cpu_milli: 64_000, memory_mb: 131_072, accelerators: 8 };

/// Accelerators that each customer is guaranteed: those of two workers.
pub const GUARANTEED_ACCELERATORS: i64 = 16;

/// Time between the occurrences of the recurring jobs.
pub const PERIOD: Duration = Duration::from_secs(2);

/// Declared run time of every task.
pub const ESTIMATE: Duration = Duration::from_secs(4);

/// Simulated worker: what it runs and what it reports.
#[derive(Clone, Debug)]
pub struct SimulatedWorker {
    /// Runs in progress, each with the time of its start.
    pub running: BTreeMap<(TaskKey, RunNumber), Duration>,
    /// Speed at which the runs make progress; 1 takes the declared run time.
    pub speed: f64,
    /// Usage that is reported for every run, see `ActiveRun::usage`.
    pub usage: u32,
    /// Ends that were not acknowledged.
    pub ended: Vec<EndedRun>,
    /// Maximum number of ends in a report.
    pub ends_per_report: usize,
    /// Number of ends in this incarnation.
    pub end_count: u64,
    /// Whether all calls remain unanswered.
    pub unresponsive: bool,
    /// Whether starts are refused for lack of capacity.
    pub out_of_capacity: bool,
    /// Incarnation that the worker reports.
    pub incarnation: u64,
}

impl Default for SimulatedWorker {
    fn default() -> Self {
        Self {
            running: BTreeMap::new(),
            speed: 1.0,
            usage: 0,
            ended: Vec::new(),
            ends_per_report: usize::MAX,
            end_count: 0,
            unresponsive: false,
            out_of_capacity: false,
            incarnation: 1,
        }
    }
}

/// Drives a planner and records its orders.
pub struct PlannerHarness {
    pub planner: FleetPlanner,
    /// Time on the scheduler's clock.
    pub now: Duration,
    /// Simulated workers by their identifiers.
    pub workers: BTreeMap<String, SimulatedWorker>,
    /// Start orders under the present scheduler.
    pub starts: Vec<StartOrder>,
    /// Stop orders under the present scheduler, with repetitions.
    pub stops: Vec<TaskRun>,
    /// Progress in the store.
    pub stored: BTreeMap<JobKey, JobProgress>,
    /// Jobs whose removal was ordered and not yet carried out.
    pub removals: Vec<JobKey>,
    /// Roster in the store.
    pub roster: WorkerRoster,
    /// List of workers in the directory.
    pub listings: Vec<WorkerListing>,
    /// Whether the planner has given up the leadership.
    pub stepped_down: bool,
    /// Whether writes of progress fail.
    pub store_unavailable: bool,
    /// Whether a new scheduler reads the list of workers before the stored roster.
    pub workers_listed_first: bool,
    /// Workers on which the adviser lets every step of the queue `advised` run.
    pub permitted_workers: Vec<String>,
    /// Requests to the adviser.
    pub advice_requests: Vec<AdviceRequest>,
    /// CPU limits ordered for best-effort tasks, in percent.
    pub cpu_limits: Vec<(TaskRun, u32)>,
}

/// Returns the settings of a planner under an epoch.
pub fn settings(epoch: u64) -> PlannerSettings {
    PlannerSettings {
        epoch,
        lease_duration: Duration::from_secs(6),
        renewal_grace: Duration::from_secs(6),
        max_order_delay: Duration::from_secs(12),
        report_poll_timeout: Duration::from_secs(1),
        ended_job_retention: Duration::from_secs(120),
        unix_origin_ms: 1_700_000_000_000,
    }
}

/// Returns the listing of a worker.
pub fn listing(id: &str, domain: &str, rack: &str) -> WorkerListing {
    WorkerListing {
        id: id.into(),
        address: format!("{id}:80"),
        service: "desk".into(),
        domain: domain.into(),
        rack: Some(rack.into()),
        labels: vec!["a".into(), rack.into()],
        capacity: CAPACITY,
        draining: false,
        remaining: None,
        incarnation: 1,
    }
}

/// Returns the ticket that the adviser gives for a worker.
pub fn ticket(worker: &str) -> Option<String> {
    Some(format!("ticket-{worker}"))
}

/// Returns the definition of a step whose tasks need accelerators.
pub fn step(count: u32, accelerators: i64) -> StepSpec {
    StepSpec {
        count,
        demand: ResourceAmount { cpu_milli: 1000 * accelerators, memory_mb: 1000, accelerators },
        estimate: ESTIMATE,
        ..StepSpec::default()
    }
}

/// Returns a submission to a queue: `urgent`, `normal`, `slow` or `advised`.
pub fn submission(key: JobKey, queue: &str, steps: Vec<StepSpec>) -> JobSubmission {
    JobSubmission {
        key,
        queue: queue.into(),
        customer: "school-groups".into(),
        spec: JobSpec { payload: "work".into(), steps, schedule: None },
        accepted_unix_ms: 1_700_000_000_000,
    }
}

/// Returns a recurring job whose first occurrence is due at a time on the scheduler's clock.
pub fn recurring(first_due: Duration, times: u32, accelerators: i64) -> JobSubmission {
    let first_unix_ms = settings(1).unix_origin_ms + first_due.as_millis() as u64;
    let mut submission = submission(1, "normal", vec![step(1, accelerators)]);
    submission.spec.schedule = Some(JobSchedule { first_unix_ms, period: PERIOD, times });
    submission
}

/// Policy of the adviser of the queue `advised`.
pub const ADVISER: AdvicePolicy = AdvicePolicy {
    decision_time: Duration::from_millis(20),
    time_per_worker: Duration::from_millis(2),
    validity: Duration::from_secs(3),
};

/// Returns settings with four queues and two customers.
pub fn config() -> FleetConfig {
    let policy = |priority: u32, stretch: f64, slack_ms: u64| QueuePolicy {
        service: "desk".into(),
        priority,
        max_failures: 3,
        stretch,
        slack: Duration::from_millis(slack_ms),
        advice: None,
    };
    let queues = [
        ("urgent".to_owned(), policy(0, 1.5, 250)),
        ("normal".to_owned(), policy(1, 3.0, 1000)),
        ("slow".to_owned(), policy(2, 3.0, 3000)),
        ("advised".to_owned(), QueuePolicy { advice: Some(ADVISER), ..policy(1, 3.0, 1000) }),
    ];
    let customers = ["school-groups", "families"]
        .map(|name| (name.to_owned(), CustomerGuarantee { guaranteed: GUARANTEED_ACCELERATORS }));
    FleetConfig { version: 1, queues: queues.into(), customers: customers.into() }
}

impl PlannerHarness {
    /// Creates a harness whose planner has a report of every worker.
    pub fn new(epoch: u64, listings: Vec<WorkerListing>) -> Self {
        let mut harness = Self::without_reports(epoch, listings);
        harness.run_until_idle();
        harness
    }

    /// Creates a harness whose planner knows of no workers yet.
    pub fn without_reports(epoch: u64, listings: Vec<WorkerListing>) -> Self {
        let workers =
            listings.iter().map(|listing| (listing.id.clone(), SimulatedWorker::default()));
        let mut harness = Self {
            planner: FleetPlanner::new(settings(epoch), Duration::from_secs(100)),
            now: Duration::from_secs(100),
            workers: workers.collect(),
            starts: Vec::new(),
            stops: Vec::new(),
            stored: BTreeMap::new(),
            removals: Vec::new(),
            roster: WorkerRoster::new(),
            listings,
            stepped_down: false,
            store_unavailable: false,
            workers_listed_first: false,
            permitted_workers: Vec::new(),
            advice_requests: Vec::new(),
            cpu_limits: Vec::new(),
        };
        harness.apply_event(FleetEvent::ConfigChanged(Arc::new(config())));
        harness
    }

    /// Replaces the planner by that of a new leadership, with the same workers and the stored
    /// progress.
    pub fn fail_over(mut self, epoch: u64, submissions: &[JobSubmission]) -> Self {
        self.planner = FleetPlanner::new(settings(epoch), self.now);
        self.starts.clear();
        self.stops.clear();
        self.apply_event(FleetEvent::ConfigChanged(Arc::new(config())));
        if self.workers_listed_first {
            let listings = self.listings.clone();
            self.apply_event(FleetEvent::WorkersListed(listings));
        }
        let roster = self.roster.clone();
        self.apply_event(FleetEvent::RosterLoaded(roster));
        for submission in submissions {
            let progress = self.stored.get(&submission.key).cloned();
            self.apply_event(FleetEvent::JobAccepted {
                submission: Arc::new(submission.clone()),
                progress,
                age: Duration::ZERO,
            });
        }
        self
    }

    /// Reports an event that happens now to the planner.
    pub fn apply_event(&mut self, event: FleetEvent) {
        self.planner.apply_event(self.now, event);
    }

    /// Accepts a job.
    pub fn accept(&mut self, submission: JobSubmission) {
        self.apply_event(FleetEvent::JobAccepted {
            submission: Arc::new(submission),
            progress: None,
            age: Duration::ZERO,
        });
    }

    /// Accepts a job and runs the planner until it is idle.
    pub fn submit(&mut self, submission: JobSubmission) {
        self.accept(submission);
        self.run_until_idle();
    }

    /// Lists the workers and runs the planner until it orders nothing more at this time.
    pub fn run_until_idle(&mut self) {
        let listings = self.listings.clone();
        self.apply_event(FleetEvent::WorkersListed(listings));
        let mut idle_passes = 0;
        for _ in 0..20 {
            let orders = self.planner.plan(self.now);
            let has_actions = orders.iter().any(|order| !matches!(order, FleetOrder::Renew(_)));
            orders.into_iter().for_each(|order| self.execute(order));
            self.now += Duration::from_millis(2);
            // What a worker reports takes effect only in the next planning pass.
            idle_passes = if has_actions { 0 } else { idle_passes + 1 };
            if idle_passes > 1 {
                break;
            }
        }
    }

    /// Advances the time in steps of 100 ms and runs the planner after each.
    pub fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += Duration::from_millis(100);
            self.run_until_idle();
        }
    }

    /// Ends a started run on its worker, which reports it with the next renewal.
    pub fn end_task(&mut self, order: &StartOrder, reason: EndReason) {
        let target = &order.target;
        self.end_run(&target.worker, target.task, target.run, reason, None);
    }

    /// Ends a run on a worker, if it is in progress.
    pub fn end_run(
        &mut self,
        worker: &str,
        task: TaskKey,
        run: RunNumber,
        reason: EndReason,
        checkpoint: Option<String>,
    ) {
        let entry = self.workers.get_mut(worker).expect("the worker is simulated");
        if entry.running.remove(&(task, run)).is_some() {
            entry.end_count += 1;
            let number = entry.end_count;
            entry.ended.push(EndedRun { number, task, run, reason, checkpoint });
        }
    }

    /// Returns the workers on which tasks of a job were started, in the order of the starts.
    pub fn workers_started_on(&self, key: JobKey) -> Vec<String> {
        let own = self.starts.iter().filter(|order| order.target.task.job == key);
        own.map(|order| order.target.worker.clone()).collect()
    }

    /// Carries out an order and reports the answer to the planner.
    pub fn execute(&mut self, order: FleetOrder) {
        match order {
            FleetOrder::Start(order) => {
                let target = order.target.clone();
                self.starts.push(order);
                let worker = self.workers.get_mut(&target.worker).expect("the worker is listed");
                let lacks_ticket = self.starts.last().is_some_and(|order| {
                    order.submission.queue == "advised" && order.ticket != ticket(&target.worker)
                });
                let outcome = if lacks_ticket {
                    StartOutcome::Refused(StartRefusal::NoTicket)
                } else if worker.unresponsive {
                    StartOutcome::Unclear
                } else if worker.out_of_capacity {
                    StartOutcome::Refused(StartRefusal::NoCapacity)
                } else {
                    worker.running.insert((target.task, target.run), self.now);
                    StartOutcome::Started
                };
                let TaskRun { worker, task, run, .. } = target;
                self.apply_event(FleetEvent::StartAnswered { worker, task, run, outcome });
            }
            FleetOrder::Stop(target) => {
                self.stops.push(target.clone());
                let unresponsive = self.workers[&target.worker].unresponsive;
                if !unresponsive {
                    let checkpoint = Some("saved".to_owned());
                    let (task, run) = (target.task, target.run);
                    self.end_run(&target.worker, task, run, EndReason::Stopped, checkpoint);
                }
                let TaskRun { worker, task, run, .. } = target;
                self.apply_event(FleetEvent::StopAnswered {
                    worker,
                    task,
                    run,
                    confirmed: !unresponsive,
                });
            }
            FleetOrder::Renew(order) => self.renew(&order),
            FleetOrder::LimitCpu { target, percent } => self.cpu_limits.push((target, percent)),
            FleetOrder::Advise(request) => {
                self.advice_requests.push(request.clone());
                let named = request.workers.iter().map(|candidate| candidate.worker.clone());
                let tickets = named
                    .filter(|worker| self.permitted_workers.contains(worker))
                    .filter_map(|worker| Some(WorkerTicket { name: ticket(&worker)?, worker }));
                let allowed = Some(tickets.collect());
                self.apply_event(FleetEvent::AdviceAnswered { request, allowed });
            }
            FleetOrder::StoreProgress { job, progress } => {
                if self.store_unavailable {
                    self.apply_event(FleetEvent::ProgressNotStored { job });
                    return;
                }
                let sequence = progress.sequence;
                self.stored.insert(job, progress);
                self.apply_event(FleetEvent::ProgressStored { job, sequence });
            }
            FleetOrder::StoreRoster(roster) => self.roster = roster,
            FleetOrder::RemoveJob(job) => {
                self.removals.push(job);
                self.execute_removals();
            }
            FleetOrder::StepDown => self.stepped_down = true,
        }
    }

    /// Deletes the jobs whose removal was ordered, unless writes fail.
    pub fn execute_removals(&mut self) {
        if self.store_unavailable {
            return;
        }
        for job in std::mem::take(&mut self.removals) {
            self.stored.remove(&job);
            self.apply_event(FleetEvent::JobDeleted(job));
        }
    }

    /// Answers a lease renewal with a report.
    fn renew(&mut self, order: &RenewOrder) {
        let worker = self.workers.get_mut(&order.worker).expect("the worker is listed");
        if worker.unresponsive {
            let worker = order.worker.clone();
            self.apply_event(FleetEvent::RenewalUnanswered { worker, stale_token: false });
            return;
        }
        worker.ended.retain(|end| end.number > order.acknowledge);
        let (now, speed) = (self.now, worker.speed);
        let active_run = |((task, run), start): (&(TaskKey, RunNumber), &Duration)| {
            let done = (now - *start).as_secs_f64() * speed / ESTIMATE.as_secs_f64();
            let percent = (done * 100.0).min(100.0) as u32;
            ActiveRun { task: *task, run: *run, checkpoint: None, percent, usage: worker.usage }
        };
        let report = LeaseReport {
            incarnation: worker.incarnation,
            clock: self.now,
            running: worker.running.iter().map(active_run).collect(),
            ended: worker.ended.iter().take(worker.ends_per_report).cloned().collect(),
            ends_omitted: worker.ended.len() > worker.ends_per_report,
        };
        let (worker, sent) = (order.worker.clone(), self.now);
        self.apply_event(FleetEvent::RenewalAnswered { worker, sent, report });
    }
}
