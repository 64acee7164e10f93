//! Guards the simulated worker against overcommitted accelerators, tasks that run beyond their
//! lease, calls of a fenced scheduler and starts after their deadline.

use assert_matches::assert_matches;
use lacewingrail_model::worker::{
    MemberId, MemberPhase, RenewItem, ReserveRequest, WorkerError, WorkerSpec,
};
use lacewingrail_standins::worker_fleet::simulated_worker::SimulatedWorker;
use lacewingrail_standins::{AllocationRecord, EndReason, WorkerFaults, audit};
use proptest::prelude::*;
use std::time::Duration;

const START_MS: u64 = 1_000_000;

fn spec() -> WorkerSpec {
    WorkerSpec {
        id: "w".into(),
        domain: "d".into(),
        rack: "r".into(),
        accelerators: 8,
        cores: 64,
        memory_mb: 1_000,
        address: String::new(),
    }
}

fn member(job: &str, index: u32) -> MemberId {
    MemberId { job: job.into(), attempt: 1, index }
}

fn request(job: &str, accelerators: u32) -> ReserveRequest {
    ReserveRequest {
        member: member(job, 0),
        gang_members: 1,
        accelerators,
        cores: 1,
        memory_mb: 10,
        ttl_ms: 2_000,
        command: String::new(),
        work_ms: 60_000,
    }
}

fn run(worker: &mut SimulatedWorker, request: ReserveRequest, now_ms: u64) {
    let member = request.member.clone();
    worker.reserve(1, request, now_ms).unwrap();
    worker.commit(1, &member, 10_000, now_ms).unwrap();
    worker.start(1, &member, (2_000, None), now_ms).unwrap();
}

fn only_record(worker: &mut SimulatedWorker, now_ms: u64) -> AllocationRecord {
    let mut page = worker.journal(now_ms);
    assert_eq!(page.entries.len(), 1);
    page.entries.remove(0)
}

#[derive(Clone, Debug)]
enum Step {
    Reserve(u8, u32),
    Commit(u8),
    Start(u8),
    Renew(u8),
    Stop(u8),
    Unhealthy(u32),
    Restart,
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let job = 0..6_u8;
    prop::collection::vec(
        prop_oneof![
            4 => (job.clone(), 0..9_u32).prop_map(|(job, count)| Step::Reserve(job, count)),
            4 => job.clone().prop_map(Step::Commit),
            4 => job.clone().prop_map(Step::Start),
            2 => job.clone().prop_map(Step::Renew),
            1 => job.prop_map(Step::Stop),
            1 => (0..9_u32).prop_map(Step::Unhealthy),
            1 => Just(Step::Restart),
            4 => (0..6_000_u64).prop_map(Step::Wait),
        ],
        1..80,
    )
}

proptest! {
    /// Guards against overcommitment and runs beyond a lease in random sequences of calls and
    /// faults.
    #[test]
    fn random_calls_respect_limits(steps in steps()) {
        let mut worker = SimulatedWorker::new(spec(), 1.0, 0);
        let mut now_ms = START_MS;
        let mut renewed = std::collections::BTreeMap::new();
        for step in steps {
            match step {
                Step::Reserve(job, count) => {
                    let _ = worker.reserve(1, request(&job.to_string(), count), now_ms);
                }
                Step::Commit(job) => {
                    if worker.commit(1, &member(&job.to_string(), 0), 10_000, now_ms).is_ok() {
                        renewed.insert(job.to_string(), now_ms);
                    }
                }
                Step::Start(job) => {
                    let _ = worker.start(1, &member(&job.to_string(), 0), (1, None), now_ms);
                }
                Step::Renew(job) => {
                    let item = RenewItem { member: member(&job.to_string(), 0), ttl_ms: 99_000 };
                    worker.renew(1, &[item], now_ms).unwrap();
                    renewed.insert(job.to_string(), now_ms);
                }
                Step::Stop(job) => {
                    worker.stop(1, &member(&job.to_string(), 0), now_ms).unwrap();
                }
                Step::Unhealthy(unhealthy) => {
                    worker.set_faults(WorkerFaults { unhealthy, ..WorkerFaults::default() }, now_ms);
                }
                Step::Restart => worker.restart(false, now_ms),
                Step::Wait(by_ms) => now_ms += by_ms,
            }
            let report = worker.report(1, now_ms).unwrap();
            let holders = report.tasks.iter().filter(|task| task.phase <= MemberPhase::Running);
            let used: u32 = holders.map(|task| task.accelerators).sum();
            prop_assert!(used <= report.healthy_accelerators);
            for task in report.tasks.iter().filter(|task| task.phase == MemberPhase::Running) {
                prop_assert!(now_ms < renewed[&task.member.job] + 10_000);
            }
        }
        let records = worker.journal(now_ms).entries;
        prop_assert_eq!(audit::find_overcommits(&records, &[spec()], now_ms), Vec::<String>::new());
    }
}

/// Guards against a task that runs beyond its lease, and an end recorded later than the expiry.
#[test]
fn lease_expiry_stops_task_at_its_deadline() {
    let mut worker = SimulatedWorker::new(spec(), 1.0, 0);
    run(&mut worker, request("a", 8), START_MS);
    let item = RenewItem { member: member("a", 0), ttl_ms: 4_000 };
    worker.renew(1, &[item], START_MS + 8_000).unwrap();
    let record = only_record(&mut worker, START_MS + 500_000);
    assert_eq!(record.ended_ms, Some(START_MS + 12_000));
    assert_eq!((record.reason, record.progress_ms), (Some(EndReason::LeaseLapsed), 12_000));
}

/// Guards against reservations and committed members that never release their accelerators.
#[test]
fn unused_allocations_expire() {
    let mut worker = SimulatedWorker::new(spec(), 1.0, 0);
    worker.reserve(1, request("a", 8), START_MS).unwrap();
    let second = worker.reserve(1, request("b", 1), START_MS + 1_999);
    assert_matches!(second, Err(WorkerError::NoCapacity { .. }));
    worker.reserve(1, request("b", 8), START_MS + 2_000).unwrap();
    worker.commit(1, &member("b", 0), 10_000, START_MS + 2_000).unwrap();
    worker.reserve(1, request("c", 8), START_MS + 12_000).unwrap();
    let late = worker.start(1, &member("b", 0), (2_000, None), START_MS + 12_000);
    assert_eq!(late, Err(WorkerError::UnknownMember));
}

/// Guards against limits that only count accelerators.
#[test]
fn cores_and_memory_are_limits() {
    let mut worker = SimulatedWorker::new(spec(), 1.0, 0);
    let cores = ReserveRequest { cores: 65, ..request("a", 0) };
    assert_matches!(worker.reserve(1, cores, START_MS), Err(WorkerError::NoCapacity { .. }));
    let memory = ReserveRequest { memory_mb: u64::MAX, ..request("a", 0) };
    worker.reserve(1, request("b", 0), START_MS).unwrap();
    assert_matches!(worker.reserve(1, memory, START_MS), Err(WorkerError::NoCapacity { .. }));
}

/// Guards against calls of a fenced scheduler that take effect, also after a restart of the worker.
#[test]
fn lower_epochs_are_refused() {
    let mut worker = SimulatedWorker::new(spec(), 1.0, 0);
    worker.reserve(1, request("a", 1), START_MS).unwrap();
    worker.report(2, START_MS).unwrap();
    let stale = Err(WorkerError::StaleEpoch { seen: 2 });
    let member_id = member("a", 0);
    assert_eq!(worker.commit(1, &member_id, 10_000, START_MS), stale);
    assert_eq!(worker.start(1, &member_id, (2_000, None), START_MS), stale);
    assert_eq!(worker.stop(1, &member_id, START_MS), stale);
    assert_eq!(worker.reserve(1, request("b", 1), START_MS), stale);
    assert_eq!(worker.renew(1, &[], START_MS).map(drop), stale);
    worker.restart(false, START_MS);
    assert_eq!(worker.stop(1, &member_id, START_MS), stale);
    let report = worker.report(2, START_MS).unwrap();
    assert_eq!((report.incarnation, report.tasks.len()), (2, 0));
    assert_eq!(worker.counts().stale_epochs, 6);
}

/// Guards against a start after its deadline and a start of an uncommitted member.
#[test]
fn late_or_early_start_is_refused() {
    let mut worker = SimulatedWorker::new(spec(), 1.0, 0);
    let member_id = member("a", 0);
    worker.reserve(1, request("a", 1), START_MS).unwrap();
    let early = worker.start(1, &member_id, (2_000, None), START_MS);
    assert_eq!(early, Err(WorkerError::UnknownMember));
    worker.commit(1, &member_id, 10_000, START_MS).unwrap();
    for not_after in [(0, None), (2_000, Some(START_MS + 2_000))] {
        let late = worker.start(1, &member_id, not_after, START_MS + 2_001);
        assert_eq!(late, Err(WorkerError::PermissionExpired));
    }
    worker.start(1, &member_id, (2_000, Some(START_MS + 2_001)), START_MS + 2_001).unwrap();
    // A repeated start has no effect, both while the member runs and after it finished.
    worker.start(1, &member_id, (0, None), START_MS + 3_000).unwrap();
    assert_eq!(only_record(&mut worker, START_MS + 3_000).started_ms, Some(START_MS + 2_001));
}

/// Guards against progress that ignores speed and throttle, and against reports without the lag.
#[test]
fn work_follows_speed_and_reports_lag() {
    let mut worker = SimulatedWorker::new(spec(), 2.0, 1_000);
    run(&mut worker, ReserveRequest { work_ms: 12_000, ..request("a", 8) }, START_MS);
    let member_id = member("a", 0);
    let report = worker.report(1, START_MS + 500).unwrap();
    assert_eq!((report.tasks[0].progress_ms, report.tasks[0].usage), (0, 0.0));
    let report = worker.report(1, START_MS + 3_000).unwrap();
    assert_eq!(report.tasks[0].progress_ms, 4_000);
    assert!(report.tasks[0].usage >= 0.5);
    assert_eq!(worker.checkpoint(1, &member_id, START_MS + 3_000), Ok(6_000));
    worker.throttle(1, &member_id, 0.5, START_MS + 3_000).unwrap();
    let record = only_record(&mut worker, START_MS + 60_000);
    assert_eq!(record.ended_ms, Some(START_MS + 9_000));
    assert_eq!((record.reason, record.checkpoint_ms), (Some(EndReason::Finished), 6_000));
    let task_count = |worker: &mut SimulatedWorker, at| worker.report(1, at).unwrap().tasks.len();
    assert_eq!(task_count(&mut worker, START_MS + 68_999), 1);
    assert_eq!(task_count(&mut worker, START_MS + 69_000), 0);
}

/// Guards against faults that leave a task running or record a wrong reason.
#[test]
fn faults_end_tasks_with_their_reason() {
    let mut worker = SimulatedWorker::new(spec(), 1.0, 0);
    run(&mut worker, request("a", 4), START_MS);
    run(&mut worker, request("b", 4), START_MS + 1);
    worker.set_faults(WorkerFaults { unhealthy: 1, ..WorkerFaults::default() }, START_MS + 10);
    let report = worker.report(1, START_MS + 10).unwrap();
    let phases: Vec<_> = report.tasks.iter().map(|task| task.phase).collect();
    assert_eq!(phases, [MemberPhase::Running, MemberPhase::Failed]);
    worker.set_faults(WorkerFaults { dead: true, ..WorkerFaults::default() }, START_MS + 20);
    worker.set_faults(WorkerFaults::default(), START_MS + 30);
    let report = worker.report(1, START_MS + 30).unwrap();
    assert_eq!((report.incarnation, report.tasks.len()), (2, 0));
    let reasons: Vec<_> =
        worker.journal(START_MS + 30).entries.iter().map(|record| record.reason).collect();
    assert_eq!(reasons, [Some(EndReason::AcceleratorFailed), Some(EndReason::WorkerLost)]);

    let failing = WorkerFaults { fail_starts: true, ..WorkerFaults::default() };
    worker.set_faults(failing, START_MS + 40);
    worker.reserve(1, request("c", 8), START_MS + 40).unwrap();
    worker.commit(1, &member("c", 0), 10_000, START_MS + 40).unwrap();
    let failed = worker.start(1, &member("c", 0), (2_000, None), START_MS + 40);
    assert_matches!(failed, Err(WorkerError::StartFailed { .. }));
    worker.set_faults(WorkerFaults::default(), START_MS + 50);
    let command = "fail-after 500".to_owned();
    run(&mut worker, ReserveRequest { command, ..request("d", 8) }, START_MS + 50);
    let records = worker.journal(START_MS + 5_000).entries;
    let last = records.last().unwrap();
    assert_eq!((last.reason, last.ended_ms), (Some(EndReason::TaskFailed), Some(START_MS + 550)));
}

/// Guards against audit functions that miss a violation or report one in a valid run.
#[test]
fn audit_finds_violations() {
    let record = |worker: &str, attempt: u32, index: u32, run: (u64, u64)| AllocationRecord {
        worker: worker.into(),
        domain: "d".into(),
        rack: "r".into(),
        member: MemberId { job: "j".into(), attempt, index },
        gang_members: 2,
        accelerators: 8,
        epoch: 1,
        reserved_ms: run.0,
        committed_ms: Some(run.0),
        started_ms: Some(run.0),
        ended_ms: Some(run.1),
        reason: Some(EndReason::Stopped),
        progress_ms: 0,
        checkpoint_ms: 0,
    };
    let bound = Duration::from_secs(10);
    let valid = [
        record("w1", 1, 0, (0, 5_000)),
        record("w2", 1, 1, (5, 15_000)),
        record("w1", 2, 0, (15_000, 20_000)),
        record("w2", 2, 1, (15_000, 20_000)),
    ];
    assert!(audit::find_overlapping_runs(&valid, 99_000).is_empty());
    assert!(audit::find_partial_gangs(&valid, 99_000, bound).is_empty());
    let specs =
        [WorkerSpec { id: "w1".into(), ..spec() }, WorkerSpec { id: "w2".into(), ..spec() }];
    assert!(audit::find_overcommits(&valid, &specs, 99_000).is_empty());
    assert!(audit::find_late_starts(&valid, "d", 15_000, Duration::ZERO, 99_000).is_empty());

    let partial = [record("w1", 1, 0, (0, 5_000)), record("w2", 1, 1, (5, 15_001))];
    assert_eq!(audit::find_partial_gangs(&partial, 99_000, bound).len(), 1);
    let missing = [record("w1", 1, 0, (0, 10_001))];
    assert_eq!(audit::find_partial_gangs(&missing, 99_000, bound).len(), 1);
    let overlapping = [record("w1", 1, 0, (0, 5_000)), record("w1", 2, 1, (4_999, 9_000))];
    assert_eq!(audit::find_overlapping_runs(&overlapping, 99_000).len(), 1);
    assert_eq!(audit::find_overcommits(&overlapping, &specs, 99_000).len(), 1);
    let late = audit::find_late_starts(&overlapping, "d", 1_000, Duration::from_secs(3), 99_000);
    assert_eq!(late.len(), 1);
}
