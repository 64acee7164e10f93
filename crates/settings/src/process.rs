//! The settings file of one process.
//!
//! It contains what a process needs before it can reach the key-value service. All other settings are in
//! the settings tree.

use std::net::SocketAddr;
use std::path::Path;

use lacewingrail_model::{DomainName, ProcessResources, RegionName};
use serde::Deserialize;

use crate::error::SettingsErrors;
use crate::keys;
use crate::reader::{self, ErrorList, SectionReader};

/// Minimum severity of log records that are written.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// No record is written.
    Off,
    /// Only errors are written.
    Error,
    /// Only errors and warnings are written.
    Warn,
    /// Errors, warnings and normal events are written.
    #[default]
    Info,
    /// Details for debugging are also written.
    Debug,
    /// All records are written.
    Trace,
}

impl LogLevel {
    /// Returns the name as written in settings, which `log::LevelFilter` also parses.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Off => "off",
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }
}

/// Addresses on which a process listens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListenSettings {
    /// Address for HTTP requests of callers; only an entry process needs it.
    pub callers: Option<SocketAddr>,
    /// Address of the administration API, metrics and readiness over HTTP; a scheduler process needs
    /// it.
    pub admin: Option<SocketAddr>,
    /// Address for messages of other processes over h2.
    pub peers: SocketAddr,
    /// Address at which other processes reach `peers`; `None` if it is the same.
    pub advertise: Option<SocketAddr>,
}

/// Least memory of a process in MB, about twice what it uses without clients.
const MIN_MEMORY_MB: u64 = 64;
/// Fewest descriptors of a process: those that it opens itself, and some for clients.
const MIN_DESCRIPTORS: u64 = 300;

/// Name of the system if the settings file does not set one.
pub const DEFAULT_SYSTEM: &str = "lacewingrail";

/// Settings of one process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProcessSettings {
    /// File that the settings were read from, for error messages.
    pub file: String,
    /// Configured name of the process, without the suffix that
    /// [`generate_instance_id`](lacewingrail_model::write_id::generate_instance_id) appends.
    pub name: String,
    /// Name of the system; processes of different systems refuse each other's messages.
    pub system: String,
    /// Region that the process runs in.
    pub region: RegionName,
    /// Failure domain that the process runs in.
    pub domain: DomainName,
    /// Addresses on which the process listens.
    pub listen: ListenSettings,
    /// Addresses of other processes to contact at start; may be empty.
    pub peers: Vec<SocketAddr>,
    /// Base address of the key-value service, without a trailing slash.
    pub store: String,
    /// Base address of the instance list, without a trailing slash.
    pub instances: String,
    /// Base address of the OTLP collector; without it, spans are written to the log.
    pub otlp: Option<String>,
    /// Minimum severity of log records that are written.
    pub log_level: LogLevel,
    /// Resources of the process, which bound what its clients may use.
    pub resources: ProcessResources,
}

impl ProcessSettings {
    /// Reads and parses a settings file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read, or else every error in it.
    pub fn load(path: &Path) -> Result<Self, SettingsErrors> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| {
            SettingsErrors::for_source(
                &file,
                format!("the file cannot be read ({error})"),
                "check its path and its permissions",
            )
        })?;
        Self::parse(&text, &file)
    }

    /// Parses the text of a settings file; `file` is its name in errors.
    ///
    /// # Errors
    /// Returns every error in the text.
    pub fn parse(text: &str, file: &str) -> Result<Self, SettingsErrors> {
        let value = reader::read_text(text, file)?;
        let mut errors = ErrorList::new(file);
        let settings = read_process(value, &mut errors);
        match settings {
            Some(settings) => errors.finish(settings),
            None => errors.finish(()).and_then(|()| {
                Err(SettingsErrors::for_source(
                    file,
                    "the settings are incomplete",
                    "add the missing keys",
                ))
            }),
        }
    }

    /// Returns the address for callers, which an entry process needs.
    ///
    /// # Errors
    /// Returns an error if the address is missing.
    pub fn callers(&self) -> Result<SocketAddr, SettingsErrors> {
        self.listen
            .callers
            .ok_or_else(|| self.missing_address("listen.callers", "an entry process"))
    }

    /// Returns the address of the administration API, which a scheduler process needs.
    ///
    /// # Errors
    /// Returns an error if the address is missing.
    pub fn admin(&self) -> Result<SocketAddr, SettingsErrors> {
        self.listen.admin.ok_or_else(|| self.missing_address("listen.admin", "a scheduler process"))
    }

    fn missing_address(&self, path: &str, role: &str) -> SettingsErrors {
        let mut errors = ErrorList::new(&self.file);
        errors.add(path, format!("{role} needs this address"), "add it as ip:port");
        errors.into_errors()
    }
}

fn read_process(value: serde_norway::Value, errors: &mut ErrorList) -> Option<ProcessSettings> {
    let mut section = SectionReader::new("", value, keys::PROCESS_KEYS, errors);
    let name = read_name(&mut section, "name", errors);
    let system = section.optional("system", errors).unwrap_or_else(|| DEFAULT_SYSTEM.to_owned());
    let region = read_name(&mut section, "region", errors);
    let domain = read_name(&mut section, "domain", errors);
    let listen = read_listen(&mut section, errors);
    let peers = reader::read_sequence("peers", section.remove("peers"), errors)
        .into_iter()
        .enumerate()
        .filter_map(|(index, value)| {
            reader::read_value(&format!("peers[{index}]"), value, "an address as ip:port", errors)
        })
        .collect();
    let store = section.required::<String>("store", errors);
    let instances = section.required::<String>("instances", errors);
    let otlp = section.optional::<String>("otlp", errors);
    for (path, address) in [("store", &store), ("instances", &instances), ("otlp", &otlp)] {
        let Some(address) = address else { continue };
        if address.strip_prefix("http://").is_none_or(str::is_empty) {
            errors.add(
                path,
                format!("\"{address}\" is not an HTTP address"),
                "write it as http://host:port",
            );
        }
    }
    let log_level = section.optional("log_level", errors).unwrap_or_default();
    let resources = read_resources(&mut section, errors);
    Some(ProcessSettings {
        file: errors.file().to_owned(),
        name: name?,
        system,
        region: region?,
        domain: domain?,
        listen: listen?,
        peers,
        store: strip_trailing_slashes(store?),
        instances: strip_trailing_slashes(instances?),
        otlp: otlp.map(strip_trailing_slashes),
        log_level,
        resources,
    })
}

fn read_listen(section: &mut SectionReader, errors: &mut ErrorList) -> Option<ListenSettings> {
    let Some(value) = section.remove("listen") else {
        errors.add("listen", "the key is missing", "add it with the address \"peers\"");
        return None;
    };
    let mut section = SectionReader::new("listen", value, keys::LISTEN_KEYS, errors);
    let callers = section.optional("callers", errors);
    let admin = section.optional("admin", errors);
    let peers = section.required("peers", errors);
    let advertise = section.optional("advertise", errors);
    Some(ListenSettings { callers, admin, peers: peers?, advertise })
}

fn read_resources(section: &mut SectionReader, errors: &mut ErrorList) -> ProcessResources {
    let mut resources = ProcessResources::default();
    let Some(value) = section.remove("resources") else {
        return resources;
    };
    let mut section = SectionReader::new("resources", value, keys::RESOURCE_KEYS, errors);
    if let Some(megabytes) = section.optional::<u64>("memory_mb", errors) {
        check_minimum(&section.path_of("memory_mb"), megabytes, MIN_MEMORY_MB, errors);
        resources.memory_bytes = megabytes.saturating_mul(1 << 20);
    }
    if let Some(descriptors) = section.optional::<u64>("descriptors", errors) {
        check_minimum(&section.path_of("descriptors"), descriptors, MIN_DESCRIPTORS, errors);
        resources.descriptors = descriptors.min(resources.descriptors);
    }
    resources
}

fn check_minimum(path: &str, value: u64, minimum: u64, errors: &mut ErrorList) {
    if value < minimum {
        errors.add(path, format!("{value} is too low"), format!("write at least {minimum}"));
    }
}

fn read_name(section: &mut SectionReader, key: &str, errors: &mut ErrorList) -> Option<String> {
    let name: String = section.required(key, errors)?;
    reader::check_name(&section.path_of(key), &name, errors);
    Some(name)
}

fn strip_trailing_slashes(address: String) -> String {
    address.trim_end_matches('/').to_owned()
}
