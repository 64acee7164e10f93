//! Interfaces to the users' platform: workers, the adviser, and the operators' settings.
//!
//! The key-value service has its own traits in `lacewingrail_model::store`.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use lacewingrail_fleet::order::RenewOrder;
use lacewingrail_fleet::{
    AdviceRequest, LeaseReport, StartOrder, StartOutcome, TaskRun, WorkerListing, WorkerTicket,
};
use lacewingrail_model::DomainName;
use lacewingrail_model::store::{Revision, StoreError};

use crate::routes::ConfigTree;

/// Reason why the renewal of a worker's lease failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RenewError {
    /// The worker has seen a higher fencing token, of a newer call or of another scheduler.
    StaleToken,
    /// No answer, an error status or a malformed report, with the cause for logs.
    NoAnswer(String),
}

/// Cause for logs when the adviser gave no usable answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AdviceError(pub String);

/// Sends orders to workers and queries the adviser, which decides which workers may run a step.
///
/// Every order carries its fencing token: a worker refuses one that is lower than it has seen.
#[async_trait]
pub trait WorkerService: Send + Sync {
    /// Starts a task; an unanswered call ends in [`StartOutcome::Unclear`].
    async fn start(&self, order: &StartOrder) -> StartOutcome;

    /// Stops a run; returns whether the worker confirmed the stop.
    async fn stop(&self, run: &TaskRun) -> bool;

    /// Limits the CPU share of a filling task to `percent`, 0 to 100; returns whether the worker
    /// confirmed the limit.
    async fn limit_cpu(&self, run: &TaskRun, percent: u32) -> bool;

    /// Renews the lease of a worker and returns its report.
    ///
    /// # Errors
    /// Reports a stale fencing token, or that no valid report was received.
    async fn renew(&self, order: &RenewOrder) -> Result<LeaseReport, RenewError>;

    /// Returns the workers that the adviser allows to run a step, each with its ticket.
    ///
    /// # Errors
    /// Reports that no adviser is configured or that it gave no usable answer.
    async fn advise(&self, request: &AdviceRequest) -> Result<Vec<WorkerTicket>, AdviceError>;
}

/// Operators' settings and the failure domains out of service, as read at one revision.
#[derive(Clone, Debug, Default)]
pub struct OperatorState {
    /// Revision of the key-value service at which the state was read; 0 before the first read.
    pub revision: Revision,
    /// Newest version of the settings that could be decoded; `None` before the first.
    pub tree: Option<Arc<ConfigTree>>,
    /// Failure domains that operators have taken out of service; no task may start there.
    pub disabled_domains: BTreeSet<DomainName>,
}

/// Reads the entries that operators and workers write into the key-value service.
#[async_trait]
pub trait FleetDirectory: Send + Sync {
    /// Lists all workers, without malformed entries.
    ///
    /// # Errors
    /// Reports a failure of the key-value service.
    async fn list_workers(&self) -> Result<Vec<WorkerListing>, StoreError>;

    /// Waits up to `wait` for a state newer than `known` and returns the newest one.
    ///
    /// # Errors
    /// Reports a failure of the key-value service.
    async fn operator_state(
        &self,
        known: &OperatorState,
        wait: Duration,
    ) -> Result<OperatorState, StoreError>;
}
