//! Execution of the planner's orders: calls to workers and the adviser, and writes of progress.

use std::sync::Arc;
use std::time::Duration;

use lacewingrail_fleet::order::RenewOrder;
use lacewingrail_fleet::{
    AdviceRequest, FleetEvent, FleetOrder, StartOrder, StartOutcome, StartRefusal, TaskRun,
};
use lacewingrail_model::Epoch;
use lacewingrail_model::clock::millis;
use tokio::sync::watch;

use crate::clock;
use crate::metrics::InstanceMetrics;
use crate::platform::{AdviceError, RenewError, WorkerService};
use crate::progress_writer::{ProgressSender, ProgressWrite};
use crate::schedule_controller::SchedulerHandle;

/// Epoch under which orders are sent, and the time until which starts are allowed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LeadershipPermit {
    /// Epoch of the leadership, for logs.
    pub epoch: Epoch,
    /// Time on [`clock`] until which no other process can have acquired the leadership.
    pub valid_until: Duration,
}

impl LeadershipPermit {
    /// Returns whether starts are allowed now.
    pub fn is_valid(&self) -> bool {
        self.expired_for().is_none()
    }

    /// Returns the time since the permit expired; `None` while it is valid.
    pub fn expired_for(&self) -> Option<Duration> {
        clock::now().checked_sub(self.valid_until)
    }
}

/// Executes orders; each call to a worker or the adviser runs in a task of its own.
#[derive(Clone)]
pub struct OrderExecutor {
    /// Client of workers and adviser.
    pub workers: Arc<dyn WorkerService>,
    /// Newest permit; a stop, a renewal or a CPU limit is sent also after it has expired.
    pub permit: watch::Receiver<LeadershipPermit>,
    /// Queue of the progress writer.
    pub progress: ProgressSender,
    /// Scheduler that receives the results as events.
    pub scheduler: SchedulerHandle,
    /// Metrics of this process.
    pub metrics: InstanceMetrics,
}

impl OrderExecutor {
    /// Executes an order; its result is sent to the scheduler as an event.
    pub fn execute(&self, order: FleetOrder) {
        match order {
            FleetOrder::Start(order) => {
                tokio::spawn(self.clone().start(order));
            }
            FleetOrder::Stop(run) => {
                tokio::spawn(self.clone().stop(run));
            }
            FleetOrder::Renew(order) => {
                tokio::spawn(self.clone().renew(order));
            }
            FleetOrder::LimitCpu { target, percent } => {
                tokio::spawn(self.clone().limit_cpu(target, percent));
            }
            FleetOrder::Advise(request) => {
                tokio::spawn(self.clone().advise(request));
            }
            FleetOrder::StoreProgress { job, progress } => {
                // Fails only after the leadership has ended, when the write would be rejected.
                let _ = self.progress.send(ProgressWrite::Job(job, progress));
            }
            FleetOrder::StoreRoster(workers) => {
                let _ = self.progress.send(ProgressWrite::Roster(workers));
            }
            FleetOrder::RemoveJob(job) => {
                let _ = self.progress.send(ProgressWrite::RemoveJob(job));
            }
            FleetOrder::StepDown => {}
        }
    }

    async fn start(self, order: StartOrder) {
        let permit = *self.permit.borrow();
        let sent = clock::now();
        let outcome = if permit.is_valid() {
            self.workers.start(&order).await
        } else {
            StartOutcome::Refused(StartRefusal::LeaseOver)
        };
        self.metrics.order_seconds.observe((clock::now() - sent).as_secs_f64());
        let (TaskRun { worker, task, run, token, .. }, basis) = (order.target, order.basis);
        self.metrics.start_wait_seconds.observe(basis.waited.as_secs_f64());
        log::info!(
            job = format!("{:016x}", task.job), step = task.step, task = task.index, run = run,
            worker = worker, rack = basis.rack.unwrap_or_default(),
            speed = format!("{:.2}", basis.speed), report_age_ms = millis(basis.report_age),
            waited_ms = millis(basis.waited), token = token,
            outcome = format!("{outcome:?}");
            "start ordered"
        );
        self.scheduler.tell(FleetEvent::StartAnswered { worker, task, run, outcome }).await;
    }

    async fn stop(self, run: TaskRun) {
        let sent = clock::now();
        let confirmed = self.workers.stop(&run).await;
        self.metrics.order_seconds.observe((clock::now() - sent).as_secs_f64());
        let TaskRun { worker, task, run, token, .. } = run;
        log::info!(
            job = format!("{:016x}", task.job), step = task.step, task = task.index, run = run,
            worker = worker, token = token, confirmed = confirmed;
            "stop ordered"
        );
        self.scheduler.tell(FleetEvent::StopAnswered { worker, task, run, confirmed }).await;
    }

    async fn limit_cpu(self, run: TaskRun, percent: u32) {
        let confirmed = self.workers.limit_cpu(&run, percent).await;
        let TaskRun { worker, task, run, token, .. } = run;
        log::info!(
            job = format!("{:016x}", task.job), step = task.step, task = task.index, run = run,
            worker = worker, token = token, percent = percent, confirmed = confirmed;
            "pace ordered"
        );
        if !confirmed {
            self.scheduler.tell(FleetEvent::CpuLimitUnconfirmed { worker, task, run }).await;
        }
    }

    async fn advise(self, request: AdviceRequest) {
        let answer = self.workers.advise(&request).await;
        let outcome = match &answer {
            Ok(tickets) => format!("{} allowed", tickets.len()),
            Err(AdviceError(cause)) => cause.clone(),
        };
        log::info!(
            job = format!("{:016x}", request.key.job), step = request.key.step,
            workers = request.workers.len(), outcome = outcome;
            "adviser asked"
        );
        self.scheduler.tell(FleetEvent::AdviceAnswered { request, allowed: answer.ok() }).await;
    }

    async fn renew(self, order: RenewOrder) {
        let sent = clock::now();
        let answer = self.workers.renew(&order).await;
        let (worker, token) = (order.worker, order.token);
        let event = match answer {
            Ok(report) => FleetEvent::RenewalAnswered { worker, sent, report },
            Err(error) => {
                let stale_token = error == RenewError::StaleToken;
                log::warn!(
                    worker = worker, token = token, error = format!("{error:?}");
                    "renewal failed"
                );
                FleetEvent::RenewalUnanswered { worker, stale_token }
            }
        };
        self.scheduler.tell(event).await;
    }
}
