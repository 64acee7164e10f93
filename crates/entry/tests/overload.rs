//! Guards against congestion collapse, wrong priorities of the request classes, and customers that
//! exceed their limits.

#[path = "support/test_system.rs"]
mod support;

use std::time::Duration;

use lacewingrail_entry::exchange::RequestClass;
use lacewingrail_entry::overload::queue::{Admission, AdmitError, LimiterState, QueuedRequest};
use lacewingrail_model::config::PolicyOverlay;
use reqwest::Client;
use support::{LoadSample, TestSystem, outcome, request, send_at_rate};
use tokio::time::Instant;

/// Returns the successful requests per second that ended during the load.
fn goodput(samples: &[LoadSample], seconds: f64) -> f64 {
    let within = Duration::from_secs_f64(seconds);
    let done = samples.iter().filter(|sample| sample.outcome == "done" && sample.ended <= within);
    done.count() as f64 / seconds
}

fn share_done(samples: &[LoadSample], class: &str) -> f64 {
    let of_class = samples.iter().filter(|sample| sample.class == class);
    let (mut all, mut done) = (0.0, 0.0);
    of_class.for_each(|sample| {
        all += 1.0;
        done += f64::from(u8::from(sample.outcome == "done"));
    });
    done / all
}

/// Guards against congestion collapse at twice the capacity, urgent requests that wait behind
/// others, and refusals after the deadline or without "not run".
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn goodput_holds_at_twice_the_capacity() {
    let system = TestSystem::new(PolicyOverlay::default()).await;
    let mut backends = Vec::new();
    for number in 0..3 {
        let name = format!("b{number}");
        backends.push(system.backend(&name, |settings| settings.median_ms = 100.0).await);
    }
    // Requests per second of three servers with 8 slots each and a median of 100 ms.
    let capacity = 240.0;
    let entry = system.start(|_| {}).await;
    let client = Client::new();
    let load = |rate: f64, seconds: f64| {
        send_at_rate(&client, &entry, rate, Duration::from_secs_f64(seconds), |request, number| {
            let class = ["urgent", "normal", "slow", "normal", "slow"][number % 5];
            request.header("x-class", class).header("x-deadline-ms", "1000")
        })
    };
    load(capacity, 1.0).await;
    let peak = goodput(&load(capacity, 3.0).await, 3.0);
    let samples = load(2.0 * capacity, 3.0).await;
    let over = goodput(&samples, 3.0);
    let mut counts = std::collections::BTreeMap::new();
    for sample in &samples {
        *counts.entry((&sample.class, &sample.outcome)).or_insert(0) += 1;
    }
    println!("{counts:?}");
    println!("goodput {peak} at capacity, {over} at twice the capacity");
    assert!(over >= 0.9 * peak, "{over} of {peak}");
    assert!(share_done(&samples, "urgent") >= 0.99, "{}", share_done(&samples, "urgent"));
    assert!(share_done(&samples, "normal") > share_done(&samples, "slow"));
    let others = samples.iter().filter(|sample| sample.outcome != "done");
    // A request whose deadline passes at a backend server is "unknown", and its work is wasted.
    let wasted = others.clone().filter(|sample| sample.outcome != "not-run").count();
    assert!(wasted * 100 <= samples.len(), "{wasted} of {} requests were wasted", samples.len());
    let late = others.filter(|sample| sample.elapsed > Duration::from_millis(1_100)).count();
    assert_eq!(late, 0, "refusals came after the deadline");
}

/// Guards against starvation of slow requests that could still meet their deadline.
#[test]
fn slow_request_meets_its_deadline() {
    let mut now = Instant::now();
    let mut state = LimiterState::new(now);
    state.set_capacity(4);
    let request = |class, deadline, sender: u32| QueuedRequest { class, deadline, sender };
    // Takes all permits and sets the smoothed service time to 100 ms.
    for _ in 0..4 {
        let first = request(RequestClass::Normal, now + Duration::from_secs(60), 0);
        assert_eq!(state.admit(first, now), Ok(Admission::Granted));
    }
    state.release(Some(Duration::from_millis(100)), now);
    assert!(state.grant(now).is_empty());
    let slow_deadline = now + Duration::from_secs(3);
    assert_eq!(
        state.admit(request(RequestClass::Normal, slow_deadline, 1), now),
        Ok(Admission::Granted)
    );
    assert_eq!(
        state.admit(request(RequestClass::Slow, slow_deadline, 99), now),
        Ok(Admission::Queued)
    );
    let mut granted_slow = None;
    for round in 0..200 {
        let normal = request(RequestClass::Normal, now + Duration::from_secs(60), round);
        state.admit(normal, now).unwrap();
        now += Duration::from_millis(25);
        state.release(Some(Duration::from_millis(100)), now);
        for sender in state.grant(now) {
            if sender == 99 {
                granted_slow = Some(now);
            }
        }
    }
    let granted = granted_slow.expect("the slow request got no permit");
    assert!(granted + Duration::from_millis(100) <= slow_deadline);
}

/// Guards against queued requests that cannot meet their deadline, and against a wrong queue order.
#[test]
fn requests_that_would_miss_their_deadline_are_refused() {
    let now = Instant::now();
    let mut state = LimiterState::new(now);
    state.set_capacity(1);
    let far = now + Duration::from_secs(60);
    let request = |class, deadline, sender: u32| QueuedRequest { class, deadline, sender };
    state.admit(request(RequestClass::Normal, far, 0), now).unwrap();
    state.release(Some(Duration::from_millis(100)), now);
    state.admit(request(RequestClass::Normal, far, 0), now).unwrap();
    for sender in 1..=3 {
        state.admit(request(RequestClass::Slow, far, sender), now).unwrap();
    }
    state.admit(request(RequestClass::Normal, far, 4), now).unwrap();
    let soon = now + Duration::from_millis(250);
    let refused = state.admit(request(RequestClass::Slow, soon, 5), now);
    assert!(matches!(refused, Err(AdmitError::TooLate { .. })));
    let urgent = state.admit(request(RequestClass::Urgent, soon, 6), now);
    assert_eq!(urgent, Ok(Admission::Queued));
    let mut order = Vec::new();
    for _ in 0..5 {
        state.release(Some(Duration::from_millis(100)), now);
        order.extend(state.grant(now));
    }
    assert_eq!(order, [6, 4, 1, 2, 3]);
}

/// Guards against a customer that exceeds its rate limit or its concurrency limit.
#[tokio::test]
async fn customer_limits_hold() {
    let overlay =
        PolicyOverlay { rate_limit: Some(5.0), rate_burst: Some(10), ..PolicyOverlay::default() };
    let system = TestSystem::new(overlay).await;
    let _backend = system.backend("backend", |_| {}).await;
    let entry = system.start(|_| {}).await;
    let client = Client::new();
    let mut statuses = Vec::new();
    for _ in 0..20 {
        let response = request(&client, &entry, "/x").send().await.unwrap();
        assert_eq!(outcome(&response) == "not-run", response.status().as_u16() == 429);
        statuses.push(response.status().as_u16());
    }
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert!((10..=12).contains(&served), "{statuses:?}");

    let overlay = PolicyOverlay { concurrency_limit: Some(2), ..PolicyOverlay::default() };
    let system = TestSystem::new(overlay).await;
    let _backend = system.backend("backend", |settings| settings.median_ms = 100.0).await;
    let entry = system.start(|_| {}).await;
    let calls = (0..5).map(|_| request(&client, &entry, "/x").send());
    let responses = futures::future::join_all(calls).await;
    let served = responses.iter().filter(|call| call.as_ref().unwrap().status() == 200).count();
    assert_eq!(served, 2);
}
