//! A busy domain of a given size and the events that a scheduler reports to its planner.

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

/// Accelerators of the workers of two racks; 11.5 a rack gives 243 for 127 workers.
const RACK_PAIR: [[u32; 6]; 2] = [[8, 2, 1, 1, 0, 0], [4, 4, 2, 1, 0, 0]];
/// Share of the accelerators that is guaranteed.
const GUARANTEED_SHARE: f64 = 0.4;
/// Share of the accelerators that is in use before times are taken.
const BUSY_SHARE: f64 = 0.95;
/// Running tasks for each worker at target size: 8,200 on 890.
const TASKS_PER_WORKER: f64 = 9.2;
/// Jobs that wait without fitting, for each 127 workers.
const WAITING_PER_DOMAIN: usize = 30;
/// Share of the events at which a worker is lost for the time of one event.
const LOSS_SHARE: f64 = 0.02;

/// Drives a planner and takes the time of each decision.
pub struct BusyDomain {
    pub planner: DomainPlanner,
    pub times: Vec<Duration>,
    random: ChaCha8Rng,
    now: Duration,
    lost: Option<String>,
    workers: usize,
    customers: usize,
    running: Vec<(String, u32)>,
    specs: BTreeMap<String, JobRecord>,
    teardowns: VecDeque<String>,
    busy: u32,
    tasks: usize,
    accelerators: u32,
    next: u32,
}

impl BusyDomain {
    /// Builds a domain with a number of workers and fills it.
    pub fn new(workers: usize, seed: u64) -> Self {
        let mut domain = Self {
            planner: DomainPlanner::new("d1".to_owned(), PlacementChoice::Shape, seed),
            times: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Duration::from_secs(100_000),
            lost: None,
            workers,
            customers: (workers * 180 / 890).max(8),
            running: Vec::new(),
            specs: BTreeMap::new(),
            teardowns: VecDeque::new(),
            busy: 0,
            tasks: 0,
            accelerators: 0,
            next: 0,
        };
        domain.add_workers(workers);
        domain.add_customers();
        domain.fill();
        domain.times.clear();
        domain
    }

    /// Number of accelerators.
    pub fn accelerators(&self) -> u32 {
        self.accelerators
    }

    /// Number of running members and waiting jobs.
    pub fn load(&self) -> (usize, usize) {
        (self.tasks, self.planner.counts().jobs_waiting as usize)
    }

    /// Reports one random event, decides until nothing is left to decide, and restores the load.
    pub fn step(&mut self) {
        self.now += Duration::from_secs(20);
        if let Some(worker) = self.lost.take() {
            self.planner.set_health(&worker, WorkerHealth::Healthy);
        } else if self.random.random_bool(LOSS_SHARE) {
            let worker = format!("w{}", self.random.random_range(0..self.workers));
            self.planner.set_health(&worker, WorkerHealth::Silent);
            self.lost = Some(worker);
        }
        match self.random.random_range(0..10_u32) {
            0..=4 => self.end_one(),
            5 => self.submit_guaranteed(),
            6 => {
                let shape = self.borrowed_shape();
                self.submit(shape, WorkClass::Urgent);
            }
            7..=8 => {
                let shape = self.borrowed_shape();
                self.submit(shape, WorkClass::Normal);
            }
            _ => self.note_checkpoints(),
        }
        self.decide_all();
        self.restore();
    }

    /// Adds jobs until as many accelerators, tasks and waiting jobs are there as at the start.
    fn restore(&mut self) {
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
            let members = self.random.random_range(16..=64);
            self.submit(shape(members, 1, AdjacencyLevel::Domain), WorkClass::Normal);
        }
        let excess = self.load().1.saturating_sub(waiting);
        if excess > waiting / 4 {
            let jobs = self.planner.queue().into_iter().rev().take(excess);
            for job in jobs.map(|job| job.record.id).collect::<Vec<_>>() {
                self.planner.remove(&job);
                self.specs.remove(&job);
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

    fn fill(&mut self) {
        while self.busy_share() < BUSY_SHARE {
            if self.random.random_bool(0.3) {
                self.submit_guaranteed();
            } else {
                let shape = self.borrowed_shape();
                self.submit(shape, WorkClass::Normal);
            }
            self.now += Duration::from_secs(30);
            self.decide_all();
        }
        self.restore();
        self.decide_all();
    }

    fn borrowed_shape(&mut self) -> GangShape {
        match self.random.random_range(0..20_u32) {
            0..=9 => shape(1, 1, AdjacencyLevel::Worker),
            10..=13 => shape(1, 2, AdjacencyLevel::Worker),
            14..=16 => shape(3, 1, AdjacencyLevel::Rack),
            17 => shape(1, 4, AdjacencyLevel::Worker),
            18 => shape(1, 8, AdjacencyLevel::Worker),
            _ => shape(16, 1, AdjacencyLevel::Domain),
        }
    }

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
        let (customer, shape) = unused[self.random.random_range(0..unused.len())].clone();
        self.submit_for(customer, shape, WorkClass::Normal);
    }

    fn submit(&mut self, shape: GangShape, class: WorkClass) {
        let customer = format!("c{}", self.random.random_range(0..self.customers));
        self.submit_for(customer, shape, class);
    }

    fn submit_for(&mut self, customer: String, shape: GangShape, class: WorkClass) {
        self.next += 1;
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
            JobRecord::queued(format!("j{}", self.next), spec, "d1".to_owned(), String::new());
        self.specs.insert(record.id.clone(), record.clone());
        self.planner.enqueue(PendingJob { record, waiting_since: self.now });
    }

    fn end_one(&mut self) {
        let index = self.random.random_range(0..self.running.len());
        let (job, total) = self.running.swap_remove(index);
        self.busy -= total;
        self.tasks -= self.specs[&job].spec.shape.members as usize;
        self.specs.remove(&job);
        self.planner.release(&job);
    }

    fn note_checkpoints(&mut self) {
        for _ in 0..20 {
            let index = self.random.random_range(0..self.running.len());
            self.planner.record_checkpoint(&self.running[index].0, self.now);
        }
    }

    fn decide_all(&mut self) {
        loop {
            let begin = Instant::now();
            let actions = self.planner.decide(self.now);
            self.times.push(begin.elapsed());
            for action in &actions {
                self.carry_out(action);
            }
            if let Some(job) = self.teardowns.pop_front() {
                self.planner.release(&job);
                if let Some(record) = self.specs.get_mut(&job) {
                    record.preemptions += 1;
                    let entry = PendingJob { record: record.clone(), waiting_since: self.now };
                    self.planner.enqueue(entry);
                }
            } else if actions.is_empty() {
                return;
            }
        }
    }

    fn carry_out(&mut self, action: &PlacementAction) {
        match action {
            PlacementAction::Start { job, .. } => {
                self.planner.confirm_start(job);
                let shape = self.specs[job].spec.shape;
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
                    self.tasks -= self.specs[&job].spec.shape.members as usize;
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
