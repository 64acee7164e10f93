//! Prints the time of one decision in a busy domain of several sizes.
//!
//! The sequence of events is deterministic, so it is run several times and the least time of each
//! decision counts: other processes on the machine only ever add to it. Run with
//! `cargo run --release -p lacewingrail-placement --example decision_times`.

#[path = "../benches/support/load.rs"]
mod load;

use std::time::Duration;

use load::BusyDomain;

/// Events reported for each size.
const EVENTS: usize = 1_500;
/// Runs of each sequence.
const RUNS: usize = 4;
/// Numbers of workers: one domain at target size at 1x, 2x and 4x, then all workers of all domains
/// at 1x, 2x and 4x.
const SIZES: [usize; 6] = [127, 254, 508, 890, 1_780, 3_560];

fn main() {
    println!("workers  accelerators  tasks  waiting  decisions   p50 us   p99 us   max us");
    for workers in SIZES {
        let mut least: Vec<Duration> = Vec::new();
        let mut line = String::new();
        for _ in 0..RUNS {
            let mut domain = BusyDomain::new(workers, 42);
            let (tasks, waiting) = domain.load();
            line = format!("{workers:7}  {:12}  {tasks:5}  {waiting:7}", domain.accelerators());
            (0..EVENTS).for_each(|_| domain.step());
            let violations = domain.planner.check_invariants();
            assert!(violations.is_empty(), "{violations:?}");
            least.resize(domain.times.len(), Duration::MAX);
            for (best, time) in least.iter_mut().zip(&domain.times) {
                *best = (*best).min(*time);
            }
        }
        least.sort_unstable();
        let at = |share: f64| least[((least.len() - 1) as f64 * share) as usize].as_micros();
        let figures = format!("{:7}  {:7}  {:7}", at(0.5), at(0.99), at(1.0));
        println!("{line}  {:9}  {figures}", least.len());
    }
}
