//! What a new active scheduler makes of the job records and the workers' reports.
//!
//! The function is pure, so that every combination can be tested. A whole gang of the newest attempt
//! is adopted; everything else on the workers is stopped. A job that may still run on a worker that
//! did not answer has to wait until its leases there have surely lapsed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use lacewingrail_model::job::{JobRecord, JobState};
use lacewingrail_model::store::Revision;
use lacewingrail_model::worker::{MemberId, MemberPhase, TaskReport, WorkerReport, WorkerSpec};
use lacewingrail_model::{DomainName, JobId};

use crate::gang::{GangPlan, PlannedMember};
use crate::worker_controller::PROBE_PREFIX;

/// Holds the answer of one worker.
#[derive(Clone, Debug)]
pub struct WorkerAnswer {
    /// Worker.
    pub spec: Arc<WorkerSpec>,
    /// When the call was sent.
    pub sent: Instant,
    /// Report, or nothing if the worker did not answer.
    pub report: Option<WorkerReport>,
}

/// Says what to do with what was found.
#[derive(Debug, Default)]
pub struct RebuildPlan {
    /// Gangs to adopt.
    pub adopted: Vec<AdoptedGang>,
    /// Jobs that wait, each with the members of earlier attempts that must be stopped first.
    pub waiting: Vec<(FoundJob, Option<GangPlan>)>,
    /// Jobs whose gang finished while nobody watched, and jobs that are final already.
    pub ended: Vec<FoundJob>,
    /// Jobs that belong to another failure domain by their record.
    pub foreign: Vec<FoundJob>,
    /// Members to stop that no waiting job depends on.
    pub orphans: Vec<(Arc<WorkerSpec>, MemberId)>,
}

/// Holds a job record as found.
#[derive(Clone, Debug)]
pub struct FoundJob {
    /// Record; its attempt covers every attempt seen on a worker.
    pub record: JobRecord,
    /// Revision of the stored record.
    pub revision: Revision,
    /// Whether the job may run on a worker that did not answer.
    pub may_be_running: bool,
}

/// Holds a gang to adopt.
#[derive(Clone, Debug)]
pub struct AdoptedGang {
    /// Record; nothing in renew-only mode.
    pub found: Option<FoundJob>,
    /// Plan as far as the workers tell.
    pub plan: GangPlan,
    /// Report of each member, and when it was asked for.
    pub reports: Vec<(TaskReport, Instant)>,
    /// Whether members that are committed are still to be started.
    pub resume: bool,
}

type AttemptKey = (JobId, u32);

struct FoundMember {
    spec: Arc<WorkerSpec>,
    sent: Instant,
    task: TaskReport,
}

/// Sorts out what was found.
///
/// `trust_queued` states that no gang can have been started without its record saying so, which
/// holds unless the former scheduler worked through an outage of the store. Without `records` the
/// scheduler is in renew-only mode and adopts every whole gang that runs.
pub fn plan_rebuild(
    domain: &DomainName,
    records: Option<Vec<(JobRecord, Revision)>>,
    answers: &[WorkerAnswer],
    trust_queued: bool,
) -> RebuildPlan {
    let mut plan = RebuildPlan::default();
    let mut attempts = group_by_attempt(answers);
    let unreachable = answers.iter().any(|answer| answer.report.is_none());
    let Some(records) = records else {
        let whole = attempts.extract_if(.., |_, members| is_complete(members, false));
        plan.adopted = whole.map(|(key, members)| adopt_gang(key, members, None)).collect();
        plan.orphans = collect_orphans(attempts);
        return plan;
    };
    for (mut record, revision) in records {
        if record.owner != *domain {
            plan.foreign.push(FoundJob { record, revision, may_be_running: false });
            continue;
        }
        if record.state.is_final() {
            plan.ended.push(FoundJob { record, revision, may_be_running: false });
            continue;
        }
        let seen = attempts.keys().filter(|(job, _)| *job == record.id).map(|(_, number)| *number);
        let newest = seen.max();
        let running = record.state == JobState::Running;
        let candidate = newest
            .filter(|newest| *newest > record.attempt || (*newest == record.attempt && running));
        record.attempt = record.attempt.max(newest.unwrap_or(0));
        let key = candidate.map(|number| (record.id.clone(), number));
        let members = key.as_ref().and_then(|key| attempts.get(key));
        if members.is_some_and(|members| is_complete_in(members, &[MemberPhase::Finished])) {
            key.as_ref().map(|key| attempts.remove(key));
            record.state = JobState::Finished;
            plan.ended.push(FoundJob { record, revision, may_be_running: false });
            continue;
        }
        if members.is_some_and(|members| is_complete(members, true))
            && let Some(key) = key
            && let Some(members) = attempts.remove(&key)
        {
            record.state = JobState::Running;
            let found = FoundJob { record, revision, may_be_running: false };
            plan.adopted.push(adopt_gang(key, members, Some(found)));
            continue;
        }
        let may_be_running = unreachable && (running || !trust_queued);
        record.state = JobState::Queued;
        let remains: Vec<_> = attempts.extract_if(.., |(job, _), _| *job == record.id).collect();
        let remains =
            remains.into_iter().flat_map(|(_, members)| members).filter(holds_accelerators);
        let remains = leftover_plan(&record, remains.collect());
        plan.waiting.push((FoundJob { record, revision, may_be_running }, remains));
    }
    plan.orphans = collect_orphans(attempts);
    plan
}

/// Returns the plan of what is to be stopped before a job may start again.
fn leftover_plan(record: &JobRecord, members: Vec<FoundMember>) -> Option<GangPlan> {
    let key = (record.id.clone(), record.attempt);
    (!members.is_empty()).then(|| adopt_gang(key, members, None).plan)
}

fn group_by_attempt(answers: &[WorkerAnswer]) -> BTreeMap<AttemptKey, Vec<FoundMember>> {
    let mut attempts: BTreeMap<AttemptKey, Vec<FoundMember>> = BTreeMap::new();
    for answer in answers {
        let tasks = answer.report.iter().flat_map(|report| &report.tasks);
        for task in tasks.filter(|task| !task.member.job.starts_with(PROBE_PREFIX)) {
            let key = (task.member.job.clone(), task.member.attempt);
            let (spec, sent) = (answer.spec.clone(), answer.sent);
            attempts.entry(key).or_default().push(FoundMember { spec, sent, task: task.clone() });
        }
    }
    attempts
}

/// Returns whether all members are there and hold their accelerators or have finished.
///
/// A gang with committed members is whole only if the missing starts can still be sent.
fn is_complete(members: &[FoundMember], may_start: bool) -> bool {
    let running = [MemberPhase::Running, MemberPhase::Finished];
    let committed = [MemberPhase::Committed, MemberPhase::Running, MemberPhase::Finished];
    is_complete_in(members, if may_start { &committed } else { &running })
}

fn is_complete_in(members: &[FoundMember], phases: &[MemberPhase]) -> bool {
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

fn adopt_gang(
    key: AttemptKey,
    mut members: Vec<FoundMember>,
    found: Option<FoundJob>,
) -> AdoptedGang {
    members.sort_by_key(|member| member.task.member.index);
    let resume = members.iter().any(|member| member.task.phase == MemberPhase::Committed);
    let spec = found.as_ref().map(|found| &found.record.spec);
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
        work_ms: found.as_ref().map_or(0, |found| {
            found.record.spec.declared_ms.saturating_sub(found.record.checkpoint_ms)
        }),
    };
    let reports = members.into_iter().map(|member| (member.task, member.sent)).collect();
    AdoptedGang { found, plan, reports, resume }
}

fn collect_orphans(
    attempts: BTreeMap<AttemptKey, Vec<FoundMember>>,
) -> Vec<(Arc<WorkerSpec>, MemberId)> {
    let members = attempts.into_values().flatten().filter(holds_accelerators);
    members.map(|member| (member.spec, member.task.member)).collect()
}

fn holds_accelerators(member: &FoundMember) -> bool {
    let phase = member.task.phase;
    matches!(phase, MemberPhase::Reserved | MemberPhase::Committed | MemberPhase::Running)
}
