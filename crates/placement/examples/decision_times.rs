//! Prints the time of one decision in a busy domain of several sizes.
//!
//! The sequence of events is deterministic, so it runs several times and the minimum time of each
//! decision counts: other processes on the machine can only add to it. Run with
//! `cargo run --release -p lacewingrail-placement --example decision_times`.

#[path = "../benches/support/load.rs"]
mod load;

use std::time::Duration;

use load::BusyDomain;

/// Events reported in one run.
const EVENTS: usize = 1_500;
/// Runs for each size.
const RUNS: usize = 4;
/// Numbers of workers: one domain at 1, 2 and 4 times the target size, then all domains as one at
/// 1, 2 and 4 times the target size.
const SIZES: [usize; 6] = [127, 254, 508, 890, 1_780, 3_560];

fn main() {
    println!("workers  accelerators  tasks  waiting  decisions   p50 us   p99 us   max us");
    for workers in SIZES {
        let mut minimums: Vec<Duration> = Vec::new();
        let mut load_columns = String::new();
        for _ in 0..RUNS {
            let mut domain = BusyDomain::new(workers, 42);
            let (tasks, waiting) = domain.load();
            load_columns =
                format!("{workers:7}  {:12}  {tasks:5}  {waiting:7}", domain.accelerators());
            (0..EVENTS).for_each(|_| domain.step());
            let violations = domain.planner.check_invariants();
            assert!(violations.is_empty(), "{violations:?}");
            minimums.resize(domain.times.len(), Duration::MAX);
            for (best, time) in minimums.iter_mut().zip(&domain.times) {
                *best = (*best).min(*time);
            }
        }
        minimums.sort_unstable();
        let percentile =
            |share: f64| minimums[((minimums.len() - 1) as f64 * share) as usize].as_micros();
        let time_columns =
            format!("{:7}  {:7}  {:7}", percentile(0.5), percentile(0.99), percentile(1.0));
        println!("{load_columns}  {:9}  {time_columns}", minimums.len());
    }
}
