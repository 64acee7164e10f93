//! Server side of calls between processes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use lacewingrail_model::message::{PeerFrame, PeerResponse};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};

use crate::codec::{self, MAX_FRAME_BYTES};
use crate::error::WireError;

/// Time within which a peer must send a complete request after it has opened the stream.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of concurrent calls on one connection.
const MAX_CONCURRENT_STREAMS: u32 = 64;

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
    /// Listens on an address and passes requests to a handler; port 0 selects a free port.
    ///
    /// # Errors
    /// Returns [`WireError::Connect`] if the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        handler: Arc<dyn PeerHandler>,
    ) -> Result<Self, WireError> {
        let connect_error =
            |error: std::io::Error| WireError::Connect(format!("{address}: {error}"));
        let listener = TcpListener::bind(address).await.map_err(connect_error)?;
        let address = listener.local_addr().map_err(connect_error)?;
        let task = tokio::spawn(accept(listener, handler));
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

async fn accept(listener: TcpListener, handler: Arc<dyn PeerHandler>) {
    let mut connections = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(serve_connection(stream, handler.clone()));
            }
            // Accept fails when file descriptors are exhausted; the delay prevents a busy loop.
            Err(error) => {
                log::warn!("cannot accept a peer connection: {error}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        while connections.try_join_next().is_some() {}
    }
}

/// Serves the calls on one connection concurrently; when it closes, unfinished calls are aborted.
async fn serve_connection(stream: TcpStream, handler: Arc<dyn PeerHandler>) {
    let _ = stream.set_nodelay(true);
    let handshake =
        h2::server::Builder::new().max_concurrent_streams(MAX_CONCURRENT_STREAMS).handshake(stream);
    let Ok(mut connection) = handshake.await else {
        return;
    };
    let mut calls = JoinSet::new();
    while let Some(Ok((request, responder))) = connection.accept().await {
        calls.spawn(serve_call(request, responder, handler.clone()));
        while calls.try_join_next().is_some() {}
    }
}

async fn serve_call(
    request: http::Request<h2::RecvStream>,
    mut responder: h2::server::SendResponse<Bytes>,
    handler: Arc<dyn PeerHandler>,
) {
    let body = tokio::time::timeout(READ_TIMEOUT, read_body(request.into_body())).await;
    let response = match body.unwrap_or(Err(WireError::Timeout)) {
        Ok(bytes) => match codec::decode::<PeerFrame>(&bytes) {
            Ok(frame) => handler.handle(frame).await,
            Err(error) => PeerResponse::Refused { reason: error.to_string() },
        },
        Err(error) => PeerResponse::Refused { reason: error.to_string() },
    };
    if let Err(error) = send_response(&mut responder, &response).await {
        log::debug!("cannot answer a peer: {error}");
    }
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

/// Reads a complete body; fails once it exceeds the frame limit.
pub(crate) async fn read_body(mut body: h2::RecvStream) -> Result<Vec<u8>, WireError> {
    let mut bytes = Vec::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk.map_err(|error| WireError::Broken(error.to_string()))?;
        let size = bytes.len() + chunk.len();
        if size > MAX_FRAME_BYTES {
            return Err(WireError::TooLarge { bytes: size });
        }
        bytes.extend_from_slice(&chunk);
        let _ = body.flow_control().release_capacity(chunk.len());
    }
    Ok(bytes)
}
