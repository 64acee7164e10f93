//! Names and descriptions of all settings keys.
//!
//! The reader rejects keys that are not listed here. `docs/settings-reference.md` is rendered
//! from the same tables, so that it always matches the keys that the reader accepts.

/// Description of one key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KeySpec {
    /// Name, as written in settings.
    pub name: &'static str,
    /// Form of the value, such as `a number above 0`.
    pub kind: &'static str,
    /// Default when the key is absent, or `required`.
    pub default: &'static str,
    /// What the key does, in one sentence.
    pub doc: &'static str,
}

const fn key(
    name: &'static str,
    kind: &'static str,
    default: &'static str,
    doc: &'static str,
) -> KeySpec {
    KeySpec { name, kind, default, doc }
}

/// Keys at the top level of the tree.
pub const TREE_KEYS: &[KeySpec] = &[
    key("policy", "a policy", "none", "Policy values at the global level."),
    key("regions", "regions by name", "none", "Regions with their failure domains."),
    key("customers", "customers by name", "none", "Customers with quotas and guarantees."),
    key("services", "services by name", "none", "Services that callers send requests to."),
    key("access", "an access section", "none", "Tokens of operators and of readers."),
];

/// Keys of a region.
pub const REGION_KEYS: &[KeySpec] = &[
    key("policy", "a policy", "none", "Policy values for the region."),
    key(
        "domains",
        "failure domains by name",
        "none",
        "Failure domains; names are unique in the tree.",
    ),
];

/// Keys of a failure domain.
pub const DOMAIN_KEYS: &[KeySpec] = &[
    key("policy", "a policy", "none", "Policy values for the failure domain."),
    key(
        "out",
        "true or false",
        "false",
        "Whether the domain is out of service, so that no task starts in it.",
    ),
    key(
        "racks",
        "racks by name",
        "none",
        "Racks of the healthy domain; each has one group of equal workers or a list of groups.",
    ),
];

/// Keys of a group of equal workers in a rack.
pub const RACK_KEYS: &[KeySpec] = &[
    key("workers", "a whole number from 1 to 1024", "required", "Number of workers."),
    key(
        "accelerators",
        "a whole number from 0 to 64",
        "required",
        "Number of accelerators of each worker; 0 for CPU-only workers.",
    ),
];

/// Keys of a customer.
pub const CUSTOMER_KEYS: &[KeySpec] = &[
    key("policy", "a policy", "none", "Policy values for the customer."),
    key("weight", "a number above 0", "1", "Fair-share weight in queues."),
    key(
        "precedence",
        "a whole number from 0",
        "100",
        "Order in which guarantees are satisfied when not all fit any more; lower goes first.",
    ),
    key(
        "quota",
        "a whole number from 0",
        "required",
        "Maximum number of accelerators in use across all failure domains.",
    ),
    key(
        "guarantees",
        "a list of guarantees",
        "none",
        "Shapes that are always available to the customer.",
    ),
    key(
        "tokens",
        "a list of SHA-256 digests",
        "none",
        "Digests of the tokens of the customer; never the tokens themselves.",
    ),
];

/// Keys of a guarantee.
pub const GUARANTEE_KEYS: &[KeySpec] = &[
    key("domain", "the name of a failure domain", "required", "Failure domain of the guarantee."),
    key("shape", "a shape", "required", "Shape that is guaranteed."),
    key("count", "a whole number from 1", "1", "Number of such shapes that can be held at once."),
];

/// Keys of a shape.
pub const SHAPE_KEYS: &[KeySpec] = &[
    key("members", "a whole number from 1 to 64", "required", "Number of members of the gang."),
    key(
        "accelerators",
        "a whole number from 1 to 8",
        "required",
        "Number of accelerators of each member, all on one worker.",
    ),
    key(
        "adjacency",
        "worker, rack or domain",
        "required",
        "Part of the topology that all members must share.",
    ),
];

/// Keys of a service.
pub const SERVICE_KEYS: &[KeySpec] =
    &[key("policy", "a policy", "none", "Policy values for the service.")];

/// Keys of the access section.
pub const ACCESS_KEYS: &[KeySpec] = &[
    key(
        "operators",
        "a list of SHA-256 digests",
        "none",
        "Digests of tokens that may read and change everything.",
    ),
    key("readers", "a list of SHA-256 digests", "none", "Digests of tokens that may only read."),
];

/// Keys of the settings file of a process.
pub const PROCESS_KEYS: &[KeySpec] = &[
    key("name", "a name", "required", "Name of the process; a random suffix makes it unique."),
    key(
        "system",
        "a name",
        "lacewingrail",
        "Name of the system; processes of different systems refuse each other's messages.",
    ),
    key("region", "the name of a region", "required", "Region of the process."),
    key("domain", "the name of a failure domain", "required", "Failure domain of the process."),
    key("listen", "a listen section", "required", "Addresses on which the process listens."),
    key("peers", "a list of ip:port", "none", "Addresses of other processes to contact at start."),
    key(
        "store",
        "an address such as http://10.0.0.1:7100",
        "required",
        "Base address of the key-value service.",
    ),
    key(
        "instances",
        "an address such as http://10.0.0.1:7101",
        "required",
        "Base address of the instance list.",
    ),
    key(
        "otlp",
        "an address such as http://10.0.0.1:4318",
        "none",
        "Base address of the OTLP collector of trace spans.",
    ),
    key(
        "log_level",
        "off, error, warn, info, debug or trace",
        "info",
        "Minimum severity of log records that are written.",
    ),
    key(
        "resources",
        "a resources section",
        "none",
        "Resources of the process, which bound what its clients may use.",
    ),
];

/// Keys of the resources section of a process.
pub const RESOURCE_KEYS: &[KeySpec] = &[
    key("memory_mb", "a number of megabytes from 64", "1024", "Memory of the process."),
    key(
        "descriptors",
        "a number from 300",
        "the limit of the operating system",
        "Maximum number of open file descriptors.",
    ),
];

/// Keys of the listen section of a process.
pub const LISTEN_KEYS: &[KeySpec] = &[
    key(
        "callers",
        "ip:port",
        "none",
        "Address for requests of callers; required for an entry process.",
    ),
    key(
        "admin",
        "ip:port",
        "none",
        "Address of the administration API, metrics and readiness; required for a scheduler process.",
    ),
    key("peers", "ip:port", "required", "Address for messages of other processes."),
    key(
        "advertise",
        "ip:port",
        "the address peers",
        "Address at which other processes reach `peers`, where it differs, as with 0.0.0.0.",
    ),
];
