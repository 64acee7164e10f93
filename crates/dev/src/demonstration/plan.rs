//! Names what the demonstration uses of a settings tree.

use std::time::Duration;

use lacewingrail_model::config::ConfigView;
use lacewingrail_model::job::{JobSpec, WorkClass};
use lacewingrail_model::shape::{AdjacencyLevel, GangShape};
use lacewingrail_model::{CustomerName, DomainName, ServiceName};

/// Names the customers, the shape and the failure domains of the steps.
#[derive(Clone, Debug, PartialEq)]
pub struct DemonstrationPlan {
    /// Customer whose guarantee is reclaimed.
    pub owner: CustomerName,
    /// Guaranteed shape.
    pub shape: GangShape,
    /// Failure domain of the guarantee, which is taken out later.
    pub domain: DomainName,
    /// Failure domains to which the owner's gang may move.
    pub alternative_domains: Vec<DomainName>,
    /// Customer that borrows.
    pub borrower: CustomerName,
    /// All customers.
    pub customers: Vec<CustomerName>,
    /// Service of the requests.
    pub service: ServiceName,
}

impl DemonstrationPlan {
    /// Chooses the guarantee of several members in one rack whose customer is honoured first.
    ///
    /// Returns nothing if the tree has no such guarantee, or no second customer or service.
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
        // Where the owner has the same guarantee, its gang would run there from the start.
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

    /// Describes a gang of the guaranteed shape.
    pub fn gang_spec(&self, customer: &str, domains: Vec<DomainName>, work: Duration) -> JobSpec {
        JobSpec {
            customer: customer.to_owned(),
            shape: self.shape,
            class: WorkClass::Urgent,
            declared_ms: u64::try_from(work.as_millis()).unwrap_or(u64::MAX),
            cores: 0,
            memory_mb: 0,
            checkpointable: true,
            domains,
            command: String::new(),
            idempotency_key: None,
        }
    }

    /// Describes a borrower's job that takes a whole worker of the domain.
    pub fn whole_worker_spec(&self, work: Duration) -> JobSpec {
        let shape = GangShape { members: 1, accelerators: 8, adjacency: AdjacencyLevel::Worker };
        let spec = self.gang_spec(&self.borrower, vec![self.domain.clone()], work);
        JobSpec { shape, class: WorkClass::Normal, ..spec }
    }
}
