//! Real processes that are killed at the end of the test.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

use super::{eventually, eventually_async};

/// Timeout until a process listens.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(15);
/// Number of bytes at the end of each log that a failed test prints.
const LOG_TAIL_BYTES: usize = 4_000;

/// Kind of a process, which selects its binary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProcessKind {
    Scheduler,
    Entry,
}

impl ProcessKind {
    pub fn binary(self) -> &'static str {
        match self {
            Self::Scheduler => "lacewingrail-scheduler",
            Self::Entry => "lacewingrail-entry",
        }
    }
}

/// A running process; dropping it kills the process, also when the test fails.
#[derive(Debug)]
pub struct TestProcess {
    pub name: String,
    pub kind: ProcessKind,
    child: Child,
    log: PathBuf,
}

impl TestProcess {
    /// Starts a process whose settings file has the given text; settings and log are in
    /// `directory`.
    pub fn spawn(kind: ProcessKind, name: &str, directory: &Path, settings_text: &str) -> Self {
        let settings = directory.join(format!("{name}.yaml"));
        std::fs::write(&settings, settings_text).expect("write a settings file");
        let log = directory.join(format!("{name}.log"));
        let output = File::create(&log).expect("create a log file");
        let child = Command::new(find_binary(kind.binary()))
            .arg("--settings")
            .arg(&settings)
            .env("LACEWINGRAIL_STRICT", "1")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(output)
            .spawn()
            .expect("start a process");
        Self { name: name.to_owned(), kind, child, log }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the last 4 kB of the log.
    pub fn log_tail(&self) -> String {
        let log = self.log();
        let from = log.len().saturating_sub(LOG_TAIL_BYTES);
        log.get(from..).unwrap_or(&log).to_owned()
    }

    /// Waits until the process listens and returns its peer address and its address for callers or
    /// operators, read from the log.
    pub async fn addresses(&self) -> (SocketAddr, SocketAddr) {
        let parse_addresses = || {
            let log = self.log();
            match self.kind {
                ProcessKind::Scheduler => Some((
                    address_after(&log, "peers reach this process on ")?,
                    address_after(&log, "operators on Some(")?,
                )),
                ProcessKind::Entry => Some((
                    address_after(&log, " and peers on ")?,
                    address_after(&log, "serving callers on ")?,
                )),
            }
        };
        eventually(&format!("{} listens", self.name), LISTEN_TIMEOUT, || {
            parse_addresses().is_some()
        })
        .await;
        parse_addresses().expect("the log has the addresses")
    }

    pub fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.id()).ok().and_then(Pid::from_raw).expect("a process id");
        kill_process(pid, signal).expect("signal a process");
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the exit status, or `None` while the process runs.
    pub fn status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("poll the exit status of a process")
    }

    /// Waits until the process exits on its own and returns its exit status.
    pub async fn wait_exit(&mut self, timeout: Duration) -> ExitStatus {
        let description = format!("{} exits", self.name);
        let mut status = None;
        eventually_async(&description, timeout, || {
            status = self.status();
            std::future::ready(status.is_some())
        })
        .await;
        status.expect("the process has exited")
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Finds a binary of the workspace in the parent directory of the test executable's directory.
fn find_binary(name: &str) -> PathBuf {
    let test_executable = std::env::current_exe().expect("read the path of the test executable");
    let directory = test_executable
        .parent()
        .and_then(Path::parent)
        .expect("the test executable is in the target directory");
    let path = directory.join(name);
    assert!(
        path.is_file(),
        "{name} is not built in the target folder of this test; run \
         `cargo build -p lacewingrail-scheduler -p lacewingrail-entry` with the same profile, or \
         `cargo test --workspace`"
    );
    path
}

/// Parses the address that follows a label in the log, if it is there and complete.
fn address_after(log: &str, label: &str) -> Option<SocketAddr> {
    let (_, rest) = log.split_once(label)?;
    let end = rest.find(|character: char| {
        !character.is_ascii_digit() && character != '.' && character != ':'
    })?;
    rest.get(..end)?.parse().ok()
}
