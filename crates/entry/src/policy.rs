//! Cache of effective policies, merged once for each customer, service and settings version.

use std::collections::HashMap;
use std::sync::{Arc, PoisonError, RwLock};

use lacewingrail_model::config::{ConfigView, Policy};
use lacewingrail_model::{ConfigVersion, DomainName};

/// Maximum number of cached pairs of customer and service; bounds memory and suffices for 180
/// customers with several services each.
const MAX_ENTRIES: usize = 8192;

/// Caches merged policies; a new settings version clears it.
#[derive(Debug, Default)]
pub struct PolicyCache {
    domain: DomainName,
    entries: RwLock<PolicyEntries>,
}

#[derive(Debug, Default)]
struct PolicyEntries {
    version: ConfigVersion,
    policies: HashMap<(Arc<str>, Arc<str>), Arc<Policy>>,
}

impl PolicyCache {
    /// Creates an empty cache of the policies in one failure domain.
    pub fn new(domain: DomainName) -> Self {
        Self { domain, entries: RwLock::default() }
    }

    /// Returns the cached policy for a customer and a service, or merges it.
    pub fn get(&self, config: &ConfigView, customer: &Arc<str>, service: &Arc<str>) -> Arc<Policy> {
        let key = (customer.clone(), service.clone());
        {
            let entries = self.entries.read().unwrap_or_else(PoisonError::into_inner);
            if entries.version == config.version
                && let Some(policy) = entries.policies.get(&key)
            {
                return policy.clone();
            }
        }
        let policy = Arc::new(config.policy(&self.domain, Some(customer), Some(service)));
        let mut entries = self.entries.write().unwrap_or_else(PoisonError::into_inner);
        if entries.version < config.version || entries.policies.len() >= MAX_ENTRIES {
            entries.policies.clear();
            entries.version = config.version;
        }
        if entries.version == config.version {
            entries.policies.insert(key, policy.clone());
        }
        policy
    }
}
