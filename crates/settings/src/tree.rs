//! The settings tree as written by operators.
//!
//! The levels are global, region, failure domain, customer and service. Each may override values of
//! the policy; a later level takes precedence over an earlier one.

use std::collections::BTreeMap;

use lacewingrail_model::config::PolicyOverlay;
use lacewingrail_model::shape::GangShape;
use lacewingrail_model::{CustomerName, DomainName, RackName, RegionName, ServiceName};

use crate::check;
use crate::error::SettingsErrors;
use crate::keys;
use crate::reader::{self, ErrorList, SectionReader};
use crate::token;

mod policy;

pub(crate) use policy::value_form;

/// A parsed and validated settings tree.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SettingsTree {
    /// Policy values overridden at the global level.
    pub policy: PolicyOverlay,
    /// Regions with their failure domains.
    pub regions: BTreeMap<RegionName, RegionSettings>,
    /// Customers with quotas and guarantees.
    pub customers: BTreeMap<CustomerName, CustomerSettings>,
    /// Services with the policy values that they override.
    pub services: BTreeMap<ServiceName, PolicyOverlay>,
    /// Digests of tokens that may read and change everything.
    pub operators: Vec<String>,
    /// Digests of tokens that may only read.
    pub readers: Vec<String>,
}

/// Settings of one region.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegionSettings {
    /// Policy values overridden for the region.
    pub policy: PolicyOverlay,
    /// Failure domains of the region; names are unique in the tree.
    pub domains: BTreeMap<DomainName, DomainSettings>,
}

/// Settings of one failure domain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DomainSettings {
    /// Policy values overridden for the domain.
    pub policy: PolicyOverlay,
    /// Whether the domain is out of service, so that no task starts in it.
    pub out: bool,
    /// Accelerators of each worker by rack, when the whole domain is healthy.
    pub racks: BTreeMap<RackName, Vec<u32>>,
}

/// Settings of one customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerSettings {
    /// Policy values overridden for the customer.
    pub policy: PolicyOverlay,
    /// Fair-share weight in queues; above 0.
    pub weight: f64,
    /// Order in which guarantees are satisfied when not all fit any more; lower goes first.
    pub precedence: u32,
    /// Maximum number of accelerators in use across all failure domains.
    pub quota: u32,
    /// Guarantees in the order of the text.
    pub guarantees: Vec<GuaranteeSettings>,
    /// SHA-256 digests of the customer's tokens.
    pub tokens: Vec<String>,
}

/// Guarantee of a shape in one failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GuaranteeSettings {
    /// Failure domain in which the guarantee holds.
    pub domain: DomainName,
    /// Shape that is guaranteed.
    pub shape: GangShape,
    /// Number of such shapes that the customer can hold at once.
    pub count: u32,
}

/// Parses and validates a tree; `file` is its name in errors.
///
/// # Errors
/// Returns every error in the text. Whether the guarantees fit together is checked only if there are
/// no other errors.
pub fn parse(text: &str, file: &str) -> Result<SettingsTree, SettingsErrors> {
    let value = reader::read_text(text, file)?;
    let mut errors = ErrorList::new(file);
    let tree = read_tree(value, &mut errors);
    check::check_tree(&tree, &mut errors);
    errors.finish(tree)
}

fn read_tree(value: serde_norway::Value, errors: &mut ErrorList) -> SettingsTree {
    let mut section = SectionReader::new("", value, keys::TREE_KEYS, errors);
    let policy = policy::read(&mut section, errors);
    let regions = reader::read_named_values("regions", section.remove("regions"), errors)
        .into_iter()
        .map(|(name, value)| {
            let region = read_region(&reader::join("regions", &name), value, errors);
            (name, region)
        })
        .collect();
    let customers = reader::read_named_values("customers", section.remove("customers"), errors)
        .into_iter()
        .map(|(name, value)| {
            let customer = read_customer(&reader::join("customers", &name), value, errors);
            (name, customer)
        })
        .collect();
    let services = reader::read_named_values("services", section.remove("services"), errors)
        .into_iter()
        .map(|(name, value)| {
            let path = reader::join("services", &name);
            let mut section = SectionReader::new(&path, value, keys::SERVICE_KEYS, errors);
            (name, policy::read(&mut section, errors))
        })
        .collect();
    let access = section.remove("access").unwrap_or_default();
    let mut access = SectionReader::new("access", access, keys::ACCESS_KEYS, errors);
    let operators = read_digests(&mut access, "operators", errors);
    let readers = read_digests(&mut access, "readers", errors);
    SettingsTree { policy, regions, customers, services, operators, readers }
}

fn read_region(path: &str, value: serde_norway::Value, errors: &mut ErrorList) -> RegionSettings {
    let mut section = SectionReader::new(path, value, keys::REGION_KEYS, errors);
    let policy = policy::read(&mut section, errors);
    let domains_path = section.path_of("domains");
    let domains = reader::read_named_values(&domains_path, section.remove("domains"), errors)
        .into_iter()
        .map(|(name, value)| {
            let domain = read_domain(&reader::join(&domains_path, &name), value, errors);
            (name, domain)
        })
        .collect();
    RegionSettings { policy, domains }
}

fn read_domain(path: &str, value: serde_norway::Value, errors: &mut ErrorList) -> DomainSettings {
    let mut section = SectionReader::new(path, value, keys::DOMAIN_KEYS, errors);
    let policy = policy::read(&mut section, errors);
    let out = section.optional("out", errors).unwrap_or(false);
    let racks_path = section.path_of("racks");
    let racks = reader::read_named_values(&racks_path, section.remove("racks"), errors)
        .into_iter()
        .map(|(name, value)| {
            let rack = read_rack(&reader::join(&racks_path, &name), value, errors);
            (name, rack)
        })
        .collect();
    DomainSettings { policy, out, racks }
}

/// Reads the accelerators of each worker of a rack.
///
/// The limits prevent a mistyped number from allocating a list of billions of workers.
fn read_rack(path: &str, value: serde_norway::Value, errors: &mut ErrorList) -> Vec<u32> {
    const MAX_GROUP_WORKERS: u32 = 1_024;
    const MAX_GROUPS: usize = 64;
    const MAX_WORKER_ACCELERATORS: u32 = 64;
    let groups = match value {
        serde_norway::Value::Sequence(groups) => groups
            .into_iter()
            .enumerate()
            .map(|(index, group)| (format!("{path}[{index}]"), group))
            .collect(),
        group => vec![(path.to_owned(), group)],
    };
    if groups.len() > MAX_GROUPS {
        errors.add(path, "the rack has over 64 groups", "join groups of equal workers");
        return Vec::new();
    }
    let mut workers = Vec::new();
    for (group_path, group) in groups {
        let mut section = SectionReader::new(&group_path, group, keys::RACK_KEYS, errors);
        let count: Option<u32> = section.required("workers", errors);
        let accelerators: Option<u32> = section.required("accelerators", errors);
        let (Some(count), Some(accelerators)) = (count, accelerators) else { continue };
        if !(1..=MAX_GROUP_WORKERS).contains(&count) {
            errors.add(
                &section.path_of("workers"),
                format!("{count} is out of range"),
                "write a whole number from 1 to 1024",
            );
            continue;
        }
        if accelerators > MAX_WORKER_ACCELERATORS {
            errors.add(
                &section.path_of("accelerators"),
                format!("{accelerators} is out of range"),
                "write a whole number from 0 to 64",
            );
            continue;
        }
        workers.extend(std::iter::repeat_n(accelerators, count as usize));
    }
    workers
}

fn read_customer(
    path: &str,
    value: serde_norway::Value,
    errors: &mut ErrorList,
) -> CustomerSettings {
    const DEFAULT_PRECEDENCE: u32 = 100;
    let mut section = SectionReader::new(path, value, keys::CUSTOMER_KEYS, errors);
    let policy = policy::read(&mut section, errors);
    let weight = section.optional("weight", errors).unwrap_or(1.0);
    let precedence = section.optional("precedence", errors).unwrap_or(DEFAULT_PRECEDENCE);
    // A missing or malformed quota is already reported; the maximum avoids a second error about it.
    let quota = section.required("quota", errors).unwrap_or(u32::MAX);
    let tokens = read_digests(&mut section, "tokens", errors);
    let guarantees_path = section.path_of("guarantees");
    let guarantees = reader::read_sequence(&guarantees_path, section.remove("guarantees"), errors)
        .into_iter()
        .enumerate()
        .filter_map(|(index, value)| {
            read_guarantee(&format!("{guarantees_path}[{index}]"), value, errors)
        })
        .collect();
    CustomerSettings { policy, weight, precedence, quota, guarantees, tokens }
}

fn read_guarantee(
    path: &str,
    value: serde_norway::Value,
    errors: &mut ErrorList,
) -> Option<GuaranteeSettings> {
    let mut section = SectionReader::new(path, value, keys::GUARANTEE_KEYS, errors);
    let domain = section.required("domain", errors);
    let count = section.optional("count", errors).unwrap_or(1);
    let shape_path = section.path_of("shape");
    let Some(shape) = section.remove("shape") else {
        errors.add(
            &shape_path,
            "the key is missing",
            "add it: members, accelerators and adjacency",
        );
        return None;
    };
    let mut section = SectionReader::new(&shape_path, shape, keys::SHAPE_KEYS, errors);
    let members = section.required("members", errors);
    let accelerators = section.required("accelerators", errors);
    let adjacency = section.required("adjacency", errors);
    let shape = GangShape { members: members?, accelerators: accelerators?, adjacency: adjacency? };
    Some(GuaranteeSettings { domain: domain?, shape, count })
}

/// Reads a list of token digests.
///
/// An entry that is not a digest may be a plain token, so the error does not contain it.
fn read_digests(section: &mut SectionReader, name: &str, errors: &mut ErrorList) -> Vec<String> {
    let list_path = section.path_of(name);
    let mut digests = Vec::new();
    for (index, value) in
        reader::read_sequence(&list_path, section.remove(name), errors).into_iter().enumerate()
    {
        match value {
            serde_norway::Value::String(digest) if token::is_digest(&digest) => {
                digests.push(digest);
            }
            _ => errors.add(
                &format!("{list_path}[{index}]"),
                "the entry is not a SHA-256 digest",
                "write 64 lower-case hexadecimal digits, as `printf %s TOKEN | sha256sum` prints",
            ),
        }
    }
    digests
}
