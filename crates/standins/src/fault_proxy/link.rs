//! One proxied link: its listener and its connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

use crate::fault_proxy::pump::{ByteCounts, LinkConnection, LinkState};
use crate::fault_proxy::rules::{LinkRule, LinkSpec};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Connections of one link; bounds its memory.
const CONNECTIONS: usize = 2_048;
/// Time to connect to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after a failed accept or bind.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Reports one link.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LinkReport {
    /// Description.
    pub spec: LinkSpec,
    /// Bound address.
    pub address: SocketAddr,
    /// Rule in effect.
    pub rule: LinkRule,
    /// Open connections.
    pub connections: usize,
    /// Connections accepted since the start.
    pub accepted: u64,
    /// Bytes carried to the target.
    pub bytes_forward: u64,
    /// Bytes carried to the callers.
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

    /// Makes all present connections silent for good.
    pub fn silence(&self) {
        let next = self.counts.accepted.load(Ordering::SeqCst);
        self.state.send_modify(|state| state.silent_below = next);
    }

    /// Resets all present connections.
    pub fn reset(&self) {
        let next = self.counts.accepted.load(Ordering::SeqCst);
        self.state.send_modify(|state| state.reset_below = next);
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
                // A closed listener refuses as the port of an ended process does.
                listener = None;
            } else if listener.is_none() {
                listener = self.bind_again().await;
            }
            tokio::select! {
                stream = accept(listener.as_ref()) => self.admit(stream, &mut connections),
                Some(_) = connections.join_next() => {}
                changed = self.state.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
            }
        }
    }

    fn admit(&self, stream: TcpStream, connections: &mut JoinSet<()>) {
        if connections.len() >= CONNECTIONS {
            let _ = stream.set_zero_linger();
            return;
        }
        let number = self.counts.accepted.fetch_add(1, Ordering::SeqCst);
        let state = self.state.clone();
        let seed = self.seed.wrapping_add(number.wrapping_mul(2));
        let connection = LinkConnection { number, state, seed };
        let (target, counts) = (self.target.clone(), Arc::clone(&self.counts));
        connections.spawn(async move {
            let _open = OpenConnection::enter(&counts);
            connect(connection, stream, &target, &counts).await;
        });
    }

    async fn bind_again(&self) -> Option<TcpListener> {
        let bind = || {
            let socket = match self.address {
                SocketAddr::V4(_) => TcpSocket::new_v4()?,
                SocketAddr::V6(_) => TcpSocket::new_v6()?,
            };
            socket.set_reuseaddr(true)?;
            socket.bind(self.address)?;
            socket.listen(BACKLOG)
        };
        loop {
            match bind() {
                Ok(listener) => return Some(listener),
                Err(error) => {
                    log::warn!("{} cannot be bound again ({error}); trying again", self.address);
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }
}

/// Accepts the next connection; without a listener it waits for ever.
async fn accept(listener: Option<&TcpListener>) -> TcpStream {
    let Some(listener) = listener else {
        return std::future::pending().await;
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

async fn connect(
    connection: LinkConnection,
    mut caller: TcpStream,
    target: &str,
    counts: &LinkCounts,
) {
    let open = connection.wait_open().await;
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(target));
    let Some(mut target) = (if open { connecting.await.ok().and_then(Result::ok) } else { None })
    else {
        let _ = caller.set_zero_linger();
        return;
    };
    let _ = caller.set_nodelay(true);
    let _ = target.set_nodelay(true);
    connection.carry(&mut caller, &mut target, &counts.bytes).await;
}

/// Counts a connection while it exists.
struct OpenConnection<'a>(&'a LinkCounts);

impl<'a> OpenConnection<'a> {
    fn enter(counts: &'a LinkCounts) -> Self {
        counts.open.fetch_add(1, Ordering::Relaxed);
        Self(counts)
    }
}

impl Drop for OpenConnection<'_> {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}
