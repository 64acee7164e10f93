//! Property tests: no task runs twice or too often and no job is lost, whenever schedulers change and
//! whatever becomes of their orders.

use std::time::Duration;

use lacewingrail_fleet::spec::JobSchedule;
use lacewingrail_fleet::{EndReason, JobKey, JobSubmission, StepSpec};
use proptest::prelude::*;

use crate::harness::{settings, step, submission};
use crate::world::{OrderFate, World};

/// Number of random sequences in one run, fixed so that CI is repeatable and quick. A longer search
/// sets another number with `LACEWINGRAIL_SEQUENCES`, and a seed with `PROPTEST_RNG_SEED`.
const SEQUENCES: u32 = 1000;
/// Number of workers.
const WORKERS: usize = 3;
/// Maximum number of events in a sequence.
const MAX_EVENTS: usize = 60;
/// Maximum number of events in a sequence with restarts.
const MAX_RESTART_EVENTS: usize = 120;

/// Job that is submitted.
#[derive(Clone, Copy, Debug)]
enum JobKind {
    /// One step of separate tasks.
    Plain { tasks: u32 },
    /// A step of tasks, and one that depends on it.
    Chain { tasks: u32 },
    /// A gang.
    Gang { tasks: u32 },
    /// Occurrences that overlap.
    Recurring { times: u32, due: Duration },
}

/// Event that a sequence consists of.
#[derive(Clone, Debug)]
enum WorldEvent {
    Submit(JobKind),
    Run(u32),
    Plan(Duration),
    ExecuteOrders(Vec<(usize, OrderFate)>),
    Write,
    TellChanges,
    EndRuns { worker: usize, count: usize, reason: EndReason },
    ChangeScheduler,
    KillScheduler,
    ExecuteLateOrders,
    LoseHistory,
    SetStoreDown(bool),
    SetSilent { worker: usize, silent: bool },
    SetHidden { worker: usize, hidden: bool },
    Restart { worker: usize },
}

fn any_kind() -> impl Strategy<Value = JobKind> {
    prop_oneof![
        2 => (1..12_u32).prop_map(|tasks| JobKind::Plain { tasks }),
        1 => (1..5_u32).prop_map(|tasks| JobKind::Chain { tasks }),
        2 => (2..6_u32).prop_map(|tasks| JobKind::Gang { tasks }),
        2 => (1..6_u32, 0..8000_u64).prop_map(|(times, due_ms)| {
            JobKind::Recurring { times, due: Duration::from_millis(due_ms) }
        }),
    ]
}

/// Returns a kind of job that a single worker can run.
fn any_small_kind() -> impl Strategy<Value = JobKind> {
    prop_oneof![
        2 => (1..4_u32).prop_map(|tasks| JobKind::Plain { tasks }),
        1 => Just(JobKind::Gang { tasks: 2 }),
        3 => (1..6_u32, 0..2000_u64).prop_map(|(times, due_ms)| {
            JobKind::Recurring { times, due: Duration::from_millis(due_ms) }
        }),
    ]
}

fn any_fate() -> impl Strategy<Value = OrderFate> {
    prop_oneof![
        6 => Just(OrderFate::Answered),
        1 => Just(OrderFate::AnswerLost),
        1 => Just(OrderFate::Lost),
        1 => Just(OrderFate::Late),
    ]
}

fn any_event() -> impl Strategy<Value = WorldEvent> {
    let reason = prop_oneof![3 => Just(EndReason::Done), 1 => Just(EndReason::Failed)];
    let orders = prop::collection::vec((any::<usize>(), any_fate()), 1..12);
    let worker = 0..WORKERS;
    prop_oneof![
        4 => any_kind().prop_map(WorldEvent::Submit),
        6 => (1..20_u32).prop_map(WorldEvent::Run),
        6 => (1..400_u64).prop_map(|ms| WorldEvent::Plan(Duration::from_millis(ms))),
        6 => orders.prop_map(WorldEvent::ExecuteOrders),
        3 => Just(WorldEvent::Write),
        2 => Just(WorldEvent::TellChanges),
        6 => (worker.clone(), 1..12_usize, reason)
            .prop_map(|(worker, count, reason)| WorldEvent::EndRuns { worker, count, reason }),
        4 => Just(WorldEvent::ChangeScheduler),
        1 => Just(WorldEvent::KillScheduler),
        2 => Just(WorldEvent::ExecuteLateOrders),
        2 => Just(WorldEvent::LoseHistory),
        2 => any::<bool>().prop_map(WorldEvent::SetStoreDown),
        2 => (worker.clone(), any::<bool>())
            .prop_map(|(worker, silent)| WorldEvent::SetSilent { worker, silent }),
        2 => (worker.clone(), any::<bool>())
            .prop_map(|(worker, hidden)| WorldEvent::SetHidden { worker, hidden }),
        1 => worker.prop_map(|worker| WorldEvent::Restart { worker }),
    ]
}

/// Returns an event of a sequence in which one of two workers restarts often while calls to it are under
/// way, and the list of workers, which would show the restart, is rarely read.
fn any_event_of_restarts() -> impl Strategy<Value = WorldEvent> {
    let reason = prop_oneof![3 => Just(EndReason::Done), 1 => Just(EndReason::Failed)];
    let orders = prop::collection::vec((any::<usize>(), any_fate()), 1..5);
    prop_oneof![
        3 => any_small_kind().prop_map(WorldEvent::Submit),
        1 => (1..3_u32).prop_map(WorldEvent::Run),
        8 => (1..60_u64).prop_map(|ms| WorldEvent::Plan(Duration::from_millis(ms))),
        10 => orders.prop_map(WorldEvent::ExecuteOrders),
        5 => Just(WorldEvent::Write),
        2 => Just(WorldEvent::TellChanges),
        5 => (1..3_usize, reason)
            .prop_map(|(count, reason)| WorldEvent::EndRuns { worker: 0, count, reason }),
        2 => Just(WorldEvent::ExecuteLateOrders),
        2 => Just(WorldEvent::Restart { worker: 0 }),
        1 => any::<bool>().prop_map(|silent| WorldEvent::SetSilent { worker: 0, silent }),
        1 => (700..9000_u64).prop_map(|ms| WorldEvent::Plan(Duration::from_millis(ms))),
    ]
}

fn job(key: JobKey, kind: JobKind, now: Duration) -> JobSubmission {
    match kind {
        JobKind::Plain { tasks } => submission(key, "normal", vec![step(tasks, 1)]),
        JobKind::Chain { tasks } => {
            let second = StepSpec { after: vec![0], ..step(tasks, 1) };
            submission(key, "normal", vec![step(tasks, 1), second])
        }
        JobKind::Gang { tasks } => {
            let gang = StepSpec { gang: true, ..step(tasks, 3) };
            submission(key, "normal", vec![gang])
        }
        JobKind::Recurring { times, due } => {
            // Up to half of the occurrences are due at once.
            let period = Duration::from_secs(1);
            let first_due = now + due - period * (times / 2);
            let first_unix_ms = settings(1).unix_origin_ms + first_due.as_millis() as u64;
            let mut submission = submission(key, "normal", vec![step(2, 1)]);
            submission.spec.schedule = Some(JobSchedule { first_unix_ms, period, times });
            submission
        }
    }
}

fn apply_event(world: &mut World, key: JobKey, event: WorldEvent) {
    match event {
        WorldEvent::Submit(kind) => world.submit(job(key, kind, world.now)),
        WorldEvent::Run(passes) => world.run(passes),
        WorldEvent::Plan(elapsed) => world.plan(elapsed),
        WorldEvent::ExecuteOrders(orders) => {
            orders.into_iter().for_each(|(index, fate)| world.execute_order(index, fate));
        }
        WorldEvent::Write => world.write(),
        WorldEvent::TellChanges => world.tell_changes(),
        WorldEvent::EndRuns { worker, count, reason } => world.end_runs(worker, count, reason),
        WorldEvent::ChangeScheduler => {
            world.kill_scheduler();
            world.elect();
        }
        WorldEvent::KillScheduler => world.kill_scheduler(),
        WorldEvent::ExecuteLateOrders => world.execute_late_orders(),
        WorldEvent::LoseHistory => world.lose_history(),
        WorldEvent::SetStoreDown(down) => world.set_store_down(down),
        WorldEvent::SetSilent { worker, silent } => world.set_silent(worker, silent),
        WorldEvent::SetHidden { worker, hidden } => world.set_hidden(worker, hidden),
        WorldEvent::Restart { worker } => world.restart(worker),
    }
}

fn sequences() -> u32 {
    let number = std::env::var("LACEWINGRAIL_SEQUENCES").ok().and_then(|text| text.parse().ok());
    number.unwrap_or(SEQUENCES)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: sequences(), ..ProptestConfig::default() })]

    /// A change of scheduler must neither run a task twice nor lose a job, at any moment.
    #[test]
    fn changes_of_scheduler_lose_and_repeat_nothing(
        events in prop::collection::vec(any_event(), 1..MAX_EVENTS)
    ) {
        let mut world = World::new(WORKERS);
        world.elect();
        for (index, event) in events.into_iter().enumerate() {
            apply_event(&mut world, index as JobKey + 1, event);
        }
        world.settle_and_check();
    }

    /// A call that takes effect late, or in another incarnation than was meant, must neither run a
    /// task twice nor lose a job (review case 6).
    #[test]
    fn restarts_amid_calls_lose_and_repeat_nothing(
        events in prop::collection::vec(any_event_of_restarts(), 1..MAX_RESTART_EVENTS)
    ) {
        let mut world = World::new(2);
        world.elect();
        world.run(2);
        for (index, event) in events.into_iter().enumerate() {
            apply_event(&mut world, index as JobKey + 1, event);
        }
        world.settle_and_check();
    }
}
