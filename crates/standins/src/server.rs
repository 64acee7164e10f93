//! HTTP server shared by the stand-ins: HTTP/1.1 and HTTP/2 with prior knowledge on one listener.
//!
//! Dropping the handle closes the listener and every connection abruptly, as the end of a process
//! would.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::response::Response;
use bytes::Bytes;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

/// Concurrent requests of one HTTP/2 connection.
const MAX_HTTP2_STREAMS: u32 = 1_024;
/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Limits and counts the connections of a server.
#[derive(Debug)]
pub struct ConnectionLimiter {
    limit: AtomicUsize,
    open: AtomicUsize,
    accepted: AtomicU64,
    refused: AtomicU64,
}

impl ConnectionLimiter {
    /// Creates a limiter that admits up to `limit` open connections.
    pub fn new(limit: usize) -> Self {
        Self {
            limit: AtomicUsize::new(limit),
            open: AtomicUsize::new(0),
            accepted: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        }
    }

    /// Sets the number of connections that may be open; existing ones stay open.
    pub fn set_limit(&self, limit: usize) {
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns the number of connections admitted since the limiter was created.
    pub fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Returns the number of connections refused since the limiter was created.
    pub fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Admits a connection unless the limit is reached.
    ///
    /// Only the accept loop calls it, so check and increment need no lock.
    fn admit(self: &Arc<Self>) -> Option<OpenConnection> {
        if self.open() >= self.limit.load(Ordering::Relaxed) {
            self.refused.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        self.open.fetch_add(1, Ordering::Relaxed);
        self.accepted.fetch_add(1, Ordering::Relaxed);
        Some(OpenConnection(Arc::clone(self)))
    }
}

/// Admission of one connection, which counts as open until the value is dropped.
struct OpenConnection(Arc<ConnectionLimiter>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Controls a running server; dropping it stops the server and closes its connections.
#[derive(Debug)]
pub struct ServerHandle {
    address: SocketAddr,
    limiter: Arc<ConnectionLimiter>,
    task: JoinHandle<()>,
}

impl ServerHandle {
    /// Serves a router on an address such as `127.0.0.1:0`, without a limit on connections.
    ///
    /// Fails if the address cannot be bound.
    pub async fn spawn(address: &str, router: Router) -> io::Result<Self> {
        Self::spawn_limited(address, router, Arc::new(ConnectionLimiter::new(usize::MAX))).await
    }

    /// Serves a router on an address, with connections limited and counted by `limiter`.
    ///
    /// Fails if the address cannot be bound.
    pub async fn spawn_limited(
        address: &str,
        router: Router,
        limiter: Arc<ConnectionLimiter>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Self::serve(listener, router, limiter)
    }

    /// Serves a router on a bound listener, with connections limited and counted by `limiter`.
    ///
    /// Fails if the listener's address cannot be read.
    pub fn serve(
        listener: TcpListener,
        router: Router,
        limiter: Arc<ConnectionLimiter>,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept_all(listener, router, Arc::clone(&limiter)));
        Ok(Self { address, limiter, task })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the base URL for clients, without a trailing slash.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Returns the limiter that admits and counts the connections.
    pub fn limiter(&self) -> &Arc<ConnectionLimiter> {
        &self.limiter
    }

    /// Stops the server and waits until its listener is closed.
    pub async fn stop(mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Returns an answer whose connection or stream breaks before its body ends.
pub(crate) fn broken_answer() -> Response {
    let lost = io::Error::other("the answer is dropped by a fault");
    Response::new(Body::from_stream(futures::stream::iter([Err::<Bytes, _>(lost)])))
}

async fn accept_all(listener: TcpListener, router: Router, limiter: Arc<ConnectionLimiter>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else {
                    // Usually a lack of file descriptors, which the end of a connection frees.
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                };
                let Some(open) = limiter.admit() else {
                    let _ = stream.set_zero_linger();
                    continue;
                };
                connections.spawn(serve_connection(stream, router.clone(), open));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection(stream: TcpStream, router: Router, _open: OpenConnection) {
    let _ = stream.set_nodelay(true);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http2().max_concurrent_streams(MAX_HTTP2_STREAMS);
    let service = TowerToHyperService::new(router);
    if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
        log::debug!("connection ended: {error}");
    }
}
