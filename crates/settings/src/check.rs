//! Validation of values that depend on each other: references, quotas, guarantees and tokens.

use std::collections::{BTreeMap, BTreeSet};

use lacewingrail_model::config::{Policy, PolicyOverlay};
use lacewingrail_model::shape::{GangShape, MAX_GANG_MEMBERS};
use lacewingrail_placement::admission;

use crate::capacity::MAX_MEMBER_ACCELERATORS;
use crate::reader::ErrorList;
use crate::tree::{CustomerSettings, DomainSettings, SettingsTree};

/// Validates a tree in which each value has already been validated by itself.
pub(crate) fn check_tree(tree: &SettingsTree, errors: &mut ErrorList) {
    check_domain_names(tree, errors);
    for (name, customer) in &tree.customers {
        check_customer(name, customer, tree, errors);
    }
    check_tokens(tree, errors);
    check_deadlines(tree, errors);
    // Errors in shapes or racks would cause misleading errors in the admission test.
    if errors.is_empty() {
        check_admission(tree, errors);
    }
}

fn check_domain_names(tree: &SettingsTree, errors: &mut ErrorList) {
    let mut regions: BTreeMap<&str, &str> = BTreeMap::new();
    for (region, settings) in &tree.regions {
        for domain in settings.domains.keys() {
            if let Some(first) = regions.insert(domain, region) {
                errors.add(
                    &format!("regions.{region}.domains.{domain}"),
                    format!("region {first} has a failure domain of the same name"),
                    "give each failure domain a name of its own",
                );
            }
        }
    }
}

fn check_customer(
    name: &str,
    customer: &CustomerSettings,
    tree: &SettingsTree,
    errors: &mut ErrorList,
) {
    let path = format!("customers.{name}");
    if !customer.weight.is_finite() || customer.weight <= 0.0 {
        errors.add(
            &format!("{path}.weight"),
            format!("the weight is {}", customer.weight),
            "write a number above 0",
        );
    }
    let mut guaranteed = 0_u64;
    let mut seen = BTreeSet::new();
    for (index, guarantee) in customer.guarantees.iter().enumerate() {
        let path = format!("{path}.guarantees[{index}]");
        if find_domain(tree, &guarantee.domain).is_none() {
            errors.add(
                &format!("{path}.domain"),
                format!("failure domain \"{}\" does not exist", guarantee.domain),
                "name a failure domain of this tree, or add it under its region",
            );
        }
        if guarantee.count == 0 {
            errors.add(
                &format!("{path}.count"),
                "the count is 0",
                "write 1 or more, or remove the guarantee",
            );
        }
        check_shape(&path, guarantee.shape, errors);
        if !seen.insert((guarantee.domain.as_str(), guarantee.shape)) {
            errors.add(
                &path,
                "the same shape is guaranteed twice in this domain",
                "write one entry with the sum of the counts",
            );
        }
        guaranteed = guaranteed
            .saturating_add(total(guarantee.shape).saturating_mul(u64::from(guarantee.count)));
    }
    if guaranteed > u64::from(customer.quota) {
        errors.add(
            &format!("{path}.quota"),
            format!(
                "the quota of {} is below the {guaranteed} guaranteed accelerators",
                customer.quota
            ),
            format!("raise the quota to {guaranteed} or reduce the guarantees"),
        );
    }
}

fn check_shape(path: &str, shape: GangShape, errors: &mut ErrorList) {
    if !(1..=MAX_GANG_MEMBERS).contains(&shape.members) {
        errors.add(
            &format!("{path}.shape.members"),
            format!("a gang cannot have {} members", shape.members),
            "write a whole number from 1 to 64",
        );
    }
    if !(1..=MAX_MEMBER_ACCELERATORS).contains(&shape.accelerators) {
        errors.add(
            &format!("{path}.shape.accelerators"),
            format!("a member cannot have {} accelerators", shape.accelerators),
            "write a whole number from 1 to 8",
        );
    }
}

/// Checks that no token has two roles, because its permissions would then be ambiguous.
fn check_tokens(tree: &SettingsTree, errors: &mut ErrorList) {
    let mut seen: BTreeMap<&str, String> = BTreeMap::new();
    let customers = tree.customers.iter().flat_map(|(name, customer)| {
        customer
            .tokens
            .iter()
            .enumerate()
            .map(move |(index, digest)| (digest, format!("customers.{name}.tokens[{index}]")))
    });
    let operators = tree
        .operators
        .iter()
        .enumerate()
        .map(|(index, digest)| (digest, format!("access.operators[{index}]")));
    let readers = tree
        .readers
        .iter()
        .enumerate()
        .map(|(index, digest)| (digest, format!("access.readers[{index}]")));
    for (digest, path) in operators.chain(readers).chain(customers) {
        if let Some(first) = seen.get(digest.as_str()) {
            errors.add(
                &path,
                format!("the same token is named at {first}"),
                "give each role and customer a token of its own",
            );
        } else {
            seen.insert(digest, path);
        }
    }
}

/// Checks that the default deadline never exceeds the maximum, for every combination of levels.
fn check_deadlines(tree: &SettingsTree, errors: &mut ErrorList) {
    let empty = PolicyOverlay::default();
    let mut bases = vec![("policy".to_owned(), [&tree.policy, &empty, &empty])];
    for (region, settings) in &tree.regions {
        bases.push((format!("regions.{region}.policy"), [&tree.policy, &settings.policy, &empty]));
        bases.extend(settings.domains.iter().map(|(name, domain)| {
            let path = format!("regions.{region}.domains.{name}.policy");
            (path, [&tree.policy, &settings.policy, &domain.policy])
        }));
    }
    let mut customers = vec![(None, &empty)];
    customers.extend(
        tree.customers
            .iter()
            .map(|(name, customer)| (Some(format!("customers.{name}.policy")), &customer.policy)),
    );
    let mut services = vec![(None, &empty)];
    services.extend(
        tree.services
            .iter()
            .map(|(name, policy)| (Some(format!("services.{name}.policy")), policy)),
    );
    let sets_deadline =
        |policy: &PolicyOverlay| policy.default_deadline.is_some() || policy.max_deadline.is_some();
    customers.retain(|(path, policy)| path.is_none() || sets_deadline(policy));
    services.retain(|(path, policy)| path.is_none() || sets_deadline(policy));
    let mut reported = BTreeSet::new();
    for (base_path, levels) in &bases {
        for (customer_path, customer) in &customers {
            for (service_path, service) in &services {
                let mut policy = Policy::default();
                levels.iter().for_each(|overlay| policy.apply(overlay));
                policy.apply(customer);
                policy.apply(service);
                if policy.default_deadline <= policy.max_deadline {
                    continue;
                }
                let path = service_path.as_ref().or(customer_path.as_ref()).unwrap_or(base_path);
                if reported.insert(path.clone()) {
                    errors.add(
                        &format!("{path}.default_deadline"),
                        format!(
                            "the deadline of {} is over max_deadline, {}",
                            policy.default_deadline, policy.max_deadline
                        ),
                        "lower default_deadline or raise max_deadline",
                    );
                }
            }
        }
    }
}

/// Checks that all guarantees of each domain fit on its healthy racks at the same time.
fn check_admission(tree: &SettingsTree, errors: &mut ErrorList) {
    for (name, domain) in tree.regions.values().flat_map(|region| &region.domains) {
        check_domain_admission(name, domain, tree, errors);
    }
}

fn check_domain_admission(
    name: &str,
    domain: &DomainSettings,
    tree: &SettingsTree,
    errors: &mut ErrorList,
) {
    let mut customers: Vec<_> = tree.customers.iter().collect();
    customers.sort_by_key(|(name, customer)| (customer.precedence, *name));
    let guarantees: Vec<_> = customers
        .into_iter()
        .flat_map(|(customer, settings)| {
            settings
                .guarantees
                .iter()
                .enumerate()
                .map(move |(index, guarantee)| (customer, index, guarantee))
        })
        .filter(|(_, _, guarantee)| guarantee.domain == name)
        .collect();
    let capacity: u64 =
        domain.racks.values().flatten().map(|&accelerators| u64::from(accelerators)).sum();
    let mut shapes = Vec::new();
    let mut needed = 0_u64;
    for &(customer, index, guarantee) in &guarantees {
        needed = needed
            .saturating_add(total(guarantee.shape).saturating_mul(u64::from(guarantee.count)));
        if needed > capacity {
            errors.add(
                &format!("customers.{customer}.guarantees[{index}]"),
                format!("the guarantees in failure domain {name} reach {needed} accelerators of {capacity} with {} of {}", guarantee.shape, guarantee.count),
                "reduce the count, use another failure domain or add racks",
            );
            return;
        }
        shapes.extend(std::iter::repeat_n(
            (customer, index, guarantee.shape),
            guarantee.count as usize,
        ));
    }
    let packed: Vec<GangShape> = shapes.iter().map(|&(_, _, shape)| shape).collect();
    let Err(failing) = admission::check(&domain.racks, &packed) else { return };
    let Some((customer, index, shape)) = shapes.get(failing) else { return };
    errors.add(
        &format!("customers.{customer}.guarantees[{index}]"),
        format!("the guarantees in failure domain {name} do not fit together: no place is left for {shape}"),
        "reduce the count, use a smaller or less adjacent shape, or add racks",
    );
}

fn find_domain<'a>(tree: &'a SettingsTree, name: &str) -> Option<&'a DomainSettings> {
    tree.regions.values().find_map(|region| region.domains.get(name))
}

/// Returns the accelerators of a shape in 64 bits, because unchecked values could overflow 32 bits.
fn total(shape: GangShape) -> u64 {
    u64::from(shape.members) * u64::from(shape.accelerators)
}
