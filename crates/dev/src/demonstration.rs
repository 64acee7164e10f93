//! The main job of the system, step by step, with its expectations.
//!
//! What is expected comes from the design page; what is measured comes from the records of the
//! workers and backend servers, which know what really ran.

pub mod plan;
pub mod verdicts;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use lacewingrail_model::clock::UnixMillis;
use lacewingrail_model::job::{JobRecord, JobSpec};
use lacewingrail_model::{DomainName, JobId};
use lacewingrail_standins::{EndReason, HoldingRecord};

use crate::api::{AdminClient, CallError};
use crate::callers::{CallerClient, CallerLoad, CallerRequest, TryOutcome};
use crate::demonstration::plan::DemonstrationPlan;
use crate::outside::OutsideWorld;
use crate::report::{CheckTable, say};
use crate::system::DevSystem;

/// Time within which urgent work starts, also where borrowers are stopped for it.
const URGENT_START: Duration = Duration::from_millis(6_400);
/// Time after the acceptance of a take-out from which no task starts in the domain.
const OUT_LIMIT: Duration = Duration::from_secs(3);
/// Longest wait for a step.
const STEP_LIMIT: Duration = Duration::from_secs(15);
/// Run time of the first gang at nominal speed.
const FIRST_WORK: Duration = Duration::from_secs(2);
/// Run time of borrowers and of the gang that reclaims at nominal speed.
const LONG_WORK: Duration = Duration::from_secs(8);
/// Time for which the gang that reclaimed runs before its failure domain is taken out.
const RUN_BEFORE_OUT: Duration = Duration::from_millis(1_500);
/// Time for which the failure domain stays out after the take-out is accepted.
const OUT_TIME: Duration = Duration::from_secs(4);
/// Service time of the request whose caller gives up, in milliseconds at nominal speed.
const PATIENT_WORK_MS: u64 = 500;
/// Time after which that caller gives up.
const IMPATIENCE: Duration = Duration::from_millis(150);

/// Drives the system and collects expectations.
pub struct Demonstration<'a> {
    outside: &'a OutsideWorld,
    system: &'a DevSystem,
    admin: AdminClient,
    plan: DemonstrationPlan,
    table: CheckTable,
    jobs: Vec<JobId>,
}

impl<'a> Demonstration<'a> {
    /// Creates a demonstration.
    pub fn new(outside: &'a OutsideWorld, system: &'a DevSystem, plan: DemonstrationPlan) -> Self {
        let admin = system.admin(0);
        Self { outside, system, admin, plan, table: CheckTable::default(), jobs: Vec::new() }
    }

    /// Runs all steps under a request load and returns the table of expectations.
    ///
    /// # Errors
    /// Reports a call of the administration API that failed.
    pub async fn run(mut self, seed: u64) -> Result<CheckTable, CallError> {
        let instances: Vec<String> =
            self.system.instances.iter().map(|instance| instance.callers.clone()).collect();
        let customers = self.plan.customers.clone();
        let load = CallerLoad::start(instances, &self.plan.service, customers, seed);
        say(format!(
            "callers send 150 requests a second for {} through 7 entry instances until the end",
            self.plan.service
        ));
        self.run_first_gang().await?;
        self.report_load(&load);
        let (gang, borrowers) = self.reclaim().await?;
        self.report_load(&load);
        self.system.pause(RUN_BEFORE_OUT).await;
        let out = self.take_out(&gang).await?;
        self.retry_elsewhere().await;
        self.report_load(&load);
        let back_ms = self.bring_back(&out, &borrowers).await?;
        self.finish(&borrowers, &gang).await;
        say("the request load ends");
        let counts = load.stop().await;
        verdicts::check_jobs(&mut self.table, self.outside, &self.jobs);
        let holdings = self.outside.holdings();
        let late = lacewingrail_standins::audit::find_late_starts(
            &holdings,
            &self.plan.domain,
            out.accepted_ms,
            OUT_LIMIT,
            back_ms,
        );
        self.table
            .add_breaches(format!("starts in {} 3 s after its take-out", self.plan.domain), &late);
        verdicts::check_requests(&mut self.table, self.outside, &counts);
        verdicts::check_invariants(&mut self.table);
        Ok(self.table)
    }

    /// A gang starts on adjacent accelerators and finishes.
    async fn run_first_gang(&mut self) -> Result<(), CallError> {
        let plan = &self.plan;
        say(format!("step 1: {} submits a gang of {} to {}", plan.owner, plan.shape, plan.domain));
        let spec = plan.gang(&plan.owner, vec![plan.domain.clone()], FIRST_WORK);
        let submitted = Instant::now();
        let job = self.submit(spec).await?;
        let members = self.plan.shape.members as usize;
        let started = self.wait(STEP_LIMIT, || self.running(&job.id).len() == members).await;
        let runs = self.runs(&job.id);
        let racks: BTreeSet<&str> = runs.iter().map(|run| run.rack.as_str()).collect();
        let workers: BTreeSet<&str> = runs.iter().map(|run| run.worker.as_str()).collect();
        let starts: Vec<UnixMillis> = runs.iter().filter_map(|run| run.started_ms).collect();
        let spread = starts.iter().max().unwrap_or(&0) - starts.iter().min().unwrap_or(&0);
        say(format!(
            "  {} runs on {} workers of rack {}: {}; the members started within {spread} ms",
            job.id,
            workers.len(),
            join(&racks),
            join(&workers)
        ));
        self.table.add(
            "step 1: time until the whole gang runs",
            "<= 6.4 s",
            seconds(submitted.elapsed()),
            started && submitted.elapsed() <= URGENT_START,
        );
        self.table.add(
            "step 1: racks and workers of the gang",
            format!("1 rack, {members} workers"),
            format!("{} rack, {} workers", racks.len(), workers.len()),
            racks.len() == 1 && workers.len() == members,
        );
        let finished = self.wait(STEP_LIMIT, || self.finished(&job.id)).await;
        say(format!("  {} finished {} after its submission", job.id, seconds(submitted.elapsed())));
        self.table.add("step 1: gang finished", "yes", yes(finished), finished);
        Ok(())
    }

    /// Borrowers fill a failure domain, and a guarantee is reclaimed from them.
    async fn reclaim(&mut self) -> Result<(JobId, Vec<JobId>), CallError> {
        let plan = &self.plan;
        let workers = self.outside.worker_counts().get(&plan.domain).copied().unwrap_or_default();
        say(format!(
            "step 2: {} has no guarantee in {} and borrows all its accelerators with {workers} jobs",
            plan.borrower, plan.domain
        ));
        let spec = plan.whole_worker(LONG_WORK);
        let mut borrowers = Vec::with_capacity(workers);
        for _ in 0..workers {
            borrowers.push(self.submit(spec.clone()).await?.id);
        }
        let filled = self
            .wait(STEP_LIMIT, || borrowers.iter().all(|job| !self.running(job).is_empty()))
            .await;
        let held: u32 =
            borrowers.iter().flat_map(|job| self.running(job)).map(|run| run.accelerators).sum();
        say(format!("  {held} accelerators of {} are borrowed", self.plan.domain));
        self.table.add(
            "step 2: borrowers running",
            workers.to_string(),
            borrowers.iter().filter(|job| !self.runs(job).is_empty()).count().to_string(),
            filled,
        );
        let plan = &self.plan;
        let mut domains = vec![plan.domain.clone()];
        domains.extend(plan.elsewhere.iter().cloned());
        let spec = plan.gang(&plan.owner, domains, LONG_WORK);
        say(format!(
            "  {} submits an urgent gang of {} under its guarantee",
            plan.owner, plan.shape
        ));
        let submitted = Instant::now();
        let gang = self.submit(spec).await?.id;
        let members = self.plan.shape.members as usize;
        let started = self.wait(STEP_LIMIT, || self.running(&gang).len() == members).await;
        let took = submitted.elapsed();
        let runs = self.running(&gang);
        let racks: BTreeSet<&str> = runs.iter().map(|run| run.rack.as_str()).collect();
        let preempted: Vec<HoldingRecord> = borrowers
            .iter()
            .flat_map(|job| self.runs(job))
            .filter(|run| run.reason == Some(EndReason::Stopped))
            .collect();
        let kept = preempted.iter().filter(|run| run.checkpoint_ms > 0).count();
        say(format!(
            "  {gang} runs in rack {} after {}; {} borrowers were stopped, {kept} of them with a checkpoint",
            join(&racks),
            seconds(took),
            preempted.len()
        ));
        self.table.add(
            "step 2: time until the guarantee is reclaimed",
            "<= 6.4 s",
            seconds(took),
            started && took <= URGENT_START,
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
            format!("{}, {kept}", preempted.len()),
            preempted.len() == members && kept == members,
        );
        Ok((gang, borrowers))
    }

    /// Operators take the failure domain out; the gang that may run elsewhere moves.
    async fn take_out(&mut self, gang: &JobId) -> Result<TakenOut, CallError> {
        let domain = self.plan.domain.clone();
        say(format!("step 3: operators take {domain} out through the administration API"));
        let asked = Instant::now();
        let change = self.admin.set_out(&domain, true).await?;
        let (accepted, accepted_ms) = (Instant::now(), self.outside.workers.now_ms());
        say(format!("  accepted after {}: {}", seconds(asked.elapsed()), change.steps.join(", ")));
        self.table.add(
            "step 3: take-out accepted",
            "<= 3.5 s",
            seconds(asked.elapsed()),
            asked.elapsed() <= OUT_LIMIT + Duration::from_millis(500),
        );
        let members = self.plan.shape.members as usize;
        let moved = self
            .wait(STEP_LIMIT, || {
                let runs = self.running(gang);
                runs.len() == members && runs.iter().all(|run| run.domain != domain)
            })
            .await;
        let took = seconds(accepted.elapsed());
        let runs = self.running(gang);
        let target = runs.first().map_or("nowhere", |run| run.domain.as_str());
        let stopped = self.runs(gang).into_iter().filter(|run| run.domain == domain);
        let kept = stopped.map(|run| run.checkpoint_ms).min().unwrap_or_default();
        say(format!(
            "  {gang} runs in {target} {took} after the acceptance; its checkpoint keeps {kept} ms of work"
        ));
        self.table.add(
            "step 3: gang moved to another failure domain",
            "yes",
            format!("{target}, {took}"),
            moved,
        );
        self.table.add(
            "step 3: work kept by the checkpoint of the moved gang",
            "> 0 ms",
            format!("{kept} ms"),
            kept > 0,
        );
        let quiet = self.wait(STEP_LIMIT, || self.running_in(&domain) == 0).await;
        say(format!(
            "  nothing runs in {domain} {} after the acceptance",
            seconds(accepted.elapsed())
        ));
        self.table.add("step 3: domain empty while out", "yes", yes(quiet), quiet);
        Ok(TakenOut { accepted, accepted_ms })
    }

    /// A caller gives up on a request that must not run twice and asks through another instance.
    async fn retry_elsewhere(&mut self) {
        let client = CallerClient::default();
        let request = CallerRequest {
            service: self.plan.service.clone(),
            customer: self.plan.owner.clone(),
            class: "urgent",
            key: Some("transfer-1".to_owned()),
            body: "{\"transfer\":1}".to_owned(),
            work_ms: Some(PATIENT_WORK_MS),
        };
        let [first, second] = [&self.system.instances[0], &self.system.instances[1]];
        let outcome = client.send(&first.callers, &request, IMPATIENCE).await;
        say(format!(
            "  a caller gives up on non-repeatable request transfer-1 through {}: {outcome:?}",
            first.name
        ));
        let mut answers = Vec::new();
        let asked = Instant::now();
        while asked.elapsed() < STEP_LIMIT && answers.last() != Some(&TryOutcome::Done) {
            answers.push(client.send(&second.callers, &request, STEP_LIMIT).await);
            self.system.pause(IMPATIENCE).await;
        }
        let runs = verdicts::runs_of_key(self.outside, "transfer-1");
        let done = answers.last() == Some(&TryOutcome::Done);
        say(format!(
            "  it is sent again through {}: {} times \"unknown\", then {}; backend servers ran it {runs} time(s)",
            second.name,
            answers.iter().filter(|answer| matches!(answer, TryOutcome::Unknown(_))).count(),
            if done { "the recorded answer" } else { "no answer" }
        ));
        self.table.add(
            "non-repeatable request retried elsewhere: answered, runs",
            "yes, 1",
            format!("{}, {runs}", yes(done)),
            done && runs == 1,
        );
    }

    /// Operators bring the failure domain back; the jobs that waited for it run again.
    async fn bring_back(
        &mut self,
        out: &TakenOut,
        borrowers: &[JobId],
    ) -> Result<UnixMillis, CallError> {
        let domain = self.plan.domain.clone();
        self.system.pause(OUT_TIME.saturating_sub(out.accepted.elapsed())).await;
        let waiting = borrowers.iter().filter(|job| !self.finished(job)).count();
        let back_ms = self.outside.workers.now_ms();
        let back = Instant::now();
        let change = self.admin.set_out(&domain, false).await?;
        say(format!(
            "step 4: operators bring {domain} back ({}); {waiting} of its jobs waited",
            change.steps.join(", ")
        ));
        let resumed = self
            .wait(STEP_LIMIT, || {
                self.outside.holdings().iter().any(|run| {
                    run.domain == domain && run.started_ms.is_some_and(|at| at >= back_ms)
                })
            })
            .await;
        say(format!("  the first of them runs again after {}", seconds(back.elapsed())));
        self.table.add(
            "step 4: first start after the return",
            "<= 6.4 s",
            seconds(back.elapsed()),
            resumed && back.elapsed() <= URGENT_START,
        );
        Ok(back_ms)
    }

    async fn finish(&mut self, borrowers: &[JobId], gang: &JobId) {
        let jobs: Vec<&JobId> = borrowers.iter().chain([gang]).collect();
        let all = self.wait(STEP_LIMIT, || jobs.iter().all(|job| self.finished(job))).await;
        let finished = jobs.iter().filter(|job| self.finished(job)).count();
        say(format!("  {finished} of {} jobs finished", jobs.len()));
        self.table.add("all jobs finished", jobs.len().to_string(), finished.to_string(), all);
    }

    async fn submit(&mut self, spec: JobSpec) -> Result<JobRecord, CallError> {
        let record = self.admin.submit(&spec).await?;
        self.jobs.push(record.id.clone());
        Ok(record)
    }

    async fn wait<F>(&self, limit: Duration, condition: F) -> bool
    where
        F: Fn() -> bool,
    {
        self.system.wait(limit, condition).await.is_ok()
    }

    /// Returns the records of members of a job that ran.
    fn runs(&self, job: &str) -> Vec<HoldingRecord> {
        let mut holdings = self.outside.holdings();
        holdings.retain(|run| run.member.job == job && run.started_ms.is_some());
        holdings
    }

    fn running(&self, job: &str) -> Vec<HoldingRecord> {
        let mut runs = self.runs(job);
        runs.retain(|run| run.ended_ms.is_none());
        runs
    }

    fn running_in(&self, domain: &DomainName) -> usize {
        let holdings = self.outside.holdings();
        let running = |run: &&HoldingRecord| run.started_ms.is_some() && run.ended_ms.is_none();
        holdings.iter().filter(|run| run.domain == *domain).filter(running).count()
    }

    fn finished(&self, job: &str) -> bool {
        verdicts::is_finished(&self.runs(job))
    }

    fn report_load(&self, load: &CallerLoad) {
        let (sent, done) = load.progress();
        say(format!(
            "  requests so far: {sent} sent, {done} answered, {} in progress",
            sent - done
        ));
    }
}

/// Remembers when a take-out was accepted.
struct TakenOut {
    accepted: Instant,
    accepted_ms: UnixMillis,
}

fn join(names: &BTreeSet<&str>) -> String {
    names.iter().copied().collect::<Vec<_>>().join(" ")
}

fn seconds(time: Duration) -> String {
    format!("{:.2} s", time.as_secs_f64())
}

fn yes(holds: bool) -> &'static str {
    if holds { "yes" } else { "no" }
}
