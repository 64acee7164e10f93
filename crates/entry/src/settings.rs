//! Settings of an entry process, derived from its settings file.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lacewingrail_membership::config::TreeDecoder;
use lacewingrail_model::{DomainName, ProcessResources};
use lacewingrail_settings::{DEFAULT_SYSTEM, ProcessSettings, SettingsErrors, StoredTree};

use crate::claims::shard_writer::GROUP_COMMIT_INTERVAL;

/// Settings of an entry process, fixed at its start.
#[derive(Clone)]
pub struct EntrySettings {
    /// Name of the instance; the process appends a suffix that is unique to each start.
    pub name: String,
    /// Name of the system that the process joins; see [`ProcessSettings::system`].
    pub system: String,
    /// Failure domain in which the process runs.
    pub domain: DomainName,
    /// Address on which callers are served; port 0 selects a free one.
    pub caller_address: SocketAddr,
    /// Address on which other processes are served; port 0 selects a free one.
    pub peer_address: SocketAddr,
    /// Address at which other processes reach `peer_address`, if it differs.
    pub advertised_peer_address: Option<SocketAddr>,
    /// Addresses of the peers to contact first, as `ip:port`; empty for none.
    pub peers: Vec<String>,
    /// Time for which new requests are still served after a shutdown starts.
    pub drain_delay: Duration,
    /// Minimum interval between writes of a claim shard; zero disables group commit.
    pub group_commit_interval: Duration,
    /// Decoder of the stored settings tree.
    pub decoder: TreeDecoder,
    /// Resources of the process, which bound what callers and peers may use.
    pub resources: ProcessResources,
}

/// Time for which a leaving process serves new requests until the load balancer has detected its
/// state.
pub const DRAIN_DELAY: Duration = Duration::from_secs(3);

impl EntrySettings {
    /// Creates settings with default values and without peers.
    pub fn new(
        name: &str,
        domain: &str,
        caller_address: SocketAddr,
        peer_address: SocketAddr,
    ) -> Self {
        Self {
            name: name.to_owned(),
            system: DEFAULT_SYSTEM.to_owned(),
            domain: domain.to_owned(),
            caller_address,
            peer_address,
            advertised_peer_address: None,
            peers: Vec::new(),
            drain_delay: DRAIN_DELAY,
            group_commit_interval: GROUP_COMMIT_INTERVAL,
            decoder: tree_decoder(),
            resources: ProcessResources::default(),
        }
    }

    /// Derives the settings of an entry process from its settings file.
    ///
    /// # Errors
    /// Reports a missing address for callers.
    pub fn from_process(settings: &ProcessSettings) -> Result<Self, SettingsErrors> {
        let (caller_address, peer_address) = (settings.callers()?, settings.listen.peers);
        let mut entry_settings =
            Self::new(&settings.name, &settings.domain, caller_address, peer_address);
        entry_settings.system.clone_from(&settings.system);
        entry_settings.advertised_peer_address = settings.listen.advertise;
        entry_settings.resources = settings.resources;
        entry_settings.peers = settings.peers.iter().map(SocketAddr::to_string).collect();
        Ok(entry_settings)
    }
}

/// Returns the function that decodes the stored settings tree.
pub fn tree_decoder() -> TreeDecoder {
    Arc::new(|text| {
        let view = StoredTree::decode(text).and_then(|stored| stored.view());
        view.map_err(|errors| errors.to_string())
    })
}
