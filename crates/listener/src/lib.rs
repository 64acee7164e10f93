//! Listeners whose clients are not trusted: what each connection costs, and which one is closed when
//! too many are open.
//!
//! A client that sends less than a request, or does not read its answer, makes the process hold a
//! descriptor and memory for it. Every listener of a process therefore has bounds of its own, which
//! follow from the resources in the settings of the process ([`limits`]), so that a crowd at one
//! address takes nothing from the others, from the key-value service or from the workers:
//!
//! - Connections ([`connection_table`]). A new connection is always accepted. If too many are open,
//!   the one that has gone longest without completing a request is closed for it; connections whose
//!   requests have been answered come after those, the longest idle first. A whole request that is
//!   being served is never interrupted.
//! - Memory of requests ([`memory_budget`]). Bytes are charged as they arrive, not as they are
//!   declared, and copied into one buffer. If the memory is used up, the body that was begun first
//!   and is not complete is refused; a whole request keeps its memory until it is answered.
//! - Time ([`limits`]). Heads, bodies and unread answers have time limits, which a single task checks
//!   for all connections of a process.
//!
//! Refused requests get an answer that says that they have not run, where the client can still read
//! one. All refusals and closed connections are counted by reason, and logged in summary.

pub mod body_reader;
pub mod connection_table;
pub mod http_server;
pub mod limits;
pub mod listener_set;
pub mod memory_budget;
pub mod metered_stream;
pub mod refusal;

pub use body_reader::{BodyBuffer, BodyError, BodyReader, ReceivedBody};
pub use connection_table::{ConnectionGuard, ConnectionRecorder, ConnectionTable, RequestGuard};
pub use http_server::{HttpProtocol, HttpServer, HttpSettings, PlainFormat, RefusalFormat};
pub use limits::{ListenerLimits, ListenerRole};
pub use listener_set::{ListenerSet, ListenerState};
pub use memory_budget::{MemoryBudget, MemoryCharge};
pub use metered_stream::MeteredStream;
pub use refusal::{RefusalReason, RequestRefusal};
