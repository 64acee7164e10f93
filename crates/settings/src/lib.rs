//! Parsing, inheritance and validation of the settings tree, and settings of processes.
//!
//! The tree is written in YAML and stored as one value of the key-value service. [`parse`] reads it and
//! reports every error at once, each with its location and its remedy; a tree with an error is
//! rejected as a whole. [`StoredTree`] is the stored form with its version, and
//! [`StoredTree::view`] builds the [`ConfigView`](lacewingrail_model::config::ConfigView) that
//! controllers use. [`ProcessSettings`] holds what a process needs before it can read the tree.

pub mod capacity;
mod check;
pub mod diff;
pub mod edit;
pub mod effective;
pub mod error;
pub mod keys;
pub mod process;
mod reader;
pub mod reference;
pub mod stored;
pub mod token;
pub mod tree;

pub use edit::set_domain_out;
pub use effective::{EffectivePath, EffectiveValue, effective};
pub use error::{SettingsError, SettingsErrors};
pub use process::{DEFAULT_SYSTEM, ListenSettings, LogLevel, ProcessSettings};
pub use stored::{MAX_TREE_BYTES, StoredTree};
pub use token::token_digest;
pub use tree::{SettingsTree, parse};
