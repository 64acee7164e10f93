//! Guards the worker protocol over HTTP against lost errors, answers of dead workers and faults
//! that affect other workers than selected.

use std::time::Duration;

use assert_matches::assert_matches;
use lacewingrail_clients::HttpWorkerClient;
use lacewingrail_model::worker::{
    MemberId, MemberPhase, RenewItem, ReserveRequest, TASK_LEASE_TTL, WorkerError, WorkerService,
    WorkerSpec,
};
use lacewingrail_standins::{
    AllocationRecord, EndReason, FleetLayout, FleetSettings, JournalPage, WorkerFaults,
    WorkerFleet, WorkerSelection,
};

const START_DEADLINE: Duration = Duration::from_secs(2);

async fn fleet(workers: u32) -> WorkerFleet {
    let layout = FleetLayout {
        domain: "jawa-1".into(),
        workers,
        per_rack: 6,
        accelerators: 8,
        cores: 128,
        memory_mb: 512_000,
    };
    let settings = FleetSettings { lag_ms: 0, ..FleetSettings::default() };
    WorkerFleet::spawn("127.0.0.1:0", layout.specs(), settings).await.unwrap()
}

fn client() -> HttpWorkerClient {
    HttpWorkerClient::new().with_timeout(Duration::from_millis(200))
}

fn request(job: &str, work_ms: u64) -> ReserveRequest {
    ReserveRequest {
        member: MemberId { job: job.into(), attempt: 1, index: 0 },
        gang_members: 1,
        accelerators: 8,
        cores: 8,
        memory_mb: 1_000,
        ttl_ms: 2_000,
        command: String::new(),
        work_ms,
    }
}

async fn run(client: &HttpWorkerClient, worker: &WorkerSpec, request: ReserveRequest) {
    let member = request.member.clone();
    client.reserve(worker, 1, request).await.unwrap();
    client.commit(worker, 1, &member, TASK_LEASE_TTL).await.unwrap();
    client.start(worker, 1, &member, START_DEADLINE).await.unwrap();
}

/// Guards against calls that the client and the worker interpret differently.
#[tokio::test]
async fn protocol_calls_over_http() {
    let fleet = fleet(1).await;
    let (client, worker) = (client(), fleet.specs().remove(0));
    let member = request("a", 0).member;
    run(&client, &worker, request("a", 300_000)).await;
    // Each call is idempotent.
    run(&client, &worker, request("a", 300_000)).await;
    let refused = client.reserve(&worker, 1, request("b", 1)).await;
    assert_matches!(refused, Err(WorkerError::NoCapacity { .. }));
    let item = RenewItem { member: member.clone(), ttl_ms: 10_000 };
    let report = client.renew(&worker, 1, vec![item]).await.unwrap();
    assert_eq!(report.tasks[0].phase, MemberPhase::Running);
    client.throttle(&worker, 1, &member, 0.5).await.unwrap();
    tokio::time::sleep(Duration::from_millis(20)).await;
    assert!(client.checkpoint(&worker, 1, &member).await.unwrap() > 0);
    client.stop(&worker, 1, &member).await.unwrap();
    client.stop(&worker, 1, &member).await.unwrap();
    run(&client, &worker, request("b", 1)).await;
    tokio::time::sleep(Duration::from_millis(5)).await;
    let report = client.report(&worker, 2).await.unwrap();
    let phases: Vec<_> = report.tasks.iter().map(|task| task.phase).collect();
    assert_eq!(phases, [MemberPhase::Stopped, MemberPhase::Finished]);
    let stale = client.stop(&worker, 1, &member).await;
    assert_eq!(stale, Err(WorkerError::StaleEpoch { seen: 2 }));
    let page: JournalPage<AllocationRecord> =
        reqwest::get(format!("{}/v1/journal", fleet.url())).await.unwrap().json().await.unwrap();
    assert_eq!(page, fleet.journal());
    let reasons: Vec<_> = page.entries.iter().map(|record| record.reason).collect();
    assert_eq!(reasons, [Some(EndReason::Stopped), Some(EndReason::Finished)]);
}

/// Guards against a start that takes effect after its deadline because the call was slow.
#[tokio::test]
async fn delayed_start_is_refused() {
    let fleet = fleet(1).await;
    let client = HttpWorkerClient::new();
    let worker = fleet.specs().remove(0);
    let member = request("a", 0).member;
    client.reserve(&worker, 1, request("a", 300_000)).await.unwrap();
    client.commit(&worker, 1, &member, TASK_LEASE_TTL).await.unwrap();
    let slow = WorkerFaults { delay_ms: 400, ..WorkerFaults::default() };
    fleet.set_faults(&WorkerSelection::default(), slow);
    let late = client.start(&worker, 1, &member, Duration::from_millis(100)).await;
    assert_eq!(late, Err(WorkerError::PermissionExpired));
    assert_eq!(fleet.counts(&worker.id).unwrap().expired_permissions, 1);
}

/// Guards against reporting a call as without effect when a dead, silent or lossy worker does not
/// answer.
#[tokio::test]
async fn missing_answers_are_unclear() {
    let fleet = fleet(2).await;
    let client = client();
    let specs = fleet.specs();
    let first = WorkerSelection::worker(&specs[0].id);
    run(&client, &specs[0], request("a", 300_000)).await;
    for faults in [
        WorkerFaults { silent: true, ..WorkerFaults::default() },
        WorkerFaults { lost_answers: 1, ..WorkerFaults::default() },
        WorkerFaults { dead: true, ..WorkerFaults::default() },
    ] {
        assert_eq!(fleet.set_faults(&first, faults), 1);
        let lost = client.report(&specs[0], 1).await;
        assert_matches!(lost, Err(WorkerError::Unclear { .. }), "{faults:?}");
        assert!(client.report(&specs[1], 1).await.is_ok());
    }
    fleet.restart(&first, false);
    let report = client.report(&specs[0], 1).await.unwrap();
    assert_eq!((report.incarnation, report.tasks.len()), (2, 0));
    assert_eq!(fleet.journal().entries[0].reason, Some(EndReason::WorkerLost));
}

/// Guards against faults of a rack that miss one of its workers or affect another rack.
#[tokio::test]
async fn faults_select_racks_over_http() {
    let fleet = fleet(8).await;
    let http = reqwest::Client::new();
    let body = serde_json::json!({
        "selection": { "rack": "jawa-1-r01" },
        "faults": { "unhealthy": 3 },
    });
    let url = format!("{}/v1/faults", fleet.url());
    let answer = http.post(&url).json(&body).send().await.unwrap();
    let changed: serde_json::Value = answer.json().await.unwrap();
    assert_eq!(changed["workers"], 2);
    for spec in fleet.specs() {
        let healthy = client().report(&spec, 1).await.unwrap().healthy_accelerators;
        assert_eq!(healthy, if spec.rack == "jawa-1-r01" { 5 } else { 8 });
    }
    let url = format!("{}/v1/restart", fleet.specs()[0].address);
    let answer = http.post(url).json(&serde_json::json!({})).send().await.unwrap();
    assert!(answer.status().is_success());
    assert_eq!(client().report(&fleet.specs()[0], 1).await.unwrap().incarnation, 2);
    let unknown_worker = serde_json::json!({ "selection": { "worker": "x" }, "faults": {} });
    let url = format!("{}/v1/faults", fleet.url());
    assert_eq!(http.post(url).json(&unknown_worker).send().await.unwrap().status().as_u16(), 404);
}
