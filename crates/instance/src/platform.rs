//! The border to the platform.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use lacewingrail_fleet::order::RenewOrder;
use lacewingrail_fleet::{
    AdviceQuestion, LeaseReport, StartOrder, StartOutcome, TaskRun, WorkerListing, WorkerTicket,
};
use lacewingrail_model::store::{Revision, StoreError};
use lacewingrail_model::{DomainName, Epoch};

use crate::routes::ConfigTree;

/// States why a worker did not answer a renewal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RenewError {
    /// The worker has seen a higher fencing token.
    StaleToken,
    /// No usable answer came.
    NoAnswer(String),
}

/// States why an adviser did not answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdviceError(pub String);

/// Calls workers and the adviser that knows which of them may run a step.
#[async_trait]
pub trait WorkerService: Send + Sync {
    /// Starts a task.
    async fn start(&self, order: &StartOrder, token: Epoch) -> StartOutcome;

    /// Stops a run and returns whether the worker confirmed it.
    async fn stop(&self, run: &TaskRun, token: Epoch) -> bool;

    /// Changes the share that a filling task may work; returns whether the worker confirmed it.
    async fn pace(&self, run: &TaskRun, percent: u32, token: Epoch) -> bool;

    /// Extends the lease of a worker and reads its report.
    async fn renew(&self, order: &RenewOrder, token: Epoch) -> Result<LeaseReport, RenewError>;

    /// Asks which workers may run a step.
    async fn advise(&self, question: &AdviceQuestion) -> Result<Vec<WorkerTicket>, AdviceError>;
}

/// Holds what the operators ask for.
#[derive(Clone, Debug, Default)]
pub struct OperatorState {
    /// Revision of the key-value service that this state is of.
    pub revision: Revision,
    /// Settings; nothing before the first version.
    pub tree: Option<Arc<ConfigTree>>,
    /// Failure domains in which nothing may start.
    pub domains_out: BTreeSet<DomainName>,
}

/// Reads what operators and workers have written.
#[async_trait]
pub trait FleetDirectory: Send + Sync {
    /// Returns all workers.
    async fn list_workers(&self) -> Result<Vec<WorkerListing>, StoreError>;

    /// Waits up to `wait` for a state newer than `known` and returns the newest.
    async fn operator_state(
        &self,
        known: &OperatorState,
        wait: Duration,
    ) -> Result<OperatorState, StoreError>;
}
