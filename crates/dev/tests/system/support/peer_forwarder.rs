//! Forwards peer connections to the fault proxy link of the client's failure domain.
//!
//! Processes learn the addresses of their peers from heartbeats, so a process advertises one
//! address to all. The forwarder listens on it, identifies the connecting process by its socket,
//! and forwards the connection to the link from that process's failure domain.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Failure domain of each process, by operating system process id.
pub type ProcessDomains = Arc<Mutex<BTreeMap<u32, String>>>;

/// Accepts and forwards peer connections for one process; dropping it stops accepting.
#[derive(Debug)]
pub struct PeerForwarder {
    /// Listen address, which the process advertises to its peers.
    pub address: SocketAddr,
    /// Address of the fault proxy link from each failure domain to the process.
    targets: Arc<Mutex<BTreeMap<String, SocketAddr>>>,
    task: JoinHandle<()>,
}

impl PeerForwarder {
    /// Binds the listener; connections are closed until targets are set.
    pub async fn bind(listen: &str, domains: ProcessDomains) -> Self {
        let listener = TcpListener::bind(listen).await.expect("bind a forwarder");
        let address = listener.local_addr().expect("read the address of a forwarder");
        let targets: Arc<Mutex<BTreeMap<String, SocketAddr>>> = Arc::default();
        let task = tokio::spawn(accept_connections(listener, address, domains, targets.clone()));
        Self { address, targets, task }
    }

    /// Sets the link to which connections from each failure domain are forwarded.
    pub fn set_targets(&self, links: BTreeMap<String, SocketAddr>) {
        *self.targets.lock().expect("the mutex is not poisoned") = links;
    }
}

impl Drop for PeerForwarder {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepts connections and forwards each in its own task; closes those of unknown processes.
async fn accept_connections(
    listener: TcpListener,
    listen_address: SocketAddr,
    domains: ProcessDomains,
    targets: Arc<Mutex<BTreeMap<String, SocketAddr>>>,
) {
    loop {
        let Ok((client, client_address)) = listener.accept().await else { continue };
        let (domains, targets) = (domains.clone(), targets.clone());
        tokio::spawn(async move {
            let domains = domains.lock().expect("the mutex is not poisoned").clone();
            let domain_result = tokio::task::spawn_blocking(move || {
                find_client_domain(client_address, listen_address, &domains)
            })
            .await;
            let Some(domain) = domain_result.ok().flatten() else { return };
            let target = targets.lock().expect("the mutex is not poisoned").get(&domain).copied();
            let Some(target) = target else { return };
            forward_connection(client, target).await;
        });
    }
}

/// Copies bytes in both directions until both sides have closed.
async fn forward_connection(mut client: TcpStream, target: SocketAddr) {
    let Ok(mut stream) = TcpStream::connect(target).await else { return };
    let _ = (client.set_nodelay(true), stream.set_nodelay(true));
    let _ = tokio::io::copy_bidirectional(&mut client, &mut stream).await;
}

/// Finds the failure domain of the process whose socket connects `client_address` to
/// `listen_address`.
///
/// Reads the kernel's socket table and the file descriptors of the known processes; returns `None`
/// for IPv6 addresses, unknown processes and connections that have closed.
fn find_client_domain(
    client_address: SocketAddr,
    listen_address: SocketAddr,
    domains: &BTreeMap<u32, String>,
) -> Option<String> {
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    let (local, remote) =
        (format_proc_address(client_address)?, format_proc_address(listen_address)?);
    // Columns: number, local address, remote address, and the inode in the tenth.
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

/// Formats an IPv4 address as `/proc/net/tcp` does.
fn format_proc_address(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else { return None };
    let bytes = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{bytes:08X}:{:04X}", address.port()))
}
