//! Prints the time of one decision in a busy domain of several sizes.
//!
//! Run with `cargo run --release -p lacewingrail-placement --example decision_times`.

#[path = "../benches/support/load.rs"]
mod load;

use std::time::Duration;

use load::BusyDomain;

/// Events reported for each size.
const EVENTS: usize = 3_000;
/// Numbers of workers: one domain at target size at 1x, 2x and 4x, then all workers of all domains
/// at 1x, 2x and 4x.
const SIZES: [usize; 6] = [127, 254, 508, 890, 1_780, 3_560];

fn main() {
    println!("workers  accelerators  tasks  waiting  decisions   p50 us   p99 us   max us");
    for workers in SIZES {
        let mut domain = BusyDomain::new(workers, 42);
        let (tasks, waiting) = domain.load();
        for _ in 0..EVENTS {
            domain.step();
        }
        let accelerators = domain.accelerators();
        let times = &mut domain.times;
        times.sort_unstable();
        let at = |share: f64| micros(times[((times.len() - 1) as f64 * share) as usize]);
        println!(
            "{workers:7}  {accelerators:12}  {tasks:5}  {waiting:7}  {:9}  {:7}  {:7}  {:7}",
            times.len(),
            at(0.5),
            at(0.99),
            at(1.0)
        );
        let violations = domain.planner.check_invariants();
        assert!(violations.is_empty(), "{violations:?}");
    }
}

fn micros(duration: Duration) -> u128 {
    duration.as_micros()
}
