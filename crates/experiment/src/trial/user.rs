//! Settings trees and workers of the two example users.

use std::str::FromStr;

use lacewingrail_model::config::ConfigView;
use lacewingrail_model::worker::WorkerSpec;
use lacewingrail_settings::StoredTree;
use serde_norway::Value;

use crate::trial::{TrialPlan, serialized_name};

const OM_NORTH_SETTINGS: &str = include_str!("../../../../examples/om-north.yaml");
const JAWA_SETTINGS: &str = include_str!("../../../../examples/jawa.yaml");
/// Quota in the example settings above which a customer may borrow the whole region in the trials.
///
/// With the example quotas, at a load of 95%, jobs would wait for quota more often than for
/// accelerators, which would hide the differences between the placement policies.
const LARGE_QUOTA_ACCELERATORS: u64 = 100;
/// Quota of the customers above that threshold: the accelerators of a region.
const REGION_QUOTA_ACCELERATORS: u64 = 400;

/// An example user, identified by its region.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UserName {
    /// Al Mahra, region `om-north`.
    OmNorth,
    /// Tanahku, region `jawa`.
    Jawa,
}

impl UserName {
    /// Returns the name of the user's region.
    pub fn region(self) -> &'static str {
        match self {
            Self::OmNorth => "om-north",
            Self::Jawa => "jawa",
        }
    }

    /// Returns the cores and the memory in megabytes of each worker.
    fn worker_size(self) -> (u32, u64) {
        match self {
            Self::OmNorth => (64, 128_000),
            Self::Jawa => (128, 512_000),
        }
    }
}

impl FromStr for UserName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "om-north" => Ok(Self::OmNorth),
            "jawa" => Ok(Self::Jawa),
            _ => Err(format!("unknown user {text:?}; expected om-north or jawa")),
        }
    }
}

/// Returns the settings tree of a trial: the user's example with the policies of the plan.
///
/// Fails if the example is invalid.
pub fn settings_tree(plan: &TrialPlan) -> Result<StoredTree, String> {
    let example = match plan.user {
        UserName::OmNorth => OM_NORTH_SETTINGS,
        UserName::Jawa => JAWA_SETTINGS,
    };
    let mut tree: Value = serde_norway::from_str(example).map_err(|error| error.to_string())?;
    tree["policy"]["placement"] = Value::String(serialized_name(&plan.placement));
    tree["policy"]["on_domain_out"] = Value::String(serialized_name(&plan.on_domain_out));
    if let Some(customers) = tree["customers"].as_mapping_mut() {
        for (_, customer) in customers.iter_mut() {
            if customer["quota"].as_u64().is_some_and(|quota| quota > LARGE_QUOTA_ACCELERATORS) {
                customer["quota"] = Value::from(REGION_QUOTA_ACCELERATORS);
            }
        }
    }
    let text = serde_norway::to_string(&tree).map_err(|error| error.to_string())?;
    StoredTree::first(&text, "experiment", "experiment#tree".to_owned())
        .map_err(|errors| errors.to_string())
}

/// Returns the specs of the workers that healthy failure domains have; their addresses are empty.
pub fn worker_specs(user: UserName, view: &ConfigView) -> Vec<WorkerSpec> {
    let (cores, memory_mb) = user.worker_size();
    let mut specs = Vec::new();
    for (domain, config) in &view.domains {
        let racks = config.nominal_racks.iter();
        let workers = racks.flat_map(|(rack, sizes)| sizes.iter().map(move |size| (rack, *size)));
        specs.extend(workers.enumerate().map(|(number, (rack, accelerators))| WorkerSpec {
            id: format!("{domain}-w{number:02}"),
            domain: domain.clone(),
            rack: rack.clone(),
            accelerators,
            cores,
            memory_mb,
            address: String::new(),
        }));
    }
    specs
}
