//! Reads request bodies into one buffer each, charged to the memory budget.
//!
//! A body arrives in parts: of the reads from the socket, or of the chunks that its client chooses.
//! A part may be one byte long and still keep a whole read buffer alive. So each part is copied into
//! the buffer of its body and dropped at once.

use std::sync::Arc;

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;

use crate::connection_table::RequestGuard;
use crate::memory_budget::{MemoryBudget, MemoryCharge};
use crate::refusal::{RefusalCounter, RefusalReason, RequestRefusal};

/// Smallest buffer of a body in bytes.
const MIN_BUFFER_BYTES: usize = 1 << 10;

/// Error of a body that was not received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// The process refuses the request.
    Refused(RequestRefusal),
    /// The client has left, or has violated the protocol.
    Broken(String),
}

/// Body that was received completely.
#[derive(Debug)]
pub struct ReceivedBody {
    /// Bytes of the body.
    pub bytes: Bytes,
    /// Charge of the request, to be held until it is answered.
    pub charge: MemoryCharge,
}

/// Reads the body of one request; handlers find it in the request's extensions.
#[derive(Clone, Debug)]
pub struct BodyReader {
    request: Arc<RequestGuard>,
    budget: MemoryBudget,
    refusals: Arc<RefusalCounter>,
    /// Memory of the head that the connection does not pay for, in bytes.
    head_bytes: u64,
}

impl BodyReader {
    /// Creates a reader for the body of a request.
    pub fn new(
        request: Arc<RequestGuard>,
        budget: MemoryBudget,
        refusals: Arc<RefusalCounter>,
        head_bytes: u64,
    ) -> Self {
        Self { request, budget, refusals, head_bytes }
    }

    /// Reads a body of at most `max_bytes`.
    ///
    /// # Errors
    /// Returns the refusal of a body that is too large, too slow, or one too many for the memory.
    pub async fn read<B>(&self, body: B, max_bytes: usize) -> Result<ReceivedBody, BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: ToString,
    {
        self.receive(body, BodyBuffer::new(self.budget.begin(), max_bytes)).await
    }

    /// Reads a body of at most `max_bytes` and drops its bytes, so that its client can read the
    /// answer.
    ///
    /// # Errors
    /// Returns the refusal of a body that is too large or too slow.
    pub async fn discard<B>(&self, body: B, max_bytes: usize) -> Result<(), BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: ToString,
    {
        let buffer = BodyBuffer::discarding(self.budget.begin(), max_bytes);
        self.receive(body, buffer).await.map(|_| ())
    }

    /// Counts a refusal of the request and returns it.
    pub fn refuse(&self, reason: RefusalReason) -> RequestRefusal {
        self.refusals.count(reason);
        reason.into()
    }

    async fn receive<B>(
        &self,
        mut body: B,
        mut buffer: BodyBuffer,
    ) -> Result<ReceivedBody, BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: ToString,
    {
        let refuse = |reason| BodyError::Refused(self.refuse(reason));
        buffer.charge_head(self.head_bytes).map_err(refuse)?;
        buffer.expect(body.size_hint().exact()).map_err(refuse)?;
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                reason = buffer.revoked() => return Err(refuse(reason)),
            };
            match frame {
                None => break,
                Some(Err(error)) => return Err(BodyError::Broken(error.to_string())),
                Some(Ok(frame)) => {
                    // Trailers are of no use to any handler.
                    if let Some(data) = frame.data_ref() {
                        buffer.push(data).map_err(refuse)?;
                    }
                }
            }
        }
        let body = buffer.finish().map_err(refuse)?;
        self.request.complete().map_err(|reason| BodyError::Refused(reason.into()))?;
        Ok(body)
    }
}

/// Buffer of a body in progress, charged for its capacity.
#[derive(Debug)]
pub struct BodyBuffer {
    charge: MemoryCharge,
    bytes: Vec<u8>,
    received: usize,
    head_bytes: u64,
    max_bytes: usize,
    /// Length that the client declared, or the limit.
    expected: usize,
    discards: bool,
}

impl BodyBuffer {
    /// Creates an empty buffer of at most `max_bytes`.
    pub fn new(charge: MemoryCharge, max_bytes: usize) -> Self {
        Self {
            charge,
            bytes: Vec::new(),
            received: 0,
            head_bytes: 0,
            max_bytes,
            expected: max_bytes,
            discards: false,
        }
    }

    /// Creates a buffer that only counts what it gets.
    pub fn discarding(charge: MemoryCharge, max_bytes: usize) -> Self {
        Self { discards: true, ..Self::new(charge, max_bytes) }
    }

    /// Charges the memory of the request's head as well.
    ///
    /// # Errors
    /// Returns why the request must be refused.
    pub fn charge_head(&mut self, head_bytes: u64) -> Result<(), RefusalReason> {
        self.head_bytes = head_bytes;
        self.charge.resize(head_bytes)
    }

    /// Sets the length that the client declared; nothing is charged for it yet.
    ///
    /// # Errors
    /// Returns [`RefusalReason::BodyLimit`] if it is over the limit.
    pub fn expect(&mut self, declared: Option<u64>) -> Result<(), RefusalReason> {
        let Some(declared) = declared else { return Ok(()) };
        let declared = usize::try_from(declared).unwrap_or(usize::MAX);
        if declared > self.max_bytes {
            return Err(RefusalReason::BodyLimit);
        }
        self.expected = declared;
        Ok(())
    }

    /// Waits until the charge is taken back, and returns why.
    pub async fn revoked(&self) -> RefusalReason {
        self.charge.revoked().await
    }

    /// Copies a part of the body.
    ///
    /// # Errors
    /// Returns why the request must be refused.
    pub fn push(&mut self, part: &[u8]) -> Result<(), RefusalReason> {
        self.received += part.len();
        if self.received > self.max_bytes {
            return Err(RefusalReason::BodyLimit);
        }
        if self.discards {
            return Ok(());
        }
        if self.received > self.bytes.capacity() {
            let doubled = (self.bytes.capacity() * 2).max(MIN_BUFFER_BYTES).min(self.expected);
            let capacity = doubled.max(self.received);
            self.charge.resize(self.head_bytes + capacity as u64)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    /// Completes the body.
    ///
    /// # Errors
    /// Returns why the request must be refused, if its charge was taken back.
    pub fn finish(self) -> Result<ReceivedBody, RefusalReason> {
        self.charge.complete()?;
        Ok(ReceivedBody { bytes: self.bytes.into(), charge: self.charge })
    }
}
