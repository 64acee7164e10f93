//! The operators' settings for client calls: which queue a call goes to and which customer may
//! call.

use std::collections::BTreeMap;

use lacewingrail_fleet::{CustomerGuarantee, FleetConfig, QueuePolicy};
use lacewingrail_model::{ConfigVersion, CustomerName};

/// Maps calls by host and path prefix to a queue.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Queue that receives the calls.
    pub queue: String,
    /// Host header of the call, without a port.
    pub host: String,
    /// Path prefix; of several that match, the longest applies.
    pub prefix: String,
    /// Whether calls without a valid API key are accepted.
    pub public: bool,
    /// Scheduling policy of the queue.
    pub policy: QueuePolicy,
}

/// API keys and guarantee of a customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerRule {
    /// Name of the customer.
    pub name: CustomerName,
    /// Keys that identify calls as this customer's.
    pub api_keys: Vec<String>,
    /// Number of accelerators that its urgent jobs may claim at any time.
    pub guaranteed: i64,
}

/// One version of the operators' settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigTree {
    /// Version, which grows with every change; 0 only in a default value.
    pub version: ConfigVersion,
    /// Routes of all queues.
    pub routes: Vec<RouteRule>,
    /// Customers that may call.
    pub customers: Vec<CustomerRule>,
}

impl ConfigTree {
    /// Returns the route of a call and the rest of its path after the route's prefix; `None` if no
    /// route matches.
    pub fn find_route<'a>(&self, host: &str, path: &'a str) -> Option<(&RouteRule, &'a str)> {
        let matching = self.routes.iter().filter_map(|route| {
            let rest = path.strip_prefix(route.prefix.as_str())?;
            (route.host == host).then_some((route, rest))
        });
        matching.max_by_key(|(route, _)| route.prefix.len())
    }

    /// Returns the customer that an API key belongs to; `None` if it is unknown.
    pub fn find_customer(&self, key: &str) -> Option<&CustomerName> {
        let owns =
            |customer: &&CustomerRule| customer.api_keys.iter().any(|api_key| api_key == key);
        self.customers.iter().find(owns).map(|customer| &customer.name)
    }

    /// Returns the settings that the planner needs.
    pub fn fleet_config(&self) -> FleetConfig {
        let queues = self.routes.iter().map(|route| (route.queue.clone(), route.policy.clone()));
        let guarantee = |rule: &CustomerRule| CustomerGuarantee { guaranteed: rule.guaranteed };
        let customers: BTreeMap<CustomerName, CustomerGuarantee> =
            self.customers.iter().map(|rule| (rule.name.clone(), guarantee(rule))).collect();
        FleetConfig { version: self.version, queues: queues.collect(), customers }
    }
}
