//! The settings tree as operators write it.
//!
//! The levels are global, region, failure domain, customer and service. Each may override values of
//! the policy; a lower level wins over a higher one.

use std::collections::BTreeMap;

use lacewingrail_model::config::PolicyOverlay;
use lacewingrail_model::shape::GangShape;
use lacewingrail_model::{CustomerName, DomainName, RackName, RegionName, ServiceName};

use crate::check;
use crate::error::SettingsErrors;
use crate::keys;
use crate::reader::{self, FaultList, SectionReader};
use crate::token;

mod policy;

pub(crate) use policy::kind_of;

/// Holds a parsed and checked tree.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SettingsTree {
    /// Values overridden for everything.
    pub policy: PolicyOverlay,
    /// Regions.
    pub regions: BTreeMap<RegionName, RegionSettings>,
    /// Customers.
    pub customers: BTreeMap<CustomerName, CustomerSettings>,
    /// Services with the values that they override.
    pub services: BTreeMap<ServiceName, PolicyOverlay>,
    /// Digests of tokens with the role of an operator.
    pub operators: Vec<String>,
    /// Digests of tokens that may only read.
    pub readers: Vec<String>,
}

/// Holds one region.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RegionSettings {
    /// Values overridden in the region.
    pub policy: PolicyOverlay,
    /// Failure domains.
    pub domains: BTreeMap<DomainName, DomainSettings>,
}

/// Holds one failure domain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DomainSettings {
    /// Values overridden in the domain.
    pub policy: PolicyOverlay,
    /// Whether the domain is out.
    pub out: bool,
    /// Accelerators of each worker by rack.
    pub racks: BTreeMap<RackName, Vec<u32>>,
}

/// Holds one customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerSettings {
    /// Values overridden for the customer.
    pub policy: PolicyOverlay,
    /// Weight in the fair order of queues.
    pub weight: f64,
    /// Order in which guarantees are honoured; lower goes first.
    pub precedence: u32,
    /// Most accelerators in use.
    pub quota: u32,
    /// Guarantees in the order of the text.
    pub guarantees: Vec<GuaranteeSettings>,
    /// Digests of the customer's tokens.
    pub tokens: Vec<String>,
}

/// Holds one guarantee.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GuaranteeSettings {
    /// Failure domain.
    pub domain: DomainName,
    /// Shape.
    pub shape: GangShape,
    /// Number of shapes.
    pub count: u32,
}

/// Reads a tree and checks it as a whole.
///
/// # Errors
/// Reports every fault of the text. Whether the guarantees fit together is checked only on a text
/// without other faults.
pub fn parse(text: &str, file: &str) -> Result<SettingsTree, SettingsErrors> {
    let value = reader::read_text(text, file)?;
    let mut faults = FaultList::new(file);
    let tree = read_tree(value, &mut faults);
    check::check_tree(&tree, &mut faults);
    faults.finish(tree)
}

fn read_tree(value: serde_norway::Value, faults: &mut FaultList) -> SettingsTree {
    let mut section = SectionReader::new("", value, keys::TREE_KEYS, faults);
    let policy = policy::read(&mut section, faults);
    let regions = reader::read_names("regions", section.take("regions"), faults)
        .into_iter()
        .map(|(name, value)| {
            let region = read_region(&reader::join("regions", &name), value, faults);
            (name, region)
        })
        .collect();
    let customers = reader::read_names("customers", section.take("customers"), faults)
        .into_iter()
        .map(|(name, value)| {
            let customer = read_customer(&reader::join("customers", &name), value, faults);
            (name, customer)
        })
        .collect();
    let services = reader::read_names("services", section.take("services"), faults)
        .into_iter()
        .map(|(name, value)| {
            let path = reader::join("services", &name);
            let mut section = SectionReader::new(&path, value, keys::SERVICE_KEYS, faults);
            (name, policy::read(&mut section, faults))
        })
        .collect();
    let access = section.take("access").unwrap_or_default();
    let mut access = SectionReader::new("access", access, keys::ACCESS_KEYS, faults);
    let operators = read_digests(&mut access, "operators", faults);
    let readers = read_digests(&mut access, "readers", faults);
    SettingsTree { policy, regions, customers, services, operators, readers }
}

fn read_region(path: &str, value: serde_norway::Value, faults: &mut FaultList) -> RegionSettings {
    let mut section = SectionReader::new(path, value, keys::REGION_KEYS, faults);
    let policy = policy::read(&mut section, faults);
    let place = section.path_of("domains");
    let domains = reader::read_names(&place, section.take("domains"), faults)
        .into_iter()
        .map(|(name, value)| {
            let domain = read_domain(&reader::join(&place, &name), value, faults);
            (name, domain)
        })
        .collect();
    RegionSettings { policy, domains }
}

fn read_domain(path: &str, value: serde_norway::Value, faults: &mut FaultList) -> DomainSettings {
    let mut section = SectionReader::new(path, value, keys::DOMAIN_KEYS, faults);
    let policy = policy::read(&mut section, faults);
    let out = section.optional("out", faults).unwrap_or(false);
    let place = section.path_of("racks");
    let racks = reader::read_names(&place, section.take("racks"), faults)
        .into_iter()
        .map(|(name, value)| {
            let rack = read_rack(&reader::join(&place, &name), value, faults);
            (name, rack)
        })
        .collect();
    DomainSettings { policy, out, racks }
}

/// The limits keep a mistyped number from allocating a list of billions of workers.
fn read_rack(path: &str, value: serde_norway::Value, faults: &mut FaultList) -> Vec<u32> {
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
        faults.add(path, "the rack has over 64 groups", "join groups of equal workers");
        return Vec::new();
    }
    let mut workers = Vec::new();
    for (place, group) in groups {
        let mut section = SectionReader::new(&place, group, keys::RACK_KEYS, faults);
        let count: Option<u32> = section.required("workers", faults);
        let accelerators: Option<u32> = section.required("accelerators", faults);
        let (Some(count), Some(accelerators)) = (count, accelerators) else { continue };
        if !(1..=MAX_GROUP_WORKERS).contains(&count) {
            faults.add(
                &section.path_of("workers"),
                format!("{count} is out of range"),
                "write a whole number from 1 to 1024",
            );
            continue;
        }
        if accelerators > MAX_WORKER_ACCELERATORS {
            faults.add(
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
    faults: &mut FaultList,
) -> CustomerSettings {
    const DEFAULT_PRECEDENCE: u32 = 100;
    let mut section = SectionReader::new(path, value, keys::CUSTOMER_KEYS, faults);
    let policy = policy::read(&mut section, faults);
    let weight = section.optional("weight", faults).unwrap_or(1.0);
    let precedence = section.optional("precedence", faults).unwrap_or(DEFAULT_PRECEDENCE);
    // A quota that is missing or malformed is already a fault; no second one follows from it.
    let quota = section.required("quota", faults).unwrap_or(u32::MAX);
    let tokens = read_digests(&mut section, "tokens", faults);
    let place = section.path_of("guarantees");
    let guarantees = reader::read_sequence(&place, section.take("guarantees"), faults)
        .into_iter()
        .enumerate()
        .filter_map(|(index, value)| read_guarantee(&format!("{place}[{index}]"), value, faults))
        .collect();
    CustomerSettings { policy, weight, precedence, quota, guarantees, tokens }
}

fn read_guarantee(
    path: &str,
    value: serde_norway::Value,
    faults: &mut FaultList,
) -> Option<GuaranteeSettings> {
    let mut section = SectionReader::new(path, value, keys::GUARANTEE_KEYS, faults);
    let domain = section.required("domain", faults);
    let count = section.optional("count", faults).unwrap_or(1);
    let place = section.path_of("shape");
    let Some(shape) = section.take("shape") else {
        faults.add(&place, "the key is missing", "add it: members, accelerators and adjacency");
        return None;
    };
    let mut section = SectionReader::new(&place, shape, keys::SHAPE_KEYS, faults);
    let members = section.required("members", faults);
    let accelerators = section.required("accelerators", faults);
    let adjacency = section.required("adjacency", faults);
    let shape = GangShape { members: members?, accelerators: accelerators?, adjacency: adjacency? };
    Some(GuaranteeSettings { domain: domain?, shape, count })
}

/// A text that is not a digest may be a plain token, so the fault does not repeat it.
fn read_digests(section: &mut SectionReader, name: &str, faults: &mut FaultList) -> Vec<String> {
    let place = section.path_of(name);
    let mut digests = Vec::new();
    for (index, value) in
        reader::read_sequence(&place, section.take(name), faults).into_iter().enumerate()
    {
        match value {
            serde_norway::Value::String(digest) if token::is_digest(&digest) => {
                digests.push(digest);
            }
            _ => faults.add(
                &format!("{place}[{index}]"),
                "the entry is not a SHA-256 digest",
                "write 64 lower-case hexadecimal digits, as `printf %s TOKEN | sha256sum` prints",
            ),
        }
    }
    digests
}
