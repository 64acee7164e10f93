//! Limits of listeners, derived from the resources of the process.
//!
//! A third of the memory is for what clients have sent. The rest is for the process itself, for
//! bytes that the system has received and the process has not read, and for fragmentation. Half of
//! that third pays for connections and half for requests. Half of the descriptors are for accepted
//! connections, and the rest for connections to the key-value service, workers and peers. Each
//! listener has its own part of all of these, by its [`ListenerRole`].

use std::time::Duration;

use lacewingrail_model::ProcessResources;

/// Descriptors that are not available for connections, such as those of files and of the runtime.
const RESERVED_DESCRIPTORS: u64 = 200;
/// Part of the remaining descriptors that is for accepted connections.
const ACCEPTED_PART: Fraction = Fraction(1, 2);
/// Part of the memory that is for connections, and again for requests.
const MEMORY_PART: Fraction = Fraction(1, 6);
/// Memory that one connection may use besides its requests: read buffer and state, in bytes.
const CONNECTION_BYTES: u64 = 48 << 10;
/// The same for a peer, whose connection carries many small requests.
const PEER_CONNECTION_BYTES: u64 = 16 << 10;
/// Fewest connections of a listener, so that a process with few resources can still be probed.
const MIN_CONNECTIONS: usize = 8;

/// Largest head of a request in bytes; also the largest read buffer of a connection.
pub const MAX_HEAD_BYTES: usize = 32 << 10;
/// Maximum time for the head of a request, counted from its first byte.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time for the body of a request, counted from the end of its head.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time for which a client may leave bytes of an answer unread.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time for which a connection may be open between requests. Load balancers keep idle
/// connections for up to 60 s; closing one earlier would race with its reuse.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(75);

/// Purpose of a listener, which decides its part of the resources.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListenerRole {
    /// Serves the clients that the process is there for.
    Clients,
    /// Serves the other processes of the system, each over one connection that stays open: a peer
    /// can't tell whether a call was executed if its connection is closed at that moment.
    Peers,
    /// Serves probes or metrics; a process has up to two such listeners.
    Probes,
}

/// Limits of one listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ListenerLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum number of whole requests in progress on all connections. Where each connection carries
    /// one at a time, it is lower than the number of connections, so that one can always be closed.
    pub max_requests: usize,
    /// Memory for requests from their first byte until they are answered, in bytes.
    pub request_memory: u64,
    /// Maximum time for which a connection whose requests were answered may be idle; `None` for no
    /// limit.
    pub idle_timeout: Option<Duration>,
}

/// Part of a whole, as numerator and denominator.
#[derive(Clone, Copy, Debug)]
struct Fraction(u64, u64);

impl Fraction {
    fn of(self, whole: u64) -> u64 {
        whole / self.1 * self.0
    }
}

impl ListenerLimits {
    /// Derives the limits of a listener from the resources of its process.
    pub fn derive(resources: &ProcessResources, role: ListenerRole) -> Self {
        let memory = MEMORY_PART.of(resources.memory_bytes);
        let sockets = resources.descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let by_descriptors = role.descriptor_part().of(ACCEPTED_PART.of(sockets));
        let by_memory = role.connection_part().of(memory) / role.connection_bytes();
        let max_connections = usize::try_from(by_descriptors.min(by_memory)).unwrap_or(usize::MAX);
        let max_connections = max_connections.max(MIN_CONNECTIONS);
        let is_peers = role == ListenerRole::Peers;
        Self {
            max_connections,
            // One connection of a peer carries many requests.
            max_requests: max_connections - if is_peers { 0 } else { max_connections / 4 },
            request_memory: role.request_part().of(memory),
            idle_timeout: (!is_peers).then_some(IDLE_TIMEOUT),
        }
    }
}

impl ListenerRole {
    /// Returns the part of the accepted connections, by descriptors.
    fn descriptor_part(self) -> Fraction {
        match self {
            Self::Clients => Fraction(1, 2),
            Self::Peers => Fraction(3, 8),
            Self::Probes => Fraction(1, 16),
        }
    }

    /// Returns the part of the memory for connections.
    fn connection_part(self) -> Fraction {
        match self {
            Self::Clients => Fraction(2, 3),
            Self::Peers => Fraction(1, 4),
            Self::Probes => Fraction(1, 24),
        }
    }

    /// Returns the part of the memory for requests.
    fn request_part(self) -> Fraction {
        match self {
            Self::Clients => Fraction(3, 4),
            Self::Peers => Fraction(1, 6),
            Self::Probes => Fraction(1, 24),
        }
    }

    fn connection_bytes(self) -> u64 {
        match self {
            Self::Peers => PEER_CONNECTION_BYTES,
            Self::Clients | Self::Probes => CONNECTION_BYTES,
        }
    }
}
