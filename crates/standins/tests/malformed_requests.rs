//! Guards the stand-ins' servers against panics on malformed requests, which would fail a test for
//! a fault of the stand-in.

use std::cell::RefCell;
use std::collections::BTreeMap;

use lacewingrail_standins::fault_proxy::control::spawn_control;
use lacewingrail_standins::{
    BackendServer, BackendSettings, FaultProxy, FleetLayout, FleetSettings, InstanceListServer,
    WorkerFleet,
};
use proptest::prelude::*;
use proptest::test_runner::TestRunner;

const LOCAL: &str = "127.0.0.1:0";

/// Generates bodies close to valid ones: wrong types, extreme numbers, missing and unknown fields.
fn bodies() -> impl Strategy<Value = Vec<u8>> {
    let member = r#"\{"job":"[a-z]{0,3}","attempt":(-1|[0-9]{1,11}),"index":[0-9]\}"#;
    let number = r"(-1|0|1|7|0\.5|1e300|18446744073709551615|18446744073709551616|null)";
    let call = format!(
        r#"\{{"epoch":{number},"member":{member},"ttl_ms":{number},"share":{number},"not_after_ms":{number},"items":\[\]\}}"#
    );
    let reserve = format!(
        r#"\{{"epoch":{number},"request":\{{"member":{member},"gang_members":1,"accelerators":{number},"cores":{number},"memory_mb":{number},"ttl_ms":{number},"command":"(fail-after [0-9]{{0,30}}|usage [a-z0-9.]{{0,5}}|)","work_ms":{number}\}}\}}"#
    );
    let faults = format!(r#"\{{"(speed|delay_ms|unhealthy|error|late_ms|lag_ms)":{number}\}}"#);
    prop_oneof![
        prop::collection::vec(any::<u8>(), 0..60),
        proptest::string::string_regex(&call).unwrap().prop_map(String::into_bytes),
        proptest::string::string_regex(&reserve).unwrap().prop_map(String::into_bytes),
        proptest::string::string_regex(&faults).unwrap().prop_map(String::into_bytes),
        r#"\{"(from|to|name|selection|rule)":("[a-z]{0,3}"|\{\}|null)\}"#
            .prop_map(String::into_bytes),
    ]
}

/// Guards against a request without a complete answer because its handler panicked.
#[test]
fn every_request_is_answered() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let layout = FleetLayout {
        domain: "d".into(),
        workers: 1,
        per_rack: 1,
        accelerators: 8,
        cores: 8,
        memory_mb: 8,
    };
    let (fleet, list, backend, control) = runtime.block_on(async {
        let settings = BackendSettings { median_ms: 0.1, ..BackendSettings::default() };
        (
            WorkerFleet::spawn(LOCAL, layout.specs(), FleetSettings::default()).await.unwrap(),
            InstanceListServer::spawn(LOCAL).await.unwrap(),
            BackendServer::spawn(LOCAL, settings).await.unwrap(),
            spawn_control(LOCAL, FaultProxy::new(1)).await.unwrap(),
        )
    });
    let worker = fleet.specs().remove(0).address;
    let calls = ["reserve", "commit", "start", "renew", "checkpoint", "throttle", "stop", "faults"];
    let mut urls: Vec<String> =
        calls.into_iter().map(|call| format!("{worker}/v1/{call}")).collect();
    urls.extend(["faults", "restart"].map(|path| format!("{}/v1/{path}", fleet.url())));
    urls.extend(["instances", "workers", "faults"].map(|path| format!("{}/v1/{path}", list.url())));
    urls.extend(["", "v1/faults", "v1/leaving"].map(|path| format!("{}/{path}", backend.url())));
    let paths = ["links", "rules", "cut", "silence", "reset"];
    urls.extend(paths.map(|path| format!("{}/v1/{path}", control.url())));

    let client = reqwest::Client::new();
    let statuses = RefCell::new(BTreeMap::<u16, u32>::new());
    let mut runner = TestRunner::new(ProptestConfig::with_cases(500));
    runner
        .run(&(prop::sample::select(urls), bodies()), |(url, body)| {
            let request = client.post(&url).header("content-type", "application/json");
            let request = request.header("x-work-ms", "1").body(body);
            let answered = runtime.block_on(async {
                let answer = request.send().await?;
                let status = answer.status().as_u16();
                answer.bytes().await.map(|_| status)
            });
            prop_assert!(answered.is_ok(), "{url}: {answered:?}");
            *statuses.borrow_mut().entry(answered.unwrap_or_default()).or_default() += 1;
            // Clears faults that the request may have set, which would delay or break later
            // requests.
            fleet.set_faults(&Default::default(), Default::default());
            list.set_faults(Default::default());
            backend.set_faults(Default::default());
            Ok(())
        })
        .unwrap();
    // Some bodies must pass the parsers, or the handlers are not tested.
    let passed = statuses.borrow().get(&200).copied().unwrap_or_default();
    assert!(passed >= 25, "{statuses:?}");
    let tasks = format!("{worker}/v1/tasks?epoch=18446744073709551615");
    assert!(runtime.block_on(client.get(tasks).send()).unwrap().status().is_success());
}
