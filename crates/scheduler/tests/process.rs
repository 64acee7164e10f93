//! The scheduler binary as a separate process, with signals and over HTTP.
//!
//! Memory and processor time at target size:
//! `cargo test -p lacewingrail-scheduler --release overhead -- --ignored --nocapture`

use std::fs;
use std::io::Write;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::support::{TestCluster, gang};
use lacewingrail_model::job::JobState;
use lacewingrail_standins::{InstanceChange, InstanceListServer, StoreServer};

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Stand-ins for the outside systems, and the settings and logs of the started processes.
struct ProcessTest {
    cluster: TestCluster,
    store: StoreServer,
    list: InstanceListServer,
    folder: PathBuf,
}

struct SchedulerChild(Child);

impl ProcessTest {
    async fn new(name: &str, workers: u32) -> Self {
        let cluster = TestCluster::new(1, workers).await;
        let store = StoreServer::spawn_store("127.0.0.1:0", cluster.store.clone()).await;
        let list = InstanceListServer::spawn("127.0.0.1:0").await.expect("a list");
        for spec in cluster.fleet.specs() {
            list.change(InstanceChange::AddWorker(spec));
        }
        let folder = std::env::temp_dir()
            .join(format!("lacewingrail-scheduler-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        Self { cluster, store: store.expect("a store"), list, folder }
    }

    fn start(&self, index: usize) -> SchedulerChild {
        let peers: Vec<String> = self.cluster.peers.iter().map(ToString::to_string).collect();
        let text = format!(
            "name: a{index}\nregion: north\ndomain: a\nlisten: {{ peers: {}, admin: 127.0.0.1:0 }}\n\
             peers: [{}]\nstore: {}\ninstances: {}\nlog_level: info\n",
            peers[index],
            peers.join(", "),
            self.store.url(),
            self.list.url()
        );
        let file = self.folder.join(format!("a{index}.yaml"));
        fs::write(&file, text).expect("a settings file");
        let log = fs::File::create(self.folder.join(format!("a{index}.log"))).expect("a log");
        let child = Command::new(env!("CARGO_BIN_EXE_lacewingrail-scheduler"))
            .arg("--settings")
            .arg(&file)
            .stderr(Stdio::from(log))
            .spawn();
        SchedulerChild(child.expect("a process"))
    }

    async fn holder(&self) -> Option<String> {
        let held = lacewingrail_scheduler::lease::holder(&self.cluster.store, "a").await;
        held.expect("a readable lease").map(|(record, _)| record.holder)
    }

    async fn wait_holder(&self, name: &str, timeout: Duration) {
        let started_at = Instant::now();
        while !self.holder().await.is_some_and(|holder| holder.starts_with(name)) {
            assert!(started_at.elapsed() < timeout, "{name} is not the holder");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

impl Drop for ProcessTest {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl SchedulerChild {
    fn signal(&self, name: &str) {
        let process = self.0.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &process]).status();
        assert!(status.expect("a signal").success());
    }

    /// Returns the resident memory in megabytes and the processor time used so far.
    fn usage(&self) -> (f64, Duration) {
        let status = fs::read_to_string(format!("/proc/{}/status", self.0.id())).expect("a status");
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("a size");
        let kilobytes: f64 = line.split_whitespace().nth(1).expect("a size").parse().expect("kB");
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.0.id())).expect("a state");
        let fields: Vec<&str> = stat.rsplit(')').next().expect("fields").split(' ').collect();
        // Fields 14 and 15 of the whole line, in ticks of 10 ms.
        let ticks: u64 =
            fields[12].parse::<u64>().expect("ticks") + fields[13].parse::<u64>().expect("ticks");
        (kilobytes / 1024.0, Duration::from_millis(ticks * 10))
    }
}

impl Drop for SchedulerChild {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against a suspended process that starts or renews gangs after it resumes, and against a
/// successor that has to wait for the lease after a graceful shutdown.
#[tokio::test(flavor = "multi_thread")]
async fn a_suspended_process_resumes_after_losing_the_lease() {
    let test = ProcessTest::new("stop", 3).await;
    let first = test.start(0);
    test.wait_holder("a0", WAIT_TIMEOUT).await;
    let mut second = test.start(1);
    test.cluster.submit("a", "job-1", gang(3, 4, 12_000)).await;
    test.cluster.wait_running("job-1", 3, WAIT_TIMEOUT).await;
    first.signal("STOP");
    test.wait_holder("a1", Duration::from_secs(8)).await;
    test.cluster.submit("a", "job-2", gang(3, 4, 500)).await;
    test.cluster.wait_ended("job-2", WAIT_TIMEOUT).await;
    first.signal("CONT");
    let record = test.cluster.wait_ended("job-1", WAIT_TIMEOUT).await;
    assert_eq!((record.state, record.attempt), (JobState::Finished, 1));
    let started_at = Instant::now();
    second.signal("TERM");
    test.wait_holder("a0", Duration::from_secs(2)).await;
    println!("the lease passed on {:?} after the signal", started_at.elapsed());
    let status = second.0.wait().expect("an end");
    assert!(status.success(), "a graceful shutdown is no failure: {status}");
    println!("the process ended {:?} after the signal", started_at.elapsed());
    test.cluster.submit("a", "job-3", gang(3, 8, 300)).await;
    assert_eq!(test.cluster.wait_ended("job-3", WAIT_TIMEOUT).await.state, JobState::Finished);
    test.cluster.assert_invariants();
}

/// Measures memory and processor time with 127 workers and 1,200 tasks, and guards against figures
/// over the limits of 32 MB and 1.3% of a core for each node of a domain.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement of the release build; see the head of the file"]
async fn overhead_at_target_size() {
    let test = ProcessTest::new("size", 150).await;
    let child = test.start(0);
    test.wait_holder("a0", WAIT_TIMEOUT).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let idle = child.usage().0;
    for index in 0..300 {
        test.cluster.submit("a", &format!("job-{index}"), gang(4, 1, 3_600_000)).await;
    }
    while test.cluster.running_members() < 1_200 {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    let (_, before) = child.usage();
    let mut peak: f64 = 0.0;
    for _ in 0..20 {
        tokio::time::sleep(Duration::from_secs(1)).await;
        peak = peak.max(child.usage().0);
    }
    let (_, after) = child.usage();
    let share = (after - before).as_secs_f64() / 20.0;
    let text = format!(
        "{idle:.1} MB without tasks; {peak:.1} MB, {:.2}% of a core with 1,200 tasks\n",
        share * 100.0
    );
    std::io::stdout().write_all(text.as_bytes()).expect("output");
    assert!(peak < 32.0, "{peak} MB");
}
