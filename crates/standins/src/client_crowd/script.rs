//! What the clients of a crowd send.

/// Bytes that each client of a crowd sends, and how.
#[derive(Clone, Debug)]
pub struct CrowdScript {
    /// Bytes to send on each connection.
    pub bytes: Vec<u8>,
    /// Number of bytes in each write.
    pub piece_bytes: usize,
    /// Number of times that the bytes are sent on one connection.
    pub repetitions: usize,
    /// Whether the client waits for an answer after each repetition.
    pub reads_answers: bool,
    /// Maximum number of connections that each client opens, one after the other.
    pub connections: usize,
}

impl CrowdScript {
    /// Creates a script of one connection on which the bytes are sent once, in one write.
    pub fn new<B>(bytes: B) -> Self
    where
        B: Into<Vec<u8>>,
    {
        let bytes = bytes.into();
        let piece_bytes = bytes.len().max(1);
        Self { bytes, piece_bytes, repetitions: 1, reads_answers: false, connections: 1 }
    }

    /// Sends the bytes in writes of this size.
    pub fn in_pieces(self, piece_bytes: usize) -> Self {
        Self { piece_bytes, ..self }
    }

    /// Sends the bytes this often on each connection.
    pub fn repeated(self, repetitions: usize) -> Self {
        Self { repetitions, ..self }
    }

    /// Waits for an answer after each repetition.
    pub fn reading_answers(self) -> Self {
        Self { reads_answers: true, ..self }
    }

    /// Connects again after a connection was closed, up to this number of connections.
    pub fn with_connections(self, connections: usize) -> Self {
        Self { connections, ..self }
    }
}

/// Returns the head of a POST request; `framing` is the header line that frames its body.
pub fn submission_head(path: &str, host: &str, api_key: &str, framing: &str) -> Vec<u8> {
    format!(
        "POST {path} HTTP/1.1\r\nHost: {host}\r\nAuthorization: Bearer {api_key}\r\n\
         Content-Type: application/json\r\n{framing}\r\n\r\n"
    )
    .into_bytes()
}

/// Encodes a body in chunks of a size, without the last chunk that would end it.
pub fn chunk_body(body: &[u8], chunk_bytes: usize) -> Vec<u8> {
    body.chunks(chunk_bytes)
        .flat_map(|chunk| [format!("{:x}\r\n", chunk.len()).as_bytes(), chunk, b"\r\n"].concat())
        .collect()
}
