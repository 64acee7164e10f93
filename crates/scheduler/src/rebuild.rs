//! Reconciliation of the job records with the workers' reports after a takeover.
//!
//! [`plan_rebuild`] is a pure function, so that every combination can be tested. It adopts a
//! complete gang of the newest attempt and stops everything else on the workers. A job that may
//! still run on a worker that did not answer has to wait until its leases there have certainly
//! expired.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use lacewingrail_model::job::{JobRecord, JobState};
use lacewingrail_model::store::Revision;
use lacewingrail_model::worker::{MemberId, MemberPhase, TaskReport, WorkerReport, WorkerSpec};
use lacewingrail_model::{DomainName, JobId};

use crate::gang::{GangPlan, PlannedMember};
use crate::worker_controller::PROBE_PREFIX;

/// Answer of one worker to the rebuild.
#[derive(Clone, Debug)]
pub struct WorkerAnswer {
    /// Worker that was called.
    pub spec: Arc<WorkerSpec>,
    /// Send time of the last call.
    pub sent: Instant,
    /// Report of the worker; `None` if it did not answer.
    pub report: Option<WorkerReport>,
}

/// Actions that bring the controllers and the workers into line with the records.
#[derive(Debug, Default)]
pub struct RebuildPlan {
    /// Complete gangs that continue under the new epoch.
    pub adopted: Vec<AdoptedGang>,
    /// Jobs to queue, each with the members of earlier attempts that must be stopped first.
    pub waiting: Vec<(StoredJob, Option<GangPlan>)>,
    /// Jobs whose gang finished while no scheduler was active, and jobs in a final state.
    pub ended: Vec<StoredJob>,
    /// Jobs whose record names another failure domain as the owner.
    pub foreign: Vec<StoredJob>,
    /// Members to stop that no job waits for.
    pub orphans: Vec<(Arc<WorkerSpec>, MemberId)>,
}

/// Job record that the rebuild found in the store.
#[derive(Clone, Debug)]
pub struct StoredJob {
    /// Job record; its attempt is raised to the newest one seen on a worker.
    pub record: JobRecord,
    /// Revision of the stored record.
    pub revision: Revision,
    /// Whether the job may run on a worker that did not answer.
    pub may_be_running: bool,
}

/// Complete gang that continues under the new epoch.
#[derive(Clone, Debug)]
pub struct AdoptedGang {
    /// Job record; `None` in renew-only mode.
    pub stored_job: Option<StoredJob>,
    /// Plan rebuilt from the reports; its resources and command are empty without a record.
    pub plan: GangPlan,
    /// Report of each member and the send time of the call that returned it.
    pub reports: Vec<(TaskReport, Instant)>,
    /// Whether committed members still have to be started.
    pub resume: bool,
}

type AttemptKey = (JobId, u32);

struct ReportedMember {
    spec: Arc<WorkerSpec>,
    sent: Instant,
    task: TaskReport,
}

/// Plans what to do with the records and the reports.
///
/// `starts_recorded` tells whether every gang which may still run was recorded before its start.
/// This holds unless the former scheduler started gangs during a store outage. If `records` is
/// `None`, the scheduler is in renew-only mode and adopts every complete gang that runs.
pub fn plan_rebuild(
    domain: &DomainName,
    records: Option<Vec<(JobRecord, Revision)>>,
    answers: &[WorkerAnswer],
    starts_recorded: bool,
) -> RebuildPlan {
    let mut plan = RebuildPlan::default();
    let mut attempts = group_by_attempt(answers);
    let unreachable = answers.iter().any(|answer| answer.report.is_none());
    let Some(records) = records else {
        let complete = attempts.extract_if(.., |_, members| is_complete(members, false));
        plan.adopted = complete.map(|(key, members)| build_gang(key, members, None)).collect();
        plan.orphans = collect_orphans(attempts);
        return plan;
    };
    for (mut record, revision) in records {
        if record.owner != *domain {
            plan.foreign.push(StoredJob { record, revision, may_be_running: false });
            continue;
        }
        if record.state.is_final() {
            plan.ended.push(StoredJob { record, revision, may_be_running: false });
            continue;
        }
        let seen = attempts.keys().filter(|(job, _)| *job == record.id).map(|(_, number)| *number);
        let newest = seen.max();
        let running = record.state == JobState::Running;
        // The attempt of a queued record has ended or is being stopped; its members are leftovers.
        let candidate = newest
            .filter(|newest| *newest > record.attempt || (*newest == record.attempt && running));
        record.attempt = record.attempt.max(newest.unwrap_or(0));
        let key = candidate.map(|number| (record.id.clone(), number));
        let members = key.as_ref().and_then(|key| attempts.get(key));
        if members.is_some_and(|members| is_complete_in_phases(members, &[MemberPhase::Finished])) {
            key.as_ref().map(|key| attempts.remove(key));
            record.state = JobState::Finished;
            plan.ended.push(StoredJob { record, revision, may_be_running: false });
            continue;
        }
        if members.is_some_and(|members| is_complete(members, true))
            && let Some(key) = key
            && let Some(members) = attempts.remove(&key)
        {
            record.state = JobState::Running;
            let stored_job = StoredJob { record, revision, may_be_running: false };
            plan.adopted.push(build_gang(key, members, Some(stored_job)));
            continue;
        }
        let may_be_running = unreachable && (running || !starts_recorded);
        record.state = JobState::Queued;
        let leftovers: Vec<_> = attempts.extract_if(.., |(job, _), _| *job == record.id).collect();
        let leftovers =
            leftovers.into_iter().flat_map(|(_, members)| members).filter(holds_accelerators);
        let leftovers = leftover_plan(&record, leftovers.collect());
        plan.waiting.push((StoredJob { record, revision, may_be_running }, leftovers));
    }
    plan.orphans = collect_orphans(attempts);
    plan
}

/// Returns the plan of members to stop before a job may start again; `None` if there are none.
fn leftover_plan(record: &JobRecord, members: Vec<ReportedMember>) -> Option<GangPlan> {
    let key = (record.id.clone(), record.attempt);
    (!members.is_empty()).then(|| build_gang(key, members, None).plan)
}

fn group_by_attempt(answers: &[WorkerAnswer]) -> BTreeMap<AttemptKey, Vec<ReportedMember>> {
    let mut attempts: BTreeMap<AttemptKey, Vec<ReportedMember>> = BTreeMap::new();
    for answer in answers {
        let tasks = answer.report.iter().flat_map(|report| &report.tasks);
        for task in tasks.filter(|task| !task.member.job.starts_with(PROBE_PREFIX)) {
            let key = (task.member.job.clone(), task.member.attempt);
            let (spec, sent) = (answer.spec.clone(), answer.sent);
            attempts.entry(key).or_default().push(ReportedMember {
                spec,
                sent,
                task: task.clone(),
            });
        }
    }
    attempts
}

/// Returns whether all members exist and have committed, run or finished.
///
/// Committed members count only with `allow_committed`, because their starts still have to be sent.
fn is_complete(members: &[ReportedMember], allow_committed: bool) -> bool {
    let running = [MemberPhase::Running, MemberPhase::Finished];
    let committed = [MemberPhase::Committed, MemberPhase::Running, MemberPhase::Finished];
    is_complete_in_phases(members, if allow_committed { &committed } else { &running })
}

fn is_complete_in_phases(members: &[ReportedMember], phases: &[MemberPhase]) -> bool {
    let Some(first) = members.first() else {
        return false;
    };
    let indices: std::collections::BTreeSet<u32> =
        members.iter().map(|member| member.task.member.index).collect();
    let count = usize::try_from(first.task.gang_members).unwrap_or(usize::MAX);
    members.len() == count
        && indices.len() == count
        && members.iter().all(|member| phases.contains(&member.task.phase))
}

/// Builds a gang from its reported members; leftovers need not be a complete gang.
fn build_gang(
    key: AttemptKey,
    mut members: Vec<ReportedMember>,
    stored_job: Option<StoredJob>,
) -> AdoptedGang {
    members.sort_by_key(|member| member.task.member.index);
    let resume = members.iter().any(|member| member.task.phase == MemberPhase::Committed);
    let spec = stored_job.as_ref().map(|stored_job| &stored_job.record.spec);
    let plan = GangPlan {
        job: key.0,
        attempt: key.1,
        members: members
            .iter()
            .map(|member| PlannedMember {
                id: member.task.member.clone(),
                worker: member.spec.clone(),
                accelerators: member.task.accelerators,
            })
            .collect(),
        cores: spec.map_or(0, |spec| spec.cores),
        memory_mb: spec.map_or(0, |spec| spec.memory_mb),
        command: spec.map(|spec| spec.command.clone()).unwrap_or_default(),
        work_ms: stored_job.as_ref().map_or(0, |stored_job| {
            stored_job.record.spec.declared_ms.saturating_sub(stored_job.record.checkpoint_ms)
        }),
    };
    let reports = members.into_iter().map(|member| (member.task, member.sent)).collect();
    AdoptedGang { stored_job, plan, reports, resume }
}

fn collect_orphans(
    attempts: BTreeMap<AttemptKey, Vec<ReportedMember>>,
) -> Vec<(Arc<WorkerSpec>, MemberId)> {
    let members = attempts.into_values().flatten().filter(holds_accelerators);
    members.map(|member| (member.spec, member.task.member)).collect()
}

fn holds_accelerators(member: &ReportedMember) -> bool {
    let phase = member.task.phase;
    matches!(phase, MemberPhase::Reserved | MemberPhase::Committed | MemberPhase::Running)
}
