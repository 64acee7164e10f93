//! The tasks that run while this process is the active scheduler: the schedule controller, the
//! sources of its events, the executor of its orders and the progress writer.

use std::sync::Arc;

use kameo::actor::{ActorRef, Spawn};
use lacewingrail_fleet::FleetPlanner;
use lacewingrail_model::store::Revision;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use crate::event_sources;
use crate::executor::{LeadershipPermit, OrderExecutor};
use crate::process::InstanceContext;
use crate::progress_writer::ProgressWriter;
use crate::schedule_controller::{ScheduleController, SchedulerHandle, SetEpoch, SetExecutor};

/// Running tasks of one leadership; [`LeaderRuntime::stop`] ends them.
pub struct LeaderRuntime {
    context: Arc<InstanceContext>,
    controller: ActorRef<ScheduleController>,
    permit: watch::Sender<LeadershipPermit>,
    holder_revision: watch::Sender<Revision>,
    tasks: JoinSet<()>,
}

impl LeaderRuntime {
    /// Starts all tasks; `holder_revision` is the revision of the key that holds the leadership.
    pub async fn start(
        context: Arc<InstanceContext>,
        planner: FleetPlanner,
        permit: LeadershipPermit,
        holder_revision: Revision,
    ) -> Self {
        context.metrics.epoch.set(permit.epoch as i64);
        let (permit, permit_receiver) = watch::channel(permit);
        let (holder_revision, holder_receiver) = watch::channel(holder_revision);
        let controller =
            ScheduleController::spawn(ScheduleController::new(planner, context.metrics.clone()));
        let scheduler = SchedulerHandle(controller.clone());
        let (progress, receiver) = mpsc::unbounded_channel();
        let executor = OrderExecutor {
            workers: context.workers.clone(),
            permit: permit_receiver,
            progress,
            scheduler: scheduler.clone(),
            metrics: context.metrics.clone(),
        };
        // Can't fail: the controller has just been started.
        let _ = controller.tell(SetExecutor(executor)).await;
        let writer = ProgressWriter {
            store: context.store.clone(),
            holder_revision: holder_receiver,
            scheduler: scheduler.clone(),
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(writer.run(receiver));
        event_sources::spawn(&mut tasks, &context, &scheduler);
        Self { context, controller, permit, holder_revision, tasks }
    }

    /// Returns a handle for sending events to the scheduler.
    pub fn scheduler(&self) -> SchedulerHandle {
        SchedulerHandle(self.controller.clone())
    }

    /// Returns whether the controller runs; it stops itself once a worker reports a higher epoch.
    pub fn is_alive(&self) -> bool {
        self.controller.is_alive()
    }

    /// Passes a renewed permit to the tasks; after a reacquisition also the new revision and epoch.
    pub async fn update_leadership(&self, permit: LeadershipPermit, holder_revision: Revision) {
        let epoch = permit.epoch;
        self.permit.send_replace(permit);
        if *self.holder_revision.borrow() == holder_revision {
            return;
        }
        self.holder_revision.send_replace(holder_revision);
        self.context.metrics.epoch.set(epoch as i64);
        // Fails only if the controller has stopped and needs no new epoch.
        let _ = self.controller.tell(SetEpoch(epoch)).await;
    }

    /// Stops the controller and waits for the other tasks to end.
    pub async fn stop(mut self) {
        self.controller.kill();
        self.tasks.shutdown().await;
        self.context.metrics.epoch.set(0);
    }
}
