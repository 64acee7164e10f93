//! Reads and validates policy values one by one.

use lacewingrail_model::config::{Policy, PolicyOverlay};
use serde_norway::{Mapping, Value};

use crate::reader::{self, ErrorList, SectionReader};

/// Maximum deadline in seconds; a far longer one would overflow when added to the current time.
const MAX_DEADLINE_SECONDS: u64 = 86_400;
/// Maximum preemption grace in milliseconds, so that urgent work starts within its time limit.
const MAX_PREEMPTION_GRACE_MILLIS: u128 = 3_000;
/// Maximum number of claim shards; keys have four digits for the shard.
const MAX_CLAIM_SHARDS: u32 = 1_024;

/// Returns the form in which settings write a Rust type of the policy.
pub(crate) fn value_form(rust_type: &str) -> &'static str {
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

/// Reads the policy of a section; an invalid value adds an error and is omitted.
pub(crate) fn read(section: &mut SectionReader, errors: &mut ErrorList) -> PolicyOverlay {
    let path = section.path_of("policy");
    let entries = match section.remove("policy") {
        None | Some(Value::Null) => return PolicyOverlay::default(),
        Some(Value::Mapping(entries)) => entries,
        Some(_) => {
            errors.add(
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
        let key_path = reader::join(&path, &name);
        let Some(field) = Policy::DESCRIPTIONS.iter().find(|field| field.name == name) else {
            let known = Policy::FIELDS.join(", ");
            errors.add(&key_path, "the key is unknown", format!("use one of: {known}"));
            continue;
        };
        let single = Mapping::from_iter([(key.clone(), value.clone())]);
        let overlay: Option<PolicyOverlay> = if value.is_null() {
            reader::read_value(&key_path, value.clone(), value_form(field.kind), errors)
        } else {
            reader::read_value(&key_path, Value::Mapping(single), value_form(field.kind), errors)
        };
        if overlay.is_some_and(|overlay| check_ranges(&key_path, &overlay, errors)) {
            accepted.insert(key, value);
        }
    }
    serde_norway::from_value(Value::Mapping(accepted)).unwrap_or_default()
}

/// Checks the only value that is set in an overlay and returns whether it is in range.
fn check_ranges(path: &str, overlay: &PolicyOverlay, errors: &mut ErrorList) -> bool {
    let mut valid = true;
    let mut reject_if = |fails: bool, remedy: &str| {
        if fails {
            valid = false;
            errors.add(path, "the value is out of range", remedy);
        }
    };
    for duration in [overlay.default_deadline, overlay.max_deadline].into_iter().flatten() {
        let seconds = duration.as_secs();
        reject_if(
            duration.is_zero() || seconds > MAX_DEADLINE_SECONDS,
            "write a duration above 0s and up to 1day",
        );
    }
    if let Some(grace) = overlay.preemption_grace {
        reject_if(grace.as_millis() > MAX_PREEMPTION_GRACE_MILLIS, "write a duration up to 3s");
    }
    if let Some(rate) = overlay.rate_limit {
        reject_if(
            !rate.is_finite() || rate < 0.0,
            "write requests a second from 0, where 0 is no limit",
        );
    }
    if let Some(share) = overlay.retry_budget {
        reject_if(!(0.0..=1.0).contains(&share), "write a share from 0 to 1, such as 0.1");
    }
    reject_if(overlay.max_body_bytes == Some(0), "write a number of bytes from 1");
    reject_if(overlay.rate_burst == Some(0), "write a number of requests from 1");
    reject_if(overlay.eject_after == Some(0), "write a number of failures from 1");
    if let Some(shards) = overlay.claim_shards {
        reject_if(!(1..=MAX_CLAIM_SHARDS).contains(&shards), "write a whole number from 1 to 1024");
    }
    valid
}
