//! Clients of the key-value service.
