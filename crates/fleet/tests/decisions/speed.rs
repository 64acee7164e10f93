//! Workers of unequal speed: estimates, and placement by them.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::harness::{PlannerHarness, listing, step, submission};
use lacewingrail_fleet::speed::{ProgressSample, WorkEstimate, WorkerSpeed, record_progress};
use lacewingrail_fleet::{EndReason, StepSpec};

const SLOW: f64 = 0.6;
const FAST: f64 = 1.6;

/// Returns two racks with two slow and two fast workers each, whose speeds were measured.
fn unequal_workers() -> PlannerHarness {
    let worker =
        |index: usize| listing(&format!("w{index}"), "north", if index < 4 { "r1" } else { "r2" });
    let mut harness = PlannerHarness::new(1, (0..8).map(worker).collect());
    for (index, worker) in harness.workers.values_mut().enumerate() {
        worker.speed = if index % 4 < 2 { SLOW } else { FAST };
    }
    harness.submit(submission(1, "slow", vec![step(8, 8)]));
    harness.advance(Duration::from_millis(5000));
    for order in harness.starts.clone() {
        harness.end_task(&order, EndReason::Done);
    }
    harness.advance(Duration::from_millis(300));
    harness
}

fn gang(count: u32) -> StepSpec {
    StepSpec { gang: true, one_rack: true, ..step(count, 8) }
}

/// A steady rate of progress must give the ratio of the workers' speeds although the declared work
/// is wrong.
#[test]
fn speed_is_learned_from_progress() {
    let (mut estimate, mut slow, mut fast) =
        (WorkEstimate::default(), WorkerSpeed::default(), WorkerSpeed::default());
    // The work is 1.4 times what was declared.
    let declared = Duration::from_secs(10);
    for second in 0..6u32 {
        let sample = |rate: f64, second: u32| ProgressSample {
            at: Duration::from_secs(u64::from(second)),
            percent: (rate * f64::from(second) * 100.0 / 14.0) as u32,
        };
        record_progress(
            &mut estimate,
            &mut slow,
            declared,
            sample(SLOW, second),
            sample(SLOW, second + 1),
        );
        record_progress(
            &mut estimate,
            &mut fast,
            declared,
            sample(FAST, second),
            sample(FAST, second + 1),
        );
    }
    let ratio = fast.value() / slow.value();
    assert!((2.2..=3.1).contains(&ratio), "speeds {} and {}", slow.value(), fast.value());
}

/// Too short a span or too little progress must not count, since percent points are whole numbers.
#[test]
fn short_spans_and_small_progress_are_not_measured() {
    let (mut estimate, mut speed) = (WorkEstimate::default(), WorkerSpeed::default());
    let sample = |ms: u64, percent: u32| ProgressSample { at: Duration::from_millis(ms), percent };
    let declared = Duration::from_secs(4);
    assert!(!record_progress(&mut estimate, &mut speed, declared, sample(0, 0), sample(300, 9)));
    assert!(!record_progress(&mut estimate, &mut speed, declared, sample(0, 0), sample(900, 2)));
    assert!(!record_progress(&mut estimate, &mut speed, declared, sample(0, 90), sample(900, 100)));
    assert_eq!(speed, WorkerSpeed::default());
}

/// An urgent gang must not be late because one member runs on a slow worker while fast ones are
/// free. On a day without faults, half of the checks of the guarantees were late for this reason.
#[test]
fn urgent_gang_takes_workers_that_are_fast_enough() {
    let mut harness = unequal_workers();
    harness.submit(submission(2, "urgent", vec![gang(2)]));
    let workers = harness.workers_started_on(2);
    assert_eq!(workers.len(), 2);
    assert!(workers.iter().all(|worker| harness.workers[worker].speed == FAST), "{workers:?}");
}

/// An urgent gang must preempt other work on fast workers rather than use free slow ones.
#[test]
fn urgent_gang_preempts_on_fast_workers() {
    let mut harness = unequal_workers();
    let checkpointed = StepSpec { checkpoints: true, label: None, ..step(8, 8) };
    harness.submit(submission(2, "slow", vec![checkpointed]));
    harness.advance(Duration::from_millis(500));
    for order in harness.starts.clone() {
        let slow = harness.workers[&order.target.worker].speed == SLOW;
        if order.target.task.job == 2 && slow {
            harness.end_task(&order, EndReason::Done);
        }
    }
    harness.advance(Duration::from_millis(300));
    harness.submit(submission(3, "urgent", vec![gang(2)]));
    harness.advance(Duration::from_millis(500));
    let workers = harness.workers_started_on(3);
    assert_eq!(workers.len(), 2);
    assert!(workers.iter().all(|worker| harness.workers[worker].speed == FAST), "{workers:?}");
}

/// A gang that is not urgent must not mix slow and fast workers while equal ones are free: the fast
/// ones would wait for the slow ones.
#[test]
fn gang_prefers_equal_workers() {
    let mut harness = unequal_workers();
    harness.submit(submission(2, "normal", vec![gang(2)]));
    let speeds: Vec<f64> =
        harness.workers_started_on(2).iter().map(|worker| harness.workers[worker].speed).collect();
    assert_eq!(speeds.len(), 2);
    assert_eq!(speeds[0], speeds[1]);
}

/// A new scheduler must restore the measured speeds of workers. With rolling restarts, half of the
/// urgent jobs ran on workers of unknown speed.
#[test]
fn speeds_survive_a_takeover() {
    for listed_first in [false, true] {
        assert_speeds_after_takeover(listed_first);
    }
}

/// Checks the speeds after a takeover with either order of reading the list of workers and the
/// roster.
fn assert_speeds_after_takeover(listed_first: bool) {
    let mut harness = unequal_workers();
    harness.advance(Duration::from_millis(2500));
    harness.workers_listed_first = listed_first;
    let mut harness = harness.fail_over(2, &[]);
    harness.advance(Duration::from_millis(300));
    harness.submit(submission(2, "urgent", vec![gang(2)]));
    let workers = harness.workers_started_on(2);
    assert_eq!(workers.len(), 2);
    assert!(workers.iter().all(|worker| harness.workers[worker].speed == FAST), "{workers:?}");
}

/// An urgent gang must use fast workers that are free in several failure domains rather than slow
/// workers of one, or a preemption.
#[test]
fn urgent_gang_spreads_over_domains_for_fast_workers() {
    let worker = |index: usize| {
        let domain = if index < 2 { "north" } else { "south" };
        listing(&format!("w{index}"), domain, domain)
    };
    let mut harness = PlannerHarness::new(1, (0..4).map(worker).collect());
    for (index, speed) in [(0, FAST), (1, SLOW), (2, FAST), (3, SLOW)] {
        harness.workers.get_mut(&format!("w{index}")).expect("the worker is simulated").speed =
            speed;
    }
    harness.submit(submission(1, "normal", vec![step(8, 4)]));
    harness.advance(Duration::from_millis(2500));
    for order in harness.starts.clone() {
        harness.end_task(&order, EndReason::Done);
    }
    harness.advance(Duration::from_millis(300));
    harness.submit(submission(2, "urgent", vec![StepSpec { gang: true, ..step(2, 8) }]));
    let mut workers = harness.workers_started_on(2);
    workers.sort();
    assert_eq!(workers, ["w0", "w2"]);
}

/// Speeds of simulated workers, a third each.
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];
/// Maximum error of the logarithm of a speed at which 0.6 and 1.0 can still be told apart.
const MAX_LOG_ERROR: f64 = 0.255;

/// Runs steps of five tasks on random workers, with declared run times that are wrong by a random
/// factor, and returns the share of workers whose speed is then known well enough.
fn share_of_known_speeds(steps: usize, error: f64, seed: u64) -> f64 {
    const WORKERS: usize = 48;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut speeds = vec![WorkerSpeed::default(); WORKERS];
    for _ in 0..steps {
        let declared = Duration::from_secs_f64(random.random_range(2.0..10.0));
        // The sum of uniform numbers approximates a normal one.
        let normal: f64 = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
        let work = declared.as_secs_f64() * (error * normal).exp();
        let workers: Vec<usize> = (0..5).map(|_| random.random_range(0..WORKERS)).collect();
        let mut estimate = WorkEstimate::default();
        for second in 0..10u32 {
            for worker in &workers {
                let rate = SPEEDS[worker % 3] / work;
                let sample = |second: u32| ProgressSample {
                    at: Duration::from_secs(u64::from(second)),
                    percent: (rate * f64::from(second) * 100.0).min(100.0) as u32,
                };
                record_progress(
                    &mut estimate,
                    &mut speeds[*worker],
                    declared,
                    sample(second),
                    sample(second + 1),
                );
            }
        }
    }
    let known = |(index, speed): &(usize, &WorkerSpeed)| {
        (speed.value() / SPEEDS[index % 3]).ln().abs() < MAX_LOG_ERROR
    };
    speeds.iter().enumerate().filter(known).count() as f64 / WORKERS as f64
}

/// Speeds must be known although declared run times are wrong: otherwise urgent work runs on slow
/// workers that count as faster ones after a step with a wrong declaration.
#[test]
fn speeds_are_known_although_declared_times_are_wrong() {
    let mean = |steps: usize, error: f64| {
        (0..20).map(|seed| share_of_known_speeds(steps, error, seed)).sum::<f64>() / 20.0
    };
    let known = mean(200, 0.3);
    assert!(known >= 0.9, "{known} of the workers are known");
}

/// A worker that becomes slow must not count as fast for long.
#[test]
fn slowdown_of_a_worker_is_noticed_within_three_reports() {
    let (mut estimate, mut speed) = (WorkEstimate::default(), WorkerSpeed::default());
    let declared = Duration::from_secs(10);
    let sample =
        |second: u64, percent: u32| ProgressSample { at: Duration::from_secs(second), percent };
    for second in 0..30 {
        let mut other = WorkEstimate::default();
        record_progress(
            &mut other,
            &mut speed,
            declared,
            sample(second, 10),
            sample(second + 1, 20),
        );
    }
    assert!((0.9..1.1).contains(&speed.value()), "{}", speed.value());
    for second in 0..3 {
        let from = 10 + 2 * second as u32;
        record_progress(
            &mut estimate,
            &mut speed,
            declared,
            sample(2 * second, from),
            sample(2 * second + 2, from + 3),
        );
    }
    assert!(speed.value() < 0.67, "{}", speed.value());
}
