//! A request load that records each request and does not retry.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lacewingrail_dev::callers::{CallerClient, CallerRequest, TryOutcome};
use tokio::task::{JoinHandle, JoinSet};

/// Request rate, per second.
const REQUESTS_PER_SECOND: f64 = 50.0;
/// One in this many requests must not run twice, if the load has non-repeatable requests.
const NON_REPEATABLE_INTERVAL: u64 = 5;
/// Timeout of a request, above the deadline of the service.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// One request, sent once, with its outcome.
#[derive(Clone, Debug)]
pub struct LoadSample {
    pub sent_at: Instant,
    /// Time until the outcome was known.
    pub latency: Duration,
    /// Base URL of the entry process.
    pub target: String,
    /// Idempotency key of a request that must not run twice.
    pub key: Option<String>,
    pub outcome: TryOutcome,
}

/// URLs that the load calls in turn; a test may change them while the load runs.
pub type LoadTargets = Arc<Mutex<Vec<String>>>;

/// Running request load; dropping it does not stop the load, only [`TestLoad::stop`] does.
#[derive(Debug)]
pub struct TestLoad {
    stopping: Arc<AtomicBool>,
    samples: Arc<Mutex<Vec<LoadSample>>>,
    task: JoinHandle<()>,
}

impl TestLoad {
    /// Starts a load; with `non_repeatable`, one in [`NON_REPEATABLE_INTERVAL`] requests must
    /// not run twice.
    ///
    /// The label is part of each request body and idempotency key.
    pub fn start(label: &str, targets: LoadTargets, non_repeatable: bool) -> Self {
        let stopping = Arc::new(AtomicBool::new(false));
        let samples: Arc<Mutex<Vec<LoadSample>>> = Arc::default();
        let state = (stopping.clone(), samples.clone(), label.to_owned());
        let task = tokio::spawn(async move {
            let (stopping, samples, label) = state;
            let client = CallerClient::default();
            let mut ticks =
                tokio::time::interval(Duration::from_secs_f64(1.0 / REQUESTS_PER_SECOND));
            ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            let mut calls = JoinSet::new();
            let mut number: u64 = 0;
            while !stopping.load(Ordering::Acquire) {
                ticks.tick().await;
                number += 1;
                let target = {
                    let targets = targets.lock().expect("the mutex is not poisoned");
                    let Some(target) = targets.get(number as usize % targets.len().max(1)) else {
                        continue;
                    };
                    target.clone()
                };
                let key = (non_repeatable && number.is_multiple_of(NON_REPEATABLE_INTERVAL))
                    .then(|| format!("{label}-{number}"));
                let request = build_request(&format!("{label} {number}"), key);
                let (client, samples) = (client.clone(), samples.clone());
                calls.spawn(async move {
                    let sent_at = Instant::now();
                    let outcome = client.send(&target, &request, ANSWER_TIMEOUT).await;
                    let (latency, key) = (sent_at.elapsed(), request.key);
                    let sample = LoadSample { sent_at, latency, target, key, outcome };
                    samples.lock().expect("the mutex is not poisoned").push(sample);
                });
                while calls.try_join_next().is_some() {}
            }
            calls.join_all().await;
        });
        Self { stopping, samples, task }
    }

    /// Returns the samples of the requests that have ended so far.
    pub fn samples(&self) -> Vec<LoadSample> {
        self.samples.lock().expect("the mutex is not poisoned").clone()
    }

    /// Stops the load and returns all samples once every request has ended.
    pub async fn stop(self) -> Vec<LoadSample> {
        self.stopping.store(true, Ordering::Release);
        self.task.await.expect("the load task should not panic");
        let samples = self.samples.lock().expect("the mutex is not poisoned").clone();
        assert!(!samples.is_empty(), "the load sent no request");
        samples
    }
}

/// Builds a request of the customer `north`; one with a key must not run twice.
pub fn build_request(body: &str, key: Option<String>) -> CallerRequest {
    CallerRequest {
        service: super::cluster::SERVICE.to_owned(),
        customer: "north".to_owned(),
        class: "normal",
        key,
        body: body.to_owned(),
        work_ms: None,
    }
}

/// Panics unless `select` matches some samples and all of these got a complete answer.
pub fn assert_all_done<F>(samples: &[LoadSample], description: &str, select: F)
where
    F: Fn(&LoadSample) -> bool,
{
    let selected: Vec<_> = samples.iter().filter(|sample| select(sample)).collect();
    let failed: Vec<_> =
        selected.iter().filter(|sample| sample.outcome != TryOutcome::Done).collect();
    let slowest = selected.iter().map(|sample| sample.latency).max().unwrap_or_default();
    println!(
        "{description}: {} of {} answered, the slowest in {slowest:?}",
        selected.len() - failed.len(),
        selected.len()
    );
    assert!(!selected.is_empty(), "{description}: no request was sent");
    assert!(failed.is_empty(), "{description}: {} failed, such as {:?}", failed.len(), failed[0]);
}
