//! Table of known peers with their liveness, and the active schedulers learned from heartbeats.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use lacewingrail_model::instance::{InstanceEntry, InstanceRole};
use lacewingrail_model::message::{Heartbeat, KnownScheduler};
use lacewingrail_model::{ConfigVersion, DomainName, Epoch, InstanceId};
use rand::seq::IteratorRandom;
use serde::Serialize;

/// Time without a heartbeat after which a peer counts as silent.
///
/// Each process calls two random peers of its domain per second. With the 33 processes of a domain at
/// the target size, a given pair exchanges heartbeats every 8 s on average, and 99.6% of pairs do so
/// within this time.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(45);
/// Time without a heartbeat after which a peer is removed unless it is listed or configured.
const PEER_RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of peers kept, so that a faulty instance list cannot exhaust memory.
const MAX_PEERS: usize = 4096;

/// Peers by address and the active schedulers, updated from heartbeats and the instance list.
#[derive(Debug)]
pub struct PeerTable {
    /// Address of this process, which is never added to the peers.
    own: String,
    /// Addresses from the settings of the process; never removed.
    configured: BTreeSet<String>,
    /// Addresses from the newest instance list.
    listed: BTreeSet<String>,
    peers: BTreeMap<String, PeerRecord>,
    schedulers: BTreeMap<DomainName, KnownScheduler>,
}

#[derive(Clone, Debug)]
struct PeerRecord {
    instance: InstanceId,
    domain: DomainName,
    role: Option<InstanceRole>,
    config_version: ConfigVersion,
    last_heartbeat: Option<Instant>,
    /// Time at which the peer was added; used in place of `last_heartbeat` until one arrives, to
    /// decide whether the peer is reachable or is removed.
    added_at: Instant,
    leaving: bool,
    /// Whether the newest call to the peer failed and no heartbeat has arrived since.
    unreachable: bool,
}

/// State of a peer as reported to operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PeerStatus {
    /// Address of the peer, as `ip:port`.
    pub address: String,
    /// Id of the process; empty before its first heartbeat.
    pub instance: InstanceId,
    /// Failure domain; empty before its first heartbeat unless listed.
    pub domain: DomainName,
    /// Role of the process; `None` before its first heartbeat unless listed.
    pub role: Option<InstanceRole>,
    /// Version of its settings tree in its newest heartbeat; 0 before the first.
    pub config_version: ConfigVersion,
    /// Seconds since its newest heartbeat; `None` before the first.
    pub silent_s: Option<f64>,
    /// Whether a heartbeat arrived within the last 45 s and no call to it has failed since.
    pub alive: bool,
    /// Whether its newest heartbeat said that it is shutting down.
    pub leaving: bool,
}

impl PeerTable {
    /// Creates a table that holds the configured peer addresses, which are never removed.
    pub fn new(own: &str, configured: &[String]) -> Self {
        let mut table = Self {
            own: own.to_owned(),
            configured: configured.iter().cloned().collect(),
            listed: BTreeSet::new(),
            peers: BTreeMap::new(),
            schedulers: BTreeMap::new(),
        };
        for address in configured {
            table.add_or_update(address, "", None);
        }
        table
    }

    /// Replaces the listed peers by those of the platform's instance list.
    ///
    /// A peer that is no longer listed stays until [`PeerTable::prune`] removes it.
    pub fn update_listed(&mut self, entries: &[InstanceEntry]) {
        let roles = [InstanceRole::Entry, InstanceRole::Scheduler];
        let entries = entries
            .iter()
            .filter(|entry| roles.contains(&entry.role) && !entry.peer_address.is_empty());
        self.listed.clear();
        for entry in entries {
            self.listed.insert(entry.peer_address.clone());
            self.add_or_update(&entry.peer_address, &entry.domain, Some(entry.role));
        }
    }

    /// Records a heartbeat received at `now` and merges the active schedulers that it names.
    pub fn record_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) {
        self.add_or_update(&heartbeat.address, &heartbeat.domain, heartbeat.role);
        if let Some(record) = self.peers.get_mut(&heartbeat.address) {
            record.instance.clone_from(&heartbeat.from);
            record.config_version = heartbeat.config_version;
            record.last_heartbeat = Some(now);
            record.leaving = heartbeat.leaving;
            record.unreachable = false;
        }
        for (domain, reported) in &heartbeat.schedulers {
            self.merge_scheduler(domain, reported);
        }
    }

    /// Marks a peer as unreachable until its next heartbeat.
    pub fn record_failure(&mut self, address: &str) {
        if let Some(record) = self.peers.get_mut(address) {
            record.unreachable = true;
        }
    }

    /// Returns the addresses of up to `count` random peers of a failure domain.
    ///
    /// Peers whose domain or role is not known yet match every domain or role.
    pub fn sample(&self, domain: &str, role: Option<InstanceRole>, count: usize) -> Vec<String> {
        let matches = |record: &PeerRecord| {
            (record.domain == domain || record.domain.is_empty())
                && (role.is_none() || record.role.is_none() || record.role == role)
        };
        let candidates = self.peers.iter().filter(|(_, record)| matches(record));
        candidates.map(|(address, _)| address.clone()).sample(&mut rand::rng(), count)
    }

    /// Returns the addresses of all peers of a failure domain that are not silent.
    ///
    /// A peer without a heartbeat counts as silent a full timeout after it was added.
    pub fn reachable(&self, domain: &str, now: Instant) -> Vec<String> {
        let reachable = |record: &PeerRecord| {
            let since = record.last_heartbeat.unwrap_or(record.added_at);
            record.domain == domain && now.duration_since(since) < SILENCE_TIMEOUT
        };
        let reachable = self.peers.iter().filter(|(_, record)| reachable(record));
        reachable.map(|(address, _)| address.clone()).collect()
    }

    /// Returns the ids of the scheduler processes of a failure domain that are alive and not leaving.
    pub fn live_schedulers(&self, domain: &str, now: Instant) -> Vec<InstanceId> {
        let live = |record: &PeerRecord| {
            record.domain == domain
                && record.role == Some(InstanceRole::Scheduler)
                && !record.leaving
                && !record.unreachable
                && record
                    .last_heartbeat
                    .is_some_and(|time| now.duration_since(time) < SILENCE_TIMEOUT)
        };
        let live = self.peers.values().filter(|record| live(record));
        live.map(|record| record.instance.clone()).collect()
    }

    /// Removes peers that sent no heartbeat for 120 s and are neither listed nor configured.
    pub fn prune(&mut self, now: Instant) {
        let (configured, listed) = (&self.configured, &self.listed);
        self.peers.retain(|address, record| {
            let since = record.last_heartbeat.unwrap_or(record.added_at);
            configured.contains(address)
                || listed.contains(address)
                || now.duration_since(since) < PEER_RETENTION
        });
    }

    /// Returns the newest known active scheduler of each failure domain.
    pub fn schedulers(&self) -> &BTreeMap<DomainName, KnownScheduler> {
        &self.schedulers
    }

    /// Records this process as the active scheduler of a failure domain.
    ///
    /// Ignored if a scheduler with a higher epoch is known.
    pub fn set_own_scheduler(
        &mut self,
        domain: &DomainName,
        epoch: Epoch,
        address: String,
        free_accelerators: u32,
    ) {
        let known = self.schedulers.get(domain);
        let update = known.filter(|known| known.epoch == epoch).map_or(1, |known| known.update + 1);
        let own = KnownScheduler { epoch, address, free_accelerators, update };
        if known.is_none_or(|known| known.epoch <= epoch) {
            self.schedulers.insert(domain.clone(), own);
        }
    }

    /// Removes the entry of a failure domain if it names this process.
    pub fn clear_own_scheduler(&mut self, domain: &DomainName) {
        if self.schedulers.get(domain).is_some_and(|known| known.address == self.own) {
            self.schedulers.remove(domain);
        }
    }

    /// Returns the state of all peers, in the order of their addresses.
    pub fn status(&self, now: Instant) -> Vec<PeerStatus> {
        let describe = |(address, record): (&String, &PeerRecord)| {
            let silent = record.last_heartbeat.map(|time| now.duration_since(time));
            PeerStatus {
                address: address.clone(),
                instance: record.instance.clone(),
                domain: record.domain.clone(),
                role: record.role,
                config_version: record.config_version,
                silent_s: silent.map(|silent| silent.as_secs_f64()),
                alive: !record.unreachable && silent.is_some_and(|silent| silent < SILENCE_TIMEOUT),
                leaving: record.leaving,
            }
        };
        self.peers.iter().map(describe).collect()
    }

    /// Adds a peer unless the table is full, or updates its domain and role where they are given.
    fn add_or_update(&mut self, address: &str, domain: &str, role: Option<InstanceRole>) {
        if address == self.own
            || (self.peers.len() >= MAX_PEERS && !self.peers.contains_key(address))
        {
            return;
        }
        let record = self.peers.entry(address.to_owned()).or_insert_with(|| PeerRecord {
            instance: InstanceId::new(),
            domain: DomainName::new(),
            role: None,
            config_version: 0,
            last_heartbeat: None,
            added_at: Instant::now(),
            leaving: false,
            unreachable: false,
        });
        if !domain.is_empty() {
            domain.clone_into(&mut record.domain);
        }
        record.role = role.or(record.role);
    }

    /// Replaces the known scheduler of a failure domain if the reported one is newer.
    fn merge_scheduler(&mut self, domain: &DomainName, reported: &KnownScheduler) {
        let newer = self
            .schedulers
            .get(domain)
            .is_none_or(|known| (reported.epoch, reported.update) > (known.epoch, known.update));
        // After a restart at the same address, heartbeats may still name this process as the active
        // scheduler from before the restart; they must be ignored.
        if newer && reported.address != self.own {
            self.schedulers.insert(domain.clone(), reported.clone());
        }
    }
}
