//! The administration API and the status page.
