//! Connections to one backend server.
//!
//! HTTP/2 carries all requests over one or two connections, each with its own PING: one that has
//! gone silent is closed after [`PING_INTERVAL`] + [`PING_TIMEOUT`], which ends the requests on it,
//! and the next request opens a new one. HTTP/1 has no PING; there, idle connections live for a
//! short time only, and all are replaced when a request gets no answer.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{PoisonError, RwLock};
use std::time::Duration;

use reqwest::Client;

/// Time between PINGs, also on idle connections.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time for the answer to a PING.
pub const PING_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time to connect. A leaving backend must get no new work after 3 s; this and a read of the
/// instance list stay below that together.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Entry processes that share the connections of a backend server.
const ENTRY_PROCESSES: u32 = 7;
/// Connections of one process to one backend over HTTP/2; a second one carries on while the first
/// is found to be silent.
const HTTP2_LANES: u32 = 2;
/// Time that an idle HTTP/1 connection is kept; bounds how long a silent one can be picked.
const HTTP1_IDLE: Duration = Duration::from_millis(1_500);
/// Time after which the kernel drops a connection whose data the other side does not acknowledge.
const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_500);
/// Flow-control windows; the default of 64 KB would stall answers of a few hundred KB.
const STREAM_WINDOW: u32 = 1 << 20;
/// Window of a whole connection.
const CONNECTION_WINDOW: u32 = 4 << 20;

/// Selects the protocol towards backend servers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum HttpChoice {
    /// HTTP/2 without TLS by prior knowledge.
    #[default]
    Http2,
    /// HTTP/1.1.
    Http1,
}

/// Holds the connections to one backend server.
#[derive(Debug)]
pub struct BackendConnections {
    http: HttpChoice,
    share: u32,
    lanes: Vec<ConnectionLane>,
}

#[derive(Debug)]
struct ConnectionLane {
    client: RwLock<Client>,
    in_flight: AtomicU32,
}

/// Lends the connection for one request.
#[derive(Debug)]
pub struct LaneUse<'a> {
    connections: &'a BackendConnections,
    lane: &'a ConnectionLane,
    /// Client that sends the request.
    pub client: Client,
}

impl BackendConnections {
    /// Creates connections within this process' share of `limit`, 0 for unknown; none is opened yet.
    pub fn new(http: HttpChoice, limit: u32) -> Self {
        let share = (limit / ENTRY_PROCESSES).max(1);
        let count = match http {
            HttpChoice::Http2 => share.min(HTTP2_LANES),
            HttpChoice::Http1 => 1,
        };
        let lanes = (0..count)
            .map(|_| ConnectionLane {
                client: RwLock::new(build(http, share)),
                in_flight: AtomicU32::new(0),
            })
            .collect();
        Self { http, share, lanes }
    }

    /// Returns the protocol.
    pub fn http(&self) -> HttpChoice {
        self.http
    }

    /// Returns the most requests that this process may have in flight by its share of connections.
    pub fn max_in_flight(&self) -> u32 {
        match self.http {
            HttpChoice::Http2 => u32::MAX,
            HttpChoice::Http1 => self.share,
        }
    }

    /// Lends the connection with the fewest requests.
    pub fn lend(&self) -> LaneUse<'_> {
        let mut lane = &self.lanes[0];
        for other in &self.lanes[1..] {
            if other.in_flight.load(Ordering::Relaxed) < lane.in_flight.load(Ordering::Relaxed) {
                lane = other;
            }
        }
        lane.in_flight.fetch_add(1, Ordering::Relaxed);
        let client = lane.client.read().unwrap_or_else(PoisonError::into_inner).clone();
        LaneUse { connections: self, lane, client }
    }
}

impl LaneUse<'_> {
    /// Replaces the connections after a request without an answer, so that later requests do not
    /// meet a silent one. HTTP/2 needs no replacement: its PING closes a silent connection.
    pub fn replace(&self) {
        if self.connections.http == HttpChoice::Http1 {
            let fresh = build(HttpChoice::Http1, self.connections.share);
            *self.lane.client.write().unwrap_or_else(PoisonError::into_inner) = fresh;
        }
    }
}

impl Drop for LaneUse<'_> {
    fn drop(&mut self) {
        self.lane.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

fn build(http: HttpChoice, share: u32) -> Client {
    let builder = Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .referer(false)
        // The router decides on retries, since only it knows what is repeatable.
        .retry(reqwest::retry::never())
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .tcp_user_timeout(UNACKNOWLEDGED_LIMIT);
    let builder = match http {
        HttpChoice::Http2 => builder
            .http2_prior_knowledge()
            .http2_initial_stream_window_size(STREAM_WINDOW)
            .http2_initial_connection_window_size(CONNECTION_WINDOW)
            .http2_keep_alive_interval(PING_INTERVAL)
            .http2_keep_alive_timeout(PING_TIMEOUT)
            .http2_keep_alive_while_idle(true)
            .pool_max_idle_per_host(1),
        HttpChoice::Http1 => builder
            .http1_only()
            .pool_idle_timeout(HTTP1_IDLE)
            .pool_max_idle_per_host(share as usize),
    };
    // Building fails only for invalid TLS settings, and there are none.
    builder.build().unwrap_or_default()
}
