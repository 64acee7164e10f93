//! Settings of an entry process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lacewingrail_membership::config::TreeDecoder;
use lacewingrail_model::DomainName;
use lacewingrail_settings::{DEFAULT_SYSTEM, ProcessSettings, SettingsErrors, StoredTree};

use crate::claims::shard_writer::GROUP_PERIOD;

/// Holds what an entry process must know at its start.
#[derive(Clone)]
pub struct EntrySettings {
    /// Name; the process adds a suffix that is new after each restart.
    pub name: String,
    /// Name of the system; see [`ProcessSettings::system`].
    pub system: String,
    /// Failure domain.
    pub domain: DomainName,
    /// Address for callers; port 0 selects a free one.
    pub caller_address: SocketAddr,
    /// Address for messages of other processes; port 0 selects a free one.
    pub peer_address: SocketAddr,
    /// Address at which other processes reach the one above, where it differs.
    pub advertise: Option<SocketAddr>,
    /// Addresses of other processes at start, as `ip:port`.
    pub peers: Vec<String>,
    /// Time after the start of a shutdown for which new requests are served.
    pub drain_lag: Duration,
    /// Shortest time between writes of a shard of claims.
    pub claim_group: Duration,
    /// Reads the stored settings tree.
    pub decoder: TreeDecoder,
}

/// Time for which a leaving process serves new requests, because the load balancer lags.
pub const DRAIN_LAG: Duration = Duration::from_secs(3);

impl EntrySettings {
    /// Creates the settings of a process that listens on two addresses.
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
            advertise: None,
            peers: Vec::new(),
            drain_lag: DRAIN_LAG,
            claim_group: GROUP_PERIOD,
            decoder: tree_decoder(),
        }
    }

    /// Reads the settings of an entry process from a settings file.
    ///
    /// # Errors
    /// Reports that the address for callers is missing.
    pub fn from_process(settings: &ProcessSettings) -> Result<Self, SettingsErrors> {
        let (caller_address, peer_address) = (settings.callers()?, settings.listen.peers);
        let mut own = Self::new(&settings.name, &settings.domain, caller_address, peer_address);
        own.system.clone_from(&settings.system);
        own.advertise = settings.listen.advertise;
        own.peers = settings.peers.iter().map(SocketAddr::to_string).collect();
        Ok(own)
    }
}

/// Returns the function that reads the stored settings tree.
pub fn tree_decoder() -> TreeDecoder {
    Arc::new(|text| {
        let view = StoredTree::decode(text).and_then(|stored| stored.view());
        view.map_err(|errors| errors.to_string())
    })
}
