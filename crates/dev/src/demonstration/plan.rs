//! Selection of the customers, gang shape and failure domains that the demonstration uses.

use std::time::Duration;

use lacewingrail_model::config::ConfigView;
use lacewingrail_model::job::{JobSpec, WorkClass};
use lacewingrail_model::shape::{AdjacencyLevel, GangShape};
use lacewingrail_model::{CustomerName, DomainName, ServiceName};

/// Customers, gang shape and failure domains of the demonstration, all from one settings tree.
#[derive(Clone, Debug, PartialEq)]
pub struct DemonstrationPlan {
    /// Customer whose guarantee is reclaimed.
    pub owner: CustomerName,
    /// Gang shape of the guarantee.
    pub shape: GangShape,
    /// Failure domain of the guarantee, which step 3 takes out of service.
    pub domain: DomainName,
    /// Failure domains to which the owner's gang may move while `domain` is out of service.
    pub alternative_domains: Vec<DomainName>,
    /// Customer without a guarantee in `domain`, whose jobs borrow its accelerators.
    pub borrower: CustomerName,
    /// All customers, on whose behalf requests are sent.
    pub customers: Vec<CustomerName>,
    /// Service that the requests call.
    pub service: ServiceName,
}

impl DemonstrationPlan {
    /// Selects the first guarantee of a gang of several members in one rack, in the order of
    /// customer precedence, and as borrower the customer with the largest quota among those without
    /// a guarantee in its failure domain.
    ///
    /// Returns `None` if the tree has no such guarantee, no such second customer or no service.
    pub fn choose(view: &ConfigView) -> Option<Self> {
        let mut customers: Vec<_> = view.customers.iter().collect();
        customers.sort_by_key(|(_, customer)| customer.precedence);
        let guarantees = customers.iter().flat_map(|(name, customer)| {
            customer.guarantees.iter().map(move |guarantee| (*name, *customer, guarantee))
        });
        let is_rack_gang =
            |shape: GangShape| shape.members > 1 && shape.adjacency == AdjacencyLevel::Rack;
        let (owner, customer, guarantee) =
            guarantees.into_iter().find(|(_, _, guarantee)| is_rack_gang(guarantee.shape))?;
        // In a domain with the same guarantee, the gang could start at once without reclaiming.
        let has_same_guarantee = |name: &DomainName| {
            let mut shapes = customer.guarantees.iter().filter(|entry| entry.domain == *name);
            shapes.any(|entry| entry.shape == guarantee.shape)
        };
        let has_guarantee = |customer: &str| {
            let guarantees = &view.customers[customer].guarantees;
            guarantees.iter().any(|entry| entry.domain == guarantee.domain)
        };
        let borrowers = customers.iter().filter(|(name, _)| *name != owner && !has_guarantee(name));
        let (borrower, _) = borrowers.max_by_key(|(_, customer)| customer.quota)?;
        Some(Self {
            owner: owner.clone(),
            shape: guarantee.shape,
            domain: guarantee.domain.clone(),
            alternative_domains: view
                .domains
                .keys()
                .filter(|name| !has_same_guarantee(name))
                .cloned()
                .collect(),
            borrower: (*borrower).clone(),
            customers: view.customers.keys().cloned().collect(),
            service: view.services.keys().next()?.clone(),
        })
    }

    /// Returns the specification of an urgent gang of the guaranteed shape, with a run time at
    /// nominal speed.
    pub fn gang_spec(
        &self,
        customer: &str,
        domains: Vec<DomainName>,
        run_time: Duration,
    ) -> JobSpec {
        JobSpec {
            customer: customer.to_owned(),
            shape: self.shape,
            class: WorkClass::Urgent,
            declared_ms: u64::try_from(run_time.as_millis()).unwrap_or(u64::MAX),
            cores: 0,
            memory_mb: 0,
            checkpointable: true,
            domains,
            command: String::new(),
            idempotency_key: None,
        }
    }

    /// Returns the specification of a borrower's job that occupies a whole worker of the domain.
    pub fn whole_worker_spec(&self, run_time: Duration) -> JobSpec {
        let shape = GangShape { members: 1, accelerators: 8, adjacency: AdjacencyLevel::Worker };
        let spec = self.gang_spec(&self.borrower, vec![self.domain.clone()], run_time);
        JobSpec { shape, class: WorkClass::Normal, ..spec }
    }
}
