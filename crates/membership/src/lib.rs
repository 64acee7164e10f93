//! Liveness of processes, spreading of configuration and evidence of store outages.
