//! Changes of the settings, and the policy for a domain that operators take out.

use std::collections::BTreeMap;

use lacewingrail_model::JobId;
use lacewingrail_model::config::{ConfigView, DomainOutAction};
use lacewingrail_placement::{CustomerShare, ShapeGuarantee};

use super::{JobController, JobPhase, StopReason};

impl JobController {
    /// Passes the current settings to the planner if their version changed.
    pub(super) fn apply_config(&mut self) {
        let config = self.settings.context.membership.current();
        if config.version == self.config_version {
            return;
        }
        self.config_version = config.version;
        let domain = &self.settings.domain;
        self.planner.set_policy(config.policy(domain, None, None).placement);
        if let Some(settings) = config.domains.get(domain) {
            self.planner.set_nominal_racks(settings.nominal_racks.clone());
        }
        self.planner.set_guarantees(guarantees(&config, domain));
        self.set_customers();
    }

    /// Passes the customers' weights, quotas and usage in other domains to the planner.
    pub(super) fn set_customers(&mut self) {
        let config = self.settings.context.membership.current();
        let shares = config.customers.iter().map(|(name, customer)| {
            let in_use_elsewhere = self.external_usage.get(name).copied().unwrap_or(0);
            let share =
                CustomerShare { weight: customer.weight, quota: customer.quota, in_use_elsewhere };
            (name.clone(), share)
        });
        self.planner.set_customer_shares(shares.collect::<BTreeMap<_, _>>());
    }

    /// Applies the policy for running gangs when the domain is taken out.
    pub(super) fn apply_domain_state(&mut self) {
        let membership = &self.settings.context.membership;
        let out = membership.is_out(&self.settings.domain);
        if out == self.domain_out {
            return;
        }
        self.domain_out = out;
        if !out {
            log::info!("failure domain {} is in service", self.settings.domain);
            return;
        }
        log::info!("failure domain {} is out of service", self.settings.domain);
        let config = membership.current();
        let mut affected: Vec<(JobId, DomainOutAction)> = Vec::new();
        for (job, entry) in &self.jobs {
            let spec = &entry.record.spec;
            let policy = config.policy(&self.settings.domain, Some(&spec.customer), None);
            let action = match policy.on_domain_out {
                // Without a checkpoint, a move would lose all work, so the gang may finish instead.
                DomainOutAction::Move if !spec.checkpointable => DomainOutAction::Finish,
                action => action,
            };
            let starting = entry.gang.as_ref().is_some_and(|gang| !gang.running);
            if entry.phase == JobPhase::Active && (starting || action != DomainOutAction::Finish) {
                affected.push((job.clone(), action));
            }
        }
        for (job, action) in affected {
            let checkpoint = action != DomainOutAction::Stop;
            self.stop(&job, StopReason::DomainOut { checkpoint });
        }
        let placed: Vec<JobId> = self
            .jobs
            .iter()
            .filter(|(_, entry)| matches!(entry.phase, JobPhase::Deferred | JobPhase::Claiming))
            .map(|(job, _)| job.clone())
            .collect();
        placed.iter().for_each(|job| self.release_placement(job));
        self.hand_over_jobs();
    }
}

/// Returns the guarantees of all customers in a domain.
pub(super) fn guarantees(config: &ConfigView, domain: &str) -> Vec<ShapeGuarantee> {
    let entries = config.customers.iter().flat_map(|(name, customer)| {
        let own = customer.guarantees.iter().filter(|guarantee| guarantee.domain == domain);
        own.map(|guarantee| ShapeGuarantee {
            customer: name.clone(),
            shape: guarantee.shape,
            count: guarantee.count,
            precedence: customer.precedence,
            since_version: guarantee.since,
        })
    });
    entries.collect()
}
