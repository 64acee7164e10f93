//! Renders the reference page of all settings keys.

use std::fmt::Write;

use lacewingrail_model::config::Policy;

use crate::keys::{self, KeySpec};
use crate::tree::value_form;

const PAGE_HEADER: &str = "# Settings reference

This page is generated from the program; `cargo test -p lacewingrail-settings` fails when it is out \
of date, and `LACEWINGRAIL_WRITE_REFERENCE=1 cargo test -p lacewingrail-settings --test reference` \
regenerates it. [settings.md](settings.md) explains how to work with the tree.

Durations carry a unit, such as `500ms`, `3s` or `5m`. Names use up to 63 of `a-z`, `0-9`, `-`, `_` \
and `.`, beginning with a letter or a digit. Unknown keys are rejected.
";

const POLICY_HEADER: &str = "
## Policy

A policy may be set at the top of the tree, in a region, in a failure domain, for a customer and for \
a service. A later level of this list replaces the values of the earlier ones. Every key is optional.

| key | value | default | meaning |
|---|---|---|---|
";

/// Renders `docs/settings-reference.md`.
pub fn render() -> String {
    let mut page = PAGE_HEADER.to_owned();
    render_keys(
        &mut page,
        "Tree",
        "Top level of the settings tree, stored under `config/tree`.",
        keys::TREE_KEYS,
    );
    render_keys(&mut page, "Region", "`regions.<region>`", keys::REGION_KEYS);
    render_keys(
        &mut page,
        "Failure domain",
        "`regions.<region>.domains.<domain>`",
        keys::DOMAIN_KEYS,
    );
    render_keys(
        &mut page,
        "Rack",
        "`regions.<region>.domains.<domain>.racks.<rack>`, one group or a list of groups",
        keys::RACK_KEYS,
    );
    render_keys(&mut page, "Customer", "`customers.<customer>`", keys::CUSTOMER_KEYS);
    render_keys(
        &mut page,
        "Guarantee",
        "`customers.<customer>.guarantees[]`",
        keys::GUARANTEE_KEYS,
    );
    render_keys(&mut page, "Shape", "`customers.<customer>.guarantees[].shape`", keys::SHAPE_KEYS);
    render_keys(&mut page, "Service", "`services.<service>`", keys::SERVICE_KEYS);
    render_keys(&mut page, "Access", "`access`", keys::ACCESS_KEYS);
    render_policy(&mut page);
    render_keys(
        &mut page,
        "Process",
        "Settings file of an entry or scheduler process.",
        keys::PROCESS_KEYS,
    );
    render_keys(
        &mut page,
        "Listen",
        "`listen` in the settings file of a process",
        keys::LISTEN_KEYS,
    );
    render_keys(
        &mut page,
        "Resources",
        "`resources` in the settings file of a process",
        keys::RESOURCE_KEYS,
    );
    page
}

fn render_keys(page: &mut String, title: &str, location: &str, keys: &[KeySpec]) {
    let _ = write!(
        page,
        "\n## {title}\n\n{location}\n\n| key | value | default | meaning |\n|---|---|---|---|\n"
    );
    for key in keys {
        let _ = writeln!(page, "| `{}` | {} | {} | {} |", key.name, key.kind, key.default, key.doc);
    }
}

fn render_policy(page: &mut String) {
    page.push_str(POLICY_HEADER);
    let defaults = serde_json::to_value(Policy::default()).unwrap_or_default();
    for field in Policy::DESCRIPTIONS {
        let default = match &defaults[field.name] {
            serde_json::Value::String(text) => text.clone(),
            value => value.to_string(),
        };
        let _ = writeln!(
            page,
            "| `{}` | {} | {} | {} |",
            field.name,
            value_form(field.kind),
            default,
            field.doc.trim()
        );
    }
}
