//! Guards read-modify-write against lost updates and against writes that take effect twice.

use std::time::Duration;

use assert_matches::assert_matches;
use lacewingrail_clients::{MemoryStore, StoreFaults, UpdateError, WriteIdRecord, read, update};
use lacewingrail_model::store::{KeyValueService, StoreError};
use lacewingrail_model::write_id::{WriteId, WriteIdGenerator, generate_instance_id};
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct Counter {
    value: u64,
    mark: WriteId,
}

impl WriteIdRecord for Counter {
    fn write_id(&self) -> &str {
        &self.mark
    }

    fn set_write_id(&mut self, write_id: WriteId) {
        self.mark = write_id;
    }
}

/// Record that keeps the ids of all its writes.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
struct Ledger {
    marks: Vec<WriteId>,
}

impl WriteIdRecord for Ledger {
    fn write_id(&self) -> &str {
        self.marks.last().map_or("", |mark| mark)
    }

    fn set_write_id(&mut self, write_id: WriteId) {
        self.marks.push(write_id);
    }

    fn took_effect(&self, write_id: &str) -> Option<bool> {
        Some(self.marks.iter().any(|stored| stored == write_id))
    }
}

fn generator() -> WriteIdGenerator {
    WriteIdGenerator::new(generate_instance_id("test"))
}

fn add(current: Option<Counter>) -> Result<Counter, String> {
    let mut counter = current.unwrap_or_default();
    counter.value += 1;
    Ok(counter)
}

/// Guards against applying a write twice when only its answer was lost.
#[tokio::test(start_paused = true)]
async fn write_with_lost_answer_applies_once() {
    let store = MemoryStore::new();
    let generator = generator();
    update(&store, &generator, "counter", add).await.unwrap();
    store.set_faults(StoreFaults::lost_answers(1));
    let written = update(&store, &generator, "counter", add).await.unwrap();
    assert_eq!(written.record.value, 2);
    let (stored, revision) = read::<Counter>(&store, "counter").await.unwrap().unwrap();
    assert_eq!((stored, revision), (written.record, written.revision));
}

/// Guards against reporting success for a write that never arrived.
#[tokio::test(start_paused = true)]
async fn lost_request_is_retried() {
    let store = MemoryStore::new();
    store.set_faults(StoreFaults { lost_requests: 2, ..StoreFaults::default() });
    let written = update(&store, &generator(), "counter", add).await.unwrap();
    assert_eq!(written.record.value, 1);
    assert_eq!(store.get("counter").await.unwrap().unwrap().revision, written.revision);
}

/// Guards against lost updates when concurrent writers conflict and answers are lost at random.
#[tokio::test(start_paused = true)]
async fn concurrent_writers_lose_no_updates() {
    for seed in 0..5 {
        let store = MemoryStore::seeded(seed);
        store.set_faults(StoreFaults {
            lost_answer_share: 0.3,
            ..StoreFaults::slow(Duration::from_millis(2))
        });
        let writers = (0..6).map(|_| {
            let store = store.clone();
            tokio::spawn(async move {
                let generator = generator();
                let mut confirmed = Vec::new();
                let mut unclear = 0_usize;
                for _ in 0..10 {
                    let change =
                        |current: Option<Ledger>| Ok::<_, String>(current.unwrap_or_default());
                    match update(&store, &generator, "ledger", change).await {
                        Ok(written) => confirmed.push(written.record),
                        Err(UpdateError::Store(StoreError::Unclear(_))) => unclear += 1,
                        Err(UpdateError::Store(StoreError::Conflict { .. })) => {}
                        Err(error) => panic!("seed {seed}: {error}"),
                    }
                }
                (confirmed.len(), unclear)
            })
        });
        let (mut confirmed, mut unclear) = (0, 0);
        for writer in writers.collect::<Vec<_>>() {
            let counts = writer.await.unwrap();
            confirmed += counts.0;
            unclear += counts.1;
        }
        let (ledger, _) = read::<Ledger>(&store, "ledger").await.unwrap().unwrap();
        let mut marks = ledger.marks.clone();
        marks.sort();
        marks.dedup();
        assert_eq!(marks.len(), ledger.marks.len(), "seed {seed}: a write took effect twice");
        assert!(marks.len() >= confirmed, "seed {seed}: a confirmed write is missing");
        assert!(marks.len() <= confirmed + unclear, "seed {seed}: a failed write took effect");
        assert!(confirmed >= 30, "seed {seed}: {confirmed} confirmed");
    }
}

/// Guards against reporting success or refusal when another writer overwrote the record after an
/// unclear write.
#[tokio::test(start_paused = true)]
async fn update_of_overwritten_record_is_unclear() {
    let store = MemoryStore::new();
    let other_generator = generator();
    store.set_faults(StoreFaults {
        lost_answers: 1,
        ..StoreFaults::slow(Duration::from_millis(20))
    });
    let pending_update = {
        let store = store.clone();
        tokio::spawn(async move { update(&store, &generator(), "counter", add).await })
    };
    tokio::time::sleep(Duration::from_millis(35)).await;
    store.set_faults(StoreFaults::default());
    update(&store, &other_generator, "counter", add).await.unwrap();
    let outcome = pending_update.await.unwrap();
    assert_matches!(outcome, Err(UpdateError::Store(StoreError::Unclear(_))));
    let (stored, _) = read::<Counter>(&store, "counter").await.unwrap().unwrap();
    assert_eq!(stored.value, 2);
}

/// Guards against writing a rejected change and against reporting an outage or a malformed value as
/// another error.
#[tokio::test(start_paused = true)]
async fn refusal_and_faults_are_reported() {
    let store = MemoryStore::new();
    let refuse = |_: Option<Counter>| Err::<Counter, _>("full".to_owned());
    let outcome = update(&store, &generator(), "counter", refuse).await;
    assert_matches!(outcome, Err(UpdateError::Refused(reason)) if reason == "full");
    assert_eq!(store.get("counter").await.unwrap(), None);

    store.put("bad", "{".into(), 0, None).await.unwrap();
    let outcome = update(&store, &generator(), "bad", add).await;
    assert_matches!(outcome, Err(UpdateError::Store(StoreError::Malformed(_))));

    store.set_faults(StoreFaults::outage());
    let outcome = update(&store, &generator(), "counter", add).await;
    assert_matches!(outcome, Err(UpdateError::Store(StoreError::Unavailable(_))));
}
