//! Reads policies, one value at a time.

use lacewingrail_model::config::{Policy, PolicyOverlay};
use serde_norway::{Mapping, Value};

use crate::reader::{self, FaultList, SectionReader};

/// Longest duration in seconds; far longer ones would overflow deadlines.
const MAX_DURATION_SECONDS: u64 = 86_400;
/// Longest grace of a preemption in milliseconds, from the bound on urgent starts.
const MAX_GRACE_MILLIS: u128 = 3_000;
/// Most shards, from the four digits of their keys.
const MAX_CLAIM_SHARDS: u32 = 1_024;

/// Returns how settings write a Rust type of the policy.
pub(crate) fn kind_of(rust_type: &str) -> &'static str {
    match rust_type {
        "bool" => "true or false",
        "u32" | "u64" => "a whole number from 0",
        "f64" => "a number from 0",
        "SettingDuration" => "a duration with a unit, such as 500ms or 3s",
        "DomainOutAction" => "finish, move or stop",
        "RoutingChoice" => "adaptive, round-robin or least-connections",
        "PlacementChoice" => "shape, count or fifo",
        _ => "a value",
    }
}

/// Takes the policy of a section.
pub(crate) fn read(section: &mut SectionReader, faults: &mut FaultList) -> PolicyOverlay {
    let path = section.path_of("policy");
    let entries = match section.take("policy") {
        None | Some(Value::Null) => return PolicyOverlay::default(),
        Some(Value::Mapping(entries)) => entries,
        Some(_) => {
            faults.add(
                &path,
                "a section with keys is expected",
                "write \"key: value\" lines below it",
            );
            return PolicyOverlay::default();
        }
    };
    let mut accepted = Mapping::new();
    for (key, value) in entries {
        let name = key.as_str().unwrap_or("?").to_owned();
        let place = reader::join(&path, &name);
        let Some(field) = Policy::DESCRIPTIONS.iter().find(|field| field.name == name) else {
            let known = Policy::FIELDS.join(", ");
            faults.add(&place, "the key is unknown", format!("use one of: {known}"));
            continue;
        };
        let single = Mapping::from_iter([(key.clone(), value.clone())]);
        let overlay: Option<PolicyOverlay> = if value.is_null() {
            reader::read_leaf(&place, value.clone(), kind_of(field.kind), faults)
        } else {
            reader::read_leaf(&place, Value::Mapping(single), kind_of(field.kind), faults)
        };
        if overlay.is_some_and(|overlay| check_ranges(&place, &overlay, faults)) {
            accepted.insert(key, value);
        }
    }
    serde_norway::from_value(Value::Mapping(accepted)).unwrap_or_default()
}

/// Checks the single value that an overlay holds and returns whether it is in range.
fn check_ranges(path: &str, overlay: &PolicyOverlay, faults: &mut FaultList) -> bool {
    let mut valid = true;
    let mut refuse = |fails: bool, mend: &str| {
        if fails {
            valid = false;
            faults.add(path, "the value is out of range", mend);
        }
    };
    for duration in [overlay.default_deadline, overlay.max_deadline].into_iter().flatten() {
        let seconds = duration.as_secs();
        refuse(
            duration.is_zero() || seconds > MAX_DURATION_SECONDS,
            "write a duration above 0s and up to 1day",
        );
    }
    if let Some(grace) = overlay.preemption_grace {
        refuse(grace.as_millis() > MAX_GRACE_MILLIS, "write a duration up to 3s");
    }
    if let Some(rate) = overlay.rate_limit {
        refuse(
            !rate.is_finite() || rate < 0.0,
            "write requests a second from 0, where 0 is no limit",
        );
    }
    if let Some(share) = overlay.retry_budget {
        refuse(!(0.0..=1.0).contains(&share), "write a share from 0 to 1, such as 0.1");
    }
    refuse(overlay.max_body_bytes == Some(0), "write a number of bytes from 1");
    refuse(overlay.rate_burst == Some(0), "write a number of requests from 1");
    refuse(overlay.eject_after == Some(0), "write a number of failures from 1");
    if let Some(shards) = overlay.claim_shards {
        refuse(!(1..=MAX_CLAIM_SHARDS).contains(&shards), "write a whole number from 1 to 1024");
    }
    valid
}
