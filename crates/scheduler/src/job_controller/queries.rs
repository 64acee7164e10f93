//! Queries of operators and of other schedulers about the domain.

use std::collections::BTreeMap;

use kameo::Reply;
use kameo::message::{Context, Message};
use lacewingrail_model::admin::{
    DomainAnswer, DomainQuery, DomainStatus, MemberStatus, WorkerStatus,
};
use lacewingrail_model::{CustomerName, JobId, WorkerId};
use lacewingrail_placement::WorkerCapacity;

use super::{JobController, JobPhase};

/// Queries the state of the domain.
pub struct QueryDomain(pub DomainQuery);

/// Answer to a [`QueryDomain`] message.
#[derive(Debug, Reply)]
pub struct DomainReply(pub DomainAnswer);

impl Message<QueryDomain> for JobController {
    type Reply = DomainReply;

    async fn handle(
        &mut self,
        message: QueryDomain,
        _context: &mut Context<Self, DomainReply>,
    ) -> DomainReply {
        DomainReply(match message.0 {
            DomainQuery::Status => DomainAnswer::Status(self.status()),
            DomainQuery::Workers => DomainAnswer::Workers(self.workers()),
            DomainQuery::Guarantees => DomainAnswer::Guarantees(self.planner.guarantees()),
            DomainQuery::Queue => DomainAnswer::Queue(self.planner.queue()),
            DomainQuery::Why { job } => DomainAnswer::Why(self.explain(&job)),
            DomainQuery::DryRun { text } => self.dry_run(&text),
            DomainQuery::Usage => DomainAnswer::Usage(self.usage()),
        })
    }
}

impl JobController {
    fn status(&self) -> DomainStatus {
        let counts = self.planner.counts();
        let membership = &self.settings.context.membership;
        DomainStatus {
            domain: self.settings.domain.clone(),
            out: membership.is_out(&self.settings.domain),
            epoch: self.settings.epoch,
            scheduler: membership.settings().instance.clone(),
            config_version: self.config_version,
            starts: self.settings.permission.remaining().err().map(|denial| denial.to_string()),
            workers: counts.workers,
            workers_healthy: counts.workers_healthy,
            accelerators: counts.accelerators,
            accelerators_free: counts.accelerators_free,
            accelerators_guaranteed: counts.accelerators_guaranteed,
            accelerators_borrowed: counts.accelerators_borrowed,
            gangs_running: counts.gangs_running,
            jobs_waiting: counts.jobs_waiting,
            starts_total: self.starts,
            preemptions_total: self.preemptions,
        }
    }

    fn workers(&self) -> Vec<WorkerStatus> {
        let mut members: BTreeMap<&WorkerId, Vec<MemberStatus>> = BTreeMap::new();
        for (job, entry) in &self.jobs {
            for placement in entry.gang.iter().flat_map(|gang| &gang.members) {
                members.entry(&placement.worker).or_default().push(MemberStatus {
                    job: job.clone(),
                    customer: entry.record.spec.customer.clone(),
                    accelerators: placement.accelerators,
                    borrowed: !entry.record.guaranteed,
                });
            }
        }
        let describe = |capacity: &WorkerCapacity| WorkerStatus {
            worker: capacity.id.clone(),
            rack: capacity.rack.clone(),
            domain: self.settings.domain.clone(),
            accelerators: capacity.accelerators,
            health: capacity.health.name().to_owned(),
            speed: capacity.speed,
            members: members.remove(&capacity.id).unwrap_or_default(),
        };
        self.capacities.iter().map(describe).collect()
    }

    /// Returns the accelerators in use in this domain, by customer.
    fn usage(&self) -> BTreeMap<CustomerName, u32> {
        let mut usage = BTreeMap::new();
        for entry in self.jobs.values().filter(|entry| entry.gang.is_some()) {
            let spec = &entry.record.spec;
            *usage.entry(spec.customer.clone()).or_insert(0) += spec.shape.total();
        }
        usage
    }

    fn explain(&self, job: &JobId) -> String {
        let Some(entry) = self.jobs.get(job) else {
            return format!("job {job} is not in failure domain {}", self.settings.domain);
        };
        let explanation = || self.planner.explain(job);
        match &entry.phase {
            JobPhase::Queued => match &self.denial {
                Some(denial) => format!("{}; no task starts now: {denial}", explanation()),
                None => explanation(),
            },
            JobPhase::BackingOff(_) => {
                "the job waits a moment before its next attempt, because earlier ones failed"
                    .to_owned()
            }
            JobPhase::Unreachable(_) => {
                "an earlier attempt may still run on a worker that does not answer; the job waits \
                 until its lease has lapsed and most workers of the domain answer, or the domain \
                 is taken out"
                    .to_owned()
            }
            JobPhase::HandoverIn => "the job arrives from another failure domain".to_owned(),
            JobPhase::Deferred => {
                let denial = self.denial.as_deref().unwrap_or("its turn is next");
                format!("a place is found; {denial}")
            }
            JobPhase::Claiming => "a place is found and its record is being written".to_owned(),
            JobPhase::Active => explanation(),
            JobPhase::Stopping(reason) => format!("the gang is being stopped: {reason:?}"),
            JobPhase::HandoverOut(target) => format!("the job goes to failure domain {target}"),
            JobPhase::Archiving => "the job has ended; its end is being recorded".to_owned(),
        }
    }

    fn dry_run(&self, text: &str) -> DomainAnswer {
        let domain = &self.settings.domain;
        let tree = match lacewingrail_settings::parse(text, "the new tree") {
            Ok(tree) => tree,
            Err(error) => return DomainAnswer::Refused(error.to_string()),
        };
        let current = self.settings.context.membership.current();
        let known = super::domain_config::guarantees(&current, domain);
        let entries = tree.customers.iter().flat_map(|(name, customer)| {
            let own = customer.guarantees.iter().filter(|entry| entry.domain == *domain);
            own.map(|entry| lacewingrail_placement::ShapeGuarantee {
                customer: name.clone(),
                shape: entry.shape,
                count: entry.count,
                precedence: customer.precedence,
                since_version: known
                    .iter()
                    .find(|known| known.customer == *name && known.shape == entry.shape)
                    .map_or(current.version + 1, |known| known.since_version),
            })
        });
        let now = self.settings.context.now();
        DomainAnswer::DryRun(self.planner.dry_run(entries.collect(), now))
    }
}
