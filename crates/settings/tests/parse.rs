//! Parsing and validation of the settings tree.

use lacewingrail_settings::{SettingsErrors, parse};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const TREE: &str = "
regions:
  north:
    domains:
      a:
        racks:
          r1: { workers: 2, accelerators: 8 }
customers:
  bank:
    quota: 16
    guarantees:
      - { domain: a, shape: { members: 2, accelerators: 8, adjacency: rack } }
";

fn paths_and_reasons(text: &str) -> Vec<(String, String)> {
    let Err(SettingsErrors(errors)) = parse(text, "tree.yaml") else { return Vec::new() };
    errors
        .into_iter()
        .map(|error| {
            assert!(!error.reason.is_empty() && !error.mend.is_empty(), "{error} is incomplete");
            assert_eq!(error.file, "tree.yaml");
            (error.path, error.reason)
        })
        .collect()
}

fn error_paths(text: &str) -> Vec<String> {
    paths_and_reasons(text).into_iter().map(|(path, _)| path).collect()
}

/// Guards against parsing that stops at the first error.
#[test]
fn all_errors_are_reported() {
    let text = "
policy: { rate_limits: 5, default_deadline: 30, placement: best, retry_budget: 2, claim_shards: 0 }
regions:
  north:
    domains:
      a: { out: maybe, racks: { r1: { workers: 4000000000, accelerators: 8 } } }
customers:
  bank: { weight: 0, guarantees: [{ domain: nowhere, shape: { members: 2 } }], tokens: [plain] }
";
    let found = error_paths(text);
    let expected = [
        "policy.rate_limits",
        "policy.default_deadline",
        "policy.placement",
        "policy.retry_budget",
        "policy.claim_shards",
        "regions.north.domains.a.out",
        "regions.north.domains.a.racks.r1.workers",
        "customers.bank.weight",
        "customers.bank.quota",
        "customers.bank.guarantees[0].shape.accelerators",
        "customers.bank.guarantees[0].shape.adjacency",
        "customers.bank.tokens[0]",
    ];
    for path in expected {
        assert!(found.iter().any(|found| found == path), "{path} is missing in {found:?}");
    }
}

/// Guards against accepting durations without a unit or deadlines that overflow.
#[test]
fn durations_need_units_and_bounds() {
    for value in ["30", "1.5", "30 parsecs", "0s", "400days"] {
        assert_eq!(
            error_paths(&format!("policy: {{ max_deadline: {value} }}")),
            ["policy.max_deadline"]
        );
    }
    assert!(error_paths("policy: { max_deadline: 20s }").is_empty());
    assert_eq!(error_paths("policy: { preemption_grace: 4s }"), ["policy.preemption_grace"]);
}

/// Guards against accepting deadlines that are valid at each level but contradict each other when
/// merged.
#[test]
fn merged_deadlines_are_checked() {
    let text =
        "policy: { max_deadline: 20s }\nservices: { desk: { policy: { default_deadline: 30s } } }";
    assert_eq!(error_paths(text), ["services.desk.policy.default_deadline"]);
}

/// Guards against accepting guarantees that name an unknown domain, exceed the quota or do not fit.
#[test]
fn impossible_guarantees_are_rejected() {
    assert_eq!(error_paths(TREE), Vec::<String>::new());
    let cases = [
        ("domain: a,", "domain: b,", "customers.bank.guarantees[0].domain"),
        ("quota: 16", "quota: 15", "customers.bank.quota"),
        ("members: 2", "members: 65", "customers.bank.guarantees[0].shape.members"),
        (
            "accelerators: 8, adjacency",
            "accelerators: 9, adjacency",
            "customers.bank.guarantees[0].shape.accelerators",
        ),
        ("adjacency: rack", "adjacency: worker", "customers.bank.guarantees[0]"),
        ("workers: 2", "workers: 1", "customers.bank.guarantees[0]"),
        ("adjacency: rack }", "adjacency: rack }, count: 4000000000", "customers.bank.quota"),
        ("adjacency: rack }", "adjacency: rack }, count: 0", "customers.bank.guarantees[0].count"),
    ];
    for (from, to, path) in cases {
        let mut text = TREE.replace(from, to);
        assert_ne!(text, TREE, "{from} is not in the tree");
        if path.ends_with(']') {
            text = text.replace("quota: 16", "quota: 4294967295");
        }
        let found = error_paths(&text);
        assert!(found.iter().any(|found| found == path), "{to}: {found:?}");
    }
}

/// Guards against a plain token in an error message, and against a token with two roles.
#[test]
fn tokens_are_digests_with_one_role() {
    let errors =
        parse("access: { operators: [s3cret-token] }", "tree.yaml").expect_err("plain token");
    assert!(!errors.to_string().contains("s3cret"), "the token is repeated: {errors}");
    let digest = lacewingrail_settings::token_digest("t");
    let text = format!("access: {{ operators: [\"{digest}\"], readers: [\"{digest}\"] }}");
    assert_eq!(error_paths(&text), ["access.readers[0]"]);
}

/// Guards against accepting duplicate keys, domains of the same name or invalid names.
#[test]
fn names_are_unique_and_valid() {
    assert_eq!(error_paths("policy: {}\npolicy: {}"), [""]);
    let duplicate = "regions: { n: { domains: { a: {} } }, s: { domains: { a: {} } } }";
    assert_eq!(error_paths(duplicate), ["regions.s.domains.a"]);
    assert_eq!(error_paths("services: { \"a/b\": {} }"), ["services.a/b"]);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against panics on arbitrary text.
    #[test]
    fn arbitrary_text_does_not_panic(text in "\\PC{0,200}") {
        let _ = parse(&text, "tree.yaml");
        let _ = lacewingrail_settings::ProcessSettings::parse(&text, "process.yaml");
        let _ = lacewingrail_settings::set_domain_out(&text, "a", true);
    }

    /// Guards against panics on unusual values in an otherwise valid tree.
    #[test]
    fn unusual_values_do_not_panic(
        index in 0_usize..7,
        value in prop::sample::select(vec![
            "~", "[]", "{}", "-1", "4294967295", "18446744073709551616", ".nan", ".inf", "!x y", "'é'",
            "[[]]", "1e400", "2020-01-01", "? a",
        ]),
    ) {
        let words = ["r1", "2", "8", "16", "a", "rack", "bank"];
        let text = TREE.replace(&format!(" {}", words[index]), &format!(" {value}"));
        let _ = parse(&text, "tree.yaml");
    }
}
