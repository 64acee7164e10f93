//! The operators' settings as the front uses them: which queue a call is for and who may call.

use std::collections::BTreeMap;

use lacewingrail_fleet::{CustomerShare, FleetConfig, QueuePolicy};
use lacewingrail_model::{ConfigVersion, CustomerName};

/// Sends calls for a host and path prefix to a queue.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name of the queue.
    pub queue: String,
    /// Host that the call names.
    pub host: String,
    /// Start of the path; the longest one that matches counts.
    pub prefix: String,
    /// Whether calls need no key.
    pub public: bool,
    /// How the queue's jobs are run.
    pub policy: QueuePolicy,
}

/// Describes a customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerRule {
    /// Name.
    pub name: CustomerName,
    /// Keys that its calls may carry.
    pub api_keys: Vec<String>,
    /// Accelerators that its urgent jobs may claim at any time.
    pub guaranteed: i64,
}

/// Holds one version of the operators' settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigTree {
    /// Version.
    pub version: ConfigVersion,
    /// Routes.
    pub routes: Vec<RouteRule>,
    /// Customers.
    pub customers: Vec<CustomerRule>,
}

impl ConfigTree {
    /// Returns the route of a call and the rest of its path.
    pub fn find_route<'a>(&self, host: &str, path: &'a str) -> Option<(&RouteRule, &'a str)> {
        let matching = self.routes.iter().filter_map(|route| {
            let rest = path.strip_prefix(route.prefix.as_str())?;
            (route.host == host).then_some((route, rest))
        });
        matching.max_by_key(|(route, _)| route.prefix.len())
    }

    /// Returns the customer that a key belongs to.
    pub fn find_customer(&self, key: &str) -> Option<&CustomerName> {
        let owns =
            |customer: &&CustomerRule| customer.api_keys.iter().any(|api_key| api_key == key);
        self.customers.iter().find(owns).map(|customer| &customer.name)
    }

    /// Returns the part that scheduling depends on.
    pub fn fleet_config(&self) -> FleetConfig {
        let queues = self.routes.iter().map(|route| (route.queue.clone(), route.policy.clone()));
        let share = |rule: &CustomerRule| CustomerShare { guaranteed: rule.guaranteed };
        let customers: BTreeMap<CustomerName, CustomerShare> =
            self.customers.iter().map(|rule| (rule.name.clone(), share(rule))).collect();
        FleetConfig { version: self.version, queues: queues.collect(), customers }
    }
}
