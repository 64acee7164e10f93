//! Effective configuration that the controllers and the request filters read.
//!
//! The settings crate parses and checks the settings tree and builds a [`ConfigView`]. A policy is
//! merged from the levels global, region, failure domain, customer and service, in this order; each
//! level overrides only the values that it sets.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::Deref;
use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::shape::GangShape;
use crate::{ConfigVersion, CustomerName, DomainName, RegionName, ServiceName};

/// Duration that is written with a unit in settings, such as `500ms` or `3s`.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SettingDuration(
    /// Length of time; the unit in which the settings state it is not kept.
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

/// Action on the running gangs of a failure domain that is taken out of service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DomainOutAction {
    /// Lets them finish.
    Finish,
    /// Checkpoints them and queues them in another failure domain.
    Move,
    /// Stops them and queues them again.
    Stop,
}

/// Algorithm that distributes requests among backend servers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingChoice {
    /// Power of two choices: the better of two random servers by load, latency and slots.
    Adaptive,
    /// Each server in turn; a baseline for comparison.
    RoundRobin,
    /// Server with the fewest requests in flight; a baseline for comparison.
    LeastConnections,
}

/// Algorithm that places jobs on workers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PlacementChoice {
    /// Guarantees of whole shapes; preemptible jobs may use the accelerators of unused ones.
    Shape,
    /// Quotas of accelerators without regard to shape and adjacency; a baseline for comparison.
    Count,
    /// Strict first in, first out with first fit; a baseline for comparison.
    Fifo,
}

/// Description of one policy value, for the generated settings reference.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PolicyField {
    /// Key of the value in settings.
    pub name: &'static str,
    /// Rust type of the value, as written in the source.
    pub kind: &'static str,
    /// What the value does, in one sentence.
    pub doc: &'static str,
}

macro_rules! define_policy {
    ($(#[doc = $doc:literal] $field:ident: $type:ty = $default:expr,)*) => {
        /// Effective policy: every value that can be set at any level, merged.
        #[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
        pub struct Policy {
            $(#[doc = $doc] pub $field: $type,)*
        }

        /// Policy values that one level overrides; `None` leaves a value to the level above.
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
            /// Keys of all values in the order of declaration.
            pub const FIELDS: &'static [&'static str] = &[$(stringify!($field),)*];

            /// Descriptions of all values in the order of declaration.
            pub const DESCRIPTIONS: &'static [PolicyField] = &[$(PolicyField {
                name: stringify!($field),
                kind: stringify!($type),
                doc: $doc,
            },)*];

            /// Overrides the values that are set in an overlay.
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
    /// What happens to running gangs when their failure domain is taken out of service.
    on_domain_out: DomainOutAction = DomainOutAction::Move,
    /// Whether task starts continue while no instance of the region reaches the key-value service.
    starts_during_store_outage: bool = true,
    /// Time for a preempted task to write its checkpoint, at most 3 s.
    preemption_grace: SettingDuration = millis(3_000),
    /// Algorithm that places jobs on workers.
    placement: PlacementChoice = PlacementChoice::Shape,
    /// Algorithm that distributes requests among backend servers.
    routing: RoutingChoice = RoutingChoice::Adaptive,
    /// Deadline of a request that does not set one.
    default_deadline: SettingDuration = millis(10_000),
    /// Maximum deadline that a request may set.
    max_deadline: SettingDuration = millis(300_000),
    /// Maximum size of a request body in bytes.
    max_body_bytes: u64 = 1 << 20,
    /// Requests per second that a customer may send through one entry process; 0 for no limit.
    rate_limit: f64 = 0.0,
    /// Number of requests that a customer may send in a burst above the rate limit.
    rate_burst: u32 = 100,
    /// Maximum number of requests of a customer in flight in one entry process; 0 for no limit.
    concurrency_limit: u32 = 0,
    /// Maximum number of retries and hedged requests together, as a share of requests.
    retry_budget: f64 = 0.1,
    /// Whether a repeatable request without an answer after the p95 latency is hedged.
    hedging: bool = true,
    /// Whether requests of the service are non-repeatable unless a header says otherwise.
    non_repeatable: bool = false,
    /// Number of shards that the claims of a service are divided into.
    claim_shards: u32 = 16,
    /// Number of consecutive failures after which a backend server is ejected.
    eject_after: u32 = 5,
    /// Whether backend servers are called over HTTP/1.1 instead of HTTP/2.
    backend_http1: bool = false,
}

/// Configuration of a failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainConfig {
    /// Region of the domain.
    pub region: RegionName,
    /// Whether operators have taken the domain out of service.
    pub out: bool,
    /// Settings version that last changed `out`.
    pub out_since: ConfigVersion,
    /// Policy values overridden for the domain.
    pub overlay: PolicyOverlay,
    /// Accelerators of each worker by rack when the whole domain is healthy, for the admission test.
    pub nominal_racks: BTreeMap<String, Vec<u32>>,
}

/// Guarantee of a shape for a customer in one failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct GuaranteeConfig {
    /// Failure domain in which the guarantee holds.
    pub domain: DomainName,
    /// Shape that is guaranteed.
    pub shape: GangShape,
    /// Number of such shapes that the customer can hold at once.
    pub count: u32,
    /// Settings version in which the guarantee first appeared; lower means older.
    pub since: ConfigVersion,
}

/// Configuration of a customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerConfig {
    /// Order in which guarantees are satisfied when not all fit any more; lower goes first.
    pub precedence: u32,
    /// Fair-share weight in queues; above 0.
    pub weight: f64,
    /// Maximum number of accelerators in use across all failure domains.
    pub quota: u32,
    /// Guaranteed shapes, in the order of the settings tree.
    pub guarantees: Vec<GuaranteeConfig>,
    /// Policy values overridden for the customer.
    pub overlay: PolicyOverlay,
}

/// Configuration of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceConfig {
    /// Policy values overridden for the service.
    pub overlay: PolicyOverlay,
}

/// Permissions of the bearer of a token.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "role")]
pub enum AccessRole {
    /// May read and change everything.
    Operator,
    /// May access the jobs and guarantees of one customer.
    Customer {
        /// Customer whose records are visible.
        customer: CustomerName,
    },
    /// May read everything but change nothing.
    ReadOnly,
}

/// One accepted settings tree, in the form that controllers and request filters use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigView {
    /// Version of the tree; 0 before the first.
    pub version: ConfigVersion,
    /// Digest of the text of the tree, to detect two trees with the same version.
    pub hash: u64,
    /// Policy values overridden at the global level.
    pub global: PolicyOverlay,
    /// Policy values overridden for each region.
    pub regions: BTreeMap<RegionName, PolicyOverlay>,
    /// Failure domains of all regions.
    pub domains: BTreeMap<DomainName, DomainConfig>,
    /// Customers, which are not bound to a region.
    pub customers: BTreeMap<CustomerName, CustomerConfig>,
    /// Services with policy values of their own.
    pub services: BTreeMap<ServiceName, ServiceConfig>,
    /// Roles by SHA-256 digest of the bearer token in lower-case hexadecimal digits. A non-cryptographic
    /// hash such as [`crate::hash::digest`] would let every reader of the tree forge a token.
    pub tokens: BTreeMap<String, AccessRole>,
}

impl ConfigView {
    /// Merges the policy for a failure domain and, where given, a customer and a service.
    ///
    /// A name that is not in the tree overrides nothing.
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
