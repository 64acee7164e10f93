//! The settings file of one process.
//!
//! It holds what a process must know before it can reach the key-value service. Everything else is in
//! the settings tree.

use std::net::SocketAddr;
use std::path::Path;

use lacewingrail_model::{DomainName, RegionName};
use serde::Deserialize;

use crate::error::SettingsErrors;
use crate::keys;
use crate::reader::{self, FaultList, SectionReader};

/// Names the least severe log lines that are written.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[serde(rename_all = "kebab-case")]
pub enum LogLevel {
    /// No lines.
    Off,
    /// Errors.
    Error,
    /// Errors and warnings.
    Warn,
    /// Also the course of events.
    #[default]
    Info,
    /// Also details for a search for faults.
    Debug,
    /// Everything.
    Trace,
}

impl LogLevel {
    /// Returns the name, which `log::LevelFilter` parses.
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

/// Holds the addresses on which a process listens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListenSettings {
    /// Requests of callers over HTTP.
    pub callers: Option<SocketAddr>,
    /// Administration API, metrics and readiness over HTTP.
    pub admin: Option<SocketAddr>,
    /// Messages of other processes over h2.
    pub peers: SocketAddr,
    /// Address at which other processes reach `peers`, where it differs.
    pub advertise: Option<SocketAddr>,
}

/// Name of the system where the settings of a process name none.
pub const DEFAULT_SYSTEM: &str = "lacewingrail";

/// Holds the settings of one process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProcessSettings {
    /// File that the settings come from.
    pub file: String,
    /// Name of the process; see [`lacewingrail_model::mark::generate_instance_id`].
    pub name: String,
    /// Name of the system; processes of different systems refuse each other's messages.
    pub system: String,
    /// Region.
    pub region: RegionName,
    /// Failure domain.
    pub domain: DomainName,
    /// Addresses on which the process listens.
    pub listen: ListenSettings,
    /// Addresses of other processes at start.
    pub peers: Vec<SocketAddr>,
    /// Base address of the key-value service.
    pub store: String,
    /// Base address of the instance list.
    pub instances: String,
    /// Base address of the collector of trace spans.
    pub otlp: Option<String>,
    /// Least severe log lines that are written.
    pub log_level: LogLevel,
}

impl ProcessSettings {
    /// Reads a settings file.
    ///
    /// # Errors
    /// Reports that the file cannot be read, or every fault in it.
    pub fn load(path: &Path) -> Result<Self, SettingsErrors> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| {
            SettingsErrors::whole(
                &file,
                format!("the file cannot be read ({error})"),
                "check its path and its permissions",
            )
        })?;
        Self::parse(&text, &file)
    }

    /// Reads the text of a settings file.
    ///
    /// # Errors
    /// Reports every fault of the text.
    pub fn parse(text: &str, file: &str) -> Result<Self, SettingsErrors> {
        let value = reader::read_text(text, file)?;
        let mut faults = FaultList::new(file);
        let settings = read_process(value, &mut faults);
        match settings {
            Some(settings) => faults.finish(settings),
            None => faults.finish(()).and_then(|()| {
                Err(SettingsErrors::whole(
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
    /// Reports that the address is missing.
    pub fn callers(&self) -> Result<SocketAddr, SettingsErrors> {
        self.listen.callers.ok_or_else(|| self.missing("listen.callers", "an entry process"))
    }

    /// Returns the address of the administration API, which a scheduler process needs.
    ///
    /// # Errors
    /// Reports that the address is missing.
    pub fn admin(&self) -> Result<SocketAddr, SettingsErrors> {
        self.listen.admin.ok_or_else(|| self.missing("listen.admin", "a scheduler process"))
    }

    fn missing(&self, path: &str, role: &str) -> SettingsErrors {
        let mut faults = FaultList::new(&self.file);
        faults.add(path, format!("{role} needs this address"), "add it as ip:port");
        faults.into_errors()
    }
}

fn read_process(value: serde_norway::Value, faults: &mut FaultList) -> Option<ProcessSettings> {
    let mut section = SectionReader::new("", value, keys::PROCESS_KEYS, faults);
    let name = read_name(&mut section, "name", faults);
    let system = section.optional("system", faults).unwrap_or_else(|| DEFAULT_SYSTEM.to_owned());
    let region = read_name(&mut section, "region", faults);
    let domain = read_name(&mut section, "domain", faults);
    let listen = read_listen(&mut section, faults);
    let peers = reader::read_sequence("peers", section.take("peers"), faults)
        .into_iter()
        .enumerate()
        .filter_map(|(index, value)| {
            reader::read_leaf(&format!("peers[{index}]"), value, "an address as ip:port", faults)
        })
        .collect();
    let store = section.required::<String>("store", faults);
    let instances = section.required::<String>("instances", faults);
    let otlp = section.optional::<String>("otlp", faults);
    for (path, address) in [("store", &store), ("instances", &instances), ("otlp", &otlp)] {
        let Some(address) = address else { continue };
        if address.strip_prefix("http://").is_none_or(str::is_empty) {
            faults.add(
                path,
                format!("\"{address}\" is not an HTTP address"),
                "write it as http://host:port",
            );
        }
    }
    let log_level = section.optional("log_level", faults).unwrap_or_default();
    Some(ProcessSettings {
        file: faults.file().to_owned(),
        name: name?,
        system,
        region: region?,
        domain: domain?,
        listen: listen?,
        peers,
        store: strip_slash(store?),
        instances: strip_slash(instances?),
        otlp: otlp.map(strip_slash),
        log_level,
    })
}

fn read_listen(section: &mut SectionReader, faults: &mut FaultList) -> Option<ListenSettings> {
    let Some(value) = section.take("listen") else {
        faults.add("listen", "the key is missing", "add it with the address \"peers\"");
        return None;
    };
    let mut section = SectionReader::new("listen", value, keys::LISTEN_KEYS, faults);
    let callers = section.optional("callers", faults);
    let admin = section.optional("admin", faults);
    let peers = section.required("peers", faults);
    let advertise = section.optional("advertise", faults);
    Some(ListenSettings { callers, admin, peers: peers?, advertise })
}

fn read_name(section: &mut SectionReader, key: &str, faults: &mut FaultList) -> Option<String> {
    let name: String = section.required(key, faults)?;
    reader::check_name(&section.path_of(key), &name, faults);
    Some(name)
}

fn strip_slash(address: String) -> String {
    address.trim_end_matches('/').to_owned()
}
