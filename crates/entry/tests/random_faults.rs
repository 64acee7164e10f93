//! Guards against truncated or mismatched responses (I4), false outcomes (I5) and second runs (I6)
//! under random pairs of faults.
//!
//! `LACEWINGRAIL_SEED` sets the seed and `LACEWINGRAIL_ROUNDS` the number of rounds; the soak test
//! is `LACEWINGRAIL_STRICT=1 LACEWINGRAIL_ROUNDS=200 cargo test --release -p lacewingrail-entry
//! --test random_faults`. Outcomes are checked against the runs that the backend servers record.

#[path = "support/test_system.rs"]
mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use lacewingrail_clients::StoreFaults;
use lacewingrail_entry::EntryHandle;
use lacewingrail_model::config::PolicyOverlay;
use lacewingrail_model::invariant;
use lacewingrail_standins::{BackendFaults, BackendServer, FaultProxy, LinkSelection, LinkSpec};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::{CUSTOMER, SERVICE, TestSystem, matches_request, run_in};
use tokio::runtime::Runtime;

const BACKENDS: usize = 4;
/// Number of requests in a round; half of them are non-repeatable, with three for each key.
const REQUESTS_PER_ROUND: usize = 80;

/// Entry process on its own runtime, so that a test can kill it.
struct KillableEntry {
    runtime: Runtime,
    entry: Arc<EntryHandle>,
}

impl KillableEntry {
    async fn start(system: &TestSystem) -> Self {
        let runtime = Runtime::new().unwrap();
        let system_clone = system.clone();
        let entry = run_in(&runtime, async move { system_clone.start(|_| {}).await }).await;
        system.list_entry(&entry);
        Self { runtime, entry: Arc::new(entry) }
    }

    fn kill(self) {
        self.runtime.shutdown_background();
    }
}

/// Outcomes that callers got for one idempotency key.
#[derive(Debug, Default)]
struct KeyOutcomes {
    /// Number of responses with the outcome "done".
    done: u32,
    /// Outcome of the last response, after the faults of its round were cleared.
    last: String,
}

fn draw_backend_faults(random: &mut ChaCha8Rng) -> BackendFaults {
    let none = BackendFaults::default();
    match random.random_range(0..8) {
        0 => BackendFaults { truncated: 0.5, ..none },
        1 => BackendFaults { crossed: 0.5, ..none },
        2 => BackendFaults { dropped: 0.5, ..none },
        3 => BackendFaults { late: 0.5, late_ms: 700, ..none },
        4 => BackendFaults { hang: 0.3, ..none },
        5 => BackendFaults { error: 0.5, ..none },
        6 => BackendFaults { refused: 0.5, ..none },
        _ => BackendFaults { speed: 0.1, ..none },
    }
}

fn draw_store_faults(random: &mut ChaCha8Rng) -> StoreFaults {
    match random.random_range(0..4) {
        0 => StoreFaults::outage(),
        1 => StoreFaults::slow(Duration::from_millis(150)),
        2 => StoreFaults { lost_answer_share: 0.5, ..StoreFaults::default() },
        _ => StoreFaults { lost_requests: 20, ..StoreFaults::default() },
    }
}

/// Injects two random faults; returns whether an entry process must be killed in this round.
fn inject_faults(
    random: &mut ChaCha8Rng,
    system: &TestSystem,
    backends: &[BackendServer],
    proxy: &FaultProxy,
) -> bool {
    let mut kill = false;
    for _ in 0..2 {
        match random.random_range(0..5) {
            0 => system.store.set_faults(draw_store_faults(random)),
            1 => kill = true,
            2 => {
                let link = LinkSelection::link(format!("b{}", random.random_range(0..BACKENDS)));
                if random.random() {
                    proxy.silence(&link)
                } else {
                    proxy.reset(&link)
                };
            }
            _ => {
                let backend = &backends[random.random_range(0..BACKENDS)];
                backend.set_faults(draw_backend_faults(random));
            }
        }
    }
    kill
}

/// Sends one request and checks that a successful response is whole and belongs to the request.
/// Returns the outcome; `None` after a transport error.
async fn send(entry: Arc<EntryHandle>, body: String, key: Option<String>) -> Option<String> {
    let client = reqwest::Client::new();
    let url = format!("http://{}/{SERVICE}/x", entry.caller_address());
    let mut request = client.post(url).header("x-customer", CUSTOMER).body(body.clone());
    request = request.header("x-deadline-ms", "1000").header("x-answer-bytes", "3000");
    if let Some(key) = &key {
        request = request.header("idempotency-key", key).header("x-non-repeatable", "true");
    }
    let response = request.send().await.ok()?;
    let (outcome, status) = (support::outcome(&response), response.status());
    let bytes = response.bytes().await.ok()?;
    if outcome == "done" && status.is_success() && !bytes.is_empty() {
        let response: serde_json::Value =
            serde_json::from_slice(&bytes).expect("the response is truncated");
        assert!(
            matches_request(&response, body.as_bytes()),
            "response to another request for {body}: {response}"
        );
    }
    Some(outcome)
}

/// Checks the outcomes of non-repeatable requests: each key runs at most once, and no outcome is
/// false.
fn check(key_outcomes: &BTreeMap<String, KeyOutcomes>, backends: &[BackendServer]) {
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for counts in backends.iter().map(BackendServer::runs) {
        counts.by_key.into_iter().for_each(|(key, count)| *runs.entry(key).or_default() += count);
    }
    for (key, outcomes) in key_outcomes {
        let ran = runs.get(key).copied().unwrap_or(0);
        assert!(ran <= 1, "I6: {key} ran {ran} times: {outcomes:?}");
        assert!(
            outcomes.done == 0 || ran == 1,
            "I4: {key} is \"done\" but never ran: {outcomes:?}"
        );
        let is_false = outcomes.last == "not-run" && ran > 0;
        assert!(!is_false, "I5: {key} ran although its last outcome is \"not-run\"");
    }
}

/// Checks the outcomes of repeatable requests, each sent once.
fn check_repeatable(outcomes: &BTreeMap<u64, String>, backends: &[BackendServer]) {
    let journals = backends.iter().map(BackendServer::journal);
    let ran: BTreeSet<u64> =
        journals.flat_map(|journal| journal.entries).map(|run| run.body_digest).collect();
    for (digest, outcome) in outcomes {
        let is_false = (outcome == "not-run" && ran.contains(digest))
            || (outcome == "done" && !ran.contains(digest));
        assert!(!is_false, "I5: the outcome {outcome} of a request contradicts the record of runs");
    }
}

async fn run(seed: u64, rounds: usize) {
    println!("seed {seed}, {rounds} rounds");
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let system = TestSystem::new(PolicyOverlay::default()).await;
    let proxy = FaultProxy::new(seed);
    let mut backends = Vec::new();
    for number in 0..BACKENDS {
        let name = format!("b{number}");
        let backend = system.backend(&name, |settings| settings.seed = seed).await;
        let target = backend.handle().address().to_string();
        let link = proxy.add_link(LinkSpec::new(&name, "entry", "backends", target)).await.unwrap();
        system.list.change(|entries| entries[number].address = format!("http://{link}"));
        backends.push(backend);
    }
    let mut entries =
        vec![KillableEntry::start(&system).await, KillableEntry::start(&system).await];
    let mut key_outcomes: BTreeMap<String, KeyOutcomes> = BTreeMap::new();
    let mut repeatable: BTreeMap<u64, String> = BTreeMap::new();
    for round in 0..rounds {
        let kill = inject_faults(&mut random, &system, &backends, &proxy);
        let mut calls = Vec::new();
        for number in 0..REQUESTS_PER_ROUND {
            let entry = entries[random.random_range(0..entries.len())].entry.clone();
            // Three callers send each key at the same time, through random processes.
            let key = (number % 2 == 0).then(|| format!("{seed}-{round}-{}", number / 6));
            let body = key.clone().unwrap_or_else(|| format!("{round}/{number}"));
            let digest = lacewingrail_model::hash::digest(body.as_bytes());
            calls.push((key.clone(), digest, tokio::spawn(send(entry, body, key))));
            tokio::time::sleep(Duration::from_millis(random.random_range(0..8))).await;
            if kill && number == REQUESTS_PER_ROUND / 2 {
                entries.remove(0).kill();
            }
        }
        for (key, digest, call) in calls {
            match (key, call.await.expect("a caller got an invalid response")) {
                (Some(key), Some(outcome)) => {
                    let outcomes = key_outcomes.entry(key).or_default();
                    outcomes.done += u32::from(outcome == "done");
                }
                (None, Some(outcome)) => drop(repeatable.insert(digest, outcome)),
                (_, None) => {}
            }
        }
        backends.iter().for_each(|backend| backend.set_faults(BackendFaults::default()));
        system.store.set_faults(StoreFaults::default());
        if entries.len() < 2 {
            entries.push(KillableEntry::start(&system).await);
        }
        // Callers retry each key through a random process after the faults have been cleared.
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        for number in 0..REQUESTS_PER_ROUND / 6 {
            let key = format!("{seed}-{round}-{number}");
            let entry = entries[random.random_range(0..2)].entry.clone();
            let outcomes = key_outcomes.entry(key.clone()).or_default();
            if let Some(outcome) = send(entry, key.clone(), Some(key)).await {
                outcomes.done += u32::from(outcome == "done");
                outcomes.last = outcome;
            }
        }
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    check(&key_outcomes, &backends);
    check_repeatable(&repeatable, &backends);
    let count_last =
        |outcome: &str| key_outcomes.values().filter(|outcomes| outcomes.last == outcome).count();
    println!(
        "{} keys: {} done, {} unknown",
        key_outcomes.len(),
        count_last("done"),
        count_last("unknown")
    );
    assert!(count_last("done") * 2 > key_outcomes.len(), "at most half of the keys are done");
    assert!(invariant::violations().is_empty(), "{:?}", invariant::violations());
    entries.into_iter().for_each(KillableEntry::kill);
}

/// Guards against violations that only a combination of two faults causes.
#[test]
fn pairs_of_faults_keep_the_invariants() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let rounds = number("LACEWINGRAIL_ROUNDS").unwrap_or(3);
    let seeds = number("LACEWINGRAIL_SEED").map_or(vec![1, 2], |seed| vec![seed as u64]);
    for seed in seeds {
        Runtime::new().unwrap().block_on(run(seed, rounds));
    }
}
