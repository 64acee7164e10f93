//! The administration API over its router, with the in-memory store.

mod access;
mod config;
mod harness;
mod jobs;
