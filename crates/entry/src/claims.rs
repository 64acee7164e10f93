//! Claims of non-repeatable requests in the key-value service.
//!
//! A claim is written before the request is sent, and its outcome after. Compare-and-swap on the
//! shard decides between instances; the instances themselves agree on nothing.

pub mod answers;
pub mod home;
pub mod ledger;
pub mod record;
pub mod shard_writer;
