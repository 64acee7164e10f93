//! Reconciliation of job records and worker reports after a takeover.

use std::sync::Arc;
use std::time::Instant;

use lacewingrail_model::job::{JobRecord, JobState, WorkClass};
use lacewingrail_model::shape::{AdjacencyLevel, GangShape};
use lacewingrail_model::worker::{MemberId, MemberPhase, TaskReport, WorkerReport, WorkerSpec};
use lacewingrail_scheduler::rebuild::{RebuildPlan, WorkerAnswer, plan_rebuild};
use proptest::prelude::*;

const PHASES: [MemberPhase; 6] = [
    MemberPhase::Reserved,
    MemberPhase::Committed,
    MemberPhase::Running,
    MemberPhase::Finished,
    MemberPhase::Failed,
    MemberPhase::Stopped,
];

fn record(attempt: u32, state: JobState) -> (JobRecord, u64) {
    let spec = serde_json::json!({
        "customer": "bank",
        "shape": GangShape { members: 2, accelerators: 8, adjacency: AdjacencyLevel::Domain },
        "class": WorkClass::Normal,
        "declared_ms": 1000,
    });
    let record = serde_json::json!({
        "id": "job-1", "spec": spec, "state": state, "owner": "a", "attempt": attempt, "epoch": 1,
        "checkpoint_ms": 0, "preemptions": 0, "submitted_at": 0, "started_at": null,
        "ended_at": null, "mark": "m",
    });
    (serde_json::from_value(record).expect("a record"), 7)
}

/// Returns the answer of one worker for each member; `None` as a phase means that the worker does
/// not know the member.
fn answers(
    attempt: u32,
    phases: &[Option<MemberPhase>],
    silent: Option<usize>,
) -> Vec<WorkerAnswer> {
    let answer = |(index, phase): (usize, &Option<MemberPhase>)| {
        let number = u32::try_from(index).expect("a small index");
        let task = |phase: MemberPhase| TaskReport {
            member: MemberId { job: "job-1".to_owned(), attempt, index: number },
            gang_members: 2,
            phase,
            accelerators: 8,
            progress_ms: 0,
            checkpoint_ms: 0,
            usage: 0.0,
            failure: None,
        };
        let report = WorkerReport {
            worker: format!("w{index}"),
            epoch: 2,
            incarnation: 1,
            healthy_accelerators: 8,
            tasks: phase.map(task).into_iter().collect(),
        };
        let spec = WorkerSpec {
            id: format!("w{index}"),
            domain: "a".to_owned(),
            rack: "r".to_owned(),
            accelerators: 8,
            cores: 8,
            memory_mb: 8,
            address: String::new(),
        };
        let report = (silent != Some(index)).then_some(report);
        WorkerAnswer { spec: Arc::new(spec), sent: Instant::now(), report }
    };
    phases.iter().enumerate().map(answer).collect()
}

/// Returns the number of times that the plan contains the job.
fn handled_count(plan: &RebuildPlan) -> usize {
    plan.adopted.len() + plan.waiting.len() + plan.ended.len() + plan.foreign.len()
}

proptest! {
    /// Guards against combinations of a record and reports in which a job is lost, handled twice,
    /// adopted although its gang is partial, or started while a member may still run.
    #[test]
    fn every_combination_is_handled_once(
        recorded in 0_u32..4,
        running in any::<bool>(),
        seen in 1_u32..4,
        first in prop::option::of(prop::sample::select(&PHASES[..])),
        second in prop::option::of(prop::sample::select(&PHASES[..])),
        silent in prop::option::of(0_usize..2),
        starts_recorded in any::<bool>(),
    ) {
        let state = if running { JobState::Running } else { JobState::Queued };
        let phases = [first, second];
        let plan = plan_rebuild(
            &"a".to_owned(),
            Some(vec![record(recorded, state)]),
            &answers(seen, &phases, silent),
            starts_recorded,
        );
        prop_assert_eq!(handled_count(&plan), 1);
        let visible: Vec<MemberPhase> = phases
            .iter()
            .enumerate()
            .filter(|(index, _)| silent != Some(*index))
            .filter_map(|(_, phase)| *phase)
            .collect();
        let holds_accelerators = |phase: &&MemberPhase| {
            [MemberPhase::Reserved, MemberPhase::Committed, MemberPhase::Running].contains(phase)
        };
        let holding = visible.iter().filter(holds_accelerators).count();
        for gang in &plan.adopted {
            prop_assert_eq!(visible.len(), 2, "an adopted gang is complete");
            prop_assert!(gang.plan.attempt >= recorded);
            prop_assert!(!visible.contains(&MemberPhase::Reserved));
            prop_assert!(!visible.contains(&MemberPhase::Failed));
            prop_assert!(!visible.contains(&MemberPhase::Stopped));
        }
        for (stored_job, leftovers) in &plan.waiting {
            let stopped = leftovers.as_ref().map_or(0, |plan| plan.members.len());
            prop_assert_eq!(stopped, holding, "every member that holds accelerators is stopped");
            prop_assert!(stored_job.record.attempt >= recorded);
            prop_assert!(stored_job.may_be_running || silent.is_none() || (starts_recorded && !running));
            prop_assert!(visible.is_empty() || stored_job.record.attempt >= seen);
        }
        for stored_job in &plan.ended {
            prop_assert_eq!(&stored_job.record.state, &JobState::Finished);
            prop_assert_eq!(&visible, &[MemberPhase::Finished, MemberPhase::Finished]);
        }
    }
}

/// Guards against starts in renew-only mode: a gang of which not all members run is stopped.
#[test]
fn renew_only_mode_adopts_only_running_gangs() {
    let complete = [Some(MemberPhase::Running), Some(MemberPhase::Finished)];
    let plan = plan_rebuild(&"a".to_owned(), None, &answers(1, &complete, None), false);
    assert_eq!((plan.adopted.len(), plan.orphans.len()), (1, 0));
    let committed = [Some(MemberPhase::Running), Some(MemberPhase::Committed)];
    let plan = plan_rebuild(&"a".to_owned(), None, &answers(1, &committed, None), false);
    assert_eq!((plan.adopted.len(), plan.orphans.len()), (0, 2));
}
