//! Shapes of gangs and of guarantees.
//!
//! A shape says how many members a gang has, how many accelerators each member holds on one worker,
//! and how close the members must be. A guarantee is a number of shapes, not a count of
//! accelerators, because free accelerators may be so fragmented that no gang fits on them.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Maximum number of members of one gang.
pub const MAX_GANG_MEMBERS: u32 = 64;

/// Part of the topology that all members of a gang must share.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdjacencyLevel {
    /// All members on one worker.
    Worker,
    /// All members in one rack.
    Rack,
    /// All members in one failure domain.
    Domain,
}

impl fmt::Display for AdjacencyLevel {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Worker => "worker",
            Self::Rack => "rack",
            Self::Domain => "domain",
        })
    }
}

/// Accelerators that one gang needs and how they are grouped.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GangShape {
    /// Number of members, 1 to 64.
    pub members: u32,
    /// Accelerators of each member on one worker; 0 for CPU-only work.
    pub accelerators: u32,
    /// Part of the topology that all members must share.
    pub adjacency: AdjacencyLevel,
}

impl GangShape {
    /// Returns the accelerators of all members together.
    pub fn total(&self) -> u32 {
        self.members * self.accelerators
    }
}

impl fmt::Display for GangShape {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{} x {} accelerators in one {}",
            self.members, self.accelerators, self.adjacency
        )
    }
}
