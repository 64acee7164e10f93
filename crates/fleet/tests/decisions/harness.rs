//! A planner with a few workers that answer at once.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use lacewingrail_fleet::order::RenewOrder;
use lacewingrail_fleet::record::WorkerRoster;
use lacewingrail_fleet::{
    ActiveRun, AdvicePolicy, AdviceRequest, CustomerGuarantee, EndReason, EndedRun, FleetConfig,
    FleetEvent, FleetOrder, FleetPlanner, JobKey, JobProgress, JobSpec, JobSubmission, LeaseReport,
    PlannerSettings, QueuePolicy, ResourceAmount, RunNumber, StartOrder, StartOutcome,
    StartRefusal, StepSpec, TaskKey, TaskRun, WorkerListing, WorkerTicket,
};

/// Capacity of every worker.
pub const CAPACITY: ResourceAmount =
    ResourceAmount { cpu_milli: 64_000, memory_mb: 131_072, accelerators: 8 };

/// Accelerators that each customer of the harness is guaranteed: two workers.
pub const GUARANTEED: i64 = 16;

/// Declared run time of every task.
pub const ESTIMATE: Duration = Duration::from_secs(4);

/// What a worker runs and has to report.
#[derive(Clone, Debug)]
pub struct SimulatedWorker {
    /// Start of each run.
    pub running: BTreeMap<(TaskKey, RunNumber), Duration>,
    /// Speed at which progress is reported.
    pub speed: f64,
    /// What is reported as the usage of every run.
    pub usage: u32,
    pub ended: Vec<EndedRun>,
    pub ends: u64,
    pub silent: bool,
    /// Whether starts are refused for want of capacity.
    pub full: bool,
    pub born: u64,
}

impl Default for SimulatedWorker {
    fn default() -> Self {
        Self {
            running: BTreeMap::new(),
            speed: 1.0,
            usage: 0,
            ended: Vec::new(),
            ends: 0,
            silent: false,
            full: false,
            born: 1,
        }
    }
}

/// Drives a planner and keeps what it orders.
pub struct PlannerHarness {
    pub planner: FleetPlanner,
    pub now: Duration,
    pub workers: BTreeMap<String, SimulatedWorker>,
    pub starts: Vec<StartOrder>,
    pub stops: Vec<TaskRun>,
    pub stored: BTreeMap<JobKey, JobProgress>,
    pub roster: WorkerRoster,
    pub listings: Vec<WorkerListing>,
    pub stepped_down: bool,
    pub store_down: bool,
    /// Whether a new scheduler reads the list of workers before what the former one stored.
    pub listed_first: bool,
    /// Workers that the adviser allows for every step of the queue `advised`.
    pub allowed: Vec<String>,
    pub questions: Vec<AdviceRequest>,
    /// Shares ordered for filling tasks.
    pub paces: Vec<(TaskRun, u32)>,
}

/// Returns the settings of a planner under a leadership.
pub fn settings(epoch: u64) -> PlannerSettings {
    PlannerSettings {
        epoch,
        lease_duration: Duration::from_secs(6),
        renewal_grace: Duration::from_secs(6),
        report_poll_timeout: Duration::from_secs(1),
        ended_job_retention: Duration::from_secs(120),
        unix_origin_ms: 1_700_000_000_000,
    }
}

/// Returns a worker of a rack in a failure domain.
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

/// Returns the ticket that the adviser of the harness gives.
pub fn ticket(worker: &str) -> Option<String> {
    Some(format!("ticket-{worker}"))
}

/// Returns a step of tasks with accelerators.
pub fn step(count: u32, accelerators: i64) -> StepSpec {
    StepSpec {
        count,
        demand: ResourceAmount { cpu_milli: 1000 * accelerators, memory_mb: 1000, accelerators },
        estimate: ESTIMATE,
        ..StepSpec::default()
    }
}

/// Returns a submission to a queue: `urgent`, `normal` or `slow`.
pub fn submission(key: JobKey, queue: &str, steps: Vec<StepSpec>) -> JobSubmission {
    JobSubmission {
        key,
        queue: queue.into(),
        customer: "school-groups".into(),
        spec: JobSpec { payload: "work".into(), steps, schedule: None },
        accepted_unix_ms: 1_700_000_000_000,
    }
}

/// The adviser of the queue `advised`.
pub const ADVISER: AdvicePolicy = AdvicePolicy {
    decision_time: Duration::from_millis(20),
    time_per_worker: Duration::from_millis(2),
    validity: Duration::from_secs(3),
};

/// Returns the configuration of the harness.
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
        .map(|name| (name.to_owned(), CustomerGuarantee { guaranteed: GUARANTEED }));
    FleetConfig { version: 1, queues: queues.into(), customers: customers.into() }
}

impl PlannerHarness {
    /// Creates a harness with workers, all of which the planner has heard.
    pub fn new(epoch: u64, listings: Vec<WorkerListing>) -> Self {
        let mut harness = Self::unheard(epoch, listings);
        harness.settle();
        harness
    }

    /// Creates a harness whose planner has not looked at its workers yet.
    pub fn unheard(epoch: u64, listings: Vec<WorkerListing>) -> Self {
        let workers =
            listings.iter().map(|listing| (listing.id.clone(), SimulatedWorker::default()));
        let mut harness = Self {
            planner: FleetPlanner::new(settings(epoch), Duration::from_secs(100)),
            now: Duration::from_secs(100),
            workers: workers.collect(),
            starts: Vec::new(),
            stops: Vec::new(),
            stored: BTreeMap::new(),
            roster: WorkerRoster::new(),
            listings,
            stepped_down: false,
            store_down: false,
            listed_first: false,
            allowed: Vec::new(),
            questions: Vec::new(),
            paces: Vec::new(),
        };
        harness.tell(FleetEvent::ConfigChanged(Arc::new(config())));
        harness
    }

    /// Starts a new planner over the same workers and the stored progress.
    pub fn take_over(mut self, epoch: u64, submissions: &[JobSubmission]) -> Self {
        self.planner = FleetPlanner::new(settings(epoch), self.now);
        self.starts.clear();
        self.stops.clear();
        self.tell(FleetEvent::ConfigChanged(Arc::new(config())));
        if self.listed_first {
            let listings = self.listings.clone();
            self.tell(FleetEvent::WorkersListed(listings));
        }
        let roster = self.roster.clone();
        self.tell(FleetEvent::RosterLoaded(roster));
        for submission in submissions {
            let progress = self.stored.get(&submission.key).cloned();
            self.tell(FleetEvent::JobAccepted {
                submission: Arc::new(submission.clone()),
                progress,
                age: Duration::ZERO,
            });
        }
        self
    }

    pub fn tell(&mut self, event: FleetEvent) {
        self.planner.apply_event(self.now, event);
    }

    pub fn accept(&mut self, submission: JobSubmission) {
        self.tell(FleetEvent::JobAccepted {
            submission: Arc::new(submission),
            progress: None,
            age: Duration::ZERO,
        });
        self.settle();
    }

    /// Lists the workers and plans until nothing more is ordered at this time.
    pub fn settle(&mut self) {
        let listings = self.listings.clone();
        self.tell(FleetEvent::WorkersListed(listings));
        let mut quiet = 0;
        for _ in 0..20 {
            let orders = self.planner.plan(self.now);
            let acts = orders.iter().any(|order| !matches!(order, FleetOrder::Renew(_)));
            orders.into_iter().for_each(|order| self.execute(order));
            self.now += Duration::from_millis(2);
            // What a renewal reports shows in the next pass only.
            quiet = if acts { 0 } else { quiet + 1 };
            if quiet > 1 {
                break;
            }
        }
    }

    /// Lets time pass in steps of 100 ms, planning after each.
    pub fn pass(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += Duration::from_millis(100);
            self.settle();
        }
    }

    /// Ends a run on its worker; the planner learns of it with the next report.
    pub fn end(&mut self, order: &StartOrder, reason: EndReason) {
        let target = &order.target;
        self.end_run(&target.worker, target.task, target.run, reason, None);
    }

    pub fn end_run(
        &mut self,
        worker: &str,
        task: TaskKey,
        run: RunNumber,
        reason: EndReason,
        checkpoint: Option<String>,
    ) {
        let entry = self.workers.get_mut(worker).expect("a worker of the harness");
        if entry.running.remove(&(task, run)).is_some() {
            entry.ends += 1;
            let number = entry.ends;
            entry.ended.push(EndedRun { number, task, run, reason, checkpoint });
        }
    }

    /// Returns the workers of the started tasks of a job.
    pub fn started(&self, key: JobKey) -> Vec<String> {
        let own = self.starts.iter().filter(|order| order.target.task.job == key);
        own.map(|order| order.target.worker.clone()).collect()
    }

    pub fn execute(&mut self, order: FleetOrder) {
        match order {
            FleetOrder::Start(order) => {
                let target = order.target.clone();
                self.starts.push(order);
                let worker = self.workers.get_mut(&target.worker).expect("a listed worker");
                let advised = self.starts.last().is_some_and(|order| {
                    order.submission.queue == "advised" && order.ticket != ticket(&target.worker)
                });
                let outcome = if advised {
                    StartOutcome::Refused(StartRefusal::NoTicket)
                } else if worker.silent {
                    StartOutcome::Unclear
                } else if worker.full {
                    StartOutcome::Refused(StartRefusal::NoCapacity)
                } else {
                    worker.running.insert((target.task, target.run), self.now);
                    StartOutcome::Started
                };
                let TaskRun { worker, task, run, .. } = target;
                self.tell(FleetEvent::StartAnswered { worker, task, run, outcome });
            }
            FleetOrder::Stop(target) => {
                self.stops.push(target.clone());
                let silent = self.workers[&target.worker].silent;
                if !silent {
                    let checkpoint = Some("saved".to_owned());
                    let (task, run) = (target.task, target.run);
                    self.end_run(&target.worker, task, run, EndReason::Stopped, checkpoint);
                }
                let TaskRun { worker, task, run, .. } = target;
                self.tell(FleetEvent::StopAnswered { worker, task, run, confirmed: !silent });
            }
            FleetOrder::Renew(order) => self.renew(&order),
            FleetOrder::LimitCpu { target, percent } => self.paces.push((target, percent)),
            FleetOrder::Advise(question) => {
                self.questions.push(question.clone());
                let named = question.workers.iter().map(|candidate| candidate.worker.clone());
                let tickets = named
                    .filter(|worker| self.allowed.contains(worker))
                    .filter_map(|worker| Some(WorkerTicket { name: ticket(&worker)?, worker }));
                let allowed = Some(tickets.collect());
                self.tell(FleetEvent::AdviceAnswered { request: question, allowed });
            }
            FleetOrder::StoreProgress { job, progress } => {
                if self.store_down {
                    self.tell(FleetEvent::ProgressNotStored { job });
                    return;
                }
                let sequence = progress.sequence;
                self.stored.insert(job, progress);
                self.tell(FleetEvent::ProgressStored { job, sequence });
            }
            FleetOrder::StoreRoster(roster) => self.roster = roster,
            FleetOrder::RemoveJob(job) => drop(self.stored.remove(&job)),
            FleetOrder::StepDown => self.stepped_down = true,
        }
    }

    fn renew(&mut self, order: &RenewOrder) {
        let worker = self.workers.get_mut(&order.worker).expect("a listed worker");
        if worker.silent {
            let worker = order.worker.clone();
            self.tell(FleetEvent::LeaseUnanswered { worker, stale_token: false });
            return;
        }
        worker.ended.retain(|end| end.number > order.acknowledge);
        let (now, speed) = (self.now, worker.speed);
        let row = |((task, run), start): (&(TaskKey, RunNumber), &Duration)| {
            let done = (now - *start).as_secs_f64() * speed / ESTIMATE.as_secs_f64();
            let percent = (done * 100.0).min(100.0) as u32;
            ActiveRun { task: *task, run: *run, checkpoint: None, percent, usage: worker.usage }
        };
        let report = LeaseReport {
            incarnation: worker.born,
            clock: self.now,
            running: worker.running.iter().map(row).collect(),
            ended: worker.ended.clone(),
        };
        let (worker, sent) = (order.worker.clone(), self.now);
        self.tell(FleetEvent::LeaseAnswered { worker, sent, report });
    }
}
