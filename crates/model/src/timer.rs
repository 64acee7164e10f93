//! The timer service that parts subscribe to.
//!
//! Controllers do not sleep on their own: they subscribe to a period and act on each tick, so that
//! tests can drive them with tokio's paused clock. Periods carry jitter, because processes that
//! restart together would otherwise call the store together.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior};

/// Share of a period by which a subscription's first tick is spread.
const FIRST_TICK_SPREAD: f64 = 1.0;

/// Sends ticks to subscribers.
#[derive(Clone, Debug, Default)]
pub struct TimerService;

/// Delivers the ticks of one subscription; dropping it ends the subscription.
#[derive(Debug)]
pub struct TimerSubscription {
    receiver: mpsc::Receiver<Instant>,
    task: JoinHandle<()>,
}

impl TimerService {
    /// Creates the service.
    pub fn new() -> Self {
        Self
    }

    /// Subscribes to a period whose first tick comes at once.
    ///
    /// A subscriber that is late gets one tick, not all that it missed.
    pub fn subscribe(&self, period: Duration) -> TimerSubscription {
        spawn_ticks(period, Duration::ZERO)
    }

    /// Subscribes to a period whose first tick comes at a random point of the first period.
    pub fn subscribe_jittered(&self, period: Duration) -> TimerSubscription {
        spawn_ticks(period, period.mul_f64(rand::random::<f64>() * FIRST_TICK_SPREAD))
    }

    /// Waits once for a duration.
    pub async fn wait(&self, duration: Duration) {
        tokio::time::sleep(duration).await;
    }
}

impl TimerSubscription {
    /// Waits for the next tick.
    pub async fn tick(&mut self) -> Instant {
        match self.receiver.recv().await {
            Some(instant) => instant,
            None => std::future::pending().await,
        }
    }
}

impl Drop for TimerSubscription {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn spawn_ticks(period: Duration, first: Duration) -> TimerSubscription {
    let (sender, receiver) = mpsc::channel(1);
    let task = tokio::spawn(async move {
        let mut interval = tokio::time::interval_at(Instant::now() + first, period);
        interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let instant = interval.tick().await;
            if let Err(mpsc::error::TrySendError::Closed(_)) = sender.try_send(instant) {
                return;
            }
        }
    });
    TimerSubscription { receiver, task }
}
