//! Guards the in-memory store against deviations from a simple model, late lease expiry, missed
//! watch events and unbounded history.

use std::collections::BTreeMap;
use std::time::Duration;

use assert_matches::assert_matches;
use lacewingrail_clients::{CallKind, MemoryStore, StoreFaults};
use lacewingrail_model::store::{KeyValueService, MAX_VALUE_BYTES, StoreError};
use proptest::prelude::*;

/// Step of a random sequence; `is_current` tells whether it expects the key's current revision.
#[derive(Clone, Debug)]
enum Step {
    Put { key: u8, is_current: bool, value: u8, lease: Option<u8> },
    Delete { key: u8, is_current: bool },
    Grant { ttl_ms: u16 },
    Renew { lease: u8 },
    Revoke { lease: u8 },
    Advance { by_ms: u16 },
    LoseAnswer,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..4_u8, any::<bool>(), any::<u8>(), prop::option::of(0..3_u8))
            .prop_map(|(key, is_current, value, lease)| Step::Put { key, is_current, value, lease }),
        2 => (0..4_u8, any::<bool>()).prop_map(|(key, is_current)| Step::Delete { key, is_current }),
        1 => (1..500_u16).prop_map(|ttl_ms| Step::Grant { ttl_ms }),
        1 => (0..3_u8).prop_map(|lease| Step::Renew { lease }),
        1 => (0..3_u8).prop_map(|lease| Step::Revoke { lease }),
        2 => (0..400_u16).prop_map(|by_ms| Step::Advance { by_ms }),
        1 => Just(Step::LoseAnswer),
    ];
    prop::collection::vec(step, 1..60)
}

/// Value, revision and lease id by key.
type ModelKeys = BTreeMap<String, (String, u64, Option<u64>)>;

#[derive(Default)]
struct ModelStore {
    keys: ModelKeys,
    /// Time to live and deadline by lease id, in milliseconds.
    leases: BTreeMap<u64, (u64, u64)>,
    revision: u64,
    now_ms: u64,
}

impl ModelStore {
    fn expire_leases(&mut self) {
        let now_ms = self.now_ms;
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| lease.1 <= now_ms).map(|(id, _)| *id).collect();
        expired.into_iter().for_each(|id| self.remove_lease(id));
    }

    fn remove_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let before = self.keys.len();
        self.keys.retain(|_, entry| entry.2 != Some(id));
        self.revision += (before - self.keys.len()) as u64;
    }
}

async fn run(steps: Vec<Step>) {
    let store = MemoryStore::seeded(1);
    let mut model = ModelStore::default();
    let mut answer_may_be_lost = false;
    let mut replica: BTreeMap<String, String> = BTreeMap::new();
    let mut seen = 0;
    for step in steps {
        // `LoseAnswer` loses the answer of the next write; every other step but `Advance` is one.
        let answer_lost = std::mem::take(&mut answer_may_be_lost);
        match step {
            Step::Put { key, is_current, value, lease } => {
                let (key, value) = (format!("k/{key}"), format!("{value}"));
                let current = model.keys.get(&key).map_or(0, |entry| entry.1);
                let expected = if is_current { current } else { current + 1 };
                let lease = lease.map(u64::from);
                let lease_ok = lease.is_none_or(|id| model.leases.contains_key(&id));
                let outcome = store.put(&key, value.clone(), expected, lease).await;
                if is_current && lease_ok {
                    model.revision += 1;
                    model.keys.insert(key, (value, model.revision, lease));
                }
                match outcome {
                    Ok(revision) => assert!(is_current && lease_ok && revision == model.revision),
                    Err(StoreError::Conflict { current: reported }) => {
                        assert!(!is_current && reported == current);
                    }
                    Err(StoreError::LeaseLapsed) => assert!(is_current && !lease_ok),
                    Err(error) => assert!(answer_lost, "{error}"),
                }
            }
            Step::Delete { key, is_current } => {
                let key = format!("k/{key}");
                let current = model.keys.get(&key).map_or(0, |entry| entry.1);
                let expected = if is_current { current } else { current + 1 };
                let outcome = store.delete(&key, expected).await;
                if is_current && model.keys.remove(&key).is_some() {
                    model.revision += 1;
                }
                assert!(answer_lost || outcome.is_ok() == is_current);
            }
            Step::Grant { ttl_ms } => {
                let ttl_ms = u64::from(ttl_ms);
                let outcome = store.grant_lease(Duration::from_millis(ttl_ms)).await;
                let lease_count = store.stats().leases;
                assert!(answer_lost || outcome.is_ok());
                if let Ok(id) = outcome {
                    model.leases.insert(id, (ttl_ms, model.now_ms + ttl_ms));
                } else {
                    // The caller does not learn the id of a lease whose answer was lost.
                    assert_eq!(lease_count, model.leases.len() as u64 + 1);
                    return;
                }
            }
            Step::Renew { lease } => {
                let outcome = store.renew_lease(u64::from(lease)).await;
                let now_ms = model.now_ms;
                let lease = model.leases.get_mut(&u64::from(lease));
                assert!(answer_lost || outcome.is_ok() == lease.is_some());
                if let Some(lease) = lease {
                    lease.1 = now_ms + lease.0;
                }
            }
            Step::Revoke { lease } => {
                let outcome = store.revoke_lease(u64::from(lease)).await;
                let lease_exists = model.leases.contains_key(&u64::from(lease));
                assert!(answer_lost || outcome.is_ok() == lease_exists);
                model.remove_lease(u64::from(lease));
            }
            Step::Advance { by_ms } => {
                tokio::time::advance(Duration::from_millis(u64::from(by_ms))).await;
                model.now_ms += u64::from(by_ms);
                answer_may_be_lost = answer_lost;
                model.expire_leases();
            }
            Step::LoseAnswer => {
                answer_may_be_lost = true;
                store.set_faults(StoreFaults::lost_answers(1));
            }
        }
        let listed = store.list("k/").await.unwrap();
        let listed: Vec<_> =
            listed.into_iter().map(|entry| (entry.key, entry.value, entry.revision)).collect();
        let expected: Vec<_> =
            model.keys.iter().map(|(key, entry)| (key.clone(), entry.0.clone(), entry.1)).collect();
        assert_eq!(listed, expected);
        assert_eq!(store.stats().revision, model.revision);

        let batch = store.watch("k/", seen, Duration::ZERO).await.unwrap();
        assert!(!batch.reset);
        seen = batch.revision;
        for event in batch.events {
            match event.value {
                Some(value) => replica.insert(event.key, value),
                None => replica.remove(&event.key),
            };
        }
        let values: BTreeMap<_, _> =
            model.keys.iter().map(|(key, entry)| (key.clone(), entry.0.clone())).collect();
        assert_eq!(replica, values, "the replayed watch events differ from the keys");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    /// Guards against differences between the store, a simple model and the replayed watch events.
    #[test]
    fn store_matches_model(steps in steps()) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(run(steps));
    }
}

/// Guards against a watch that does not report a key when its lease expires.
#[tokio::test(start_paused = true)]
async fn lease_expiry_wakes_watch() {
    let store = MemoryStore::new();
    let lease = store.grant_lease(Duration::from_secs(4)).await.unwrap();
    let revision = store.put("lease/a", "holder".into(), 0, Some(lease)).await.unwrap();
    let started = tokio::time::Instant::now();
    let batch = store.watch("lease/", revision, Duration::from_secs(30)).await.unwrap();
    assert_eq!(batch.events.len(), 1);
    assert_eq!(batch.events[0].value, None);
    assert!(started.elapsed() <= Duration::from_millis(4_010), "{:?}", started.elapsed());
    assert_eq!(store.renew_lease(lease).await, Err(StoreError::LeaseLapsed));
}

/// Guards against a key that stays readable after a clock shift expired its lease.
#[tokio::test(start_paused = true)]
async fn clock_shift_expires_lease() {
    let store = MemoryStore::new();
    let lease = store.grant_lease(Duration::from_secs(4)).await.unwrap();
    store.put("lease/a", "holder".into(), 0, Some(lease)).await.unwrap();
    store.shift_lease_clock(3_999);
    assert!(store.get("lease/a").await.unwrap().is_some());
    store.shift_lease_clock(1);
    assert_eq!(store.get("lease/a").await.unwrap(), None);
    let stale = store.put("x", "late".into(), 0, Some(lease)).await;
    assert_eq!(stale, Err(StoreError::LeaseLapsed));
}

/// Guards against a watch that keeps waiting during an outage and against uncounted watches.
#[tokio::test(start_paused = true)]
async fn outage_ends_waiting_watch() {
    let store = MemoryStore::new();
    let waiting = {
        let store = store.clone();
        tokio::spawn(async move { store.watch("", 0, Duration::from_secs(30)).await })
    };
    tokio::time::sleep(Duration::from_millis(10)).await;
    assert_eq!(store.stats().waiting_watches, 1);
    store.set_faults(StoreFaults::outage());
    assert_matches!(waiting.await.unwrap(), Err(StoreError::Unavailable(_)));
    assert_eq!(store.stats().waiting_watches, 0);
    assert_eq!(store.stats().kind(CallKind::Watch).unwrap().total, 1);
}

/// Guards against unbounded history and against a watch that skips evicted changes without a reset.
#[tokio::test]
async fn old_watch_is_reset() {
    let store = MemoryStore::new();
    let mut revision = 0;
    for number in 0..10_050 {
        revision = store.put("counter", number.to_string(), revision, None).await.unwrap();
    }
    let batch = store.watch("", 1, Duration::ZERO).await.unwrap();
    assert!(batch.reset);
    assert_eq!(batch.events.len(), 1);
    let batch = store.watch("", revision - 10, Duration::ZERO).await.unwrap();
    assert!(!batch.reset);
    assert_eq!(batch.events.len(), 10);
    let ahead = store.watch("", revision + 7, Duration::ZERO).await.unwrap();
    assert!(ahead.reset, "a store that lost its contents must not look unchanged");
}

/// Guards against accepting values over the size limit and calls over the rate limits.
#[tokio::test(start_paused = true)]
async fn calls_over_limits_are_refused() {
    let store = MemoryStore::new();
    let large = "x".repeat(MAX_VALUE_BYTES + 1);
    assert_matches!(store.put("a", large, 0, None).await, Err(StoreError::TooLarge { .. }));
    store.set_faults(StoreFaults { writes_per_second: 3, ..StoreFaults::default() });
    tokio::time::advance(Duration::from_secs(1)).await;
    let mut accepted = 0;
    for number in 0..5 {
        accepted +=
            u32::from(store.put(&format!("k{number}"), String::new(), 0, None).await.is_ok());
    }
    assert_eq!(accepted, 3);
    tokio::time::advance(Duration::from_secs(1)).await;
    assert!(store.put("later", String::new(), 0, None).await.is_ok());
}
