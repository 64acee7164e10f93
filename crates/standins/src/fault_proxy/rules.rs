//! Fault rules of proxied links and the selection of links.

use serde::{Deserialize, Serialize};

/// Name, groups and addresses of a proxied link.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LinkSpec {
    /// Name, unique within the proxy.
    pub name: String,
    /// Group of the callers, such as a failure domain.
    pub from: String,
    /// Group of the target.
    pub to: String,
    /// Address to listen on, such as `127.0.0.1:0`.
    #[serde(default = "any_port")]
    pub listen: String,
    /// Address to connect to, such as `127.0.0.1:7000`.
    pub target: String,
}

impl LinkSpec {
    /// Creates the description of a link that listens on a free port of the loopback interface.
    pub fn new(
        name: impl Into<String>,
        from: impl Into<String>,
        to: impl Into<String>,
        target: impl Into<String>,
    ) -> Self {
        Self {
            name: name.into(),
            from: from.into(),
            to: to.into(),
            listen: any_port(),
            target: target.into(),
        }
    }
}

/// Faults of a link; the default is none.
///
/// Forward is from the callers to the target. Bytes sent during a cut are held and arrive when it
/// ends, as retransmitted segments do.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkRule {
    /// Delay of bytes to the target in milliseconds.
    pub delay_forward_ms: u64,
    /// Delay of bytes to the callers in milliseconds.
    pub delay_backward_ms: u64,
    /// Largest random addition to each delay in milliseconds; bytes stay in order.
    pub jitter_ms: u64,
    /// Bytes per second in each direction; 0 for no limit.
    pub bytes_per_second: u64,
    /// Whether bytes to the target and new connections are held.
    pub cut_forward: bool,
    /// Whether bytes to the callers and new connections are held.
    pub cut_backward: bool,
    /// Whether new connections are refused; open ones continue.
    pub refuse: bool,
}

impl LinkRule {
    /// Returns a rule that delays each direction by a number of milliseconds.
    pub fn delay(each_way_ms: u64) -> Self {
        Self { delay_forward_ms: each_way_ms, delay_backward_ms: each_way_ms, ..Self::default() }
    }

    /// Returns a rule that holds all bytes in both directions.
    pub fn cut() -> Self {
        Self { cut_forward: true, cut_backward: true, ..Self::default() }
    }

    /// Returns the rule for one direction.
    pub(super) fn direction(&self, forward: bool) -> DirectionRule {
        let (delay_ms, cut) = if forward {
            (self.delay_forward_ms, self.cut_forward)
        } else {
            (self.delay_backward_ms, self.cut_backward)
        };
        DirectionRule { delay_ms, cut, bytes_per_second: self.bytes_per_second }
    }
}

/// Part of a rule that applies to one direction.
#[derive(Clone, Copy, Debug)]
pub(super) struct DirectionRule {
    pub delay_ms: u64,
    pub cut: bool,
    pub bytes_per_second: u64,
}

/// Selects links by exact values; an absent field matches all.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LinkSelection {
    /// Name of the only link to select.
    pub name: Option<String>,
    /// Group of the callers of the links to select.
    pub from: Option<String>,
    /// Group of the target.
    pub to: Option<String>,
}

impl LinkSelection {
    /// Selects every link of the proxy.
    pub fn all() -> Self {
        Self::default()
    }

    /// Selects the link with a name.
    pub fn link(name: impl Into<String>) -> Self {
        Self { name: Some(name.into()), ..Self::default() }
    }

    /// Selects the links from one group to another.
    pub fn path(from: impl Into<String>, to: impl Into<String>) -> Self {
        Self { name: None, from: Some(from.into()), to: Some(to.into()) }
    }

    /// Returns whether a link is selected.
    pub fn matches(&self, spec: &LinkSpec) -> bool {
        let selected = |required: &Option<String>, name: &String| {
            required.as_ref().is_none_or(|required| required == name)
        };
        selected(&self.name, &spec.name)
            && selected(&self.from, &spec.from)
            && selected(&self.to, &spec.to)
    }
}

fn any_port() -> String {
    "127.0.0.1:0".into()
}
