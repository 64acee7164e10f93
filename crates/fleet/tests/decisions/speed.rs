//! Workers of unequal speed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::harness::{PlannerHarness, listing, step, submission};
use lacewingrail_fleet::speed::{ProgressSample, WorkEstimate, WorkerSpeed, record_progress};
use lacewingrail_fleet::{EndReason, StepSpec};

const SLOW: f64 = 0.6;
const FAST: f64 = 1.6;

/// Returns a harness with two racks of two slow and two fast workers each, whose speeds the planner has
/// seen at work.
fn unequal_workers() -> PlannerHarness {
    let worker =
        |index: usize| listing(&format!("w{index}"), "north", if index < 4 { "r1" } else { "r2" });
    let mut harness = PlannerHarness::new(1, (0..8).map(worker).collect());
    for (index, worker) in harness.workers.values_mut().enumerate() {
        worker.speed = if index % 4 < 2 { SLOW } else { FAST };
    }
    harness.accept(submission(1, "slow", vec![step(8, 8)]));
    harness.pass(Duration::from_millis(5000));
    for order in harness.starts.clone() {
        harness.end(&order, EndReason::Done);
    }
    harness.pass(Duration::from_millis(300));
    harness
}

fn gang(count: u32) -> StepSpec {
    StepSpec { gang: true, one_rack: true, ..step(count, 8) }
}

/// A steady rate of progress must give the worker's speed, although the declared work is wrong.
#[test]
fn speed_is_learned_from_progress() {
    let (mut pace, mut slow, mut fast) =
        (WorkEstimate::default(), WorkerSpeed::default(), WorkerSpeed::default());
    // The work is 1.4 times what was declared.
    let declared = Duration::from_secs(10);
    for second in 0..6u32 {
        let mark = |rate: f64, second: u32| ProgressSample {
            at: Duration::from_secs(u64::from(second)),
            percent: (rate * f64::from(second) * 100.0 / 14.0) as u32,
        };
        record_progress(&mut pace, &mut slow, declared, mark(SLOW, second), mark(SLOW, second + 1));
        record_progress(&mut pace, &mut fast, declared, mark(FAST, second), mark(FAST, second + 1));
    }
    let ratio = fast.value() / slow.value();
    assert!((2.2..=3.1).contains(&ratio), "speeds {} and {}", slow.value(), fast.value());
}

/// Too short a span or too little progress must not count, since percent points are whole.
#[test]
fn short_spans_are_not_measured() {
    let (mut pace, mut speed) = (WorkEstimate::default(), WorkerSpeed::default());
    let mark = |ms: u64, percent: u32| ProgressSample { at: Duration::from_millis(ms), percent };
    let declared = Duration::from_secs(4);
    assert!(!record_progress(&mut pace, &mut speed, declared, mark(0, 0), mark(300, 9)));
    assert!(!record_progress(&mut pace, &mut speed, declared, mark(0, 0), mark(900, 2)));
    assert!(!record_progress(&mut pace, &mut speed, declared, mark(0, 90), mark(900, 100)));
    assert_eq!(speed, WorkerSpeed::default());
}

/// An urgent gang must not be late because one member sits on a slow worker while fast ones are free
/// (half of the hold-checks of a calm day were late for this).
#[test]
fn urgent_gang_takes_workers_that_are_fast_enough() {
    let mut harness = unequal_workers();
    harness.accept(submission(2, "urgent", vec![gang(2)]));
    let workers = harness.started(2);
    assert_eq!(workers.len(), 2);
    assert!(workers.iter().all(|worker| harness.workers[worker].speed == FAST), "{workers:?}");
}

/// An urgent gang must displace a borrower on fast workers rather than take free slow ones.
#[test]
fn urgent_gang_reclaims_fast_workers() {
    let mut harness = unequal_workers();
    let borrower = StepSpec { checkpoints: true, label: None, ..step(8, 8) };
    harness.accept(submission(2, "slow", vec![borrower]));
    harness.pass(Duration::from_millis(500));
    for order in harness.starts.clone() {
        let slow = harness.workers[&order.target.worker].speed == SLOW;
        if order.target.task.job == 2 && slow {
            harness.end(&order, EndReason::Done);
        }
    }
    harness.pass(Duration::from_millis(300));
    harness.accept(submission(3, "urgent", vec![gang(2)]));
    harness.pass(Duration::from_millis(500));
    let workers = harness.started(3);
    assert_eq!(workers.len(), 2);
    assert!(workers.iter().all(|worker| harness.workers[worker].speed == FAST), "{workers:?}");
}

/// A gang that is not urgent must not mix slow and fast workers when equal ones are free: the fast
/// ones would wait for the slow ones.
#[test]
fn gang_prefers_equal_workers() {
    let mut harness = unequal_workers();
    harness.accept(submission(2, "normal", vec![gang(2)]));
    let speeds: Vec<f64> =
        harness.started(2).iter().map(|worker| harness.workers[worker].speed).collect();
    assert_eq!(speeds.len(), 2);
    assert_eq!(speeds[0], speeds[1]);
}

/// A new scheduler must not forget which workers are slow (with rolling restarts half of the urgent
/// jobs ran on workers of unknown speed).
#[test]
fn speeds_survive_a_change_of_scheduler() {
    for listed_first in [false, true] {
        check_speeds_after_takeover(listed_first);
    }
}

/// The list of workers and what the former scheduler stored are read in either order.
fn check_speeds_after_takeover(listed_first: bool) {
    let mut harness = unequal_workers();
    harness.pass(Duration::from_millis(2500));
    harness.listed_first = listed_first;
    let mut harness = harness.take_over(2, &[]);
    harness.pass(Duration::from_millis(300));
    harness.accept(submission(2, "urgent", vec![gang(2)]));
    let workers = harness.started(2);
    assert_eq!(workers.len(), 2);
    assert!(workers.iter().all(|worker| harness.workers[worker].speed == FAST), "{workers:?}");
}

/// Guards against an urgent gang that runs on slow workers of one failure domain, or stops others,
/// although workers that are fast enough are free in several.
#[test]
fn urgent_gang_spreads_over_domains_for_fast_workers() {
    let worker = |index: usize| {
        let domain = if index < 2 { "north" } else { "south" };
        listing(&format!("w{index}"), domain, domain)
    };
    let mut harness = PlannerHarness::new(1, (0..4).map(worker).collect());
    for (index, speed) in [(0, FAST), (1, SLOW), (2, FAST), (3, SLOW)] {
        harness.workers.get_mut(&format!("w{index}")).expect("a worker").speed = speed;
    }
    harness.accept(submission(1, "normal", vec![step(8, 4)]));
    harness.pass(Duration::from_millis(2500));
    for order in harness.starts.clone() {
        harness.end(&order, EndReason::Done);
    }
    harness.pass(Duration::from_millis(300));
    harness.accept(submission(2, "urgent", vec![StepSpec { gang: true, ..step(2, 8) }]));
    let mut workers = harness.started(2);
    workers.sort();
    assert_eq!(workers, ["w0", "w2"]);
}

/// Speeds of the simulated fleet, a third each.
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];
/// Largest error of the logarithm of a speed at which 0.6 and 1.0 can still be told apart.
const LARGEST_ERROR: f64 = 0.255;

/// Runs steps of five tasks on random workers, whose declared run times are wrong by a random factor,
/// and returns the share of workers whose speed is then known well enough.
fn known_after(steps: usize, error: f64, seed: u64) -> f64 {
    const WORKERS: usize = 48;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut speeds = vec![WorkerSpeed::default(); WORKERS];
    for _ in 0..steps {
        let declared = Duration::from_secs_f64(random.random_range(2.0..10.0));
        // The sum of uniform numbers stands for a normal one.
        let normal: f64 = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
        let work = declared.as_secs_f64() * (error * normal).exp();
        let workers: Vec<usize> = (0..5).map(|_| random.random_range(0..WORKERS)).collect();
        let mut pace = WorkEstimate::default();
        for second in 0..10u32 {
            for worker in &workers {
                let rate = SPEEDS[worker % 3] / work;
                let mark = |second: u32| ProgressSample {
                    at: Duration::from_secs(u64::from(second)),
                    percent: (rate * f64::from(second) * 100.0).min(100.0) as u32,
                };
                record_progress(
                    &mut pace,
                    &mut speeds[*worker],
                    declared,
                    mark(second),
                    mark(second + 1),
                );
            }
        }
    }
    let known = |(index, speed): &(usize, &WorkerSpeed)| {
        (speed.value() / SPEEDS[index % 3]).ln().abs() < LARGEST_ERROR
    };
    speeds.iter().enumerate().filter(known).count() as f64 / WORKERS as f64
}

/// Guards against urgent work on slow workers that are taken for faster ones because the newest step
/// there was declared wrongly.
#[test]
fn speeds_are_known_although_declared_times_are_wrong() {
    let mean = |steps: usize, error: f64| {
        (0..20).map(|seed| known_after(steps, error, seed)).sum::<f64>() / 20.0
    };
    let known = mean(200, 0.3);
    assert!(known >= 0.9, "{known} of the workers are known");
}

/// Guards against a worker that turned slow and is taken for a fast one for long.
#[test]
fn a_worker_that_turns_slow_is_noticed_within_three_reports() {
    let (mut pace, mut speed) = (WorkEstimate::default(), WorkerSpeed::default());
    let declared = Duration::from_secs(10);
    let mark =
        |second: u64, percent: u32| ProgressSample { at: Duration::from_secs(second), percent };
    for second in 0..30 {
        let mut other = WorkEstimate::default();
        record_progress(&mut other, &mut speed, declared, mark(second, 10), mark(second + 1, 20));
    }
    assert!((0.9..1.1).contains(&speed.value()), "{}", speed.value());
    for second in 0..3 {
        let from = 10 + 2 * second as u32;
        record_progress(
            &mut pace,
            &mut speed,
            declared,
            mark(2 * second, from),
            mark(2 * second + 2, from + 3),
        );
    }
    assert!(speed.value() < 0.67, "{}", speed.value());
}
