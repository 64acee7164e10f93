//! Connections to one backend server.
//!
//! HTTP/2 carries all requests over one or two connections, each checked by its own PING frames: a
//! connection that no longer responds is closed after [`PING_INTERVAL`] + [`PING_TIMEOUT`], which
//! fails the requests on it, and the next request opens a new one. HTTP/1 has no PING; its idle
//! connections time out soon, and all are replaced after a request without a response.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{PoisonError, RwLock};
use std::time::Duration;

use reqwest::Client;

/// Interval of PING frames, also on idle connections.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum time for the response to a PING frame.
pub const PING_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time to connect. Together with a read of the instance list it stays below the 3 s after
/// which a leaving backend must get no new requests.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of entry processes that share the connection limit of a backend server.
const ENTRY_PROCESSES: u32 = 7;
/// Maximum number of HTTP/2 connections from one process to one backend; the second keeps serving
/// requests until the PING timeout closes a first one that does not respond.
const MAX_HTTP2_CONNECTIONS: u32 = 2;
/// Time after which an idle HTTP/1 connection is closed; bounds how long a dead one can be reused.
const HTTP1_IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after which the kernel closes a connection whose data is not acknowledged.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Flow-control window of an HTTP/2 stream; the default of 64 KB stalls responses of several
/// hundred KB.
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
/// Flow-control window of an HTTP/2 connection, over all its streams.
const CONNECTION_WINDOW_BYTES: u32 = 4 << 20;

/// HTTP version of the connections to a backend server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum BackendProtocol {
    /// HTTP/2 without TLS, with prior knowledge.
    #[default]
    Http2,
    /// HTTP/1.1, one request per connection at a time.
    Http1,
}

/// HTTP clients of one backend server, within the connection share of this process.
#[derive(Debug)]
pub struct BackendConnections {
    protocol: BackendProtocol,
    share: u32,
    clients: Vec<PooledClient>,
}

#[derive(Debug)]
struct PooledClient {
    client: RwLock<Client>,
    in_flight: AtomicU32,
}

/// Permit for one request on a client; released on drop.
#[derive(Debug)]
pub struct ClientPermit<'a> {
    connections: &'a BackendConnections,
    pooled: &'a PooledClient,
    /// HTTP client that sends the request.
    pub client: Client,
}

impl BackendConnections {
    /// Creates the clients within this process's share of the connection `limit`, which is 0 if it
    /// is unknown; opens no connection yet.
    pub fn new(protocol: BackendProtocol, limit: u32) -> Self {
        let share = (limit / ENTRY_PROCESSES).max(1);
        let count = match protocol {
            BackendProtocol::Http2 => share.min(MAX_HTTP2_CONNECTIONS),
            BackendProtocol::Http1 => 1,
        };
        let clients = (0..count)
            .map(|_| PooledClient {
                client: RwLock::new(build_client(protocol, share)),
                in_flight: AtomicU32::new(0),
            })
            .collect();
        Self { protocol, share, clients }
    }

    /// Returns the HTTP version of the connections.
    pub fn protocol(&self) -> BackendProtocol {
        self.protocol
    }

    /// Returns the maximum requests in flight that the connection share of this process allows.
    pub fn max_in_flight(&self) -> u32 {
        match self.protocol {
            BackendProtocol::Http2 => u32::MAX,
            BackendProtocol::Http1 => self.share,
        }
    }

    /// Returns a permit for the client with the fewest requests in flight.
    pub fn acquire(&self) -> ClientPermit<'_> {
        let mut pooled = &self.clients[0];
        for other in &self.clients[1..] {
            if other.in_flight.load(Ordering::Relaxed) < pooled.in_flight.load(Ordering::Relaxed) {
                pooled = other;
            }
        }
        pooled.in_flight.fetch_add(1, Ordering::Relaxed);
        let client = pooled.client.read().unwrap_or_else(PoisonError::into_inner).clone();
        ClientPermit { connections: self, pooled, client }
    }
}

impl ClientPermit<'_> {
    /// Replaces the connections after a request without a response, so that later requests do not
    /// reuse a dead one. HTTP/2 needs no replacement: its PING timeout closes a dead connection.
    pub fn replace(&self) {
        if self.connections.protocol == BackendProtocol::Http1 {
            let replacement = build_client(BackendProtocol::Http1, self.connections.share);
            *self.pooled.client.write().unwrap_or_else(PoisonError::into_inner) = replacement;
        }
    }
}

impl Drop for ClientPermit<'_> {
    fn drop(&mut self) {
        self.pooled.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

fn build_client(protocol: BackendProtocol, share: u32) -> Client {
    let builder = Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .referer(false)
        // The router retries; only it knows which requests are repeatable.
        .retry(reqwest::retry::never())
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .tcp_user_timeout(TCP_USER_TIMEOUT);
    let builder = match protocol {
        BackendProtocol::Http2 => builder
            .http2_prior_knowledge()
            .http2_initial_stream_window_size(STREAM_WINDOW_BYTES)
            .http2_initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .http2_keep_alive_interval(PING_INTERVAL)
            .http2_keep_alive_timeout(PING_TIMEOUT)
            .http2_keep_alive_while_idle(true)
            .pool_max_idle_per_host(1),
        BackendProtocol::Http1 => builder
            .http1_only()
            .pool_idle_timeout(HTTP1_IDLE_TIMEOUT)
            .pool_max_idle_per_host(share as usize),
    };
    // Building fails only on invalid TLS settings; none are set.
    builder.build().unwrap_or_default()
}
