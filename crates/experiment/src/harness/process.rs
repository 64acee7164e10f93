//! Starts service binaries as child processes.

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use crate::harness::meter::ProcessMeter;

/// A running service process; dropping it kills the process and removes its settings file.
#[derive(Debug)]
pub struct MeasuredProcess {
    child: Child,
    settings_file: PathBuf,
}

/// The binary and settings of a process to start.
#[derive(Clone, Debug)]
pub struct ProcessSpec {
    /// The name of the binary, such as `lacewingrail-entry`.
    pub binary: &'static str,
    /// The instance name of the process.
    pub name: String,
    /// The failure domain of the process.
    pub domain: String,
    /// The listen address for callers; `None` for a scheduler process.
    pub callers: Option<SocketAddr>,
    /// The listen address of the administration API; `None` for an entry process.
    pub admin: Option<SocketAddr>,
    /// The listen address for peers.
    pub peer: SocketAddr,
    /// The addresses of known peers; may be empty.
    pub peers: Vec<SocketAddr>,
    /// The base URL of the key-value service.
    pub store: String,
    /// The base URL of the instance list.
    pub instances: String,
}

impl MeasuredProcess {
    /// Writes the settings file and starts the process.
    ///
    /// Fails if the binary isn't built next to this one, or if the file or the process can't be
    /// created.
    pub fn start(spec: &ProcessSpec) -> Result<Self, String> {
        let binary = find_binary(spec.binary)?;
        let settings_file =
            std::env::temp_dir().join(format!("{}-{}.yaml", spec.name, std::process::id()));
        let to_error = |error: std::io::Error| format!("cannot start {}: {error}", spec.binary);
        std::fs::File::create(&settings_file)
            .and_then(|mut file| file.write_all(spec.render_settings().as_bytes()))
            .map_err(to_error)?;
        let child = Command::new(binary)
            .arg("--settings")
            .arg(&settings_file)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map_err(to_error)?;
        Ok(Self { child, settings_file })
    }

    /// Returns a meter for the process.
    pub fn meter(&self) -> ProcessMeter {
        ProcessMeter::new(self.child.id())
    }

    /// Returns whether the process is still running.
    pub fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for MeasuredProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings_file);
    }
}

impl ProcessSpec {
    /// Returns the YAML text of the settings file.
    fn render_settings(&self) -> String {
        let mut listen = vec![format!("peers: {}", self.peer)];
        listen.extend(self.callers.map(|address| format!("callers: {address}")));
        listen.extend(self.admin.map(|address| format!("admin: {address}")));
        let peers: Vec<String> = self.peers.iter().map(SocketAddr::to_string).collect();
        format!(
            "name: {}\nregion: region-1\ndomain: {}\nlisten: {{ {} }}\npeers: [{}]\nstore: {}\n\
             instances: {}\nlog_level: warn\n",
            self.name,
            self.domain,
            listen.join(", "),
            peers.join(", "),
            self.store,
            self.instances,
        )
    }
}

/// Returns a loopback address with an unused port.
///
/// The port is not reserved: another process may bind it before the caller does.
pub fn free_loopback_address() -> Result<SocketAddr, String> {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .map_err(|error| format!("cannot find an unused port: {error}"))
}

/// Returns the path of a binary in the directory of the current executable.
fn find_binary(name: &str) -> Result<PathBuf, String> {
    let current_exe_path = std::env::current_exe().map_err(|error| error.to_string())?;
    let path = current_exe_path.with_file_name(name);
    if path.exists() {
        return Ok(path);
    }
    Err(format!("{name} is not built; run `cargo build --release --workspace` first"))
}
