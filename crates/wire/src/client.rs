//! Client side of calls between processes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::client::SendRequest;
use lacewingrail_model::message::{PeerFrame, PeerRequest, PeerResponse};
use tokio::net::TcpStream;
use tokio::sync::Mutex;

use crate::codec::{self, MAX_FRAME_BYTES};
use crate::error::WireError;

/// Client that keeps one connection per peer; clones share the connections.
#[derive(Clone, Default)]
pub struct PeerClient {
    system: Arc<str>,
    connections: Arc<Mutex<HashMap<String, PeerConnection>>>,
}

/// Connection to one peer; a clone keeps the driver running until its call ends.
#[derive(Clone)]
struct PeerConnection {
    sender: SendRequest<Bytes>,
    driver: Arc<ConnectionDriver>,
}

/// Task that drives a connection; aborted when the last clone of the connection is dropped.
struct ConnectionDriver(tokio::task::JoinHandle<()>);

impl Drop for ConnectionDriver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl PeerClient {
    /// Creates a client without connections and with an empty system name.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the system name that is sent with each request; peers of other systems refuse it.
    pub fn with_system(mut self, system: &str) -> Self {
        self.system = Arc::from(system);
        self
    }

    /// Sends a request to the peer at `ip:port` and waits up to `timeout` for the complete response.
    ///
    /// The connection is opened on first use and closed after any error, so that the next call opens a
    /// new one. After [`WireError::Broken`] or [`WireError::Timeout`] the request may have taken
    /// effect.
    pub async fn call(
        &self,
        address: &str,
        traceparent: String,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerResponse, WireError> {
        let system = self.system.to_string();
        let bytes = codec::encode(&PeerFrame { traceparent, system, request })?;
        let result = tokio::time::timeout(timeout, self.exchange(address, bytes)).await;
        let result = result.unwrap_or(Err(WireError::Timeout));
        if result.is_err() {
            self.connections.lock().await.remove(address);
        }
        codec::decode(&result?)
    }

    async fn exchange(&self, address: &str, bytes: Vec<u8>) -> Result<Vec<u8>, WireError> {
        let connection = self.connect(address).await?;
        let broken = |error: h2::Error| WireError::Broken(error.to_string());
        let mut sender = connection.sender.clone().ready().await.map_err(broken)?;
        let request = http::Request::post(format!("http://{address}/peer"))
            .body(())
            .map_err(|error| WireError::Connect(error.to_string()))?;
        let (response, mut stream) = sender.send_request(request, false).map_err(broken)?;
        stream.send_data(bytes.into(), true).map_err(broken)?;
        let body = response.await.map_err(broken)?.into_body();
        let bytes = read_body(body).await;
        drop(connection.driver);
        bytes
    }

    async fn connect(&self, address: &str) -> Result<PeerConnection, WireError> {
        if let Some(connection) = self.connections.lock().await.get(address) {
            return Ok(connection.clone());
        }
        let connect_error = |cause: String| WireError::Connect(format!("{address}: {cause}"));
        let stream =
            TcpStream::connect(address).await.map_err(|error| connect_error(error.to_string()))?;
        let _ = stream.set_nodelay(true);
        let (sender, driver) = h2::client::handshake(stream)
            .await
            .map_err(|error| connect_error(error.to_string()))?;
        let driver = tokio::spawn(async move {
            let _ = driver.await;
        });
        let connection = PeerConnection { sender, driver: Arc::new(ConnectionDriver(driver)) };
        self.connections.lock().await.insert(address.to_owned(), connection.clone());
        Ok(connection)
    }
}

/// Reads a complete response; fails once it exceeds the frame limit.
async fn read_body(mut body: h2::RecvStream) -> Result<Vec<u8>, WireError> {
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
