//! The stored tree, its effective view, edits and effective values.

use assert_matches::assert_matches;
use lacewingrail_model::config::{AccessRole, ConfigView};
use lacewingrail_settings::effective::PathError;
use lacewingrail_settings::{
    EffectivePath, MAX_TREE_BYTES, StoredTree, effective, set_domain_out, token_digest,
};

const TREE: &str = "\
# Kept comment.
policy:
  default_deadline: 4s
regions:
  north:
    policy: { hedging: false }
    domains:
      a: # first
        # Second comment.
        racks:
          r1: { workers: 2, accelerators: 8 }
      b:
        out: false # in service
        policy: { default_deadline: 3s }
customers:
  bank:
    quota: 16
    policy: { default_deadline: 2s }
    guarantees:
      - { domain: a, shape: { members: 1, accelerators: 8, adjacency: worker } }
";

fn first() -> StoredTree {
    StoredTree::first(TREE, "ada", "m#1".to_owned()).expect("valid tree")
}

fn next(tree: &StoredTree, text: &str) -> StoredTree {
    tree.next(text, "ada", "m#2".to_owned()).expect("valid tree")
}

/// Guards against a guarantee whose first version changes because of an unrelated edit.
#[test]
fn guarantees_keep_their_first_version() {
    let second = next(&first(), &TREE.replace("quota: 16", "quota: 17"));
    let with_second_guarantee = format!(
        "{}      - {{ domain: a, shape: {{ members: 1, accelerators: 4, adjacency: worker }} }}\n",
        TREE.replace("quota: 16", "quota: 20")
    );
    let third = next(&second, &with_second_guarantee);
    let first_versions = |tree: &StoredTree| -> Vec<u64> {
        let view = tree.view().expect("view");
        view.customers["bank"].guarantees.iter().map(|guarantee| guarantee.since).collect()
    };
    assert_eq!(first_versions(&third), [1, 3]);
    assert_eq!(
        first_versions(&next(&third, TREE)),
        [1],
        "the version in which the guarantee first appeared stays"
    );
}

/// Guards against an unrelated edit that changes the version that last set `out` of a domain.
#[test]
fn unrelated_edits_keep_out_since() {
    let text = set_domain_out(TREE, "a", true).expect("edit");
    let second = next(&first(), &text);
    let third = next(&second, &text.replace("quota: 16", "quota: 18"));
    let view = third.view().expect("view");
    assert!(view.domains["a"].out);
    assert_eq!((view.domains["a"].out_since, view.domains["b"].out_since), (2, 1));
}

/// Guards against edits that lose comments or change another domain.
#[test]
fn edits_preserve_the_other_text() {
    let out = set_domain_out(TREE, "b", true).expect("edit");
    assert_eq!(out, TREE.replace("out: false # in service", "out: true # in service"));
    let added = set_domain_out(TREE, "a", true).expect("edit");
    assert_eq!(added, TREE.replace("# first\n", "# first\n        out: true\n"));
    assert_eq!(set_domain_out(TREE, "a", false).expect("edit"), TREE);
    set_domain_out(TREE, "c", true).expect_err("unknown domain");
}

/// Guards against edits that fail or change the wrong domain in flow style, with anchors or with
/// quoted keys.
#[test]
fn edits_work_on_other_layouts() {
    for text in [
        "regions: { n: { domains: { a: {}, b: {} } } }",
        "regions:\n  n:\n    domains:\n      a:\n      b:\n",
        "regions:\n  n:\n    domains:\n      a: &x\n        out: false\n      b: *x\n",
        "regions:\n  n:\n    domains:\n      \"a\":\n        out:   false\r\n      b: {}\r\n",
    ] {
        let edited = set_domain_out(text, "a", true).expect("edit");
        let tree = lacewingrail_settings::parse(&edited, "edited").expect("valid");
        let domains = &tree.regions["n"].domains;
        assert_eq!((domains["a"].out, domains["b"].out), (true, false), "{edited}");
    }
}

/// Guards against stored values that other processes cannot decode or that exceed the store's limit.
#[test]
fn stored_form_round_trips_within_its_limit() {
    let tree = first();
    assert_eq!(StoredTree::decode(&tree.encode().expect("encode")).expect("decode"), tree);
    StoredTree::decode("{}").expect_err("not a tree");
    let long = format!("{TREE}# {}\n", "x".repeat(MAX_TREE_BYTES));
    tree.next(&long, "ada", "m#3".to_owned()).expect_err("over the limit");
}

/// Guards against an origin other than the level that sets the value.
#[test]
fn effective_values_name_their_origin() {
    let view = first().view().expect("view");
    let origin = |path: &str, name: &str| {
        let path = EffectivePath::parse(path).expect("path");
        let values = effective(&view, &path).expect("known names");
        let value = values.into_iter().find(|value| value.name == name).expect("known value");
        (value.value, value.origin)
    };
    let customer = origin("domain/b/customer/bank", "default_deadline");
    assert_eq!(customer, ("2s".into(), "customer bank".to_owned()));
    assert_eq!(origin("domain/b", "default_deadline"), ("3s".into(), "domain b".to_owned()));
    assert_eq!(origin("domain/a", "default_deadline"), ("4s".into(), "global".to_owned()));
    assert_eq!(origin("domain/a", "hedging"), (false.into(), "region north".to_owned()));
    assert_eq!(origin("", "hedging"), (true.into(), "default".to_owned()));
    let unknown = EffectivePath::parse("domain/c").expect("path");
    assert_matches!(effective(&view, &unknown), Err(PathError::Unknown { level: "domain", .. }));
    for path in ["domain", "rack/r1", "domain/a/domain/b", "region/north/domain/a", "domain//"] {
        assert_matches!(EffectivePath::parse(path), Err(PathError::Malformed(_)), "{path}");
    }
}

/// Guards against example trees that are rejected or whose tokens have no role.
#[test]
fn examples_are_valid() {
    let view = |text: &str| -> ConfigView {
        let tree = StoredTree::first(text, "ada", "m#1".to_owned());
        tree.unwrap_or_else(|errors| panic!("{errors}")).view().expect("view")
    };
    for (text, region) in [
        (include_str!("../../../examples/om-north.yaml"), "om-north"),
        (include_str!("../../../examples/jawa.yaml"), "jawa"),
    ] {
        let view = view(text);
        let workers =
            view.domains.values().flat_map(|domain| domain.nominal_racks.values().flatten());
        assert_eq!(workers.count(), 50);
        assert_eq!((view.domains.len(), view.customers.len()), (4, 4));
        assert!(view.domains.values().all(|domain| domain.region == region));
        assert_eq!(view.tokens[&token_digest("dev-operator")], AccessRole::Operator);
    }
}
