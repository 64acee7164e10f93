//! Transfer of the bytes of one connection under the rules of its link.

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

use crate::fault_proxy::rules::{LinkRule, WayRule};

/// Bytes of one chunk.
const CHUNK_BYTES: usize = 16_384;
/// Chunks of one direction that are on their way; bounds the memory of a connection to 1 MB.
const CHUNKS: usize = 32;
/// Slices of a second in which a limited rate is spent.
const RATE_SLICES: u64 = 20;

/// Holds the rule of a link and the connections that one-time actions have met.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LinkState {
    pub rule: LinkRule,
    /// Connections with a lower number are silent for good.
    pub silent_below: u64,
    /// Connections with a lower number are reset.
    pub reset_below: u64,
}

/// Counts the bytes of a link.
#[derive(Debug, Default)]
pub(super) struct ByteCounts {
    pub forward: AtomicU64,
    pub backward: AtomicU64,
}

/// Identifies a connection and watches the state of its link.
#[derive(Clone, Debug)]
pub(super) struct LinkConnection {
    pub number: u64,
    pub state: watch::Receiver<LinkState>,
    pub seed: u64,
}

enum Parcel {
    Data(Bytes),
    End,
    Broken(io::Error),
}

impl LinkConnection {
    /// Carries the bytes of both directions until both ended or one side broke.
    ///
    /// A broken or reset connection ends with a reset of both sides.
    pub async fn carry(&self, caller: &mut TcpStream, target: &mut TcpStream, counts: &ByteCounts) {
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
                () = self.wait_reset() => Err(io::ErrorKind::ConnectionReset.into()),
            }
        };
        if outcome.is_err() {
            let _ = caller.set_zero_linger();
            let _ = target.set_zero_linger();
        }
    }

    /// Waits until the link lets new connections through; ends early if the connection is reset.
    pub async fn wait_open(&self) -> bool {
        let mut state = self.state.clone();
        let number = self.number;
        let passed = state.wait_for(|state| {
            let cut = state.rule.cut_forward || state.rule.cut_backward;
            state.reset_below > number || (!cut && state.silent_below <= number)
        });
        passed.await.is_ok_and(|state| state.reset_below <= number)
    }

    async fn wait_reset(&self) {
        let mut state = self.state.clone();
        // A closed channel means that the proxy ended, which resets too.
        let _ = state.wait_for(|state| state.reset_below > self.number).await;
    }

    async fn transfer(
        &self,
        read: ReadHalf<'_>,
        write: WriteHalf<'_>,
        forward: bool,
        bytes: &AtomicU64,
    ) -> io::Result<()> {
        let (sender, receiver) = mpsc::channel(CHUNKS);
        tokio::try_join!(
            async {
                self.receive(read, sender, forward).await;
                Ok(())
            },
            self.send(write, receiver, forward, bytes),
        )
        .map(drop)
    }

    async fn receive(
        &self,
        mut read: ReadHalf<'_>,
        sender: mpsc::Sender<(Instant, Parcel)>,
        forward: bool,
    ) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed ^ u64::from(forward));
        let mut buffer = vec![0; CHUNK_BYTES];
        let mut last_due = Instant::now();
        loop {
            let parcel = match read.read(&mut buffer).await {
                Ok(0) => Parcel::End,
                Ok(length) => Parcel::Data(Bytes::copy_from_slice(&buffer[..length])),
                Err(error) => Parcel::Broken(error),
            };
            let last = !matches!(parcel, Parcel::Data(_));
            let rule = self.state.borrow().rule;
            let jitter_ms = random.random_range(0..=rule.jitter_ms);
            let delay = Duration::from_millis(rule.way(forward).delay_ms.saturating_add(jitter_ms));
            last_due = last_due.max(Instant::now() + delay);
            if sender.send((last_due, parcel)).await.is_err() || last {
                return;
            }
        }
    }

    async fn send(
        &self,
        mut write: WriteHalf<'_>,
        mut receiver: mpsc::Receiver<(Instant, Parcel)>,
        forward: bool,
        bytes: &AtomicU64,
    ) -> io::Result<()> {
        while let Some((due, parcel)) = receiver.recv().await {
            if due > Instant::now() {
                tokio::time::sleep_until(due).await;
            }
            let mut data = match parcel {
                Parcel::Data(data) => data,
                Parcel::End => {
                    self.wait_passable(forward).await?;
                    return write.shutdown().await;
                }
                Parcel::Broken(error) => {
                    self.wait_passable(forward).await?;
                    return Err(error);
                }
            };
            while !data.is_empty() {
                let rule = self.wait_passable(forward).await?;
                let piece = data.split_to(piece_bytes(rule, data.len()));
                write.write_all(&piece).await?;
                bytes.fetch_add(piece.len() as u64, Ordering::Relaxed);
                if rule.bytes_per_second > 0 {
                    let share = piece.len() as f64 / rule.bytes_per_second as f64;
                    tokio::time::sleep(Duration::from_secs_f64(share)).await;
                }
            }
        }
        Ok(())
    }

    /// Waits until the direction is neither cut nor silent.
    async fn wait_passable(&self, forward: bool) -> io::Result<WayRule> {
        let mut state = self.state.clone();
        let number = self.number;
        let passed = state
            .wait_for(|state| !state.rule.way(forward).cut && state.silent_below <= number)
            .await;
        passed
            .map(|state| state.rule.way(forward))
            .map_err(|_| io::ErrorKind::ConnectionAborted.into())
    }
}

/// Returns the size of the next piece under a limited rate.
fn piece_bytes(rule: WayRule, length: usize) -> usize {
    if rule.bytes_per_second == 0 {
        return length;
    }
    let slice = (rule.bytes_per_second / RATE_SLICES).max(1);
    usize::try_from(slice).unwrap_or(length).min(length)
}
