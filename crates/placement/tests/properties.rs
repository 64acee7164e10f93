//! Property tests with random sequences of events.

#[path = "support/harness.rs"]
mod harness;

use harness::{DOMAIN, PlannerHarness, RACK, WORKER, guarantee, shape, spec};
use lacewingrail_model::job::{JobSpec, WorkClass};
use lacewingrail_model::shape::GangShape;
use lacewingrail_placement::ShapeGuarantee;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

/// Number of random sequences in one run, fixed so that CI is repeatable and quick. A soak run sets
/// another number with `LACEWINGRAIL_SEQUENCES`.
const SEQUENCES: u32 = 400;

#[derive(Clone, Debug)]
enum Event {
    Submit { customer: usize, shape: GangShape, class: WorkClass, cores: u32 },
    End(usize),
    Lose(usize),
    Restore(usize),
    Quarantine(usize),
    SetGuarantees(Vec<(usize, GangShape, u32, u32)>),
    Wait(u64),
    ConfirmTeardowns,
    FailOver,
}

const CUSTOMERS: [&str; 3] = ["a", "b", "c"];

fn any_shape() -> impl Strategy<Value = GangShape> {
    let adjacency = prop_oneof![Just(WORKER), Just(RACK), Just(DOMAIN)];
    let count = prop_oneof![Just(1_u32), Just(2), Just(4), Just(8), 1..=8_u32];
    (1..=6_u32, count, adjacency).prop_map(|(members, accelerators, adjacency)| {
        let members = if adjacency == WORKER { 1 + members % 2 } else { members };
        shape(members, accelerators, adjacency)
    })
}

fn any_event() -> impl Strategy<Value = Event> {
    let class = prop_oneof![
        4 => Just(WorkClass::Normal),
        1 => Just(WorkClass::Urgent),
        1 => Just(WorkClass::Slow)
    ];
    let guarantees = prop::collection::vec((0..3_usize, any_shape(), 1..3_u32, 0..4_u32), 0..5);
    prop_oneof![
        10 => (0..3_usize, any_shape(), class, prop_oneof![Just(1_u32), Just(8), Just(30)])
            .prop_map(|(customer, shape, class, cores)| {
                // A few jobs use no accelerators.
                let cpu_only = cores == 30 && shape.members % 2 == 0;
                let accelerators = if cpu_only { 0 } else { shape.accelerators };
                let shape = GangShape { accelerators, ..shape };
                Event::Submit { customer, shape, class, cores }
            }),
        6 => any::<usize>().prop_map(Event::End),
        1 => any::<usize>().prop_map(Event::Lose),
        1 => any::<usize>().prop_map(Event::Restore),
        1 => any::<usize>().prop_map(Event::Quarantine),
        1 => guarantees.prop_map(Event::SetGuarantees),
        2 => (1..4_000_u64).prop_map(Event::Wait),
        3 => Just(Event::ConfirmTeardowns),
        1 => Just(Event::FailOver),
    ]
}

fn guarantees_from(inputs: &[(usize, GangShape, u32, u32)]) -> Vec<ShapeGuarantee> {
    inputs
        .iter()
        .map(|(customer, shape, count, precedence)| {
            guarantee(CUSTOMERS[*customer], *shape, *count, *precedence)
        })
        .collect()
}

fn apply(harness: &mut PlannerHarness, event: &Event) {
    match event {
        Event::Submit { customer, shape, class, cores } => {
            let spec = JobSpec { cores: *cores, ..spec(CUSTOMERS[*customer], *shape, *class) };
            harness.enqueue(spec);
            harness.decide_all();
        }
        Event::End(index) => {
            let ids: Vec<String> = harness.running.keys().cloned().collect();
            if let Some(id) = ids.get(index % ids.len().max(1)) {
                harness.end(id);
            }
        }
        Event::Lose(index) => {
            let worker = harness.capacity.keys().nth(index % harness.capacity.len()).cloned();
            harness.lose(&worker.expect("the harness has workers"));
        }
        Event::Restore(index) => {
            let worker = harness.capacity.keys().nth(index % harness.capacity.len()).cloned();
            harness.restore(&worker.expect("the harness has workers"));
        }
        Event::Quarantine(index) => {
            let worker = harness.capacity.keys().nth(index % harness.capacity.len()).cloned();
            harness.quarantine(&worker.expect("the harness has workers"));
        }
        Event::SetGuarantees(inputs) => {
            harness.set_guarantees(guarantees_from(inputs));
        }
        Event::Wait(seconds) => harness.wait(*seconds),
        Event::ConfirmTeardowns => harness.confirm_teardowns(),
        Event::FailOver => harness.fail_over(),
    }
}

/// Reclaims all unused guaranteed shapes on a copy of the harness, and checks that all of them
/// start while the protected gangs keep running.
fn assert_reclaimable(harness: &PlannerHarness) {
    let mut harness = harness.clone();
    harness.confirm_teardowns();
    harness.slow_teardown = false;
    let protected: Vec<String> = harness
        .running
        .iter()
        .filter(|(id, _)| harness.planner.explain(id).contains("under a guarantee"))
        .map(|(id, _)| id.clone())
        .collect();
    let waiting: Vec<String> = harness.waiting.keys().cloned().collect();
    for id in waiting {
        harness.planner.remove(&id);
        harness.waiting.remove(&id);
    }
    let mut reclaimed = Vec::new();
    for status in harness.planner.guarantees() {
        for _ in 0..status.reclaimable {
            let spec = spec(&status.customer, status.shape, WorkClass::Normal);
            reclaimed.push(harness.enqueue(spec));
        }
    }
    harness.decide_all();
    for id in reclaimed.iter().chain(&protected) {
        assert!(harness.is_running(id), "{id} does not run: {}", harness.planner.explain(id));
    }
    for id in &reclaimed {
        assert!(harness.running[id].guaranteed, "{id} runs as a borrower");
    }
}

fn runner(sequences: u32) -> TestRunner {
    let soak = std::env::var("LACEWINGRAIL_SEQUENCES").ok().and_then(|text| text.parse().ok());
    let sequences = soak.unwrap_or(sequences);
    let config =
        ProptestConfig { cases: sequences, failure_persistence: None, ..Default::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// Guards against guarantees that can't be reclaimed (`InvariantName::GuaranteeReclaimable`),
/// accelerators held twice, and gangs that start incomplete or in another shape. The harness checks
/// the last two after every decision.
#[test]
fn guarantees_stay_reclaimable() {
    let guarantees = prop::collection::vec((0..3_usize, any_shape(), 1..3_u32, 0..4_u32), 0..6);
    let events = prop::collection::vec(any_event(), 1..40);
    let inputs = (guarantees, events, any::<bool>());
    let result = runner(SEQUENCES).run(&inputs, |(guarantees, events, slow_teardown)| {
        let mut harness =
            PlannerHarness::new(&[&[8, 8, 8, 8, 8, 8], &[8, 8, 4, 4, 2, 0], &[8, 8, 8]]);
        harness.slow_teardown = slow_teardown;
        harness.set_guarantees(guarantees_from(&guarantees));
        for event in &events {
            apply(&mut harness, event);
            assert_reclaimable(&harness);
        }
        Ok(())
    });
    result.expect("every sequence keeps the guarantees");
}

/// Guards against starvation: a large gang and a slow job must start while other jobs, some of them
/// urgent and each of bounded length, keep arriving.
#[test]
fn large_and_slow_jobs_never_starve() {
    let stream = prop::collection::vec((0..2_usize, any_shape(), 0..8_u32, 1..5_usize), 20..60);
    let result = runner(24).run(&stream, |stream| {
        let mut harness = PlannerHarness::new(&[&[8, 8, 8, 8], &[8, 4, 4]]);
        harness.set_guarantees(vec![guarantee("a", shape(1, 8, WORKER), 1, 1)]);
        let mut ends: Vec<(usize, String)> = Vec::new();
        let mut large = None;
        let mut slow = None;
        for step in 0..600_usize {
            let (customer, shape, urgent, length) = stream[step % stream.len()];
            let class = if urgent == 0 { WorkClass::Urgent } else { WorkClass::Normal };
            ends.push((step + length, harness.submit_class(CUSTOMERS[customer], shape, class)));
            if step == 5 {
                large = Some(harness.submit("c", harness::shape(4, 8, RACK)));
                let small = harness::shape(1, 2, WORKER);
                slow = Some(harness.submit_class("c", small, WorkClass::Slow));
            }
            // A running job ends once its length has passed since its submission; waiting jobs
            // stay.
            let due: Vec<String> =
                ends.iter().filter(|(at, _)| *at <= step).map(|(_, id)| id.clone()).collect();
            for id in due {
                if harness.is_running(&id) {
                    harness.end(&id);
                    ends.retain(|(_, other)| *other != id);
                }
            }
            harness.wait(120);
            for job in [&mut large, &mut slow] {
                let started = job.take_if(|id| harness.is_running(id));
                started.iter().for_each(|id| harness.end(id));
            }
            if step > 5 && large.is_none() && slow.is_none() {
                return Ok(());
            }
        }
        Err(TestCaseError::fail(format!("still waiting: {large:?} {slow:?}")))
    });
    result.expect("the large gang and the slow job start");
}
