//! Tests of submission, lookup and cancellation of jobs.

use std::sync::Arc;
use std::time::Duration;

use lacewingrail_admin::SubmissionRecord;
use lacewingrail_clients::StoreFaults;
use lacewingrail_model::admin::DomainAnswer;
use lacewingrail_model::clock::unix_millis;
use lacewingrail_model::job::{HistoryPage, JobRecord, JobState};
use lacewingrail_model::keys;
use lacewingrail_model::store::{KeyValueService, StoreError};
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::harness::{ApiResponse, BANK_TOKEN, OPERATOR_TOKEN, READER_TOKEN, TestContext};

fn job_spec(members: u32, key: Option<&str>) -> Value {
    json!({
        "customer": "bank", "class": "normal", "declared_ms": 1000, "idempotency_key": key,
        "shape": { "members": members, "accelerators": 8, "adjacency": "rack" },
    })
}

async fn submit(context: &Arc<TestContext>, job: &Value) -> ApiResponse {
    context.call(BANK_TOKEN, "POST", "/v1/jobs", &[], job.to_string()).await
}

async fn stored_records(context: &TestContext) -> Vec<JobRecord> {
    let entries = context.store.list(keys::JOBS).await.expect("list");
    entries.iter().map(|entry| serde_json::from_str(&entry.value).expect("record")).collect()
}

/// Guards against a repeated submission that creates a second job, also after lost store responses.
#[tokio::test(start_paused = true)]
async fn repeated_submission_returns_the_first_job() {
    for lost_answers in 0..5 {
        for lost_requests in 0..3 {
            let context = TestContext::with_tree().await;
            context.store.set_faults(StoreFaults {
                lost_answers,
                lost_requests,
                ..StoreFaults::default()
            });
            let first = submit(&context, &job_spec(1, Some("k1"))).await;
            let repeated = submit(&context, &job_spec(1, Some("k1"))).await;
            assert_eq!(
                (first.status, repeated.status),
                (201, 200),
                "{} {}",
                first.text,
                repeated.text
            );
            assert_eq!(first.json()["id"], repeated.json()["id"]);
            assert_eq!(
                stored_records(&context).await.len(),
                1,
                "{lost_answers} lost responses, {lost_requests} lost requests"
            );
            let different_job = submit(&context, &job_spec(2, Some("k1"))).await;
            assert_eq!(different_job.status, 422, "{}", different_job.text);
        }
    }
}

/// Guards against concurrent submissions with the same key that create several jobs.
#[tokio::test(start_paused = true)]
async fn concurrent_submissions_create_one_job() {
    let context = TestContext::with_tree().await;
    context.store.set_faults(StoreFaults::slow(Duration::from_millis(10)));
    let mut tasks = JoinSet::new();
    for _ in 0..16 {
        let context = context.clone();
        tasks.spawn(async move {
            submit(&context, &job_spec(1, Some("k1"))).await.json()["id"].clone()
        });
    }
    let ids = tasks.join_all().await;
    assert!(ids.iter().all(|id| *id == ids[0] && id.is_string()), "{ids:?}");
    assert_eq!(stored_records(&context).await.len(), 1);
}

/// Guards against a job that is lost when a process fails between the claim of the key and the
/// write of the record, and against a late repetition that runs a finished job again.
#[tokio::test]
async fn interrupted_submission_is_resumed_once() {
    let context = TestContext::with_tree().await;
    let first = submit(&context, &job_spec(1, Some("k1"))).await.json();
    let id = first["id"].as_str().expect("id").to_owned();
    let entries = context.store.list(keys::SUBMISSIONS).await.expect("list");
    let entry = entries.first().expect("claim");
    let mut claim: SubmissionRecord = serde_json::from_str(&entry.value).expect("claim");
    assert!(claim.created);
    claim.created = false;
    let value = serde_json::to_string(&claim).expect("encode");
    context.store.put(&entry.key, value, entry.revision, None).await.expect("put");
    let record = context.store.list(keys::JOBS).await.expect("list").remove(0);
    context.store.delete(&record.key, record.revision).await.expect("delete");
    let repeated = submit(&context, &job_spec(1, Some("k1"))).await;
    assert_eq!((repeated.status, &repeated.json()["id"]), (201, &first["id"]));

    // Simulates the scheduler, which finishes the job and moves its record to the history.
    let entry = context.store.list(keys::JOBS).await.expect("list").remove(0);
    let mut record: JobRecord = serde_json::from_str(&entry.value).expect("record");
    record.state = JobState::Finished;
    let page = HistoryPage { jobs: vec![record.clone()], mark: String::new() };
    let history = serde_json::to_string(&page).expect("encode");
    let key = keys::history(&record.owner, unix_millis() / 86_400_000);
    context.store.put(&key, history, 0, None).await.expect("put");
    context.store.delete(&entry.key, entry.revision).await.expect("delete");
    let repeated = submit(&context, &job_spec(1, Some("k1"))).await;
    assert_eq!((repeated.status, &repeated.json()["state"]["state"]), (200, &"finished".into()));
    assert_eq!(stored_records(&context).await.len(), 0);
    let listed = context.get(READER_TOKEN, "/v1/jobs?history=true").await.json();
    assert_eq!(listed[0]["id"], id);
}

/// Guards against accepting a job that can never run and would wait forever.
#[tokio::test]
async fn impossible_jobs_are_refused_with_a_reason() {
    let context = TestContext::with_tree().await;
    let cases = [
        ("/shape/members", json!(5), "quota"),
        ("/shape/members", json!(0), "members"),
        ("/shape/accelerators", json!(9), "accelerators"),
        ("/customer", json!("nobody"), "not in the settings"),
        ("/domains", json!(["z"]), "does not exist"),
        ("/domains", json!(["b"]), "large enough"),
        ("/shape/adjacency", json!("worker"), "large enough"),
    ];
    for (pointer, value, expected_text) in cases {
        let mut spec = job_spec(3, None);
        spec["domains"] = json!([]);
        *spec.pointer_mut(pointer).expect("field") = value.clone();
        let response =
            context.call(OPERATOR_TOKEN, "POST", "/v1/jobs", &[], spec.to_string()).await;
        assert_eq!(response.status, 422, "{pointer} {value}: {}", response.text);
        assert!(response.text.contains(expected_text), "{pointer} {value}: {}", response.text);
    }
    assert!(stored_records(&context).await.is_empty());
    // A domain that is out of service is only temporarily unavailable.
    context.call(OPERATOR_TOKEN, "POST", "/v1/domains/a/out", &[], "").await;
    assert_eq!(submit(&context, &job_spec(3, None)).await.status, 201);
}

/// Guards against choosing an owner that is out of service or full, or that lacks the customer's
/// guarantee.
#[tokio::test]
async fn owner_is_chosen_by_state_guarantee_and_capacity() {
    let context = TestContext::with_tree().await;
    context.add_free_accelerators("a", 32);
    context.add_free_accelerators("b", 2);
    assert_eq!(
        submit(&context, &job_spec(1, None)).await.json()["owner"],
        "a",
        "most free accelerators"
    );
    assert_eq!(
        submit(&context, &job_spec(2, None)).await.json()["owner"],
        "b",
        "guarantee of the shape"
    );
    context.call(OPERATOR_TOKEN, "POST", "/v1/domains/b/out", &[], "").await;
    assert_eq!(submit(&context, &job_spec(2, None)).await.json()["owner"], "a", "in service");
    context.answers.lock().expect("lock").remove("a");
    assert_eq!(
        submit(&context, &job_spec(2, None)).await.json()["owner"],
        "a",
        "no answer but in service"
    );
}

/// Guards against a cancellation that overwrites a newer record of the scheduler, or an ended job.
#[tokio::test(start_paused = true)]
async fn cancellation_keeps_concurrent_updates() {
    let context = TestContext::with_tree().await;
    let id =
        submit(&context, &job_spec(1, None)).await.json()["id"].as_str().expect("id").to_owned();
    let path = format!("/v1/jobs/{id}");
    context.store.set_faults(StoreFaults {
        lost_answers: 1,
        ..StoreFaults::slow(Duration::from_millis(10))
    });
    // Simulates the scheduler, which concurrently updates the attempt number of the job.
    let scheduler = async {
        let mut attempts = 0;
        loop {
            let entry = context.store.list(keys::JOBS).await.expect("list").remove(0);
            let mut record: JobRecord = serde_json::from_str(&entry.value).expect("record");
            if record.state == JobState::Cancelled {
                return (attempts, record.attempt);
            }
            record.attempt = attempts + 1;
            let value = serde_json::to_string(&record).expect("encode");
            let put = context.store.put(&entry.key, value, entry.revision, None).await;
            attempts += u32::from(matches!(put, Ok(_) | Err(StoreError::Unclear(_))));
            tokio::time::sleep(Duration::from_millis(35)).await;
        }
    };
    let (response, (written, recorded)) =
        tokio::join!(context.call(BANK_TOKEN, "DELETE", &path, &[], ""), scheduler);
    assert!(
        written > 0 && written == recorded,
        "{written} attempts were written, {recorded} are in the record"
    );
    context.store.set_faults(StoreFaults::default());
    assert_eq!((response.status, &response.json()["state"]["state"]), (200, &"cancelled".into()));
    assert_eq!(
        context.call(BANK_TOKEN, "DELETE", &path, &[], "").await.status,
        200,
        "a repeated cancellation succeeds"
    );

    let entry = context.store.list(keys::JOBS).await.expect("list").remove(0);
    let mut record: JobRecord = serde_json::from_str(&entry.value).expect("record");
    record.state = JobState::Finished;
    let value = serde_json::to_string(&record).expect("encode");
    context.store.put(&entry.key, value, entry.revision, None).await.expect("put");
    assert_eq!(context.call(BANK_TOKEN, "DELETE", &path, &[], "").await.status, 409);
    assert_eq!(stored_records(&context).await[0].state, JobState::Finished);
    assert_eq!(context.call(BANK_TOKEN, "DELETE", "/v1/jobs/none", &[], "").await.status, 404);
}

/// Guards against a waiting job without a reason, and job lists that ignore their filters.
#[tokio::test]
async fn jobs_are_listed_and_explained() {
    let context = TestContext::with_tree().await;
    context.add_answer("b", DomainAnswer::Why("no rack has 2 free workers".to_owned()));
    let mut spec = job_spec(2, None);
    spec["domains"] = json!(["b"]);
    let id = submit(&context, &spec).await.json()["id"].as_str().expect("id").to_owned();
    let why = context.get(BANK_TOKEN, &format!("/v1/jobs/{id}/why")).await.json();
    assert_eq!(why["reason"], "no rack has 2 free workers");
    let damaged = keys::job(&"b".to_owned(), &"damaged".to_owned());
    context.store.put(&damaged, "{".to_owned(), 0, None).await.expect("put");
    for (query, count) in [
        ("", 1),
        ("?state=queued", 1),
        ("?state=running", 0),
        ("?class=slow", 0),
        ("?domain=b", 1),
        ("?domain=a", 0),
        ("?customer=shop", 0),
        ("?limit=0", 0),
    ] {
        let listed = context.get(READER_TOKEN, &format!("/v1/jobs{query}")).await.json();
        assert_eq!(listed.as_array().map(Vec::len), Some(count), "{query}");
    }
    assert_eq!(context.get(READER_TOKEN, "/v1/jobs?colour=red").await.status, 400);
    assert_eq!(context.get(READER_TOKEN, "/v1/jobs?domain=..").await.status, 404);
}

/// Guards against a job that is listed twice, or cancelled under the wrong key, while its owner
/// changes.
#[tokio::test]
async fn job_stored_under_two_owners_is_listed_once() {
    let context = TestContext::with_tree().await;
    context.add_free_accelerators("a", 32);
    let id =
        submit(&context, &job_spec(1, None)).await.json()["id"].as_str().expect("id").to_owned();
    let entry = context.store.list(keys::JOBS).await.expect("list").remove(0);
    let mut record: JobRecord = serde_json::from_str(&entry.value).expect("record");
    record.owner = "b".to_owned();
    let value = serde_json::to_string(&record).expect("encode");
    context.store.put(&entry.key, value.clone(), entry.revision, None).await.expect("put");
    let path = format!("/v1/jobs/{id}");
    assert_eq!(
        context.get(BANK_TOKEN, &path).await.status,
        200,
        "only the former owner's record exists"
    );
    context.store.put(&keys::job(&record.owner, &id), value, 0, None).await.expect("put");
    let listed = context.get(READER_TOKEN, "/v1/jobs").await.json();
    assert_eq!(listed.as_array().map(Vec::len), Some(1));
    assert_eq!(context.call(BANK_TOKEN, "DELETE", &path, &[], "").await.status, 200);
    let states: Vec<JobState> =
        stored_records(&context).await.into_iter().map(|job| job.state).collect();
    assert_eq!(states, [JobState::Queued, JobState::Cancelled]);
}
