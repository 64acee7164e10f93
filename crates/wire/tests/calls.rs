//! Calls between processes over real connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use assert_matches::assert_matches;
use async_trait::async_trait;
use lacewingrail_listener::{ListenerRole, ListenerState};
use lacewingrail_model::message::{ConfigPayload, PeerFrame, PeerRequest, PeerResponse};
use lacewingrail_wire::{PeerClient, PeerHandler, PeerServer, WireError, codec};
use proptest::prelude::*;
use tokio::io::AsyncReadExt;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

struct EchoHandler;

#[async_trait]
impl PeerHandler for EchoHandler {
    async fn handle(&self, frame: PeerFrame) -> PeerResponse {
        match frame.request {
            PeerRequest::ConfigPush(payload) => PeerResponse::Config(Some(payload)),
            _ => PeerResponse::Done,
        }
    }
}

async fn serve(address: &str) -> PeerServer {
    let address: SocketAddr = address.parse().expect("address");
    PeerServer::bind(
        address,
        ListenerState::detached("peers", ListenerRole::Peers),
        Arc::new(EchoHandler),
    )
    .await
    .expect("bind")
}

/// Guards against frames truncated by flow control: the largest tree exceeds the default h2 window.
#[tokio::test]
async fn large_frames_arrive_complete() {
    let server = serve("127.0.0.1:0").await;
    let payload = ConfigPayload { version: 7, text: "x".repeat(1_000_000) };
    let request = PeerRequest::ConfigPush(payload.clone());
    let client = PeerClient::new();
    let response =
        client.call(&server.address().to_string(), String::new(), request, CALL_TIMEOUT).await;
    assert_eq!(response, Ok(PeerResponse::Config(Some(payload))));
}

/// Guards against a client that keeps using a closed connection after its peer has restarted.
#[tokio::test]
async fn client_reconnects_after_peer_restart() {
    let server = serve("127.0.0.1:0").await;
    let address = server.address().to_string();
    let client = PeerClient::new();
    let pull = PeerRequest::ConfigPull { have: 0 };
    let call = || client.call(&address, String::new(), pull.clone(), CALL_TIMEOUT);
    assert_eq!(call().await, Ok(PeerResponse::Done));
    drop(server);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let _ = call().await;
    let _server = serve(&address).await;
    assert_eq!(call().await, Ok(PeerResponse::Done));
}

/// Guards against calls that hang on a connection that accepts data but never answers.
#[tokio::test]
async fn silent_peer_times_out() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("accept");
        let mut sink = vec![0; 4096];
        while stream.read(&mut sink).await.is_ok_and(|read| read > 0) {}
    });
    let client = PeerClient::new();
    let pull = PeerRequest::ConfigPull { have: 0 };
    let result = client.call(&address, String::new(), pull, Duration::from_millis(200)).await;
    assert_matches!(result, Err(WireError::Timeout));
}

proptest! {
    /// Guards against panics and unbounded memory use on frames from a faulty or hostile peer.
    #[test]
    fn arbitrary_bytes_never_panic(bytes in proptest::collection::vec(any::<u8>(), 0..2048)) {
        let _ = codec::decode::<PeerFrame>(&bytes);
        let _ = codec::decode::<PeerResponse>(&bytes);
    }
}
