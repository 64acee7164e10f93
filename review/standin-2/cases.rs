//! The cases: what happens in each, and whether the rule held.

use std::io;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::deployment::{Deployment, Queue, runner_spec};
use crate::json::Json;
use crate::record::Record;
use crate::runner::{RunnerSpec, StartedRun};

/// Time for which the system may still start tasks of a cancelled job: `cancel_ms`.
const CANCEL_BOUND: Duration = Duration::from_millis(3000);
/// Age of jobs that the number of pending jobs has to count: `visible_ms` + 2 s.
const PENDING_BOUND: Duration = Duration::from_millis(5000);
/// Time after its last run from which a lasting task must not wait.
const LASTING_BOUND: Duration = Duration::from_secs(6);
/// Time for which a lasting task with room must not wait after that.
const LASTING_SPAN: Duration = Duration::from_secs(3);
/// Number of runners in a rack, and of racks.
const RACK_RUNNERS: u64 = 6;
const RACKS: u64 = 3;
const INSTANCES: usize = 3;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken(String),
}

/// Plays a case.
pub fn play(case: &str, record: &Record, trouble: bool) -> io::Result<Verdict> {
    match case {
        "late-submission" => late_submission(record, trouble),
        "lost-end" => lost_end(record, trouble),
        "late-start" => late_start(record, trouble),
        "full-rack" => full_rack(record, trouble),
        "refused-start" => refused_start(record, trouble),
        _ => Err(io::Error::other("unknown case")),
    }
}

fn queues() -> Vec<Queue> {
    let queue = |name, priority, slo_ms, stretch, max_attempts| Queue {
        name,
        priority,
        slo_ms,
        stretch,
        max_attempts,
    };
    vec![
        queue("urgent", 0, 250, 1.5, 3),
        queue("render", 1, 1000, 3.0, 4),
        queue("recon", 2, 3000, 3.0, 4),
    ]
}

/// Returns racks of runners of the kind `a`, of which the last runner may have another kind.
fn racks(last_kind: &str) -> Vec<RunnerSpec> {
    let count = RACKS * RACK_RUNNERS;
    let spec = |number: u64| {
        let kind = if number + 1 == count { last_kind } else { "a" };
        runner_spec(number, kind, &format!("r1-{}", number / RACK_RUNNERS + 1))
    };
    (0..count).map(spec).collect()
}

/// Returns a job of one step; `more` adds fields to the step.
fn job(count: u64, gpus: u64, work_ms: u64, more: &[(&str, Json)]) -> Json {
    let mut fields = vec![
        ("count", Json::number(count)),
        ("millicores", Json::number(1000)),
        ("mem_mb", Json::number(1000)),
        ("gpu_count", Json::number(gpus)),
        ("estimate_ms", Json::number(work_ms)),
    ];
    fields.extend_from_slice(more);
    let is_lasting = more.iter().any(|(key, _)| *key == "long_running");
    let work = if is_lasting { String::new() } else { format!(" work_ms={work_ms}") };
    Json::table(&[
        ("spec", Json::text(&format!("gpus={gpus}{work}"))),
        ("job_steps", Json::List(vec![Json::table(&fields)])),
    ])
}

/// Runs a short job, so that the case begins with a system that works.
fn warm_up(deployment: &Deployment, leader: usize) -> io::Result<()> {
    let path = "/render/00000000000000ff";
    let accepted = deployment.submit(leader, path, &job(1, 1, 300, &[]));
    let completed = |deployment: &Deployment| deployment.state(leader, path) == "completed";
    if accepted && deployment.wait(Duration::from_secs(5), completed) {
        return Ok(());
    }
    Err(io::Error::other("a first job is not completed"))
}

fn find_leader(deployment: &Deployment) -> io::Result<usize> {
    deployment.leader().ok_or_else(|| io::Error::other("no instance schedules"))
}

/// UNASKED: the write of a submission is carried out late, after the job's cancelling was
/// acknowledged.
fn late_submission(record: &Record, trouble: bool) -> io::Result<Verdict> {
    const LATE: Duration = Duration::from_secs(5);
    const LEAVES_AFTER: Duration = Duration::from_millis(800);
    const ID: &str = "5c0e7a21d94b36f8";
    let deployment = Deployment::start(record, &queues(), racks("a"), INSTANCES)?;
    let leader = find_leader(&deployment)?;
    warm_up(&deployment, leader)?;
    std::thread::sleep(Duration::from_secs(4));

    let path = format!("/render/{ID}");
    let (writes, lost) = deployment.store.write_counts();
    for number in 1..=3 {
        deployment.submit(leader, &format!("/render/{number:016x}"), &job(1, 1, 1000, &[]));
    }
    if trouble {
        deployment.store.lose_next_write(ID, LATE);
    }
    let sent = record.now();
    let body = job(1, 1, 6000, &[]).to_string();
    deployment.call(leader, "POST", &path, &body, LEAVES_AFTER);
    deployment.wait_until(sent + LEAVES_AFTER);
    let after = deployment.store.write_counts();
    record.note(format!("store: {} of {} writes lost", after.1 - lost, after.0 - writes));
    let acknowledged = |answer: Option<(u16, String)>| {
        answer.is_some_and(|(status, _)| status / 100 == 2 || status == 410)
    };
    while !acknowledged(deployment.call(leader, "DELETE", &path, "", Duration::from_secs(3))) {
        if record.now() > sent + Duration::from_secs(4) {
            return Err(io::Error::other("the cancelling is not acknowledged"));
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    let cancelled = record.now();
    deployment.wait_until(sent + LATE + Duration::from_secs(4));
    deployment.state(leader, &path);
    let late = |run: &&StartedRun| run.from > cancelled + CANCEL_BOUND;
    Ok(match deployment.runs(ID).iter().find(late) {
        Some(run) => Verdict::Broken(format!(
            "UNASKED: {} starts {:.3} s after its job's cancelling was acknowledged",
            run.task,
            (run.from - cancelled).as_secs_f64()
        )),
        None => Verdict::Held,
    })
}

/// TWICE: a start without an answer reaches the next life of its runner.
fn late_start(record: &Record, trouble: bool) -> io::Result<Verdict> {
    const LATE: Duration = Duration::from_millis(4500);
    const CRASH_AFTER: Duration = Duration::from_millis(3000);
    const ID: &str = "7a21d94b36f85c0e";
    let deployment = Deployment::start(record, &queues(), racks("a"), INSTANCES)?;
    let leader = find_leader(&deployment)?;
    warm_up(&deployment, leader)?;

    let count_orders = || deployment.runners.iter().map(|runner| runner.order_count()).sum::<u64>();
    let orders = count_orders();
    if trouble {
        deployment.runners.iter().for_each(|runner| runner.delay_next_start(ID, LATE));
    }
    deployment.submit(leader, &format!("/render/{ID}"), &job(1, 8, 5000, &[]));
    let sent = record.now();
    for number in 1..=20 {
        deployment.submit(leader, &format!("/recon/{number:016x}"), &job(1, 1, 300, &[]));
    }
    if trouble {
        let has_come = |deployment: &Deployment| {
            deployment.runners.iter().any(|runner| runner.has_delayed_start())
        };
        if !deployment.wait(Duration::from_secs(2), has_come) {
            return Err(io::Error::other("no start was sent"));
        }
        let runner = deployment.runners.iter().find(|runner| runner.has_delayed_start()).cloned();
        deployment.runners.iter().for_each(|runner| runner.answer_starts());
        deployment.wait_until(sent + CRASH_AFTER);
        if let Some(runner) = runner {
            runner.restart(Duration::from_millis(500));
        }
    }
    deployment.wait_until(sent + LATE + Duration::from_millis(1500));
    record.note(format!("runners: one of {} orders was late", count_orders() - orders));
    deployment.wait_until(sent + LATE + Duration::from_secs(6));
    let runs = deployment.runs(ID);
    let now = record.now();
    let end = |run: &StartedRun| run.end.as_ref().map_or(now, |(at, _)| *at);
    let overlap = runs.iter().enumerate().find_map(|(index, first)| {
        let second = runs[index + 1..].iter().find(|second| second.from < end(first))?;
        Some(format!(
            "TWICE: {} run {} on {} and run {} on {} at the same time for {:.3} s",
            first.task,
            first.attempt,
            first.runner,
            second.attempt,
            second.runner,
            (end(first).min(end(second)) - second.from).as_secs_f64()
        ))
    });
    Ok(overlap.map_or(Verdict::Held, Verdict::Broken))
}

/// Returns the job with a schedule added.
fn recurring(job: Json, first_ms: u64, period: Duration, times: u64) -> Json {
    let Json::Table(mut fields) = job else {
        return job;
    };
    fields.insert("repeats".to_owned(), Json::number(times));
    fields.insert("first_ms".to_owned(), Json::number(first_ms));
    fields.insert("period_ms".to_owned(), Json::number(period.as_millis() as u64));
    Json::Table(fields)
}

/// TWICE: an acknowledgement for the former life of a runner reaches its next life.
fn lost_end(record: &Record, trouble: bool) -> io::Result<Verdict> {
    const FIRST: &str = "1111111111111111";
    const SECOND: &str = "2222222222222222";
    const PERIOD: Duration = Duration::from_secs(2);
    const WORK: Duration = Duration::from_millis(200);
    /// From an end of the first job until the second one is due.
    const GAP: Duration = Duration::from_millis(720);
    const CRASH_AFTER: Duration = Duration::from_millis(400);
    const PAUSE: Duration = Duration::from_millis(200);
    /// Interval at which the list of runners is read, as seen at the store.
    const LIST_INTERVAL: Duration = Duration::from_millis(700);
    const TIMES: u64 = 30;
    let deployment = Deployment::start(record, &queues(), racks("b"), INSTANCES)?;
    let leader = find_leader(&deployment)?;
    warm_up(&deployment, leader)?;
    let runner = deployment.runners.last().cloned();
    let Some(runner) = runner else {
        return Err(io::Error::other("no runners"));
    };

    let kind = [("requires", Json::text("b"))];
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let first_ms = since_epoch.as_millis() as u64 + 1000;
    let second_ms = first_ms + (WORK + GAP).as_millis() as u64;
    let first = recurring(job(1, 1, 200, &kind), first_ms, PERIOD, TIMES);
    let second = recurring(job(1, 1, 100, &kind), second_ms, PERIOD, TIMES);
    deployment.submit(leader, &format!("/render/{FIRST}"), &first);
    deployment.submit(leader, &format!("/render/{SECOND}"), &second);

    // The next list of runners is to be read shortly before the runner is back.
    let list_comes_in = |end: Duration| {
        let Some(mut at) = deployment.store.list_read() else {
            return false;
        };
        while at < end + Duration::from_millis(370) {
            at += LIST_INTERVAL;
        }
        at < end + CRASH_AFTER + PAUSE - Duration::from_millis(40)
    };
    let mut end = None;
    for occurrence in 3..TIMES as usize - 3 {
        let has_begun = |deployment: &Deployment| deployment.runs(FIRST).len() > occurrence;
        if !deployment.wait_briefly(PERIOD * 6, has_begun) {
            return Err(io::Error::other("an occurrence does not start"));
        }
        let ends_at = deployment.runs(FIRST)[occurrence].from + WORK;
        if list_comes_in(ends_at) || (!trouble && occurrence == 6) {
            end = Some(ends_at);
            break;
        }
    }
    let Some(end) = end else {
        return Err(io::Error::other("the list of runners is never read at the right time"));
    };
    let counts = deployment.store.write_counts();
    if trouble {
        deployment.store.lose_next_write(FIRST, Duration::ZERO);
    }
    let elsewhere = job(1, 1, 300, &[("requires", Json::text("a"))]);
    for number in 1..=4 {
        deployment.submit(leader, &format!("/recon/{number:016x}"), &elsewhere);
    }
    if trouble {
        deployment.wait_until(end + CRASH_AFTER);
        runner.restart(PAUSE);
    }
    deployment.wait_until(end + Duration::from_secs(5));
    let after = deployment.store.write_counts();
    record.note(format!("store: {} of {} writes lost", after.1 - counts.1, after.0 - counts.0));
    let runs = deployment.runs(SECOND);
    let repeated = runs.iter().enumerate().find_map(|(index, done)| {
        let (at, how) = done.end.as_ref()?;
        let noted = done.noted.filter(|_| how == "done")?;
        let again =
            runs[index + 1..].iter().find(|run| run.task == done.task && run.from > *at)?;
        Some(format!(
            "TWICE: {} run {} ended done at {:.3} s, taken note of at {:.3} s; run {} starts at {:.3} s",
            done.task,
            done.attempt,
            at.as_secs_f64(),
            noted.as_secs_f64(),
            again.attempt,
            again.from.as_secs_f64()
        ))
    });
    Ok(repeated.map_or(Verdict::Held, Verdict::Broken))
}

/// LOST: a lasting task whose runner was taken away waits for its full rack.
fn full_rack(record: &Record, trouble: bool) -> io::Result<Verdict> {
    const LASTING: &str = "36f85c0e7a21d94b";
    let deployment = Deployment::start(record, &queues(), racks("a"), INSTANCES)?;
    let leader = find_leader(&deployment)?;
    warm_up(&deployment, leader)?;

    let rack = ("data_rack", Json::text("r1-1"));
    let lasting = job(1, 4, 60_000, &[rack.clone(), ("long_running", Json::Bool(true))]);
    deployment.submit(leader, &format!("/render/{LASTING}"), &lasting);
    let runs = |deployment: &Deployment| deployment.runner_of(LASTING).is_some();
    if !deployment.wait(Duration::from_secs(5), runs) {
        return Err(io::Error::other("the lasting task does not run"));
    }
    // The rest of the rack, and some of the other racks, so that under half of all is free.
    let (near, far) = ("00000000000000a1", "00000000000000a2");
    deployment.submit(leader, &format!("/render/{near}"), &job(5, 8, 80_000, &[rack]));
    let near_runs = |deployment: &Deployment| deployment.runs(near).len() == 5;
    if !deployment.wait(Duration::from_secs(5), near_runs) {
        return Err(io::Error::other("the rack is not full"));
    }
    deployment.submit(leader, &format!("/render/{far}"), &job(4, 8, 80_000, &[]));
    let far_runs = |deployment: &Deployment| deployment.runs(far).len() == 4;
    if !deployment.wait(Duration::from_secs(5), far_runs) {
        return Err(io::Error::other("the other racks are not in use"));
    }
    std::thread::sleep(Duration::from_secs(4));

    let runner = deployment.runner_of(LASTING).filter(|_| trouble);
    if let Some(runner) = runner {
        runner.leave(Duration::from_millis(2500));
    }
    let since = record.now();
    let calm = LASTING_BOUND + LASTING_SPAN;
    deployment.wait_until(since + calm + Duration::from_secs(15));
    let busy: usize = [LASTING, near, far]
        .iter()
        .map(|job| deployment.runs(job).iter().filter(|run| run.end.is_none()).count())
        .sum();
    record.note(format!("runners: {busy} tasks run now"));
    deployment.state(leader, &format!("/render/{LASTING}"));
    let lasting_runs = deployment.runs(LASTING);
    let Some((ended, _)) = lasting_runs.first().and_then(|run| run.end.clone()) else {
        return Ok(Verdict::Held);
    };
    let next = lasting_runs.get(1).map(|run| run.from);
    let waited = next.unwrap_or_else(|| record.now()) - ended;
    if waited <= calm {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "LOST: the lasting task has not run for {:.3} s after its last run, with 8 idle runners",
        waited.as_secs_f64()
    )))
}

/// MIXED: jobs whose start was refused are not counted as pending.
fn refused_start(record: &Record, trouble: bool) -> io::Result<Verdict> {
    const ID: &str = "94b36f85c0e7a21d";
    const URGENT: &str = "b36f85c0e7a21d94";
    const REFUSES_FOR: Duration = Duration::from_millis(2000);
    let deployment = Deployment::start(record, &queues(), racks("b"), INSTANCES)?;
    let leader = find_leader(&deployment)?;
    warm_up(&deployment, leader)?;

    let kind = ("requires", Json::text("b"));
    let only_b = |work_ms| job(1, 8, work_ms, std::slice::from_ref(&kind));
    check_count(&deployment, leader, &only_b)?;

    let last = deployment.runners.last().cloned();
    if let Some(runner) = last.as_ref().filter(|_| trouble) {
        runner.set_unhealthy(true);
    }
    if !deployment.submit(leader, &format!("/render/{ID}"), &only_b(2000)) {
        return Err(io::Error::other("the job is not accepted"));
    }
    let accepted = record.now();
    deployment.wait_until(accepted + Duration::from_millis(1000));
    deployment.submit(leader, &format!("/urgent/{URGENT}"), &only_b(20_000));
    deployment.wait_until(accepted + REFUSES_FOR);
    if let Some(runner) = last.as_ref().filter(|_| trouble) {
        runner.set_unhealthy(false);
    }
    deployment.wait_until(accepted + PENDING_BOUND + Duration::from_millis(500));
    let ends_at = accepted + Duration::from_secs(15);
    let mut low = 0;
    while record.now() < ends_at {
        for instance in 0..INSTANCES {
            let waiting = u64::from(deployment.runs(ID).is_empty());
            let answer = deployment.call(instance, "GET", "/render/", "", Duration::from_secs(3));
            if let Some((200, body)) = answer {
                let pending = Json::parse(&body).unwrap_or(Json::Null).get_number("pending");
                low += u32::from(pending * 2 < waiting);
            }
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    if low == 0 {
        return Ok(Verdict::Held);
    }
    Ok(Verdict::Broken(format!(
        "MIXED: {low} answers gave 0 pending jobs while one of {:.0} s had not begun",
        (ends_at - accepted).as_secs_f64()
    )))
}

/// Checks that a waiting job is counted while another one takes its only runner.
fn check_count<F>(deployment: &Deployment, leader: usize, only_b: &F) -> io::Result<()>
where
    F: Fn(u64) -> Json,
{
    let (first, second) = ("/render/00000000000000b1", "/render/00000000000000b2");
    deployment.submit(leader, first, &only_b(3000));
    std::thread::sleep(Duration::from_millis(500));
    deployment.submit(leader, second, &only_b(300));
    std::thread::sleep(Duration::from_secs(2));
    let answer = deployment.call(leader, "GET", "/render/", "", Duration::from_secs(3));
    let counted = answer.is_some_and(|(status, body)| status == 200 && body.contains(":1"));
    let completed = |deployment: &Deployment| deployment.state(leader, second) == "completed";
    if counted && deployment.wait(Duration::from_secs(8), completed) {
        return Ok(());
    }
    Err(io::Error::other("the number of pending jobs is wrong without any disruption"))
}
