//! Calls between the system's own processes.
//!
//! A call is one h2 stream with one request frame and one response frame, each encoded with bincode
//! and limited in size. All calls to a peer share one connection. A call that times out closes it,
//! because a connection that a middlebox has dropped silently never recovers, while a new one works.

pub mod client;
pub mod codec;
pub mod error;
pub mod server;

pub use client::PeerClient;
pub use error::WireError;
pub use server::{PeerHandler, PeerServer};
