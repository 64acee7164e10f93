//! Periodic ticks for controllers.
//!
//! Controllers do not sleep: they subscribe to a period and act on each tick, so that tests can drive
//! them with tokio's paused clock. The first tick can be delayed at random, because processes that
//! restart together would otherwise call the store at the same time.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, MissedTickBehavior};

/// Maximum random delay of a jittered first tick, as a share of the period.
const MAX_JITTER_SHARE: f64 = 1.0;

/// Source of periodic ticks; each subscription runs its own task.
#[derive(Clone, Debug, Default)]
pub struct TimerService;

/// Receiver of the ticks of one subscription, which ends when this is dropped.
#[derive(Debug)]
pub struct TimerSubscription {
    receiver: mpsc::Receiver<Instant>,
    task: JoinHandle<()>,
}

impl TimerService {
    /// Creates a service without subscriptions.
    pub fn new() -> Self {
        Self
    }

    /// Subscribes to a period; the first tick comes immediately.
    ///
    /// A subscriber that falls behind gets one tick instead of all that it missed.
    pub fn subscribe(&self, period: Duration) -> TimerSubscription {
        spawn_ticks(period, Duration::ZERO)
    }

    /// Subscribes to a period; the first tick comes at a random time within the first period.
    pub fn subscribe_jittered(&self, period: Duration) -> TimerSubscription {
        spawn_ticks(period, period.mul_f64(rand::random::<f64>() * MAX_JITTER_SHARE))
    }

    /// Waits once for a duration on the same clock as the ticks.
    pub async fn wait(&self, duration: Duration) {
        tokio::time::sleep(duration).await;
    }
}

impl TimerSubscription {
    /// Waits for the next tick and returns its time.
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

fn spawn_ticks(period: Duration, first_delay: Duration) -> TimerSubscription {
    let (sender, receiver) = mpsc::channel(1);
    let task = tokio::spawn(async move {
        let mut interval = tokio::time::interval_at(Instant::now() + first_delay, period);
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
