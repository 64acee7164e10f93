//! Server side of calls between processes.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use lacewingrail_listener::{
    BodyBuffer, ConnectionGuard, ConnectionRecorder, ListenerState, MeteredStream, ReceivedBody,
    RefusalReason, RequestGuard,
};
use lacewingrail_model::message::{PeerFrame, PeerResponse};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

use crate::codec::{self, MAX_FRAME_BYTES};
use crate::error::WireError;

/// Time within which a peer must send a complete request after it has opened the stream.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of concurrent calls on one connection.
const MAX_CONCURRENT_STREAMS: u32 = 64;
/// Largest head of a call in bytes; the heads of peers are below 1 KB.
const MAX_HEAD_BYTES: u32 = 4 << 10;

/// Handler of peer requests; called concurrently for requests on all connections.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Handles one request and returns the response to send.
    async fn handle(&self, frame: PeerFrame) -> PeerResponse;
}

/// Server for calls from peers; dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct PeerServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl PeerServer {
    /// Listens on an address and passes requests to a handler, within the limits of `state`; port 0
    /// selects a free port.
    ///
    /// # Errors
    /// Returns [`WireError::Connect`] if the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        state: ListenerState,
        handler: Arc<dyn PeerHandler>,
    ) -> Result<Self, WireError> {
        let connect_error =
            |error: std::io::Error| WireError::Connect(format!("{address}: {error}"));
        let listener = TcpListener::bind(address).await.map_err(connect_error)?;
        let address = listener.local_addr().map_err(connect_error)?;
        let task = tokio::spawn(accept(listener, state, handler));
        Ok(Self { address, task })
    }

    /// Returns the bound address, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, state: ListenerState, handler: Arc<dyn PeerHandler>) {
    let mut connections = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Some(guard) = state.connections().admit().await {
                    let (state, handler) = (state.clone(), handler.clone());
                    connections.spawn(serve_admitted(stream, guard, state, handler));
                }
            }
            // Accept fails when file descriptors are exhausted; the delay prevents a busy loop.
            Err(error) => {
                log::debug!("cannot accept a peer connection: {error}");
                state.refusals().count(RefusalReason::AcceptFailed);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        while connections.try_join_next().is_some() {}
    }
}

/// Serves a connection until it ends, or until it is closed to bound the resources of clients.
async fn serve_admitted(
    stream: TcpStream,
    guard: ConnectionGuard,
    state: ListenerState,
    handler: Arc<dyn PeerHandler>,
) {
    tokio::select! {
        () = serve_connection(stream, guard.recorder(), state, handler) => {}
        () = guard.closed() => {}
    }
}

/// Serves the calls on one connection concurrently; when it closes, unfinished calls are aborted.
async fn serve_connection(
    stream: TcpStream,
    recorder: ConnectionRecorder,
    state: ListenerState,
    handler: Arc<dyn PeerHandler>,
) {
    let handshake = h2::server::Builder::new()
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .max_header_list_size(MAX_HEAD_BYTES)
        .handshake(MeteredStream::new(stream, recorder.clone()));
    let Ok(mut connection) = handshake.await else {
        return;
    };
    // Bytes that arrive between calls are frames of the protocol, not heads.
    recorder.set_multiplexed();
    let mut calls = JoinSet::new();
    while let Some(Ok((request, responder))) = connection.accept().await {
        let (recorder, state) = (recorder.clone(), state.clone());
        calls.spawn(serve_call(request, responder, recorder, state, handler.clone()));
        while calls.try_join_next().is_some() {}
    }
}

async fn serve_call(
    request: http::Request<h2::RecvStream>,
    mut responder: h2::server::SendResponse<Bytes>,
    recorder: ConnectionRecorder,
    state: ListenerState,
    handler: Arc<dyn PeerHandler>,
) {
    let response = match receive_frame(request.into_body(), &recorder, &state).await {
        Ok(received) => match codec::decode::<PeerFrame>(&received.body.bytes) {
            Ok(frame) => handler.handle(frame).await,
            Err(error) => PeerResponse::Refused { reason: error.to_string() },
        },
        Err(error) => PeerResponse::Refused { reason: error.to_string() },
    };
    if let Err(error) = send_response(&mut responder, &response).await {
        log::debug!("cannot answer a peer: {error}");
    }
}

/// Request frame that was received completely, with what it holds until it is answered.
struct ReceivedFrame {
    body: ReceivedBody,
    _request: Arc<RequestGuard>,
}

/// Why a frame was not received.
enum FrameError {
    Refused(RefusalReason),
    Broken(String),
}

impl fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused(reason) => write!(formatter, "the call is refused: {}", reason.name()),
            Self::Broken(cause) => write!(formatter, "the call broke: {cause}"),
        }
    }
}

/// Receives the frame of a call within the limits of the listener.
async fn receive_frame(
    stream: h2::RecvStream,
    recorder: &ConnectionRecorder,
    state: &ListenerState,
) -> Result<ReceivedFrame, FrameError> {
    let request = recorder.begin_request(true).map_err(FrameError::Refused)?;
    let buffer = BodyBuffer::new(state.memory().begin(), MAX_FRAME_BYTES);
    let received = tokio::time::timeout(READ_TIMEOUT, fill_buffer(stream, buffer)).await;
    let received = received.unwrap_or(Err(FrameError::Refused(RefusalReason::BodyTimeout)));
    if let Err(FrameError::Refused(reason)) = &received {
        state.refusals().count(*reason);
    }
    let body = received?;
    request.complete().map_err(FrameError::Refused)?;
    Ok(ReceivedFrame { body, _request: request })
}

async fn fill_buffer(
    mut stream: h2::RecvStream,
    mut buffer: BodyBuffer,
) -> Result<ReceivedBody, FrameError> {
    buffer.charge_head(u64::from(MAX_HEAD_BYTES)).map_err(FrameError::Refused)?;
    loop {
        let part = tokio::select! {
            part = stream.data() => part,
            reason = buffer.revoked() => return Err(FrameError::Refused(reason)),
        };
        let Some(part) = part else { break };
        let part = part.map_err(|error| FrameError::Broken(error.to_string()))?;
        buffer.push(&part).map_err(FrameError::Refused)?;
        let _ = stream.flow_control().release_capacity(part.len());
    }
    buffer.finish().map_err(FrameError::Refused)
}

async fn send_response(
    responder: &mut h2::server::SendResponse<Bytes>,
    response: &PeerResponse,
) -> Result<(), WireError> {
    let bytes = codec::encode(response)?;
    let head = http::Response::new(());
    let broken = |error: h2::Error| WireError::Broken(error.to_string());
    let mut stream = responder.send_response(head, false).map_err(broken)?;
    stream.send_data(bytes.into(), true).map_err(broken)
}
