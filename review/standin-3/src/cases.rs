//! The cases: each drives a small deployment and judges what runners and clients have seen.

use std::time::{Duration, Instant};

use crate::deployment::{Deployment, Verdict, config, job, pause, route, route_to, step};
use crate::json::{Json, int, text};
use crate::worker::Profile;

/// Time after the end of the traffic at which jobs are asked for (`finish_s`).
const FINISH: f64 = 14.0;
/// Time for which a job may have nothing running (rule LOST).
const NOTHING_RUNNING: f64 = 3.0;

pub type Case = fn(&mut Deployment, bool) -> Result<Verdict, String>;

/// Returns a case by its name.
pub fn find(name: &str) -> Option<Case> {
    match name {
        "rack" => Some(rack),
        "route" => Some(dropped_route),
        "memory" => Some(memory),
        "kind" => Some(kind),
        "pending" => Some(pending),
        "budget" => Some(budget),
        "away" => Some(away),
        "zone" => Some(zone),
        "late" => Some(late),
        _ => None,
    }
}

fn runner(zone: &str, kind: &str, rack: &str, gpu_count: i64) -> Profile {
    Profile {
        service: "desk".to_owned(),
        zone: zone.to_owned(),
        kind: kind.to_owned(),
        rack: rack.to_owned(),
        millicores: 16_000,
        mem_mb: 32_768,
        gpu_count,
    }
}

fn ensure(condition: bool, what: &str) -> Result<(), String> {
    if condition { Ok(()) } else { Err(what.to_owned()) }
}

/// Returns whether a job has nothing running for 3 s from `finish_s` after the end of the traffic.
fn is_idle_at_the_end(deployment: &Deployment, job: &str, traffic_end: Instant) -> bool {
    let begin = traffic_end + Duration::from_secs_f64(FINISH);
    let end = begin + Duration::from_secs_f64(NOTHING_RUNNING);
    std::thread::sleep(end.saturating_duration_since(Instant::now()));
    let overlaps = |started: Instant, ended: Option<Instant>| {
        started < end && ended.is_none_or(|ended| ended > begin)
    };
    !deployment.runs(job).iter().any(|run| overlaps(run.started, run.ended))
}

fn done(deployment: &Deployment, task: &str) -> bool {
    deployment.runs(task).iter().any(|run| run.task == task && run.how == "done")
}

fn is_running(deployment: &Deployment, task: &str) -> bool {
    deployment.runs(task).iter().any(|run| run.task == task && run.ended.is_none())
}

/// A runner leaves the rack that holds a job's data; the rack's other runner is full, and so is
/// another service.
fn rack(deployment: &mut Deployment, trouble: bool) -> Result<Verdict, String> {
    let mut workers = Vec::new();
    for index in 0..20 {
        let (service, rack) = match index {
            0 | 1 => ("desk", "r1-1"),
            2..8 => ("desk", "r1-2"),
            8..14 => ("press", "r1-3"),
            _ => ("press", "r1-4"),
        };
        let zone = ["zone-a", "zone-b"][index % 2];
        let profile = Profile { service: service.to_owned(), ..runner(zone, "a", rack, 8) };
        workers.push(deployment.add_worker(&format!("i-{index}"), profile));
    }
    let routes = vec![route("desk", "/desk/", 1, 4), route_to("press", "press", "/press/", 1, 4)];
    deployment.configure(1, config(routes, 0));
    deployment.add_instances(3)?;
    let members = |count: i64, gpu_count: i64| {
        [
            ("count", int(count)),
            ("millicores", int(2000)),
            ("mem_mb", int(1024)),
            ("gpu_count", int(gpu_count)),
            ("estimate_ms", int(1000)),
        ]
    };
    let whole = step(members(12, 8).into_iter().chain([("long_running", Json::Bool(true))]));
    let press = "00000000000000f1";
    let status = deployment.submit(2, "/press/", press, &job("lasting", vec![whole]));
    ensure(status == 200, "the other service's job is not accepted")?;
    let is_full = || deployment.runs(press).len() == 12;
    ensure(deployment.wait_until(8.0, is_full), "the other service's job does not run")?;
    let near = ("data_rack", text("r1-1"));
    let lasting =
        members(1, 8).into_iter().chain([("long_running", Json::Bool(true)), near.clone()]);
    let lasting = step(lasting);
    let first = "00000000000000a1";
    let status = deployment.submit(0, "/desk/", first, &job("lasting", vec![lasting]));
    ensure(status == 200, "the lasting job is not accepted")?;
    let task = format!("{first}.0.0.0");
    ensure(deployment.wait_until(5.0, || is_running(deployment, &task)), "it does not run")?;
    let holder = deployment.runs(&task)[0].worker.clone();
    ensure(holder == "i-0" || holder == "i-1", "it does not run in its rack")?;
    if trouble {
        let leaving = workers
            .iter()
            .find(|worker| worker.id() != holder && (worker.id() == "i-0" || worker.id() == "i-1"));
        let leaving = leaving.ok_or("no runner to take away")?;
        leaving.drain();
        pause(4.0);
        leaving.leave();
        pause(4.0);
    }
    let second = "00000000000000b2";
    let small = step(members(2, 2).into_iter().chain([near]));
    let status = deployment.submit(1, "/desk/", second, &job("work-ms=1000", vec![small]));
    ensure(status == 200, "the second job is not accepted")?;
    let idle = is_idle_at_the_end(deployment, second, Instant::now());
    let state = deployment.state(0, "/desk/", second);
    let runs = deployment.runs(second).len();
    if idle && state != "completed" {
        return Ok(Verdict::Broken(format!(
            "LOST: accepted job {second} is shown as {state:?} with {runs} runs, 14 to 17 s after \
             the end of the traffic; 8 of its service's 56 accelerators are in use, it needs 4"
        )));
    }
    Ok(Verdict::Held)
}

/// A version drops the route of a job whose second step has not begun.
fn dropped_route(deployment: &mut Deployment, trouble: bool) -> Result<Verdict, String> {
    for index in 0..6 {
        let zone = ["zone-a", "zone-b"][index % 2];
        deployment.add_worker(&format!("i-{index}"), runner(zone, "a", "r1-1", 8));
    }
    let (kept, dropped) = (route("kept", "/kept/", 1, 4), route("desk", "/desk/", 1, 4));
    deployment.configure(1, config(vec![kept.clone(), dropped.clone()], 8));
    deployment.add_instances(3)?;
    let task = |after: Vec<Json>| {
        step([
            ("count", int(2)),
            ("millicores", int(2000)),
            ("mem_mb", int(1024)),
            ("gpu_count", int(1)),
            ("estimate_ms", int(3000)),
            ("after", Json::List(after)),
        ])
    };
    let id = "00000000000000c3";
    let body = job("work-ms=3000", vec![task(vec![]), task(vec![int(0)])]);
    ensure(deployment.submit(0, "/desk/", id, &body) == 200, "the job is not accepted")?;
    let first = format!("{id}.0.0.0");
    ensure(deployment.wait_until(5.0, || is_running(deployment, &first)), "it does not run")?;
    pause(1.0);
    let routes = if trouble { vec![kept] } else { vec![kept, dropped] };
    deployment.configure(3, config(routes, 8));
    let idle = is_idle_at_the_end(deployment, id, Instant::now());
    let ended = (0..2).filter(|index| done(deployment, &format!("{id}.0.1.{index}"))).count();
    let state = deployment.state(0, if trouble { "/kept/" } else { "/desk/" }, id);
    if idle && ended < 2 {
        return Ok(Verdict::Broken(format!(
            "LOST: of accepted job {id}, {ended} of 2 tasks of step 1 are done and none runs, 14 to \
             17 s after the end of the traffic; its state is {state:?}; all 48 accelerators are free"
        )));
    }
    Ok(Verdict::Held)
}

/// Hands a job in; a client without an answer, or with a refusal that invites to try again, sends it
/// again, at the next instance. Returns whether it was accepted.
fn hand_in(deployment: &Deployment, index: usize, id: &str, body: &Json) -> bool {
    (0..12).any(|attempt| {
        if attempt > 0 {
            pause(1.0);
        }
        deployment.submit((index + attempt) % 3, "/desk/", id, body) == 200
    })
}

/// One of 25 submissions is large, within the limits of the pages.
fn memory(deployment: &mut Deployment, trouble: bool) -> Result<Verdict, String> {
    const ORDINARY: usize = 24;
    const STEPS: usize = 400;
    for index in 0..6 {
        let zone = ["zone-a", "zone-b"][index % 2];
        deployment.add_worker(&format!("i-{index}"), runner(zone, "a", "r1-1", 8));
    }
    deployment.configure(1, config(vec![route("desk", "/desk/", 2, 4)], 8));
    deployment.add_instances(3)?;
    let members = |count: i64| {
        step([
            ("count", int(count)),
            ("millicores", int(1000)),
            ("mem_mb", int(256)),
            ("gpu_count", int(1)),
            ("estimate_ms", int(500)),
        ])
    };
    let ordinary = job("work-ms=500", vec![members(2)]);
    let mut accepted = Vec::new();
    for index in 0..ORDINARY {
        let id = format!("00000000000007{index:02x}");
        if trouble && index == ORDINARY - 1 {
            let body = job("work-ms=500", (0..STEPS).map(|_| members(10_000)).collect());
            let bytes = body.to_string().len();
            deployment.record.add(&format!("the next submission has {bytes} bytes"));
            hand_in(deployment, 1, "00000000000000e5", &body);
        }
        if hand_in(deployment, index, &id, &ordinary) {
            accepted.push(id);
        }
        pause(0.1);
    }
    let traffic_end = Instant::now();
    std::thread::sleep(Duration::from_secs_f64(FINISH + NOTHING_RUNNING));
    let kills: Vec<usize> = deployment.instances.iter().map(|entry| entry.memory_kills()).collect();
    let open = |id: &&String| !(0..2).all(|index| done(deployment, &format!("{id}.0.0.{index}")));
    let open = accepted.iter().filter(open).count();
    let seconds = traffic_end.elapsed().as_secs();
    deployment.record.add(&format!("kills for memory by instance: {kills:?}"));
    if kills.iter().filter(|kills| **kills >= 3).count() >= 2 {
        return Ok(Verdict::Broken(format!(
            "Fault: the instances were over memory_mb {kills:?} times; {} of {ORDINARY} ordinary \
             jobs were accepted, and {open} of these are not done {seconds} s after the traffic",
            accepted.len()
        )));
    }
    Ok(Verdict::Held)
}

/// Runners crash and return under their ids and addresses as another kind.
fn kind(deployment: &mut Deployment, trouble: bool) -> Result<Verdict, String> {
    const RUNNERS: usize = 7;
    const OUTAGE: f64 = 1.0;
    let profile = |index: usize, kind: &str| {
        runner(["zone-a", "zone-b"][index % 2], kind, &format!("r1-{}", index / 3), 8)
    };
    let workers: Vec<_> = (0..RUNNERS)
        .map(|index| {
            let kind = if index < 5 { format!("k{index}") } else { "b".to_owned() };
            deployment.add_worker(&format!("i-{index}"), profile(index, &kind))
        })
        .collect();
    deployment.configure(1, config(vec![route("desk", "/desk/", 1, 4)], 8));
    deployment.add_instances(3)?;
    for (index, worker) in workers.iter().take(5).enumerate() {
        let id = format!("00000000000001a{index}");
        let label = format!("k{index}");
        let needs = step([
            ("count", int(1)),
            ("millicores", int(2000)),
            ("mem_mb", int(1024)),
            ("gpu_count", int(1)),
            ("estimate_ms", int(4000)),
            ("requires", text(label.clone())),
        ]);
        let spec = "work-ms=4000";
        let status = deployment.submit(index % 3, "/desk/", &id, &job(spec, vec![needs]));
        ensure(status == 200, "a job is not accepted")?;
        let task = format!("{id}.0.0.0");
        ensure(deployment.wait_until(5.0, || is_running(deployment, &task)), "it does not run")?;
        pause(1.0 + 0.13 * index as f64);
        if trouble {
            worker.crash();
            pause(OUTAGE);
            worker.begin_life(profile(index, "b"));
        }
        pause(4.5);
        let wrong = deployment.runs(&task).into_iter().find(|run| run.kind != label);
        if let Some(run) = wrong {
            return Ok(Verdict::Broken(format!(
                "ROUTE: task {task} requires {label} and was started as attempt {} on {}, whose \
                 labels were kind {} then",
                run.attempt, run.worker, run.kind
            )));
        }
    }
    Ok(Verdict::Held)
}

/// One runner of twelve refuses starts for 6.5 s while the others are full.
fn pending(deployment: &mut Deployment, trouble: bool) -> Result<Verdict, String> {
    let workers: Vec<_> = (0..12)
        .map(|index| {
            let zone = ["zone-a", "zone-b"][index % 2];
            deployment.add_worker(&format!("i-{index}"), runner(zone, "a", "r1-1", 8))
        })
        .collect();
    let routes = vec![route("desk", "/desk/", 2, 4), route("full", "/full/", 2, 4)];
    deployment.configure(1, config(routes, 8));
    deployment.add_instances(3)?;
    let full = step([
        ("count", int(11)),
        ("millicores", int(8000)),
        ("mem_mb", int(8192)),
        ("gpu_count", int(8)),
        ("estimate_ms", int(30_000)),
    ]);
    let first = "00000000000002a0";
    let status = deployment.submit(0, "/full/", first, &job("work-ms=30000", vec![full]));
    ensure(status == 200, "the first job is not accepted")?;
    let busy = || deployment.runs(first).len() == 11;
    ensure(deployment.wait_until(5.0, busy), "the first job does not run")?;
    let used: Vec<String> = deployment.runs(first).into_iter().map(|run| run.worker).collect();
    let free = workers.iter().find(|worker| !used.contains(&worker.id().to_owned()));
    let free = free.ok_or("no runner is free")?;
    pause(1.0);
    if trouble {
        free.set_unhealthy(true);
    }
    let began = Instant::now();
    let ids: Vec<String> = (0..3).map(|index| format!("00000000000003b{index}")).collect();
    for (index, id) in ids.iter().enumerate() {
        let small = step([
            ("count", int(1)),
            ("millicores", int(2000)),
            ("mem_mb", int(1024)),
            ("gpu_count", int(2)),
            ("estimate_ms", int(3000)),
        ]);
        let status = deployment.submit(index, "/desk/", id, &job("work-ms=3000", vec![small]));
        ensure(status == 200, "a job is not accepted")?;
    }
    // `visible_ms` and 2 s after the last acceptance.
    let accepted = Instant::now();
    std::thread::sleep(Duration::from_millis(5200).saturating_sub(accepted.elapsed()));
    let mut broken = None;
    for instance in 0..3 {
        let has_begun = |id: &&String| !deployment.runs(id).is_empty();
        let waiting = ids.iter().filter(|id| !has_begun(id)).count() as i64;
        let answer = deployment.request(instance, "GET", "/desk/", "");
        let still = ids.iter().filter(|id| !has_begun(id)).count() as i64;
        let body = answer.and_then(|(_, body)| Json::parse(&body));
        let shown = body.and_then(|body| body.get("pending").and_then(Json::int));
        if let Some(shown) = shown
            && shown * 2 < waiting.min(still)
        {
            let states: Vec<String> =
                ids.iter().map(|id| deployment.state(instance, "/desk/", id)).collect();
            broken = Some(format!(
                "MIXED: `pending` is {shown}, and {still} jobs that were accepted over 5 s before \
                 have not begun; their states are {states:?}"
            ));
        }
    }
    std::thread::sleep(Duration::from_millis(6500).saturating_sub(began.elapsed()));
    free.set_unhealthy(false);
    Ok(broken.map_or(Verdict::Held, Verdict::Broken))
}

/// A version drops a route and a later one adds it again, while a task fails for the last time.
fn budget(deployment: &mut Deployment, trouble: bool) -> Result<Verdict, String> {
    for index in 0..6 {
        let zone = ["zone-a", "zone-b"][index % 2];
        deployment.add_worker(&format!("i-{index}"), runner(zone, "a", "r1-1", 8));
    }
    let (kept, changed) = (route("kept", "/kept/", 1, 2), route("desk", "/desk/", 1, 2));
    let whole = config(vec![kept.clone(), changed], 8);
    deployment.configure(1, whole.clone());
    deployment.add_instances(3)?;
    let fails = step([
        ("count", int(1)),
        ("millicores", int(2000)),
        ("mem_mb", int(1024)),
        ("gpu_count", int(1)),
        ("estimate_ms", int(4000)),
    ]);
    let id = "00000000000004a0";
    let status = deployment.submit(0, "/desk/", id, &job("fail-ms=4000", vec![fails]));
    ensure(status == 200, "the job is not accepted")?;
    let second_runs = || deployment.runs(id).len() == 2;
    ensure(deployment.wait_until(12.0, second_runs), "the task is not tried again")?;
    pause(1.0);
    if trouble {
        deployment.configure(4, config(vec![kept], 8));
        pause(6.0);
        deployment.configure(6, whole);
    }
    pause(12.0);
    let failed = deployment.runs(id).iter().filter(|run| run.how == "failed").count();
    let runs = deployment.runs(id).len();
    if runs > 2 {
        return Ok(Verdict::Broken(format!(
            "BUDGET: task {id}.0.0.0 was started {runs} times and failed {failed} times; \
             max_attempts is 2 in every version"
        )));
    }
    Ok(Verdict::Held)
}

/// A runner crashes with one task of a lasting step; urgent work comes 4.7 s later.
fn away(deployment: &mut Deployment, trouble: bool) -> Result<Verdict, String> {
    let workers: Vec<_> = (0..6)
        .map(|index| {
            let zone = ["zone-a", "zone-b"][index % 2];
            deployment.add_worker(&format!("i-{index}"), runner(zone, "a", "r1-1", 8))
        })
        .collect();
    let routes = vec![route("urgent", "/urgent/", 0, 4), route("desk", "/desk/", 2, 4)];
    deployment.configure(1, config(routes, 8));
    deployment.add_instances(3)?;
    let serving = step([
        ("count", int(6)),
        ("millicores", int(4000)),
        ("mem_mb", int(1024)),
        ("gpu_count", int(8)),
        ("estimate_ms", int(1000)),
        ("long_running", Json::Bool(true)),
        ("may_miss", int(1)),
    ]);
    let first = "00000000000005a0";
    let status = deployment.submit(0, "/desk/", first, &job("lasting", vec![serving]));
    ensure(status == 200, "the lasting job is not accepted")?;
    let all_run = || deployment.runs(first).len() == 6;
    ensure(deployment.wait_until(5.0, all_run), "the lasting job does not run")?;
    pause(3.0);
    let lost = &workers[5];
    let crashed = Instant::now();
    if trouble {
        lost.crash();
    }
    std::thread::sleep(Duration::from_millis(4700).saturating_sub(crashed.elapsed()));
    let urgent = step([
        ("count", int(1)),
        ("millicores", int(2000)),
        ("mem_mb", int(1024)),
        ("gpu_count", int(8)),
        ("estimate_ms", int(2000)),
    ]);
    let second = "00000000000005b0";
    let status = deployment.submit(1, "/urgent/", second, &job("work-ms=2000", vec![urgent]));
    ensure(status == 200, "the urgent job is not accepted")?;
    pause(6.0);
    let away_until = |run: &crate::worker::RunTrace| {
        // The task of the crashed runner is back once a later run of it was at work.
        let task = &run.task;
        deployment
            .runs(task)
            .iter()
            .filter(|later| later.started > run.started)
            .map(|later| later.started)
            .min()
    };
    let runs = deployment.runs(first);
    let crashed_run = runs.iter().find(|run| run.how == "crashed");
    let stopped = runs.iter().find(|run| run.how == "stopped");
    if let (Some(crashed_run), Some(stopped)) = (crashed_run, stopped) {
        let stopped_at = stopped.ended.unwrap_or(stopped.started);
        let since = crashed_run.ended.unwrap_or(stopped_at);
        let is_back = away_until(crashed_run).is_some_and(|back| back < stopped_at);
        let away = stopped_at.saturating_duration_since(since);
        if !is_back && away >= Duration::from_millis(4500) {
            return Ok(Verdict::Broken(format!(
                "AVAIL: {} was stopped on sound runner {} while {} had not been at work for {} ms; \
                 may_miss is 1",
                stopped.task,
                stopped.worker,
                crashed_run.task,
                away.as_millis()
            )));
        }
    }
    Ok(Verdict::Held)
}

/// A zone loses power with the active scheduler and a runner; the machines return after 1.5 s, the
/// runner as a new one.
fn zone(deployment: &mut Deployment, trouble: bool) -> Result<Verdict, String> {
    deployment.configure(1, config(vec![route("desk", "/desk/", 1, 4)], 8));
    deployment.add_instances(4)?;
    let leader = deployment.leader().ok_or("no active scheduler is known")?;
    let (home, other) = if leader % 2 == 0 { ("zone-a", "zone-b") } else { ("zone-b", "zone-a") };
    for index in 0..4 {
        deployment.add_worker(&format!("i-{index}"), runner(other, "a", "r1-2", 8));
    }
    let lost = deployment.add_worker("i-lost", runner(home, "a", "r1-1", 8));
    pause(2.0);
    let lasting = step([
        ("count", int(5)),
        ("millicores", int(4000)),
        ("mem_mb", int(1024)),
        ("gpu_count", int(2)),
        ("spread", int(1)),
        ("estimate_ms", int(1000)),
        ("long_running", Json::Bool(true)),
    ]);
    let id = "00000000000006a0";
    let status = deployment.submit(0, "/desk/", id, &job("lasting", vec![lasting]));
    ensure(status == 200, "the lasting job is not accepted")?;
    ensure(deployment.wait_until(5.0, || deployment.runs(id).len() == 5), "it does not run")?;
    pause(3.0);
    let replacement = runner(home, "a", "r1-1", 8);
    if trouble {
        deployment.record.add(&format!("{home} loses power"));
        let dark: Vec<_> = (0..4).filter(|index| index % 2 == leader % 2).collect();
        dark.iter().for_each(|index| deployment.instances[*index].darken());
        lost.crash();
        pause(1.0);
        deployment.record.add("power is back");
        dark.iter().for_each(|index| deployment.instances[*index].light());
        if std::env::var("SAME_ID").is_ok() {
            lost.begin_life(replacement);
        } else {
            deployment.add_worker("i-back", replacement);
        }
    }
    pause(16.0);
    let runs = deployment.runs(id);
    let Some(crashed) = runs.iter().find(|run| run.how == "crashed") else {
        return Ok(Verdict::Held);
    };
    let ended = crashed.ended.ok_or("the lost run has no end")?;
    let again = runs.iter().find(|run| run.task == crashed.task && run.started > ended);
    let gap = again.map(|run| run.started.saturating_duration_since(ended));
    // From 6 s after its last run, 3 s without a run, in calm, with capacity for it twice over.
    if gap.is_none_or(|gap| gap > Duration::from_secs(9)) {
        return Ok(Verdict::Broken(format!(
            "LOST: lasting task {} was without a run for {} after its runner was lost; 10 of 40 \
             accelerators were in use",
            crashed.task,
            gap.map_or("over 16 s".to_owned(), |gap| format!("{:.1} s", gap.as_secs_f64())),
        )));
    }
    Ok(Verdict::Held)
}

/// A start order is carried out late, by the next life of its runner.
fn late(deployment: &mut Deployment, trouble: bool) -> Result<Verdict, String> {
    let profile = |index: usize| runner(["zone-a", "zone-b"][index % 2], "a", "r1-1", 8);
    let workers: Vec<_> =
        (0..12).map(|index| deployment.add_worker(&format!("i-{index}"), profile(index))).collect();
    deployment.configure(1, config(vec![route("desk", "/desk/", 1, 4)], 8));
    deployment.add_instances(3)?;
    let members = |count: i64, work: i64| {
        step([
            ("count", int(count)),
            ("millicores", int(2000)),
            ("mem_mb", int(1024)),
            ("gpu_count", int(8)),
            ("estimate_ms", int(work)),
        ])
    };
    let first = "00000000000008a0";
    let status = deployment.submit(0, "/desk/", first, &job("work-ms=500", vec![members(24, 500)]));
    ensure(status == 200, "the first job is not accepted")?;
    let first_done = || (0..24).all(|index| done(deployment, &format!("{first}.0.0.{index}")));
    ensure(deployment.wait_until(12.0, first_done), "the first job is not done")?;
    pause(1.0);
    // A short task is on a runner that is free again when the order is given up.
    let short = "00000000000008c0";
    let status =
        deployment.submit(2, "/desk/", short, &job("work-ms=1700", vec![members(1, 1700)]));
    ensure(status == 200, "the short job is not accepted")?;
    pause(0.3);
    let held_back = &workers[5];
    if trouble {
        held_back.hold_back_next_start();
    }
    let id = "00000000000008b0";
    let status = deployment.submit(1, "/desk/", id, &job("work-ms=9000", vec![members(8, 9000)]));
    ensure(status == 200, "the second job is not accepted")?;
    if trouble {
        let is_held = || held_back.late_start().is_some();
        ensure(deployment.wait_until(5.0, is_held), "no order came to the runner")?;
        let held_at = Instant::now();
        let (task, _) = held_back.late_start().ok_or("no order was held back")?;
        let elsewhere = || is_running(deployment, &task);
        ensure(deployment.wait_until(6.0, elsewhere), "the task does not start elsewhere")?;
        pause(0.3);
        std::thread::sleep(Duration::from_millis(2500).saturating_sub(held_at.elapsed()));
        held_back.crash();
        pause(1.0);
        held_back.begin_life(profile(5));
        pause(0.05);
        let after = held_at.elapsed().as_millis();
        deployment.record.add(&format!("{after} ms after the order was sent"));
        held_back.deliver_late_start();
    }
    pause(12.0);
    let runs = deployment.runs(id);
    for run in &runs {
        let overlaps = runs.iter().find(|other| {
            other.task == run.task
                && other.attempt > run.attempt
                && run.ended.is_none_or(|ended| other.started < ended)
                && other.ended.is_none_or(|ended| run.started < ended)
        });
        if let Some(other) = overlaps {
            return Ok(Verdict::Broken(format!(
                "TWICE: task {} ran as attempt {} on {} and as attempt {} on {} at the same time; \
                 the ends are {} and {}",
                run.task, run.attempt, run.worker, other.attempt, other.worker, run.how, other.how
            )));
        }
    }
    Ok(Verdict::Held)
}
