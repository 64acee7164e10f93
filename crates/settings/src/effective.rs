//! Effective values of the policy with the level that each comes from.

use std::fmt;

use lacewingrail_model::config::{ConfigView, Policy, PolicyOverlay};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Origin of a value that no level overrides.
const DEFAULT_ORIGIN: &str = "default";

/// Selects the levels whose values are merged.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EffectivePath {
    /// Region, where no failure domain is named.
    pub region: Option<String>,
    /// Failure domain.
    pub domain: Option<String>,
    /// Customer.
    pub customer: Option<String>,
    /// Service.
    pub service: Option<String>,
}

/// Holds one effective value.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EffectiveValue {
    /// Name of the value.
    pub name: String,
    /// Value in the form in which settings write it.
    pub value: Value,
    /// Level that the value comes from, such as `customer bank`, or `default`.
    pub origin: String,
    /// Levels above whose values this one replaces, nearest last.
    pub replaces: Vec<String>,
}

/// States why a path selects nothing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PathError {
    /// The text is not pairs of a level and a name.
    Malformed(String),
    /// A name does not exist in the tree.
    Unknown {
        /// Level.
        level: &'static str,
        /// Name.
        name: String,
    },
}

impl fmt::Display for PathError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(text) => write!(
                formatter,
                "\"{text}\" is not a settings path; write pairs of region, domain, customer or \
                 service and a name, such as domain/om-north-a/customer/bank"
            ),
            Self::Unknown { level, name } => write!(
                formatter,
                "{level} \"{name}\" is not in the settings tree; check the name or add it"
            ),
        }
    }
}

impl std::error::Error for PathError {}

impl EffectivePath {
    /// Reads a path such as `domain/om-north-a/customer/bank`; an empty one selects the global level.
    ///
    /// # Errors
    /// Refuses unknown and repeated levels.
    pub fn parse(text: &str) -> Result<Self, PathError> {
        let malformed = || PathError::Malformed(text.to_owned());
        let mut path = Self::default();
        let trimmed = text.trim_matches('/');
        if trimmed.is_empty() {
            return Ok(path);
        }
        let parts: Vec<&str> = trimmed.split('/').collect();
        for pair in parts.chunks(2) {
            let [level, name] = pair else { return Err(malformed()) };
            let slot = match *level {
                "region" => &mut path.region,
                "domain" => &mut path.domain,
                "customer" => &mut path.customer,
                "service" => &mut path.service,
                _ => return Err(malformed()),
            };
            if name.is_empty() || slot.replace((*name).to_owned()).is_some() {
                return Err(malformed());
            }
        }
        if path.region.is_some() && path.domain.is_some() {
            return Err(malformed());
        }
        Ok(path)
    }
}

/// Merges the levels that a path selects and names the origin of each value.
///
/// # Errors
/// Refuses names that are not in the tree.
pub fn effective(
    view: &ConfigView,
    path: &EffectivePath,
) -> Result<Vec<EffectiveValue>, PathError> {
    let levels = select_levels(view, path)?;
    let defaults = to_object(&Policy::default());
    let mut values: Vec<EffectiveValue> = Policy::FIELDS
        .iter()
        .map(|name| EffectiveValue {
            name: (*name).to_owned(),
            value: defaults.get(*name).cloned().unwrap_or_default(),
            origin: DEFAULT_ORIGIN.to_owned(),
            replaces: Vec::new(),
        })
        .collect();
    for (origin, overlay) in levels {
        let named = to_object(overlay);
        for value in &mut values {
            if let Some(new) = named.get(&value.name) {
                value.value = new.clone();
                value.replaces.push(std::mem::replace(&mut value.origin, origin.clone()));
            }
        }
    }
    Ok(values)
}

fn select_levels<'a>(
    view: &'a ConfigView,
    path: &EffectivePath,
) -> Result<Vec<(String, &'a PolicyOverlay)>, PathError> {
    let unknown = |level, name: &str| PathError::Unknown { level, name: name.to_owned() };
    let mut levels = vec![("global".to_owned(), &view.global)];
    let mut region = path.region.clone();
    let mut domain_level = None;
    if let Some(name) = &path.domain {
        let config = view.domains.get(name).ok_or_else(|| unknown("domain", name))?;
        region = Some(config.region.clone());
        domain_level = Some((format!("domain {name}"), &config.overlay));
    }
    if let Some(name) = &region {
        let overlay = view.regions.get(name).ok_or_else(|| unknown("region", name))?;
        levels.push((format!("region {name}"), overlay));
    }
    levels.extend(domain_level);
    if let Some(name) = &path.customer {
        let config = view.customers.get(name).ok_or_else(|| unknown("customer", name))?;
        levels.push((format!("customer {name}"), &config.overlay));
    }
    if let Some(name) = &path.service {
        let config = view.services.get(name).ok_or_else(|| unknown("service", name))?;
        levels.push((format!("service {name}"), &config.overlay));
    }
    Ok(levels)
}

fn to_object<T>(record: &T) -> serde_json::Map<String, Value>
where
    T: Serialize,
{
    match serde_json::to_value(record) {
        Ok(Value::Object(object)) => object,
        _ => serde_json::Map::new(),
    }
}
