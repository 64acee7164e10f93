//! Tests of the administration API through its router, with an in-memory store.

mod access;
mod config;
mod harness;
mod jobs;
