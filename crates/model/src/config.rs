//! Effective configuration as the controllers and the request filters read it.
//!
//! The settings crate parses and checks the operators' tree and builds a [`ConfigView`]. A policy is
//! merged from the levels global, region, failure domain, customer and service, in this order; each
//! level overrides only what it names.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::Deref;
use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::shape::GangShape;
use crate::{ConfigVersion, CustomerName, DomainName, RegionName, ServiceName};

/// Holds a duration that settings write with a unit, such as `500ms` or `3s`.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SettingDuration(
    /// Duration.
    pub Duration,
);

impl Deref for SettingDuration {
    type Target = Duration;

    fn deref(&self) -> &Duration {
        &self.0
    }
}

impl fmt::Display for SettingDuration {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", humantime::format_duration(self.0))
    }
}

impl<'de> Deserialize<'de> for SettingDuration {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let text = String::deserialize(deserializer).map_err(|_| {
            serde::de::Error::custom("a duration needs a unit; write it as \"500ms\" or \"3s\"")
        })?;
        humantime::parse_duration(&text).map(Self).map_err(|error| {
            serde::de::Error::custom(format!(
                "\"{text}\" is not a duration ({error}); write it as \"500ms\" or \"3s\""
            ))
        })
    }
}

impl Serialize for SettingDuration {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(self)
    }
}

/// States what happens to running gangs of a failure domain that is taken out.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DomainOutAction {
    /// Lets them run to their end.
    Finish,
    /// Checkpoints them and queues them in another failure domain.
    Move,
    /// Stops them and queues them again.
    Stop,
}

/// Selects how requests are spread over backend servers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingChoice {
    /// Two random candidates compared by load, latency and slots.
    Adaptive,
    /// Each backend server in turn; a baseline.
    RoundRobin,
    /// Fewest requests in flight; a baseline.
    LeastConnections,
}

/// Selects how jobs are placed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementChoice {
    /// Guarantees in shape with preemptible borrowers.
    Shape,
    /// Quota counts without shape and adjacency; a baseline.
    Count,
    /// Strict first in, first out with first fit; a baseline.
    Fifo,
}

/// Describes one value of a policy, for the reference page.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PolicyField {
    /// Name of the value.
    pub name: &'static str,
    /// Rust type of the value.
    pub kind: &'static str,
    /// What the value does, in one sentence.
    pub doc: &'static str,
}

macro_rules! define_policy {
    ($(#[doc = $doc:literal] $field:ident: $type:ty = $default:expr,)*) => {
        /// Holds every value that can be set at any level, merged.
        #[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
        pub struct Policy {
            $(#[doc = $doc] pub $field: $type,)*
        }

        /// Holds the values that one level overrides.
        #[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
        #[serde(default, deny_unknown_fields)]
        pub struct PolicyOverlay {
            $(#[doc = $doc] #[serde(skip_serializing_if = "Option::is_none")]
            pub $field: Option<$type>,)*
        }

        impl Default for Policy {
            fn default() -> Self {
                Self { $($field: $default,)* }
            }
        }

        impl Policy {
            /// Names of all values in order of declaration.
            pub const FIELDS: &'static [&'static str] = &[$(stringify!($field),)*];

            /// Describes all values in order of declaration.
            pub const DESCRIPTIONS: &'static [PolicyField] = &[$(PolicyField {
                name: stringify!($field),
                kind: stringify!($type),
                doc: $doc,
            },)*];

            /// Overrides the values that an overlay names.
            pub fn apply(&mut self, overlay: &PolicyOverlay) {
                $(if let Some(value) = &overlay.$field {
                    self.$field = value.clone();
                })*
            }
        }
    };
}

const fn millis(value: u64) -> SettingDuration {
    SettingDuration(Duration::from_millis(value))
}

define_policy! {
    /// What happens to running gangs when their failure domain is taken out.
    on_domain_out: DomainOutAction = DomainOutAction::Move,
    /// Whether starts go on while no instance of the region reaches the key-value service.
    starts_during_store_outage: bool = true,
    /// Time that a preempted task gets to write its checkpoint, at most 3 s.
    preemption_grace: SettingDuration = millis(3_000),
    /// How jobs are placed.
    placement: PlacementChoice = PlacementChoice::Shape,
    /// How requests are spread over backend servers.
    routing: RoutingChoice = RoutingChoice::Adaptive,
    /// Deadline of a request that names none.
    default_deadline: SettingDuration = millis(10_000),
    /// Longest deadline that a request may name.
    max_deadline: SettingDuration = millis(300_000),
    /// Largest request body in bytes.
    max_body_bytes: u64 = 1 << 20,
    /// Requests a second that a customer may send through one entry process; 0 for no limit.
    rate_limit: f64 = 0.0,
    /// Requests that a customer may send at once above the rate.
    rate_burst: u32 = 100,
    /// Requests of a customer in flight in one entry process; 0 for no limit.
    concurrency_limit: u32 = 0,
    /// Extra tries, retries and hedges together, as a share of requests.
    retry_budget: f64 = 0.1,
    /// Whether repeatable requests are hedged after the p95 latency.
    hedging: bool = true,
    /// Whether all requests of the service are non-repeatable unless a header says otherwise.
    non_repeatable: bool = false,
    /// Shards of the claims of a service.
    claim_shards: u32 = 16,
    /// Consecutive failures after which a backend server is ejected.
    eject_after: u32 = 5,
    /// Whether backend servers are called over HTTP/1.1 instead of HTTP/2.
    backend_http1: bool = false,
}

/// Describes a failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainConfig {
    /// Region of the domain.
    pub region: RegionName,
    /// Whether operators have taken the domain out.
    pub out: bool,
    /// Settings version that wrote `out` last.
    pub out_since: ConfigVersion,
    /// Values overridden at the domain.
    pub overlay: PolicyOverlay,
    /// Accelerators per worker in each rack of the healthy domain, for the admission test.
    pub nominal_racks: BTreeMap<String, Vec<u32>>,
}

/// Describes a guaranteed shape of a customer in one failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct GuaranteeConfig {
    /// Failure domain.
    pub domain: DomainName,
    /// Shape.
    pub shape: GangShape,
    /// Number of such shapes.
    pub count: u32,
    /// Settings version in which the guarantee first appeared; lower is older.
    pub since: ConfigVersion,
}

/// Describes a customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerConfig {
    /// Order in which guarantees are honoured when they no longer fit; lower goes first.
    pub precedence: u32,
    /// Weight in the fair order of queues; above 0.
    pub weight: f64,
    /// Most accelerators in use over all domains.
    pub quota: u32,
    /// Guaranteed shapes.
    pub guarantees: Vec<GuaranteeConfig>,
    /// Values overridden at the customer.
    pub overlay: PolicyOverlay,
}

/// Describes a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceConfig {
    /// Values overridden at the service.
    pub overlay: PolicyOverlay,
}

/// States what the bearer of a token may do.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "role")]
pub enum AccessRole {
    /// Everything.
    Operator,
    /// Own jobs and guarantees.
    Customer {
        /// Customer whose records are visible.
        customer: CustomerName,
    },
    /// Reading only.
    ReadOnly,
}

/// Holds one accepted settings tree in the form that decisions read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigView {
    /// Version.
    pub version: ConfigVersion,
    /// Digest of the tree's text.
    pub hash: u64,
    /// Values overridden for everything.
    pub global: PolicyOverlay,
    /// Values overridden by region.
    pub regions: BTreeMap<RegionName, PolicyOverlay>,
    /// Failure domains.
    pub domains: BTreeMap<DomainName, DomainConfig>,
    /// Customers.
    pub customers: BTreeMap<CustomerName, CustomerConfig>,
    /// Services.
    pub services: BTreeMap<ServiceName, ServiceConfig>,
    /// Roles by SHA-256 digest of the bearer token in lower-case hexadecimal digits. A digest that can
    /// be inverted, such as [`crate::hash::digest`], would let every reader of the tree forge a token.
    pub tokens: BTreeMap<String, AccessRole>,
}

impl ConfigView {
    /// Merges the policy for a failure domain and, where given, a customer and a service.
    ///
    /// Unknown names contribute nothing.
    pub fn policy(&self, domain: &str, customer: Option<&str>, service: Option<&str>) -> Policy {
        let mut policy = Policy::default();
        policy.apply(&self.global);
        if let Some(config) = self.domains.get(domain) {
            if let Some(overlay) = self.regions.get(&config.region) {
                policy.apply(overlay);
            }
            policy.apply(&config.overlay);
        }
        if let Some(config) = customer.and_then(|name| self.customers.get(name)) {
            policy.apply(&config.overlay);
        }
        if let Some(config) = service.and_then(|name| self.services.get(name)) {
            policy.apply(&config.overlay);
        }
        policy
    }
}
