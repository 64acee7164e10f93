//! Period during which this process is the active scheduler of a failure domain.
//!
//! A leadership begins with a rebuild: it requests the tasks of every worker under the new epoch,
//! which fences the former scheduler, and lists the job records. The controllers then run until the
//! leadership is dropped. In renew-only mode it uses the epoch of the former scheduler, reads no
//! records and runs only the gang controller.

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use futures::{StreamExt, stream};
use kameo::actor::{ActorRef, Spawn};
use kameo::mailbox;
use lacewingrail_model::job::JobRecord;
use lacewingrail_model::store::Revision;
use lacewingrail_model::worker::{WorkerError, WorkerSpec};
use lacewingrail_model::write_id::WriteIdGenerator;
use lacewingrail_model::{DomainName, Epoch, keys};
use lacewingrail_placement::WorkerCapacity;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinHandle};

use crate::context::ProcessContext;
use crate::gang_controller::{
    AdoptGang, GangController, GangEvent, GangSettings, RENEW_TICK_INTERVAL, RenewTick, SetWorkers,
    StopOrphan,
};
use crate::gang_start::GangStarter;
use crate::job_controller::{
    JobController, JobFaulty, JobSettings, JobTick, JobsArchived, SetCapacities, SettingsChanged,
    StoreChanged, unique_writer_name,
};
use crate::permission::StartPermission;
use crate::rebuild::{self, WorkerAnswer};
use crate::records;
use crate::worker_controller::{
    LIST_INTERVAL, ListTick, WorkerCallEnded, WorkerController, WorkerSettings,
};
use crate::{config_poller, history, usage};

/// Maximum workers queried at a time during a rebuild.
const REBUILD_CONCURRENCY: usize = 64;
/// Timeout of a call to a worker during the rebuild.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum calls to each worker during the rebuild.
const MAX_REPORT_ATTEMPTS: u32 = 2;
/// Delay before a failed read of the workers or the records, or a failed watch, is repeated.
const READ_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Interval between ticks of the job controller.
const JOB_TICK_INTERVAL: Duration = Duration::from_millis(500);
/// Duration of one watch of the job records. A job that is submitted while the watch is stalled is
/// seen after [`WATCH_TIMEOUT`], and urgent work must start within 6.4 s.
const WATCH_DURATION: Duration = Duration::from_secs(2);
/// Time after which a watch that has not returned is considered stalled.
const WATCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Callback for a higher epoch that a worker has seen.
pub type StaleEpochSink = Arc<dyn Fn(Epoch) + Send + Sync>;
/// Callback for a rebuild that has to be repeated.
pub type RepeatRebuildSink = Arc<dyn Fn() + Send + Sync>;

/// Identity and dependencies of a [`Leadership`].
pub struct LeadershipSettings {
    /// State and services shared by the controllers of the process.
    pub context: Arc<ProcessContext>,
    /// Failure domain to schedule.
    pub domain: DomainName,
    /// Epoch acquired with the lease, or that of the former holder in renew-only mode.
    pub epoch: Epoch,
    /// Whether gangs are only renewed and stopped, because neither the store nor the former
    /// scheduler can be reached.
    pub renew_only: bool,
    /// Whether this process was in contact with the store for long enough that every gang which may
    /// still run was recorded before its start.
    pub starts_recorded: bool,
    /// Called when a worker has seen a higher epoch.
    pub on_stale_epoch: StaleEpochSink,
    /// Called when a worker that missed the rebuild holds members of former gangs.
    pub on_repeat_rebuild: RepeatRebuildSink,
}

/// Controllers of one leadership; dropping it stops them.
pub struct Leadership {
    /// Epoch under which the domain is scheduled.
    pub epoch: Epoch,
    /// Whether gangs are only renewed and stopped, and never started.
    pub renew_only: bool,
    /// Permission that must hold before a task starts; revoked when the leadership is dropped.
    pub permission: Arc<StartPermission>,
    /// Gang controller of the domain.
    pub gangs: ActorRef<GangController>,
    /// Job controller of the domain; `None` in renew-only mode.
    pub jobs: Option<ActorRef<JobController>>,
    workers: Option<ActorRef<WorkerController>>,
    tasks: TaskSet,
}

/// Background tasks that are aborted on drop.
#[derive(Default)]
struct TaskSet(Vec<AbortHandle>);

/// Workers' answers and job records on which a rebuild is based.
struct RebuildInput {
    answers: Vec<WorkerAnswer>,
    /// Records of the domain; `None` in renew-only mode.
    records: Option<Vec<(JobRecord, Revision)>>,
    /// Highest revision among the records, from which they are watched.
    revision: Revision,
}

impl Leadership {
    /// Rebuilds the state of the domain and starts the controllers.
    ///
    /// # Errors
    /// Returns the higher epoch if a worker has seen one.
    pub async fn begin(settings: LeadershipSettings) -> Result<Self, Epoch> {
        let started = Instant::now();
        let context = settings.context.clone();
        let permission = StartPermission::new(settings.domain.clone(), context.membership.clone());
        let permission = Arc::new(permission);
        let mut tasks = TaskSet::default();
        if settings.renew_only {
            permission.revoke();
        } else {
            tasks.add(tokio::spawn(config_poller::run(context.clone(), permission.clone())));
        }
        let input = collect_state(&settings).await?;
        let leadership = Self::start(settings, permission, input, tasks);
        context.metrics.rebuild_duration.observe(started.elapsed().as_secs_f64());
        log::info!("the rebuild took {:?}", started.elapsed());
        Ok(leadership)
    }

    /// Denies all further starts. The next epoch fences calls that were already sent.
    pub fn revoke(&self) {
        self.permission.revoke();
    }

    fn start(
        settings: LeadershipSettings,
        permission: Arc<StartPermission>,
        input: RebuildInput,
        mut tasks: TaskSet,
    ) -> Self {
        let LeadershipSettings {
            context,
            domain,
            epoch,
            renew_only,
            starts_recorded,
            on_stale_epoch,
            on_repeat_rebuild,
        } = settings;
        let starter = GangStarter {
            workers: context.workers.clone(),
            permission: permission.clone(),
            timer: context.timer.clone(),
            epoch,
        };
        let plan = rebuild::plan_rebuild(&domain, input.records, &input.answers, starts_recorded);
        log::info!(
            "failure domain {domain}, epoch {epoch}: {} workers, {} gangs adopted, {} jobs waiting",
            input.answers.len(),
            plan.adopted.len(),
            plan.waiting.len()
        );
        // The gang controller is spawned first; the cells are set once the others run.
        let job_cell: Arc<OnceLock<ActorRef<JobController>>> = Arc::default();
        let worker_cell: Arc<OnceLock<ActorRef<WorkerController>>> = Arc::default();
        let on_event = {
            let (job_cell, worker_cell) = (job_cell.clone(), worker_cell.clone());
            Arc::new(move |event: GangEvent| match event {
                GangEvent::StaleEpoch { seen } => on_stale_epoch(seen),
                GangEvent::RebuildOutdated => on_repeat_rebuild(),
                GangEvent::WorkerCallEnded { worker, outcome } => {
                    if let Some(workers) = worker_cell.get() {
                        let _ = workers.tell(WorkerCallEnded { worker, outcome }).try_send();
                    }
                }
                event => {
                    if let Some(jobs) = job_cell.get() {
                        let _ = jobs.tell(event).try_send();
                    }
                }
            })
        };
        let missing = input.answers.iter().filter(|answer| answer.report.is_none());
        let gangs = GangController::spawn_with_mailbox(
            GangSettings {
                context: context.clone(),
                domain: domain.clone(),
                starter: starter.clone(),
                renew_only,
                missed_rebuild: missing.map(|answer| answer.spec.id.clone()).collect(),
                on_event,
            },
            mailbox::unbounded(),
        );
        let specs = input.answers.iter().map(|answer| answer.spec.clone()).collect();
        let _ = gangs.tell(SetWorkers(specs)).try_send();
        tasks.send_at_interval(&context, RENEW_TICK_INTERVAL, &gangs, || RenewTick);
        if renew_only {
            for gang in plan.adopted {
                let (plan, reports) = (gang.plan, gang.reports);
                let _ = gangs.tell(AdoptGang { plan, reports, resume: false }).try_send();
            }
            for (worker, member) in plan.orphans {
                let _ = gangs.tell(StopOrphan(worker, member)).try_send();
            }
            return Self { epoch, renew_only, permission, gangs, jobs: None, workers: None, tasks };
        }
        let workers = WorkerController::spawn_with_mailbox(
            WorkerSettings {
                context: context.clone(),
                domain: domain.clone(),
                starter,
                gangs: gangs.clone(),
                on_capacities: capacity_sink(job_cell.clone()),
                on_faulty_job: faulty_job_sink(job_cell.clone()),
                known_workers: input
                    .answers
                    .into_iter()
                    .map(|answer| (answer.spec, answer.report))
                    .collect(),
            },
            mailbox::unbounded(),
        );
        let instance = &context.membership.settings().instance;
        let writer_name = unique_writer_name(instance, &domain, epoch);
        let generator = Arc::new(WriteIdGenerator::new(writer_name.clone()));
        let (ended_jobs, ended_receiver) = mpsc::unbounded_channel();
        let jobs = JobController::spawn_with_mailbox(
            JobSettings {
                context: context.clone(),
                domain: domain.clone(),
                epoch,
                permission: permission.clone(),
                gangs: gangs.clone(),
                workers: workers.clone(),
                write_id_generator: generator.clone(),
                writer_name,
                ended_jobs,
                plan: Some(plan),
            },
            mailbox::unbounded(),
        );
        let _ = job_cell.set(jobs.clone());
        let _ = worker_cell.set(workers.clone());
        let _ = workers.tell(ListTick).try_send();
        tasks.send_at_interval(&context, LIST_INTERVAL, &workers, || ListTick);
        tasks.send_at_interval(&context, JOB_TICK_INTERVAL, &jobs, || JobTick);
        tasks.add(tokio::spawn(usage::run(context.clone(), domain.clone(), jobs.clone())));
        tasks.add(tokio::spawn(watch_settings(context.clone(), jobs.clone())));
        tasks.add(tokio::spawn(watch_jobs(
            context.clone(),
            domain.clone(),
            input.revision,
            jobs.clone(),
        )));
        let on_archived = {
            let jobs = jobs.clone();
            Arc::new(move |archived| drop(jobs.tell(JobsArchived(archived)).try_send()))
        };
        tasks.add(tokio::spawn(history::run(
            context,
            domain,
            generator,
            ended_receiver,
            on_archived,
        )));
        let (jobs, workers) = (Some(jobs), Some(workers));
        Self { epoch, renew_only, permission, gangs, jobs, workers, tasks }
    }
}

impl Drop for Leadership {
    fn drop(&mut self) {
        self.permission.revoke();
        self.gangs.kill();
        if let Some(jobs) = &self.jobs {
            jobs.kill();
        }
        if let Some(workers) = &self.workers {
            workers.kill();
        }
        self.tasks.0.iter().for_each(AbortHandle::abort);
    }
}

impl Drop for TaskSet {
    fn drop(&mut self) {
        self.0.iter().for_each(AbortHandle::abort);
    }
}

impl TaskSet {
    fn add(&mut self, task: JoinHandle<()>) {
        self.0.push(task.abort_handle());
    }

    /// Sends a message to an actor at a fixed interval.
    fn send_at_interval<A, M, F>(
        &mut self,
        context: &ProcessContext,
        interval: Duration,
        actor: &ActorRef<A>,
        make_message: F,
    ) where
        A: kameo::Actor + kameo::message::Message<M>,
        F: Fn() -> M + Send + 'static,
        M: Send + 'static,
    {
        let mut ticks = context.timer.subscribe_jittered(interval);
        let actor = actor.clone();
        self.add(tokio::spawn(async move {
            loop {
                ticks.tick().await;
                if actor.tell(make_message()).try_send().is_err() {
                    return;
                }
            }
        }));
    }
}

fn capacity_sink(
    job_cell: Arc<OnceLock<ActorRef<JobController>>>,
) -> crate::worker_controller::CapacitySink {
    Arc::new(move |capacities: Vec<WorkerCapacity>, specs: Vec<Arc<WorkerSpec>>| {
        if let Some(jobs) = job_cell.get() {
            let _ = jobs.tell(SetCapacities(capacities, specs)).try_send();
        }
    })
}

fn faulty_job_sink(
    job_cell: Arc<OnceLock<ActorRef<JobController>>>,
) -> crate::worker_controller::FaultyJobSink {
    Arc::new(move |job, reason| {
        if let Some(jobs) = job_cell.get() {
            let _ = jobs.tell(JobFaulty { job, reason }).try_send();
        }
    })
}

/// Requests the tasks of all workers and lists the job records.
async fn collect_state(settings: &LeadershipSettings) -> Result<RebuildInput, Epoch> {
    let (context, domain) = (&settings.context, &settings.domain);
    let specs = loop {
        match tokio::time::timeout(REPORT_TIMEOUT * 2, context.list.workers()).await {
            Ok(Ok(specs)) => break specs,
            Ok(Err(error)) => log::warn!("{error}"),
            Err(_) => log::warn!("reading the worker list timed out"),
        }
        context.timer.wait(READ_RETRY_DELAY).await;
    };
    let specs = specs.into_iter().filter(|spec| spec.domain == *domain).map(Arc::new);
    let calls: Vec<_> = specs.map(|spec| request_report(context, settings.epoch, spec)).collect();
    let answers = stream::iter(calls).buffer_unordered(REBUILD_CONCURRENCY).collect::<Vec<_>>();
    let records = async {
        match settings.renew_only {
            true => (None, 0),
            false => list_records(context, domain).await,
        }
    };
    let (answers, (records, revision)) = tokio::join!(answers, records);
    let mut worker_answers = Vec::with_capacity(answers.len());
    for answer in answers {
        worker_answers.push(answer?);
    }
    worker_answers.sort_by(|one, other| one.spec.id.cmp(&other.spec.id));
    Ok(RebuildInput { answers: worker_answers, records, revision })
}

async fn request_report(
    context: &ProcessContext,
    epoch: Epoch,
    spec: Arc<WorkerSpec>,
) -> Result<WorkerAnswer, Epoch> {
    let mut sent = Instant::now();
    for _ in 0..MAX_REPORT_ATTEMPTS {
        sent = Instant::now();
        let call = context.workers.report(&spec, epoch);
        match tokio::time::timeout(REPORT_TIMEOUT, call).await {
            Ok(Ok(report)) => return Ok(WorkerAnswer { spec, sent, report: Some(report) }),
            Ok(Err(WorkerError::StaleEpoch { seen })) => return Err(seen),
            Ok(Err(_)) | Err(_) => {}
        }
    }
    log::warn!("worker {} did not answer the rebuild", spec.id);
    Ok(WorkerAnswer { spec, sent, report: None })
}

async fn list_records(
    context: &ProcessContext,
    domain: &DomainName,
) -> (Option<Vec<(JobRecord, Revision)>>, Revision) {
    let prefix = keys::domain_jobs(domain);
    let entries = loop {
        match records::with_timeout(context.store.list(&prefix)).await {
            Ok(entries) => break entries,
            Err(error) => log::warn!("cannot list the job records of {domain}: {error}"),
        }
        context.timer.wait(READ_RETRY_DELAY).await;
    };
    let revision = entries.iter().map(|entry| entry.revision).max().unwrap_or(0);
    let parse = |entry: &lacewingrail_model::store::StoreEntry| match serde_json::from_str::<
        JobRecord,
    >(&entry.value)
    {
        Ok(record) => Some((record, entry.revision)),
        Err(error) => {
            log::error!("{} is malformed ({error}); delete it", entry.key);
            None
        }
    };
    (Some(entries.iter().filter_map(parse).collect()), revision)
}

async fn watch_settings(context: Arc<ProcessContext>, jobs: ActorRef<JobController>) {
    let mut config = context.membership.config();
    let mut vetoes = context.membership.vetoes();
    loop {
        if jobs.tell(SettingsChanged).try_send().is_err() {
            return;
        }
        let changed = tokio::select! {
            changed = config.changed() => changed,
            changed = vetoes.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

async fn watch_jobs(
    context: Arc<ProcessContext>,
    domain: DomainName,
    mut revision: Revision,
    jobs: ActorRef<JobController>,
) {
    let prefix = keys::domain_jobs(&domain);
    loop {
        let call = context.store.watch(&prefix, revision, WATCH_DURATION);
        let batch = match tokio::time::timeout(WATCH_TIMEOUT, call).await {
            Ok(Ok(batch)) => batch,
            Ok(Err(error)) => {
                log::debug!("the watch of {prefix} failed: {error}");
                context.timer.wait(READ_RETRY_DELAY).await;
                continue;
            }
            Err(_) => {
                log::warn!("the watch of {prefix} stalled; starting a new one");
                continue;
            }
        };
        revision = batch.revision;
        let (events, reset) = (batch.events, batch.reset);
        if (reset || !events.is_empty())
            && jobs.tell(StoreChanged { events, reset }).try_send().is_err()
        {
            return;
        }
    }
}
