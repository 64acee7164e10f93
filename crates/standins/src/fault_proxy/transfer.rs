//! Transfer of bytes over one connection under the rules of its link.

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::fault_proxy::rules::{DirectionRule, LinkRule};

/// Bytes of one chunk.
const CHUNK_BYTES: usize = 16_384;
/// Chunks in transit in each direction; bounds the memory of a connection to about 1 MB.
const MAX_QUEUED_CHUNKS: usize = 32;
/// Writes per second under a rate limit.
const LIMITED_WRITES_PER_SECOND: u64 = 20;

/// Rule of a link and the numbers below which its connections are silenced or reset.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LinkState {
    pub rule: LinkRule,
    /// Connections with a lower number no longer deliver anything.
    pub silent_below: u64,
    /// Connections with a lower number are reset.
    pub reset_below: u64,
}

/// Counts the bytes that a link delivered in each direction.
#[derive(Debug, Default)]
pub(super) struct ByteCounts {
    pub forward: AtomicU64,
    pub backward: AtomicU64,
}

/// One proxied connection: its number, the state of its link and the seed of its jitter.
#[derive(Clone, Debug)]
pub(super) struct LinkConnection {
    pub number: u64,
    pub state: watch::Receiver<LinkState>,
    pub seed: u64,
}

/// Outcome of a read from one side, to be passed on to the other.
enum ReadEvent {
    Data(Bytes),
    /// The side has closed its direction.
    End,
    /// The read failed.
    Broken(io::Error),
}

impl LinkConnection {
    /// Relays bytes in both directions until both have ended or one side failed.
    ///
    /// A failed or reset connection ends with a TCP reset of both sides.
    pub async fn relay(&self, caller: &mut TcpStream, target: &mut TcpStream, counts: &ByteCounts) {
        let outcome = {
            let (caller_read, caller_write) = caller.split();
            let (target_read, target_write) = target.split();
            let both = async {
                tokio::try_join!(
                    self.transfer(caller_read, target_write, true, &counts.forward),
                    self.transfer(target_read, caller_write, false, &counts.backward),
                )
            };
            tokio::select! {
                outcome = both => outcome.map(drop),
                () = self.wait_until_reset() => Err(io::ErrorKind::ConnectionReset.into()),
            }
        };
        if outcome.is_err() {
            let _ = caller.set_zero_linger();
            let _ = target.set_zero_linger();
        }
    }

    /// Waits until the link passes new connections; returns false if the connection is reset first.
    pub async fn wait_until_open(&self) -> bool {
        let mut state = self.state.clone();
        let number = self.number;
        let passed = state.wait_for(|state| {
            let cut = state.rule.cut_forward || state.rule.cut_backward;
            state.reset_below > number || (!cut && state.silent_below <= number)
        });
        passed.await.is_ok_and(|state| state.reset_below <= number)
    }

    async fn wait_until_reset(&self) {
        let mut state = self.state.clone();
        // A closed channel means that the proxy has stopped, which also resets the connection.
        let _ = state.wait_for(|state| state.reset_below > self.number).await;
    }

    /// Transfers the bytes of one direction and counts those delivered.
    async fn transfer(
        &self,
        read: ReadHalf<'_>,
        write: WriteHalf<'_>,
        forward: bool,
        bytes: &AtomicU64,
    ) -> io::Result<()> {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
        tokio::try_join!(
            async {
                self.receive(read, sender, forward).await;
                Ok(())
            },
            self.send(write, receiver, forward, bytes),
        )
        .map(drop)
    }

    /// Reads from one side and queues each read with the time at which it is due.
    async fn receive(
        &self,
        mut read: ReadHalf<'_>,
        sender: mpsc::Sender<(Instant, ReadEvent)>,
        forward: bool,
    ) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed ^ u64::from(forward));
        let mut buffer = vec![0; CHUNK_BYTES];
        let mut last_due = Instant::now();
        loop {
            let event = match read.read(&mut buffer).await {
                Ok(0) => ReadEvent::End,
                Ok(length) => ReadEvent::Data(Bytes::copy_from_slice(&buffer[..length])),
                Err(error) => ReadEvent::Broken(error),
            };
            let last = !matches!(event, ReadEvent::Data(_));
            let rule = self.state.borrow().rule;
            let jitter_ms = random.random_range(0..=rule.jitter_ms);
            let delay =
                Duration::from_millis(rule.direction(forward).delay_ms.saturating_add(jitter_ms));
            last_due = last_due.max(Instant::now() + delay);
            if sender.send((last_due, event)).await.is_err() || last {
                return;
            }
        }
    }

    /// Writes each queued read to the other side when it is due and delivery is unblocked.
    async fn send(
        &self,
        mut write: WriteHalf<'_>,
        mut receiver: mpsc::Receiver<(Instant, ReadEvent)>,
        forward: bool,
        bytes: &AtomicU64,
    ) -> io::Result<()> {
        while let Some((due, event)) = receiver.recv().await {
            if due > Instant::now() {
                tokio::time::sleep_until(due).await;
            }
            let mut data = match event {
                ReadEvent::Data(data) => data,
                ReadEvent::End => {
                    self.wait_until_unblocked(forward).await?;
                    return write.shutdown().await;
                }
                ReadEvent::Broken(error) => {
                    self.wait_until_unblocked(forward).await?;
                    return Err(error);
                }
            };
            while !data.is_empty() {
                let rule = self.wait_until_unblocked(forward).await?;
                let part = data.split_to(next_write_bytes(rule, data.len()));
                write.write_all(&part).await?;
                bytes.fetch_add(part.len() as u64, Ordering::Relaxed);
                if rule.bytes_per_second > 0 {
                    let seconds = part.len() as f64 / rule.bytes_per_second as f64;
                    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
                }
            }
        }
        Ok(())
    }

    /// Waits until delivery in a direction is neither cut nor silenced, and returns its rule.
    async fn wait_until_unblocked(&self, forward: bool) -> io::Result<DirectionRule> {
        let mut state = self.state.clone();
        let number = self.number;
        let passed = state
            .wait_for(|state| !state.rule.direction(forward).cut && state.silent_below <= number)
            .await;
        passed
            .map(|state| state.rule.direction(forward))
            .map_err(|_| io::ErrorKind::ConnectionAborted.into())
    }
}

/// Returns the bytes of the next write under a limited rate.
fn next_write_bytes(rule: DirectionRule, length: usize) -> usize {
    if rule.bytes_per_second == 0 {
        return length;
    }
    let part_bytes = (rule.bytes_per_second / LIMITED_WRITES_PER_SECOND).max(1);
    usize::try_from(part_bytes).unwrap_or(length).min(length)
}
