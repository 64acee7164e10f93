//! The main use cases of the system, step by step, each with its expectations.
//!
//! Expected values come from `docs/design.md`, measured values from the records that the stand-ins
//! of workers and backend servers keep of everything that ran.

pub mod checks;
pub mod plan;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use lacewingrail_model::clock::UnixMillis;
use lacewingrail_model::job::{JobRecord, JobSpec};
use lacewingrail_model::{DomainName, JobId};
use lacewingrail_standins::{AllocationRecord, EndReason};

use crate::api::{AdminClient, CallError};
use crate::callers::{CallerClient, CallerLoad, CallerRequest, TryOutcome};
use crate::demonstration::plan::DemonstrationPlan;
use crate::environment::StandinEnvironment;
use crate::report::{CheckTable, print_progress};
use crate::system::DevSystem;

/// Maximum delay from the submission of urgent work to its start, including preemption of
/// borrowers.
const MAX_URGENT_START_DELAY: Duration = Duration::from_millis(6_400);
/// Time for which tasks may still start in a failure domain after the call that takes it out of
/// service was accepted.
const OUT_OF_SERVICE_START_GRACE: Duration = Duration::from_secs(3);
/// Timeout of each condition that a step waits for.
const STEP_TIMEOUT: Duration = Duration::from_secs(15);
/// Run time of the first gang, at nominal speed.
const FIRST_GANG_RUN_TIME: Duration = Duration::from_secs(2);
/// Run time of the borrowers and of the gang that preempts them, at nominal speed.
const LONG_RUN_TIME: Duration = Duration::from_secs(8);
/// Time for which the urgent gang runs before its failure domain is taken out of service.
const RUN_TIME_BEFORE_OUT_OF_SERVICE: Duration = Duration::from_millis(1_500);
/// Time for which the failure domain stays out of service, from the acceptance of the call that
/// takes it out.
const OUT_OF_SERVICE_DURATION: Duration = Duration::from_secs(4);
/// Service time of the request that its caller abandons, in milliseconds at nominal speed.
const ABANDONED_WORK_MS: u64 = 500;
/// Time after which a caller abandons its request, also its delay between retries.
const CALLER_TIMEOUT: Duration = Duration::from_millis(150);

/// Runs the demonstration against a started system and collects its checks.
pub struct Demonstration<'a> {
    environment: &'a StandinEnvironment,
    system: &'a DevSystem,
    admin: AdminClient,
    plan: DemonstrationPlan,
    table: CheckTable,
    jobs: Vec<JobId>,
}

impl<'a> Demonstration<'a> {
    /// Creates a demonstration that calls the administration API of the first instance.
    pub fn new(
        environment: &'a StandinEnvironment,
        system: &'a DevSystem,
        plan: DemonstrationPlan,
    ) -> Self {
        let admin = system.admin(0);
        Self { environment, system, admin, plan, table: CheckTable::default(), jobs: Vec::new() }
    }

    /// Runs all steps under a request load and returns the table of expectations.
    ///
    /// # Errors
    /// Returns the error of the first failed call of the administration API.
    pub async fn run(mut self, seed: u64) -> Result<CheckTable, CallError> {
        let instances: Vec<String> =
            self.system.instances.iter().map(|instance| instance.caller_url.clone()).collect();
        let customers = self.plan.customers.clone();
        let load = CallerLoad::start(instances, &self.plan.service, customers, seed);
        print_progress(format!(
            "callers send 150 requests a second for {} through 7 entry instances until the end",
            self.plan.service
        ));
        self.run_first_gang().await?;
        self.print_load_progress(&load);
        let (gang, borrowers) = self.reclaim_guarantee().await?;
        self.print_load_progress(&load);
        self.system.sleep(RUN_TIME_BEFORE_OUT_OF_SERVICE).await;
        let acceptance = self.take_out_of_service(&gang).await?;
        self.retry_through_another_instance().await;
        self.print_load_progress(&load);
        let returned_ms = self.return_to_service(&acceptance, &borrowers).await?;
        self.wait_for_jobs(&borrowers, &gang).await;
        print_progress("the request load ends");
        let counts = load.stop().await;
        checks::check_jobs(&mut self.table, self.environment, &self.jobs);
        let allocations = self.environment.allocations();
        let late_starts = lacewingrail_standins::audit::find_late_starts(
            &allocations,
            &self.plan.domain,
            acceptance.accepted_ms,
            OUT_OF_SERVICE_START_GRACE,
            returned_ms,
        );
        self.table.add_violations(
            format!("starts in {} 3 s after its take-out", self.plan.domain),
            &late_starts,
        );
        checks::check_requests(&mut self.table, self.environment, &counts);
        checks::check_invariants(&mut self.table);
        Ok(self.table)
    }

    /// Step 1: a gang starts on adjacent accelerators and finishes.
    async fn run_first_gang(&mut self) -> Result<(), CallError> {
        let plan = &self.plan;
        print_progress(format!(
            "step 1: {} submits a gang of {} to {}",
            plan.owner, plan.shape, plan.domain
        ));
        let spec = plan.gang_spec(&plan.owner, vec![plan.domain.clone()], FIRST_GANG_RUN_TIME);
        let submitted_at = Instant::now();
        let job = self.submit(spec).await?;
        let members = self.plan.shape.members as usize;
        let started =
            self.wait_until(STEP_TIMEOUT, || self.running_members(&job.id).len() == members).await;
        let runs = self.started_members(&job.id);
        let racks: BTreeSet<&str> = runs.iter().map(|run| run.rack.as_str()).collect();
        let workers: BTreeSet<&str> = runs.iter().map(|run| run.worker.as_str()).collect();
        let starts: Vec<UnixMillis> = runs.iter().filter_map(|run| run.started_ms).collect();
        let spread_ms = starts.iter().max().unwrap_or(&0) - starts.iter().min().unwrap_or(&0);
        print_progress(format!(
            "  {} runs on {} workers of rack {}: {}; the members started within {spread_ms} ms",
            job.id,
            workers.len(),
            join_names(&racks),
            join_names(&workers)
        ));
        self.table.add(
            "step 1: time until the whole gang runs",
            "<= 6.4 s",
            format_seconds(submitted_at.elapsed()),
            started && submitted_at.elapsed() <= MAX_URGENT_START_DELAY,
        );
        self.table.add(
            "step 1: racks and workers of the gang",
            format!("1 rack, {members} workers"),
            format!("{} rack, {} workers", racks.len(), workers.len()),
            racks.len() == 1 && workers.len() == members,
        );
        let finished = self.wait_until(STEP_TIMEOUT, || self.is_job_finished(&job.id)).await;
        print_progress(format!(
            "  {} finished {} after its submission",
            job.id,
            format_seconds(submitted_at.elapsed())
        ));
        self.table.add("step 1: gang finished", "yes", yes_or_no(finished), finished);
        Ok(())
    }

    /// Step 2: borrowers occupy a failure domain and are preempted by a gang under a guarantee.
    ///
    /// Returns the gang and the borrowers.
    async fn reclaim_guarantee(&mut self) -> Result<(JobId, Vec<JobId>), CallError> {
        let plan = &self.plan;
        let workers =
            self.environment.worker_counts().get(&plan.domain).copied().unwrap_or_default();
        print_progress(format!(
            "step 2: {} has no guarantee in {} and borrows all its accelerators with {workers} jobs",
            plan.borrower, plan.domain
        ));
        let spec = plan.whole_worker_spec(LONG_RUN_TIME);
        let mut borrowers = Vec::with_capacity(workers);
        for _ in 0..workers {
            borrowers.push(self.submit(spec.clone()).await?.id);
        }
        let all_running = self
            .wait_until(STEP_TIMEOUT, || {
                borrowers.iter().all(|job| !self.running_members(job).is_empty())
            })
            .await;
        let borrowed: u32 = borrowers
            .iter()
            .flat_map(|job| self.running_members(job))
            .map(|run| run.accelerators)
            .sum();
        print_progress(format!("  {borrowed} accelerators of {} are borrowed", self.plan.domain));
        self.table.add(
            "step 2: borrowers running",
            workers.to_string(),
            borrowers
                .iter()
                .filter(|job| !self.started_members(job).is_empty())
                .count()
                .to_string(),
            all_running,
        );
        let plan = &self.plan;
        let mut domains = vec![plan.domain.clone()];
        domains.extend(plan.alternative_domains.iter().cloned());
        let spec = plan.gang_spec(&plan.owner, domains, LONG_RUN_TIME);
        print_progress(format!(
            "  {} submits an urgent gang of {} under its guarantee",
            plan.owner, plan.shape
        ));
        let submitted_at = Instant::now();
        let gang = self.submit(spec).await?.id;
        let members = self.plan.shape.members as usize;
        let started =
            self.wait_until(STEP_TIMEOUT, || self.running_members(&gang).len() == members).await;
        let elapsed = submitted_at.elapsed();
        let runs = self.running_members(&gang);
        let racks: BTreeSet<&str> = runs.iter().map(|run| run.rack.as_str()).collect();
        let preempted: Vec<AllocationRecord> = borrowers
            .iter()
            .flat_map(|job| self.started_members(job))
            .filter(|run| run.reason == Some(EndReason::Stopped))
            .collect();
        let with_checkpoint = preempted.iter().filter(|run| run.checkpoint_ms > 0).count();
        print_progress(format!(
            "  {gang} runs in rack {} after {}; {} borrowers were stopped, {with_checkpoint} of them with a checkpoint",
            join_names(&racks),
            format_seconds(elapsed),
            preempted.len()
        ));
        self.table.add(
            "step 2: time until the guarantee is reclaimed",
            "<= 6.4 s",
            format_seconds(elapsed),
            started && elapsed <= MAX_URGENT_START_DELAY,
        );
        self.table.add(
            "step 2: reclaimed in its shape",
            format!("1 rack, {members} members"),
            format!("{} rack, {} members", racks.len(), runs.len()),
            racks.len() == 1 && runs.len() == members,
        );
        self.table.add(
            "step 2: borrowers stopped, with checkpoint",
            format!("{members}, {members}"),
            format!("{}, {with_checkpoint}", preempted.len()),
            preempted.len() == members && with_checkpoint == members,
        );
        Ok((gang, borrowers))
    }

    /// Step 3: operators take the failure domain out of service, and the gang moves to another one.
    async fn take_out_of_service(&mut self, gang: &JobId) -> Result<AcceptanceTimes, CallError> {
        let domain = self.plan.domain.clone();
        print_progress(format!(
            "step 3: operators take {domain} out through the administration API"
        ));
        let requested_at = Instant::now();
        let change = self.admin.set_out_of_service(&domain, true).await?;
        let (accepted_at, accepted_ms) = (Instant::now(), self.environment.workers.now_ms());
        print_progress(format!(
            "  accepted after {}: {}",
            format_seconds(requested_at.elapsed()),
            change.steps.join(", ")
        ));
        self.table.add(
            "step 3: take-out accepted",
            "<= 3.5 s",
            format_seconds(requested_at.elapsed()),
            requested_at.elapsed() <= OUT_OF_SERVICE_START_GRACE + Duration::from_millis(500),
        );
        let members = self.plan.shape.members as usize;
        let moved = self
            .wait_until(STEP_TIMEOUT, || {
                let runs = self.running_members(gang);
                runs.len() == members && runs.iter().all(|run| run.domain != domain)
            })
            .await;
        let elapsed = format_seconds(accepted_at.elapsed());
        let runs = self.running_members(gang);
        let target = runs.first().map_or("nowhere", |run| run.domain.as_str());
        let stopped_members =
            self.started_members(gang).into_iter().filter(|run| run.domain == domain);
        let checkpoint_ms = stopped_members.map(|run| run.checkpoint_ms).min().unwrap_or_default();
        print_progress(format!(
            "  {gang} runs in {target} {elapsed} after the acceptance; its checkpoint keeps {checkpoint_ms} ms of work"
        ));
        self.table.add(
            "step 3: gang moved to another failure domain",
            "yes",
            format!("{target}, {elapsed}"),
            moved,
        );
        self.table.add(
            "step 3: work kept by the checkpoint of the moved gang",
            "> 0 ms",
            format!("{checkpoint_ms} ms"),
            checkpoint_ms > 0,
        );
        let empty = self.wait_until(STEP_TIMEOUT, || self.count_running_in(&domain) == 0).await;
        print_progress(format!(
            "  nothing runs in {domain} {} after the acceptance",
            format_seconds(accepted_at.elapsed())
        ));
        self.table.add("step 3: domain empty while out", "yes", yes_or_no(empty), empty);
        Ok(AcceptanceTimes { accepted_at, accepted_ms })
    }

    /// A caller abandons a request that must not run twice and retries it through another instance.
    async fn retry_through_another_instance(&mut self) {
        let client = CallerClient::default();
        let request = CallerRequest {
            service: self.plan.service.clone(),
            customer: self.plan.owner.clone(),
            class: "urgent",
            key: Some("transfer-1".to_owned()),
            body: "{\"transfer\":1}".to_owned(),
            work_ms: Some(ABANDONED_WORK_MS),
        };
        let [first, second] = [&self.system.instances[0], &self.system.instances[1]];
        let outcome = client.send(&first.caller_url, &request, CALLER_TIMEOUT).await;
        print_progress(format!(
            "  a caller gives up on non-repeatable request transfer-1 through {}: {outcome:?}",
            first.name
        ));
        let mut answers = Vec::new();
        let requested_at = Instant::now();
        while requested_at.elapsed() < STEP_TIMEOUT && answers.last() != Some(&TryOutcome::Done) {
            answers.push(client.send(&second.caller_url, &request, STEP_TIMEOUT).await);
            self.system.sleep(CALLER_TIMEOUT).await;
        }
        let runs = checks::count_runs_of_key(self.environment, "transfer-1");
        let done = answers.last() == Some(&TryOutcome::Done);
        print_progress(format!(
            "  it is sent again through {}: {} times \"unknown\", then {}; backend servers ran it {runs} time(s)",
            second.name,
            answers.iter().filter(|answer| matches!(answer, TryOutcome::Unknown(_))).count(),
            if done { "the recorded answer" } else { "no answer" }
        ));
        self.table.add(
            "non-repeatable request retried elsewhere: answered, runs",
            "yes, 1",
            format!("{}, {runs}", yes_or_no(done)),
            done && runs == 1,
        );
    }

    /// Step 4: operators return the failure domain to service, and the jobs waiting for it run
    /// again.
    ///
    /// Returns the time of the return to service, on the workers' clock.
    async fn return_to_service(
        &mut self,
        acceptance: &AcceptanceTimes,
        borrowers: &[JobId],
    ) -> Result<UnixMillis, CallError> {
        let domain = self.plan.domain.clone();
        self.system
            .sleep(OUT_OF_SERVICE_DURATION.saturating_sub(acceptance.accepted_at.elapsed()))
            .await;
        let waiting = borrowers.iter().filter(|job| !self.is_job_finished(job)).count();
        let returned_ms = self.environment.workers.now_ms();
        let returned_at = Instant::now();
        let change = self.admin.set_out_of_service(&domain, false).await?;
        print_progress(format!(
            "step 4: operators bring {domain} back ({}); {waiting} of its jobs waited",
            change.steps.join(", ")
        ));
        let resumed = self
            .wait_until(STEP_TIMEOUT, || {
                self.environment.allocations().iter().any(|run| {
                    run.domain == domain && run.started_ms.is_some_and(|at| at >= returned_ms)
                })
            })
            .await;
        print_progress(format!(
            "  the first of them runs again after {}",
            format_seconds(returned_at.elapsed())
        ));
        self.table.add(
            "step 4: first start after the return",
            "<= 6.4 s",
            format_seconds(returned_at.elapsed()),
            resumed && returned_at.elapsed() <= MAX_URGENT_START_DELAY,
        );
        Ok(returned_ms)
    }

    /// Waits until all jobs of steps 2 to 4 have finished.
    async fn wait_for_jobs(&mut self, borrowers: &[JobId], gang: &JobId) {
        let jobs: Vec<&JobId> = borrowers.iter().chain([gang]).collect();
        let all_finished = self
            .wait_until(STEP_TIMEOUT, || jobs.iter().all(|job| self.is_job_finished(job)))
            .await;
        let finished = jobs.iter().filter(|job| self.is_job_finished(job)).count();
        print_progress(format!("  {finished} of {} jobs finished", jobs.len()));
        self.table.add(
            "all jobs finished",
            jobs.len().to_string(),
            finished.to_string(),
            all_finished,
        );
    }

    /// Submits a job and records its id for the final checks.
    async fn submit(&mut self, spec: JobSpec) -> Result<JobRecord, CallError> {
        let record = self.admin.submit(&spec).await?;
        self.jobs.push(record.id.clone());
        Ok(record)
    }

    /// Returns whether a condition holds within the timeout.
    async fn wait_until<F>(&self, timeout: Duration, condition: F) -> bool
    where
        F: Fn() -> bool,
    {
        self.system.wait_until(timeout, condition).await.is_ok()
    }

    /// Returns the records of the members of a job that have started, in all attempts.
    fn started_members(&self, job: &str) -> Vec<AllocationRecord> {
        let mut allocations = self.environment.allocations();
        allocations.retain(|run| run.member.job == job && run.started_ms.is_some());
        allocations
    }

    /// Returns the records of the members of a job that are running.
    fn running_members(&self, job: &str) -> Vec<AllocationRecord> {
        let mut runs = self.started_members(job);
        runs.retain(|run| run.ended_ms.is_none());
        runs
    }

    /// Returns the number of running tasks in a failure domain.
    fn count_running_in(&self, domain: &DomainName) -> usize {
        let allocations = self.environment.allocations();
        let running = |run: &&AllocationRecord| run.started_ms.is_some() && run.ended_ms.is_none();
        allocations.iter().filter(|run| run.domain == *domain).filter(running).count()
    }

    /// Returns whether all members of the newest attempt of a job have finished.
    fn is_job_finished(&self, job: &str) -> bool {
        checks::is_finished(&self.started_members(job))
    }

    /// Prints the numbers of requests sent, answered and without a complete answer so far.
    fn print_load_progress(&self, load: &CallerLoad) {
        let (sent, done) = load.progress();
        print_progress(format!(
            "  requests so far: {sent} sent, {done} answered, {} in progress",
            sent - done
        ));
    }
}

/// Time at which the call that takes the failure domain out of service was accepted, on the local
/// and on the workers' clock.
struct AcceptanceTimes {
    accepted_at: Instant,
    accepted_ms: UnixMillis,
}

fn join_names(names: &BTreeSet<&str>) -> String {
    names.iter().copied().collect::<Vec<_>>().join(" ")
}

fn format_seconds(time: Duration) -> String {
    format!("{:.2} s", time.as_secs_f64())
}

fn yes_or_no(holds: bool) -> &'static str {
    if holds { "yes" } else { "no" }
}
