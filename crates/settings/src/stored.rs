//! Stored form of the settings tree, and the effective view that controllers use.
//!
//! The stored value contains the operators' text unchanged. The version that
//! introduced each guarantee and the version that last changed `out` of each failure domain cannot be
//! derived from the text, so they are stored with it.

use std::collections::BTreeMap;

use lacewingrail_model::clock::{UnixMillis, unix_millis};
use lacewingrail_model::config::{
    AccessRole, ConfigView, CustomerConfig, DomainConfig, GuaranteeConfig, ServiceConfig,
};
use lacewingrail_model::hash;
use lacewingrail_model::write_id::WriteId;
use lacewingrail_model::{ConfigVersion, keys};
use serde::{Deserialize, Serialize};

use crate::error::SettingsErrors;
use crate::tree::{GuaranteeSettings, SettingsTree, parse};

/// Maximum size of a stored tree in bytes, below the limit of 1 MB of the key-value service.
pub const MAX_TREE_BYTES: usize = 900_000;

/// An accepted tree as it is stored under `config/tree`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredTree {
    /// Version, one above that of the previous tree.
    pub version: ConfigVersion,
    /// Id of the write, see [`lacewingrail_model::write_id`].
    pub mark: WriteId,
    /// User who wrote this version.
    pub author: String,
    /// Time at which this version was written.
    pub written_at: UnixMillis,
    /// Text of the tree in YAML, as the operator wrote it.
    pub text: String,
    /// Version that introduced each guarantee and last changed `out` of each domain, by
    /// [`guarantee_key`] and [`out_key`].
    pub since: BTreeMap<String, ConfigVersion>,
}

impl StoredTree {
    /// Creates the first version of a tree.
    ///
    /// # Errors
    /// Returns every error in the text, or an error if the stored form is over [`MAX_TREE_BYTES`].
    pub fn first(text: &str, author: &str, mark: WriteId) -> Result<Self, SettingsErrors> {
        Self::build(1, None, text, author, mark)
    }

    /// Creates the next version of a tree with a new text.
    ///
    /// # Errors
    /// Returns every error in the text, or an error if the stored form is over [`MAX_TREE_BYTES`].
    pub fn next(&self, text: &str, author: &str, mark: WriteId) -> Result<Self, SettingsErrors> {
        Self::build(self.version + 1, Some(self), text, author, mark)
    }

    /// Parses the text and builds the effective view.
    ///
    /// # Errors
    /// Returns every error in the text; one accepted by another release may be invalid in this one.
    pub fn view(&self) -> Result<ConfigView, SettingsErrors> {
        let tree = parse(&self.text, keys::CONFIG_TREE)?;
        Ok(build_view(&tree, self))
    }

    /// Encodes the tree as the JSON value to store.
    ///
    /// # Errors
    /// Returns an error if the value is over [`MAX_TREE_BYTES`].
    pub fn encode(&self) -> Result<String, SettingsErrors> {
        let value = serde_json::to_string(self).map_err(|error| {
            SettingsErrors::for_source(
                keys::CONFIG_TREE,
                format!("the tree cannot be encoded ({error})"),
                "report this fault",
            )
        })?;
        if value.len() > MAX_TREE_BYTES {
            return Err(SettingsErrors::for_source(
                keys::CONFIG_TREE,
                format!("the stored tree has {} bytes, over {MAX_TREE_BYTES}", value.len()),
                "shorten the comments or remove customers that are gone",
            ));
        }
        Ok(value)
    }

    /// Decodes a stored JSON value; does not parse the text of the tree.
    ///
    /// # Errors
    /// Returns an error if the value is not a stored tree.
    pub fn decode(value: &str) -> Result<Self, SettingsErrors> {
        serde_json::from_str(value).map_err(|error| {
            SettingsErrors::for_source(
                keys::CONFIG_TREE,
                format!("the stored value is not a settings tree ({error})"),
                "restore it with `lacewingrail config put`",
            )
        })
    }

    fn build(
        version: ConfigVersion,
        previous: Option<&Self>,
        text: &str,
        author: &str,
        mark: WriteId,
    ) -> Result<Self, SettingsErrors> {
        let tree = parse(text, keys::CONFIG_TREE)?;
        // The previous tree may not parse if another release wrote it; every `out` then counts as
        // changed.
        let previous_tree = previous.and_then(|stored| parse(&stored.text, keys::CONFIG_TREE).ok());
        let recorded = |key: &str| previous.and_then(|stored| stored.since.get(key)).copied();
        let mut since = BTreeMap::new();
        for (name, customer) in &tree.customers {
            for guarantee in &customer.guarantees {
                let key = guarantee_key(name, guarantee);
                let first = recorded(&key).unwrap_or(version);
                since.insert(key, first);
            }
        }
        for (name, domain) in tree.regions.values().flat_map(|region| &region.domains) {
            let unchanged = previous_tree.as_ref().is_some_and(|tree| {
                let domains = tree.regions.values().find_map(|region| region.domains.get(name));
                domains.is_some_and(|settings| settings.out == domain.out)
            });
            let key = out_key(name);
            let first = recorded(&key).filter(|_| unchanged).unwrap_or(version);
            since.insert(key, first);
        }
        let stored = Self {
            version,
            mark,
            author: author.to_owned(),
            written_at: unix_millis(),
            text: text.to_owned(),
            since,
        };
        stored.encode()?;
        Ok(stored)
    }
}

/// Returns the key of a guarantee in [`StoredTree::since`]; it does not depend on the count.
pub fn guarantee_key(customer: &str, guarantee: &GuaranteeSettings) -> String {
    let shape = guarantee.shape;
    format!(
        "guarantee/{customer}/{}/{}x{}/{}",
        guarantee.domain, shape.members, shape.accelerators, shape.adjacency
    )
}

/// Returns the key of a failure domain's `out` in [`StoredTree::since`].
pub fn out_key(domain: &str) -> String {
    format!("out/{domain}")
}

fn build_view(tree: &SettingsTree, stored: &StoredTree) -> ConfigView {
    let since = |key: String| stored.since.get(&key).copied().unwrap_or(stored.version);
    let domains = tree
        .regions
        .iter()
        .flat_map(|(region, settings)| {
            settings.domains.iter().map(move |(name, domain)| (region, name, domain))
        })
        .map(|(region, name, domain)| {
            let config = DomainConfig {
                region: region.clone(),
                out: domain.out,
                out_since: since(out_key(name)),
                overlay: domain.policy.clone(),
                nominal_racks: domain.racks.clone(),
            };
            (name.clone(), config)
        })
        .collect();
    let customers = tree
        .customers
        .iter()
        .map(|(name, customer)| {
            let guarantees = customer
                .guarantees
                .iter()
                .map(|guarantee| GuaranteeConfig {
                    domain: guarantee.domain.clone(),
                    shape: guarantee.shape,
                    count: guarantee.count,
                    since: since(guarantee_key(name, guarantee)),
                })
                .collect();
            let config = CustomerConfig {
                precedence: customer.precedence,
                weight: customer.weight,
                quota: customer.quota,
                guarantees,
                overlay: customer.policy.clone(),
            };
            (name.clone(), config)
        })
        .collect();
    let services = tree
        .services
        .iter()
        .map(|(name, policy)| (name.clone(), ServiceConfig { overlay: policy.clone() }))
        .collect();
    ConfigView {
        version: stored.version,
        hash: hash::digest(stored.text.as_bytes()),
        global: tree.policy.clone(),
        regions: tree
            .regions
            .iter()
            .map(|(name, region)| (name.clone(), region.policy.clone()))
            .collect(),
        domains,
        customers,
        services,
        tokens: build_tokens(tree),
    }
}

fn build_tokens(tree: &SettingsTree) -> BTreeMap<String, AccessRole> {
    let operators = tree.operators.iter().map(|digest| (digest.clone(), AccessRole::Operator));
    let readers = tree.readers.iter().map(|digest| (digest.clone(), AccessRole::ReadOnly));
    let customers = tree.customers.iter().flat_map(|(name, customer)| {
        customer
            .tokens
            .iter()
            .map(|digest| (digest.clone(), AccessRole::Customer { customer: name.clone() }))
    });
    operators.chain(readers).chain(customers).collect()
}
