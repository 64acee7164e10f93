//! Controllers for jobs, gangs, failure domains and configuration.
