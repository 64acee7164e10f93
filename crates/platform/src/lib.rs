//! Clients of the platform: key-value service, workers and instance list.
