//! Listener and connections of one proxied link.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use crate::fault_proxy::rules::{LinkRule, LinkSpec};
use crate::fault_proxy::transfer::{ByteCounts, LinkConnection, LinkState};

/// Connections that may wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;
/// Open connections of one link; bounds its memory.
const MAX_CONNECTIONS: usize = 2_048;
/// Timeout of a connection attempt to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Delay after a failed accept or bind.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Reports the state and counters of one link.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LinkReport {
    /// Description from which the link was created.
    pub spec: LinkSpec,
    /// Address that the link listens on.
    pub address: SocketAddr,
    /// Rule that applies to the traffic now.
    pub rule: LinkRule,
    /// Number of connections that are open now.
    pub connections: usize,
    /// Connections accepted since the link was added.
    pub accepted: u64,
    /// Bytes delivered to the target.
    pub bytes_forward: u64,
    /// Bytes delivered to the callers.
    pub bytes_backward: u64,
}

/// Runs one link; dropping it closes the listener and all connections.
#[derive(Debug)]
pub(super) struct ProxyLink {
    spec: LinkSpec,
    address: SocketAddr,
    state: watch::Sender<LinkState>,
    counts: Arc<LinkCounts>,
    task: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct LinkCounts {
    accepted: AtomicU64,
    open: AtomicUsize,
    bytes: ByteCounts,
}

impl ProxyLink {
    pub async fn spawn(spec: LinkSpec, seed: u64) -> io::Result<Self> {
        let listener = TcpListener::bind(&spec.listen).await?;
        let address = listener.local_addr()?;
        let state = watch::Sender::new(LinkState::default());
        let counts = Arc::new(LinkCounts::default());
        let acceptor = LinkAcceptor {
            address,
            target: spec.target.clone(),
            state: state.subscribe(),
            counts: Arc::clone(&counts),
            seed,
        };
        let task = tokio::spawn(acceptor.run(listener));
        Ok(Self { spec, address, state, counts, task })
    }

    pub fn spec(&self) -> &LinkSpec {
        &self.spec
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn change_rule<F>(&self, change: F)
    where
        F: FnOnce(&mut LinkRule),
    {
        self.state.send_modify(|state| change(&mut state.rule));
    }

    /// Permanently stops delivery on all existing connections.
    pub fn silence(&self) {
        let next_number = self.counts.accepted.load(Ordering::SeqCst);
        self.state.send_modify(|state| state.silent_below = next_number);
    }

    /// Resets all existing connections.
    pub fn reset(&self) {
        let next_number = self.counts.accepted.load(Ordering::SeqCst);
        self.state.send_modify(|state| state.reset_below = next_number);
    }

    pub fn report(&self) -> LinkReport {
        LinkReport {
            spec: self.spec.clone(),
            address: self.address,
            rule: self.state.borrow().rule,
            connections: self.counts.open.load(Ordering::Relaxed),
            accepted: self.counts.accepted.load(Ordering::Relaxed),
            bytes_forward: self.counts.bytes.forward.load(Ordering::Relaxed),
            bytes_backward: self.counts.bytes.backward.load(Ordering::Relaxed),
        }
    }
}

impl Drop for ProxyLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Accepts the connections of a link and opens its listener again after a refusal.
struct LinkAcceptor {
    address: SocketAddr,
    target: String,
    state: watch::Receiver<LinkState>,
    counts: Arc<LinkCounts>,
    seed: u64,
}

impl LinkAcceptor {
    async fn run(mut self, listener: TcpListener) {
        let mut listener = Some(listener);
        let mut connections = JoinSet::new();
        loop {
            if self.state.borrow_and_update().rule.refuse {
                // A closed listener refuses connections as the port of a stopped process does.
                listener = None;
            } else if listener.is_none() {
                listener = self.rebind().await;
            }
            tokio::select! {
                stream = accept(listener.as_ref()) => self.accept_connection(stream, &mut connections),
                Some(_) = connections.join_next() => {}
                changed = self.state.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
            }
        }
    }

    fn accept_connection(&self, stream: TcpStream, connections: &mut JoinSet<()>) {
        if connections.len() >= MAX_CONNECTIONS {
            let _ = stream.set_zero_linger();
            return;
        }
        let number = self.counts.accepted.fetch_add(1, Ordering::SeqCst);
        let state = self.state.clone();
        let seed = self.seed.wrapping_add(number.wrapping_mul(2));
        let connection = LinkConnection { number, state, seed };
        let (target, counts) = (self.target.clone(), Arc::clone(&self.counts));
        connections.spawn(async move {
            let _counted = OpenConnection::count(&counts);
            relay_connection(connection, stream, &target, &counts).await;
        });
    }

    /// Listens on the address of the link again; retries until the address can be bound.
    async fn rebind(&self) -> Option<TcpListener> {
        let try_bind = || {
            let socket = match self.address {
                SocketAddr::V4(_) => TcpSocket::new_v4()?,
                SocketAddr::V6(_) => TcpSocket::new_v6()?,
            };
            socket.set_reuseaddr(true)?;
            socket.bind(self.address)?;
            socket.listen(ACCEPT_BACKLOG)
        };
        loop {
            match try_bind() {
                Ok(listener) => return Some(listener),
                Err(error) => {
                    log::warn!("cannot rebind {}: {error}; retrying", self.address);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Accepts the next connection; without a listener it waits forever.
async fn accept(listener: Option<&TcpListener>) -> TcpStream {
    let Some(listener) = listener else {
        return std::future::pending().await;
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Connects to the target once the link passes new connections, and relays the bytes.
///
/// Resets the caller if the target cannot be reached or the connection is reset first.
async fn relay_connection(
    connection: LinkConnection,
    mut caller: TcpStream,
    target: &str,
    counts: &LinkCounts,
) {
    let open = connection.wait_until_open().await;
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(target));
    let Some(mut target) = (if open { connecting.await.ok().and_then(Result::ok) } else { None })
    else {
        let _ = caller.set_zero_linger();
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = target.set_nodelay(true);
    connection.relay(&mut caller, &mut target, &counts.bytes).await;
}

/// Counts an open connection until the value is dropped.
struct OpenConnection<'a>(&'a LinkCounts);

impl<'a> OpenConnection<'a> {
    fn count(counts: &'a LinkCounts) -> Self {
        counts.open.fetch_add(1, Ordering::Relaxed);
        Self(counts)
    }
}

impl Drop for OpenConnection<'_> {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}
