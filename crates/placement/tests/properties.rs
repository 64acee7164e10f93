//! Property tests over random sequences of events.

#[path = "support/scene.rs"]
mod scene;

use lacewingrail_model::job::{JobSpec, WorkClass};
use lacewingrail_model::shape::GangShape;
use lacewingrail_placement::ShapeGuarantee;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use scene::{DOMAIN, RACK, Scene, WORKER, entry, shape, spec};

/// Random sequences per run; fixed so that CI is repeatable and quick. A soak run sets
/// `LACEWINGRAIL_SEQUENCES`.
const SEQUENCES: u32 = 400;

#[derive(Clone, Debug)]
enum Event {
    Submit { customer: usize, shape: GangShape, class: WorkClass, cores: u32 },
    End(usize),
    Lose(usize),
    Restore(usize),
    Quarantine(usize),
    Guarantee(Vec<(usize, GangShape, u32, u32)>),
    Wait(u64),
    Confirm,
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
                // A few jobs take processors only.
                let processors = cores == 30 && shape.members % 2 == 0;
                let accelerators = if processors { 0 } else { shape.accelerators };
                let shape = GangShape { accelerators, ..shape };
                Event::Submit { customer, shape, class, cores }
            }),
        6 => any::<usize>().prop_map(Event::End),
        1 => any::<usize>().prop_map(Event::Lose),
        1 => any::<usize>().prop_map(Event::Restore),
        1 => any::<usize>().prop_map(Event::Quarantine),
        1 => guarantees.prop_map(Event::Guarantee),
        2 => (1..4_000_u64).prop_map(Event::Wait),
        3 => Just(Event::Confirm),
        1 => Just(Event::FailOver),
    ]
}

fn entries(raw: &[(usize, GangShape, u32, u32)]) -> Vec<ShapeGuarantee> {
    raw.iter()
        .map(|(customer, shape, count, precedence)| {
            entry(CUSTOMERS[*customer], *shape, *count, *precedence)
        })
        .collect()
}

fn apply(scene: &mut Scene, event: &Event) {
    match event {
        Event::Submit { customer, shape, class, cores } => {
            let spec = JobSpec { cores: *cores, ..spec(CUSTOMERS[*customer], *shape, *class) };
            scene.enqueue(spec);
            scene.settle();
        }
        Event::End(pick) => {
            let ids: Vec<String> = scene.running.keys().cloned().collect();
            if let Some(id) = ids.get(pick % ids.len().max(1)) {
                scene.end(id);
            }
        }
        Event::Lose(pick) => {
            let worker = scene.capacity.keys().nth(pick % scene.capacity.len()).cloned();
            scene.lose(&worker.expect("the scene has workers"));
        }
        Event::Restore(pick) => {
            let worker = scene.capacity.keys().nth(pick % scene.capacity.len()).cloned();
            scene.restore(&worker.expect("the scene has workers"));
        }
        Event::Quarantine(pick) => {
            let worker = scene.capacity.keys().nth(pick % scene.capacity.len()).cloned();
            scene.quarantine(&worker.expect("the scene has workers"));
        }
        Event::Guarantee(raw) => {
            scene.set_guarantees(entries(raw));
        }
        Event::Wait(seconds) => scene.wait(*seconds),
        Event::Confirm => scene.confirm_teardowns(),
        Event::FailOver => scene.fail_over(),
    }
}

/// Reclaims every unused guaranteed shape and checks that all start, beside each other and beside the
/// guaranteed gangs that run.
fn assert_reclaimable(scene: &Scene) {
    let mut scene = scene.clone();
    scene.confirm_teardowns();
    scene.slow_teardown = false;
    let protected: Vec<String> = scene
        .running
        .iter()
        .filter(|(id, _)| scene.planner.explain(id).contains("under a guarantee"))
        .map(|(id, _)| id.clone())
        .collect();
    let waiting: Vec<String> = scene.waiting.keys().cloned().collect();
    for id in waiting {
        scene.planner.remove(&id);
        scene.waiting.remove(&id);
    }
    let mut reclaimed = Vec::new();
    for status in scene.planner.guarantees() {
        for _ in 0..status.reclaimable {
            let spec = spec(&status.customer, status.shape, WorkClass::Normal);
            reclaimed.push(scene.enqueue(spec));
        }
    }
    scene.settle();
    for id in reclaimed.iter().chain(&protected) {
        assert!(scene.is_running(id), "{id} does not run: {}", scene.planner.explain(id));
    }
    for id in &reclaimed {
        assert!(scene.running[id].guaranteed, "{id} runs as a borrower");
    }
}

fn runner(sequences: u32) -> TestRunner {
    let soak = std::env::var("LACEWINGRAIL_SEQUENCES").ok().and_then(|text| text.parse().ok());
    let sequences = soak.unwrap_or(sequences);
    let config =
        ProptestConfig { cases: sequences, failure_persistence: None, ..Default::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// Guards against a plan that promises what cannot be reclaimed (I1), accelerators held twice, and
/// gangs that start in part or out of shape; the scene checks the last two after every decision.
#[test]
fn guarantees_stay_reclaimable() {
    let guarantees = prop::collection::vec((0..3_usize, any_shape(), 1..3_u32, 0..4_u32), 0..6);
    let events = prop::collection::vec(any_event(), 1..40);
    let inputs = (guarantees, events, any::<bool>());
    let result = runner(SEQUENCES).run(&inputs, |(guarantees, events, slow_teardown)| {
        let mut scene = Scene::new(&[&[8, 8, 8, 8, 8, 8], &[8, 8, 4, 4, 2, 0], &[8, 8, 8]]);
        scene.slow_teardown = slow_teardown;
        scene.set_guarantees(entries(&guarantees));
        for event in &events {
            apply(&mut scene, event);
            assert_reclaimable(&scene);
        }
        Ok(())
    });
    result.expect("every sequence keeps the guarantees");
}

/// Guards against starvation: whatever arrives before, a large gang and a slow job start while a
/// stream of small and urgent jobs, each of bounded length, goes on.
#[test]
fn nobody_starves() {
    let stream = prop::collection::vec((0..2_usize, any_shape(), 0..8_u32, 1..5_usize), 20..60);
    let result = runner(24).run(&stream, |stream| {
        let mut scene = Scene::new(&[&[8, 8, 8, 8], &[8, 4, 4]]);
        scene.set_guarantees(vec![entry("a", shape(1, 8, WORKER), 1, 1)]);
        let mut ends: Vec<(usize, String)> = Vec::new();
        let mut large = None;
        let mut slow = None;
        for step in 0..600_usize {
            let (customer, shape, urgent, length) = stream[step % stream.len()];
            let class = if urgent == 0 { WorkClass::Urgent } else { WorkClass::Normal };
            ends.push((step + length, scene.submit_class(CUSTOMERS[customer], shape, class)));
            if step == 5 {
                large = Some(scene.submit("c", scene::shape(4, 8, RACK)));
                let small = scene::shape(1, 2, WORKER);
                slow = Some(scene.submit_class("c", small, WorkClass::Slow));
            }
            // A job ends once its length has passed, if it runs; waiting jobs keep waiting.
            let due: Vec<String> =
                ends.iter().filter(|(at, _)| *at <= step).map(|(_, id)| id.clone()).collect();
            for id in due {
                if scene.is_running(&id) {
                    scene.end(&id);
                    ends.retain(|(_, other)| *other != id);
                }
            }
            scene.wait(120);
            for job in [&mut large, &mut slow] {
                let started = job.take_if(|id| scene.is_running(id));
                started.iter().for_each(|id| scene.end(id));
            }
            if step > 5 && large.is_none() && slow.is_none() {
                return Ok(());
            }
        }
        Err(TestCaseError::fail(format!("still waiting: {large:?} {slow:?}")))
    });
    result.expect("the large gang and the slow job start");
}
