//! Gives each process one address for its peers, and each failure domain a link of its own to it.
//!
//! Processes learn the addresses of their peers from heartbeats, so a process has one address
//! everywhere. The front behind it finds the process that connects by its socket and passes the
//! connection to the proxied link of that process's failure domain.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Holds the failure domain of each process by its id.
pub type ProcessDomains = Arc<Mutex<BTreeMap<u32, String>>>;

/// Accepts connections for one process.
#[derive(Debug)]
pub struct PeerFront {
    pub address: SocketAddr,
    targets: Arc<Mutex<BTreeMap<String, SocketAddr>>>,
    task: JoinHandle<()>,
}

impl PeerFront {
    /// Listens; connections are dropped until there are targets.
    pub async fn bind(listen: &str, domains: ProcessDomains) -> Self {
        let listener = TcpListener::bind(listen).await.expect("bind a front");
        let address = listener.local_addr().expect("the address of a front");
        let targets: Arc<Mutex<BTreeMap<String, SocketAddr>>> = Arc::default();
        let task = tokio::spawn(accept(listener, address, domains, targets.clone()));
        Self { address, targets, task }
    }

    /// Sets the link of each failure domain.
    pub fn set_targets(&self, links: BTreeMap<String, SocketAddr>) {
        *self.targets.lock().expect("targets") = links;
    }
}

impl Drop for PeerFront {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    own: SocketAddr,
    domains: ProcessDomains,
    targets: Arc<Mutex<BTreeMap<String, SocketAddr>>>,
) {
    loop {
        let Ok((caller, from)) = listener.accept().await else { continue };
        let (domains, targets) = (domains.clone(), targets.clone());
        tokio::spawn(async move {
            let domains = domains.lock().expect("domains").clone();
            let found = tokio::task::spawn_blocking(move || find_domain(from, own, &domains)).await;
            let Some(domain) = found.ok().flatten() else { return };
            let target = targets.lock().expect("targets").get(&domain).copied();
            let Some(target) = target else { return };
            carry(caller, target).await;
        });
    }
}

async fn carry(mut caller: TcpStream, target: SocketAddr) {
    let Ok(mut stream) = TcpStream::connect(target).await else { return };
    let _ = (caller.set_nodelay(true), stream.set_nodelay(true));
    let _ = tokio::io::copy_bidirectional(&mut caller, &mut stream).await;
}

/// Finds the failure domain of the process that owns the socket `from`, connected to `to`.
fn find_domain(
    from: SocketAddr,
    to: SocketAddr,
    domains: &BTreeMap<u32, String>,
) -> Option<String> {
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let (local, remote) = (hexadecimal(from)?, hexadecimal(to)?);
    // Columns: number, local address, remote address, ..., inode as the tenth.
    let row = table
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>())
        .find(|row| row.get(1) == Some(&local.as_str()) && row.get(2) == Some(&remote.as_str()))?;
    let socket = format!("socket:[{}]", row.get(9)?);
    let owner = domains.iter().find(|(id, _)| {
        let files = std::fs::read_dir(format!("/proc/{id}/fd")).into_iter().flatten().flatten();
        let mut links = files.filter_map(|file| std::fs::read_link(file.path()).ok());
        links.any(|link| link.as_os_str() == socket.as_str())
    })?;
    Some(owner.1.clone())
}

/// Writes an address as the kernel's table does.
fn hexadecimal(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else { return None };
    let bytes = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{bytes:08X}:{:04X}", address.port()))
}
