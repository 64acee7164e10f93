//! A simulated domain of a given size under constant load, and the events that a scheduler would
//! report to its planner.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use lacewingrail_model::config::PlacementChoice;
use lacewingrail_model::job::{JobRecord, JobSpec, WorkClass};
use lacewingrail_model::shape::{AdjacencyLevel, GangShape};
use lacewingrail_placement::{
    CustomerShare, DomainPlanner, PendingJob, PlacementAction, ShapeGuarantee, WorkerCapacity,
    WorkerHealth,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Accelerators of each worker of two racks, repeated over the domain. The mean of 11.5 for a rack
/// gives 243 for 127 workers.
const RACK_PAIR: [[u32; 6]; 2] = [[8, 2, 1, 1, 0, 0], [4, 4, 2, 1, 0, 0]];
/// Share of the accelerators that is guaranteed.
const GUARANTEED_SHARE: f64 = 0.4;
/// Minimum share of the accelerators in use at the start and between two events.
const BUSY_SHARE: f64 = 0.95;
/// Running tasks for each worker at target size, where 890 workers run 8,200 tasks.
const TASKS_PER_WORKER: f64 = 9.2;
/// Waiting jobs that don't fit, for every 127 workers, the size of one domain.
const WAITING_PER_DOMAIN: usize = 30;
/// Probability that a worker is lost at an event; it returns at the next event.
const LOSS_PROBABILITY: f64 = 0.02;

/// Drives a planner and measures the time of each decision.
pub struct BusyDomain {
    pub planner: DomainPlanner,
    /// Time of each decision.
    pub times: Vec<Duration>,
    rng: ChaCha8Rng,
    now: Duration,
    /// Worker that is lost until the next event.
    lost: Option<String>,
    workers: usize,
    customers: usize,
    /// Running jobs and their accelerators.
    running: Vec<(String, u32)>,
    /// Records of all waiting and running jobs.
    records: BTreeMap<String, JobRecord>,
    /// Preempted jobs whose teardown is not confirmed yet.
    teardowns: VecDeque<String>,
    /// Accelerators of running jobs.
    busy: u32,
    /// Members of running jobs.
    tasks: usize,
    accelerators: u32,
    /// Number of the job submitted last.
    last_job: u32,
}

impl BusyDomain {
    /// Creates a domain with a number of workers and submits jobs until it is busy.
    pub fn new(workers: usize, seed: u64) -> Self {
        let mut domain = Self {
            planner: DomainPlanner::new("d1".to_owned(), PlacementChoice::Shape, seed),
            times: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::from_secs(100_000),
            lost: None,
            workers,
            customers: (workers * 180 / 890).max(8),
            running: Vec::new(),
            records: BTreeMap::new(),
            teardowns: VecDeque::new(),
            busy: 0,
            tasks: 0,
            accelerators: 0,
            last_job: 0,
        };
        domain.add_workers(workers);
        domain.add_customers();
        domain.fill();
        domain.times.clear();
        domain
    }

    pub fn accelerators(&self) -> u32 {
        self.accelerators
    }

    /// Returns the numbers of running members and of waiting jobs.
    pub fn load(&self) -> (usize, usize) {
        (self.tasks, self.planner.counts().jobs_waiting as usize)
    }

    /// Reports one random event, decides until there are no more actions, and restores the load.
    pub fn step(&mut self) {
        self.now += Duration::from_secs(20);
        if let Some(worker) = self.lost.take() {
            self.planner.set_health(&worker, WorkerHealth::Healthy);
        } else if self.rng.random_bool(LOSS_PROBABILITY) {
            let worker = format!("w{}", self.rng.random_range(0..self.workers));
            self.planner.set_health(&worker, WorkerHealth::Silent);
            self.lost = Some(worker);
        }
        match self.rng.random_range(0..10_u32) {
            0..=4 => self.end_random_job(),
            5 => self.submit_guaranteed(),
            6 => {
                let shape = self.borrowed_shape();
                self.submit(shape, WorkClass::Urgent);
            }
            7..=8 => {
                let shape = self.borrowed_shape();
                self.submit(shape, WorkClass::Normal);
            }
            _ => self.record_checkpoints(),
        }
        self.decide_all();
        self.restore_load();
    }

    /// Submits jobs until the accelerators in use, the tasks and the waiting jobs reach their
    /// numbers at the start, and removes excess waiting jobs.
    fn restore_load(&mut self) {
        while self.busy_share() < BUSY_SHARE {
            let shape = self.borrowed_shape();
            self.submit(shape, WorkClass::Normal);
            self.decide_all();
        }
        while (self.load().0 as f64) < self.workers as f64 * TASKS_PER_WORKER {
            self.submit(shape(8, 0, AdjacencyLevel::Domain), WorkClass::Normal);
            self.decide_all();
        }
        let waiting = self.workers * WAITING_PER_DOMAIN / 127;
        while self.load().1 < waiting {
            let members = self.rng.random_range(16..=64);
            self.submit(shape(members, 1, AdjacencyLevel::Domain), WorkClass::Normal);
        }
        let excess = self.load().1.saturating_sub(waiting);
        if excess > waiting / 4 {
            let jobs = self.planner.queue().into_iter().rev().take(excess);
            for job in jobs.map(|job| job.record.id).collect::<Vec<_>>() {
                self.planner.remove(&job);
                self.records.remove(&job);
            }
        }
    }

    fn busy_share(&self) -> f64 {
        f64::from(self.busy) / f64::from(self.accelerators)
    }

    fn add_workers(&mut self, count: usize) {
        let workers: Vec<WorkerCapacity> = (0..count)
            .map(|index| WorkerCapacity {
                id: format!("w{index}"),
                rack: format!("r{}", index / 6),
                accelerators: RACK_PAIR[index / 6 % 2][index % 6],
                cores: 64,
                memory_mb: 128_000,
                speed: 1.0,
                health: WorkerHealth::Healthy,
            })
            .collect();
        self.accelerators = workers.iter().map(|worker| worker.accelerators).sum();
        self.planner.set_workers(workers);
    }

    fn add_customers(&mut self) {
        let shares = (0..self.customers).map(|index| {
            let share = CustomerShare { weight: 1.0, quota: 1_000_000, in_use_elsewhere: 0 };
            (format!("c{index}"), share)
        });
        self.planner.set_customer_shares(shares.collect());
        let shapes = [
            shape(1, 1, AdjacencyLevel::Worker),
            shape(2, 1, AdjacencyLevel::Rack),
            shape(1, 2, AdjacencyLevel::Worker),
            shape(1, 4, AdjacencyLevel::Worker),
            shape(8, 1, AdjacencyLevel::Domain),
        ];
        let mut left = f64::from(self.accelerators) * GUARANTEED_SHARE;
        let mut guarantees = Vec::new();
        for index in 0.. {
            let shape = shapes[index % shapes.len()];
            left -= f64::from(shape.total());
            if left < 0.0 {
                break;
            }
            guarantees.push(ShapeGuarantee {
                customer: format!("c{}", index % self.customers),
                shape,
                count: 1,
                precedence: 1,
                since_version: index as u64,
            });
        }
        self.planner.set_guarantees(guarantees);
    }

    /// Submits jobs until the domain is busy, then adds tasks and waiting jobs up to their numbers.
    fn fill(&mut self) {
        while self.busy_share() < BUSY_SHARE {
            if self.rng.random_bool(0.3) {
                self.submit_guaranteed();
            } else {
                let shape = self.borrowed_shape();
                self.submit(shape, WorkClass::Normal);
            }
            self.now += Duration::from_secs(30);
            self.decide_all();
        }
        self.restore_load();
        self.decide_all();
    }

    /// Returns a random shape for a borrower; most are small.
    fn borrowed_shape(&mut self) -> GangShape {
        match self.rng.random_range(0..20_u32) {
            0..=9 => shape(1, 1, AdjacencyLevel::Worker),
            10..=13 => shape(1, 2, AdjacencyLevel::Worker),
            14..=16 => shape(3, 1, AdjacencyLevel::Rack),
            17 => shape(1, 4, AdjacencyLevel::Worker),
            18 => shape(1, 8, AdjacencyLevel::Worker),
            _ => shape(16, 1, AdjacencyLevel::Domain),
        }
    }

    /// Submits a job for a random reclaimable guarantee, if there is one.
    fn submit_guaranteed(&mut self) {
        let unused: Vec<(String, GangShape)> = self
            .planner
            .guarantees()
            .into_iter()
            .filter(|status| status.reclaimable > 0)
            .map(|status| (status.customer, status.shape))
            .collect();
        if unused.is_empty() {
            return;
        }
        let (customer, shape) = unused[self.rng.random_range(0..unused.len())].clone();
        self.submit_for(customer, shape, WorkClass::Normal);
    }

    fn submit(&mut self, shape: GangShape, class: WorkClass) {
        let customer = format!("c{}", self.rng.random_range(0..self.customers));
        self.submit_for(customer, shape, class);
    }

    fn submit_for(&mut self, customer: String, shape: GangShape, class: WorkClass) {
        self.last_job += 1;
        let spec = JobSpec {
            customer,
            shape,
            class,
            declared_ms: 0,
            cores: 1,
            memory_mb: 1_000,
            checkpointable: true,
            domains: Vec::new(),
            command: String::new(),
            idempotency_key: None,
        };
        let record =
            JobRecord::queued(format!("j{}", self.last_job), spec, "d1".to_owned(), String::new());
        self.records.insert(record.id.clone(), record.clone());
        self.planner.enqueue(PendingJob { record, waiting_since: self.now });
    }

    /// Ends a random running job.
    fn end_random_job(&mut self) {
        let index = self.rng.random_range(0..self.running.len());
        let (job, total) = self.running.swap_remove(index);
        self.busy -= total;
        self.tasks -= self.records[&job].spec.shape.members as usize;
        self.records.remove(&job);
        self.planner.release(&job);
    }

    /// Records checkpoints of 20 random running jobs.
    fn record_checkpoints(&mut self) {
        for _ in 0..20 {
            let index = self.rng.random_range(0..self.running.len());
            self.planner.record_checkpoint(&self.running[index].0, self.now);
        }
    }

    /// Decides until there are no more actions, and confirms one teardown after each decision.
    fn decide_all(&mut self) {
        loop {
            let started = Instant::now();
            let actions = self.planner.decide(self.now);
            self.times.push(started.elapsed());
            for action in &actions {
                self.execute(action);
            }
            if let Some(job) = self.teardowns.pop_front() {
                self.planner.release(&job);
                if let Some(record) = self.records.get_mut(&job) {
                    record.preemptions += 1;
                    let pending = PendingJob { record: record.clone(), waiting_since: self.now };
                    self.planner.enqueue(pending);
                }
            } else if actions.is_empty() {
                return;
            }
        }
    }

    fn execute(&mut self, action: &PlacementAction) {
        match action {
            PlacementAction::Start { job, .. } => {
                self.planner.confirm_start(job);
                let shape = self.records[job].spec.shape;
                let total = shape.total();
                self.busy += total;
                self.tasks += shape.members as usize;
                self.running.push((job.clone(), total));
            }
            PlacementAction::Preempt { victims, .. } => {
                for victim in victims {
                    let index = self.running.iter().position(|(job, _)| job == victim);
                    let (job, total) =
                        self.running.swap_remove(index.expect("a victim was running"));
                    self.busy -= total;
                    self.tasks -= self.records[&job].spec.shape.members as usize;
                    self.teardowns.push_back(job);
                }
            }
            PlacementAction::Refuse { job, reason } => panic!("{job} was refused: {reason}"),
        }
    }
}

fn shape(members: u32, accelerators: u32, adjacency: AdjacencyLevel) -> GangShape {
    GangShape { members, accelerators, adjacency }
}
