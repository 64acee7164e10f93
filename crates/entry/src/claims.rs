//! Claims of non-repeatable requests in the key-value service.
//!
//! A claim is written before the request is sent, and its outcome after. Compare-and-swap on the
//! shard resolves conflicts between instances; correctness needs no agreement among them.

pub mod ledger;
pub mod record;
pub mod response_archive;
pub mod shard_writer;
pub mod writer_directory;
