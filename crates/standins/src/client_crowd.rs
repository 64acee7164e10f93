//! Crowd of clients that send more than a request or less, and stay connected.
//!
//! Each client sends a script, a fixed sequence of bytes, and then keeps its connection open for as
//! long as the crowd exists, without closing it. A client whose connection is refused or closed
//! connects again as often as the script allows. The numbers of clients, connections and bytes are
//! bounded by the script, and so is the time.

mod script;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;

pub use script::{CrowdScript, chunk_body, submission_head};

/// Time after which a client that can't send the rest of its script stops trying.
const SEND_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay of a client before it connects again.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);

/// Clients of one crowd; dropping it closes all their connections.
#[derive(Debug)]
pub struct ClientCrowd {
    _clients: JoinSet<()>,
    size: usize,
    /// Number of clients that have sent their script, or may not connect again.
    finished: watch::Receiver<usize>,
    closed: Arc<AtomicU64>,
}

impl ClientCrowd {
    /// Starts `size` clients that send a script to an address.
    pub fn start(address: SocketAddr, size: usize, script: CrowdScript) -> Self {
        let (sender, finished) = watch::channel(0);
        let closed = Arc::<AtomicU64>::default();
        let script = Arc::new(script);
        let mut clients = JoinSet::new();
        for _ in 0..size {
            let client = CrowdClient {
                address,
                script: script.clone(),
                closed: closed.clone(),
                finished: sender.clone(),
                has_finished: false,
            };
            clients.spawn(client.run());
        }
        Self { _clients: clients, size, finished, closed }
    }

    /// Waits until each client has sent its script, or has been refused as often as it may connect.
    pub async fn wait_until_sent(&mut self) {
        let size = self.size;
        // Fails only after all clients have ended, when there is nothing to wait for.
        let _ = self.finished.wait_for(|finished| *finished >= size).await;
    }

    /// Returns the number of connections that the server has refused or closed.
    pub fn closed(&self) -> u64 {
        self.closed.load(Ordering::Relaxed)
    }
}

struct CrowdClient {
    address: SocketAddr,
    script: Arc<CrowdScript>,
    closed: Arc<AtomicU64>,
    finished: watch::Sender<usize>,
    has_finished: bool,
}

impl CrowdClient {
    async fn run(mut self) {
        for _ in 0..self.script.connections {
            // An error means that the server has refused or closed the connection.
            let _ = self.use_connection().await;
            self.closed.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(RECONNECT_DELAY).await;
        }
        self.finish();
    }

    /// Sends the script on a new connection and waits until the server closes it.
    async fn use_connection(&mut self) -> io::Result<()> {
        let connect = TcpStream::connect(self.address);
        let mut stream = tokio::time::timeout(SEND_TIMEOUT, connect).await??;
        let sent = tokio::time::timeout(SEND_TIMEOUT, send_script(&mut stream, &self.script)).await;
        // A server that no longer reads is waited for like one that has read all.
        if let Ok(sent) = sent {
            sent?;
        }
        self.finish();
        wait_for_close(&mut stream, self.script.connections > 1).await
    }

    fn finish(&mut self) {
        if !self.has_finished {
            self.has_finished = true;
            self.finished.send_modify(|finished| *finished += 1);
        }
    }
}

async fn send_script(stream: &mut TcpStream, script: &CrowdScript) -> io::Result<()> {
    for _ in 0..script.repetitions {
        for piece in script.bytes.chunks(script.piece_bytes) {
            stream.write_all(piece).await?;
        }
        if script.reads_answers {
            let mut answer = [0; 1024];
            if stream.read(&mut answer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
    Ok(())
}

/// Waits until the server closes the connection; reads what it has sent before if `reads` is set, and
/// otherwise leaves it unread, which may hide the end of the connection.
async fn wait_for_close(stream: &mut TcpStream, reads: bool) -> io::Result<()> {
    let mut answer = [0; 1024];
    loop {
        let count = match reads {
            true => stream.read(&mut answer).await?,
            false => stream.peek(&mut answer).await?,
        };
        match count {
            0 => return Ok(()),
            _ if reads => {}
            _ => std::future::pending().await,
        }
    }
}
