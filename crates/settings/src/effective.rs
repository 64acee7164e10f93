//! Effective policy values with the level that sets each.

use std::fmt;

use lacewingrail_model::config::{ConfigView, Policy, PolicyOverlay};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Origin of a value that no level sets.
const DEFAULT_ORIGIN: &str = "default";

/// Levels whose values are merged over the global ones; each is optional.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EffectivePath {
    /// Region; unset if a failure domain is given, because that implies its region.
    pub region: Option<String>,
    /// Failure domain, with the region that it is in.
    pub domain: Option<String>,
    /// Customer whose overrides apply.
    pub customer: Option<String>,
    /// Service whose overrides apply.
    pub service: Option<String>,
}

/// One effective policy value.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EffectiveValue {
    /// Key of the value in settings.
    pub name: String,
    /// Value as it is written in settings.
    pub value: Value,
    /// Level that sets the value, such as `customer bank`, or `default`.
    pub origin: String,
    /// Origins of the values that this one replaces, nearest level last.
    pub replaces: Vec<String>,
}

/// Error in the text or in a name of an [`EffectivePath`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PathError {
    /// The given text is not a sequence of pairs of a level and a name.
    Malformed(String),
    /// A name does not exist in the tree.
    Unknown {
        /// Level, such as `customer`.
        level: &'static str,
        /// Name that the level does not have.
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
    /// Parses a path such as `domain/om-north-a/customer/bank`; an empty one selects the global level.
    ///
    /// # Errors
    /// Returns [`PathError::Malformed`] for unknown or repeated levels, and for a region given together
    /// with a failure domain.
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

/// Merges the levels that a path selects and returns each value with its origin.
///
/// # Errors
/// Returns [`PathError::Unknown`] for a name that is not in the tree.
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
        let overrides = to_object(overlay);
        for value in &mut values {
            if let Some(new) = overrides.get(&value.name) {
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
