//! A minimal scheduler for tests. It carries out the decisions of a planner at once, counts held
//! accelerators independently of the planner, and checks every decision.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::time::Duration;

use lacewingrail_model::config::PlacementChoice;
use lacewingrail_model::job::{JobRecord, JobSpec, WorkClass};
use lacewingrail_model::shape::{AdjacencyLevel, GangShape};
use lacewingrail_placement::{
    CustomerShare, DomainPlanner, MemberPlacement, PendingJob, PlacementAction, RunningGang,
    ShapeGuarantee, WorkerCapacity, WorkerHealth,
};

/// Maximum number of decisions after one event; more means that the planner never finishes.
const MAX_DECISIONS: usize = 200;

pub const RACK: AdjacencyLevel = AdjacencyLevel::Rack;
pub const WORKER: AdjacencyLevel = AdjacencyLevel::Worker;
pub const DOMAIN: AdjacencyLevel = AdjacencyLevel::Domain;

#[derive(Clone)]
pub struct RunningJob {
    pub record: JobRecord,
    pub waiting_since: Duration,
    pub members: Vec<MemberPlacement>,
    pub guaranteed: bool,
}

#[derive(Clone)]
pub struct PlannerHarness {
    pub planner: DomainPlanner,
    pub now: Duration,
    /// Accelerators of each worker.
    pub capacity: BTreeMap<String, u32>,
    pub running: BTreeMap<String, RunningJob>,
    pub waiting: BTreeMap<String, PendingJob>,
    /// Reason for each refused job.
    pub refused: BTreeMap<String, String>,
    /// Preempted jobs in the order of their preemptions.
    pub preempted: Vec<String>,
    /// Whether teardowns wait for [`PlannerHarness::confirm_teardowns`].
    pub slow_teardown: bool,
    /// Jobs whose teardown is pending, with the arguments of [`Self::tear_down`].
    stopping: Vec<(RunningJob, Option<u32>)>,
    guarantees: Vec<ShapeGuarantee>,
    quotas: BTreeMap<String, CustomerShare>,
    workers: Vec<WorkerCapacity>,
    /// Number of the job submitted last.
    last_job: u32,
}

pub fn shape(members: u32, accelerators: u32, adjacency: AdjacencyLevel) -> GangShape {
    GangShape { members, accelerators, adjacency }
}

pub fn spec(customer: &str, shape: GangShape, class: WorkClass) -> JobSpec {
    JobSpec {
        customer: customer.to_owned(),
        shape,
        class,
        declared_ms: 1_000,
        cores: 1,
        memory_mb: 0,
        checkpointable: true,
        domains: Vec::new(),
        command: String::new(),
        idempotency_key: None,
    }
}

pub fn guarantee(customer: &str, shape: GangShape, count: u32, precedence: u32) -> ShapeGuarantee {
    ShapeGuarantee { customer: customer.to_owned(), shape, count, precedence, since_version: 1 }
}

impl PlannerHarness {
    /// Creates a domain from the accelerators of each worker of each rack. Workers are named `r0w0`
    /// and so on.
    pub fn new(racks: &[&[u32]]) -> Self {
        let mut harness = Self {
            planner: DomainPlanner::new("d1".to_owned(), PlacementChoice::Shape, 7),
            now: Duration::from_secs(10_000),
            capacity: BTreeMap::new(),
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            refused: BTreeMap::new(),
            preempted: Vec::new(),
            slow_teardown: false,
            stopping: Vec::new(),
            guarantees: Vec::new(),
            quotas: BTreeMap::new(),
            workers: Vec::new(),
            last_job: 0,
        };
        let mut workers = Vec::new();
        for (rack, counts) in racks.iter().enumerate() {
            for (worker, accelerators) in counts.iter().enumerate() {
                let id = format!("r{rack}w{worker}");
                harness.capacity.insert(id.clone(), *accelerators);
                workers.push(WorkerCapacity {
                    id,
                    rack: format!("r{rack}"),
                    accelerators: *accelerators,
                    cores: 64,
                    memory_mb: 128_000,
                    speed: 1.0,
                    health: WorkerHealth::Healthy,
                });
            }
        }
        harness.workers.clone_from(&workers);
        harness.planner.set_workers(workers);
        harness.set_quotas(&[("a", 1_000), ("b", 1_000), ("c", 1_000)]);
        harness
    }

    pub fn set_quotas(&mut self, quotas: &[(&str, u32)]) {
        let shares = quotas.iter().map(|(name, quota)| {
            let share = CustomerShare { weight: 1.0, quota: *quota, in_use_elsewhere: 0 };
            ((*name).to_owned(), share)
        });
        self.quotas = shares.collect();
        self.planner.set_customer_shares(self.quotas.clone());
    }

    pub fn set_guarantees(&mut self, guarantees: Vec<ShapeGuarantee>) {
        self.guarantees.clone_from(&guarantees);
        self.planner.set_guarantees(guarantees);
        self.decide_all();
    }

    /// Submits a job without asking the planner for decisions.
    pub fn enqueue(&mut self, spec: JobSpec) -> String {
        self.last_job += 1;
        let id = format!("j{}", self.last_job);
        let record = JobRecord::queued(id.clone(), spec, "d1".to_owned(), Default::default());
        self.enqueue_pending(PendingJob { record, waiting_since: self.now });
        id
    }

    pub fn submit(&mut self, customer: &str, shape: GangShape) -> String {
        self.submit_class(customer, shape, WorkClass::Normal)
    }

    pub fn submit_class(&mut self, customer: &str, shape: GangShape, class: WorkClass) -> String {
        let id = self.enqueue(spec(customer, shape, class));
        self.decide_all();
        id
    }

    /// Ends a running job without queuing it again.
    pub fn end(&mut self, id: &str) {
        let job = self.running.remove(id).expect("an ended job was running");
        self.tear_down(job, None);
        self.decide_all();
    }

    /// Confirms all teardowns that are pending under `slow_teardown`.
    pub fn confirm_teardowns(&mut self) {
        let slow = std::mem::replace(&mut self.slow_teardown, false);
        for (job, requeue) in std::mem::take(&mut self.stopping) {
            self.tear_down(job, requeue);
        }
        self.decide_all();
        self.slow_teardown = slow;
    }

    /// Replaces the planner with a new one that adopts the running gangs, as after a failover.
    pub fn fail_over(&mut self) {
        self.confirm_teardowns();
        self.planner = DomainPlanner::new("d1".to_owned(), PlacementChoice::Shape, 8);
        self.planner.set_workers(self.workers.clone());
        self.planner.set_customer_shares(self.quotas.clone());
        self.planner.set_guarantees(self.guarantees.clone());
        for (id, job) in &self.running {
            self.planner.adopt(RunningGang {
                job: id.clone(),
                spec: job.record.spec.clone(),
                members: job.members.clone(),
                guaranteed: job.guaranteed,
                preemptions: job.record.preemptions,
                checkpointed_at: self.now,
            });
        }
        for pending in self.waiting.values() {
            self.planner.enqueue(pending.clone());
        }
        self.decide_all();
    }

    /// Advances the time and asks for decisions.
    pub fn wait(&mut self, seconds: u64) {
        self.now += Duration::from_secs(seconds);
        self.decide_all();
    }

    /// Makes a worker silent; its gangs are torn down and queued again.
    pub fn lose(&mut self, worker: &str) {
        self.set_health(worker, WorkerHealth::Silent);
        let affected: Vec<String> = self
            .running
            .iter()
            .filter(|(_, job)| job.members.iter().any(|member| member.worker == worker))
            .map(|(id, _)| id.clone())
            .collect();
        for id in affected {
            self.requeue(&id, 0);
        }
        self.decide_all();
    }

    /// Quarantines a worker; the gangs on it continue.
    pub fn quarantine(&mut self, worker: &str) {
        self.set_health(worker, WorkerHealth::Quarantined);
        self.decide_all();
    }

    pub fn restore(&mut self, worker: &str) {
        self.set_health(worker, WorkerHealth::Healthy);
        self.decide_all();
    }

    /// Carries out decisions until there are no more actions, and checks the invariants after each
    /// one.
    pub fn decide_all(&mut self) {
        for _ in 0..MAX_DECISIONS {
            let actions = self.planner.decide(self.now);
            let violations = self.planner.check_invariants();
            assert!(violations.is_empty(), "{violations:?}");
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.execute(action);
            }
            self.check_held_accelerators();
        }
        panic!("the planner still returns actions after {MAX_DECISIONS} decisions");
    }

    pub fn is_running(&self, id: &str) -> bool {
        self.running.contains_key(id)
    }

    pub fn workers_of(&self, id: &str) -> Vec<String> {
        let members = self.running.get(id).map_or(&[][..], |job| &job.members[..]);
        members.iter().map(|member| member.worker.clone()).collect()
    }

    fn execute(&mut self, action: PlacementAction) {
        match action {
            PlacementAction::Start { job, members, guaranteed } => {
                let pending = self.waiting.remove(&job).expect("a started job was waiting");
                assert_gang_complete(&pending.record.spec, &members);
                self.planner.confirm_start(&job);
                let PendingJob { record, waiting_since } = pending;
                self.running.insert(job, RunningJob { record, waiting_since, members, guaranteed });
            }
            PlacementAction::Preempt { victims, on_behalf_of } => {
                assert!(self.waiting.contains_key(&on_behalf_of));
                for victim in victims {
                    self.preempted.push(victim.clone());
                    self.requeue(&victim, 1);
                }
            }
            PlacementAction::Refuse { job, reason } => {
                self.waiting.remove(&job).expect("a refused job was waiting");
                self.refused.insert(job, reason);
            }
        }
    }

    fn requeue(&mut self, id: &str, preemptions: u32) {
        let job = self.running.remove(id).expect("a stopped job was running");
        self.tear_down(job, Some(preemptions));
    }

    /// Frees the accelerators of a job, at once or after [`Self::confirm_teardowns`]. If `requeue`
    /// is given, it is the number of preemptions to add, and the job is queued again.
    fn tear_down(&mut self, job: RunningJob, requeue: Option<u32>) {
        if self.slow_teardown {
            self.planner.mark_stopping(&job.record.id);
            self.stopping.push((job, requeue));
            return;
        }
        self.planner.release(&job.record.id);
        if let Some(preemptions) = requeue {
            let mut record = job.record;
            record.preemptions += preemptions;
            self.enqueue_pending(PendingJob { record, waiting_since: job.waiting_since });
        }
    }

    fn set_health(&mut self, worker: &str, health: WorkerHealth) {
        self.planner.set_health(&worker.to_owned(), health);
        for capacity in self.workers.iter_mut().filter(|capacity| capacity.id == worker) {
            capacity.health = health;
        }
    }

    fn enqueue_pending(&mut self, pending: PendingJob) {
        self.waiting.insert(pending.record.id.clone(), pending.clone());
        self.planner.enqueue(pending);
    }

    /// Checks, by the starts and confirmed stops, that no worker holds more accelerators than it
    /// has.
    fn check_held_accelerators(&self) {
        let mut held: BTreeMap<&str, u32> = BTreeMap::new();
        let stopping = self.stopping.iter().map(|(job, _)| job);
        for member in self.running.values().chain(stopping).flat_map(|job| &job.members) {
            *held.entry(&member.worker).or_default() += member.accelerators;
        }
        for (worker, count) in held {
            assert!(count <= self.capacity[worker], "{worker} holds {count} accelerators");
        }
    }
}

/// Checks that all members of a gang are placed and that the placement has the job's shape.
fn assert_gang_complete(spec: &JobSpec, members: &[MemberPlacement]) {
    let indices: Vec<u32> = members.iter().map(|member| member.index).collect();
    assert_eq!(indices, (0..spec.shape.members).collect::<Vec<u32>>());
    assert!(members.iter().all(|member| member.accelerators == spec.shape.accelerators));
    let rack = |worker: &str| worker.split('w').next().unwrap_or_default().to_owned();
    let first = &members[0].worker;
    let adjacent = members.iter().all(|member| match spec.shape.adjacency {
        AdjacencyLevel::Worker => member.worker == *first,
        AdjacencyLevel::Rack => rack(&member.worker) == rack(first),
        AdjacencyLevel::Domain => true,
    });
    assert!(adjacent, "{members:?} is not in one {}", spec.shape.adjacency);
}
