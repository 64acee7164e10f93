//! The request path from callers to backend servers.
