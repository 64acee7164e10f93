//! The table of known peers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use lacewingrail_model::instance::{InstanceEntry, InstanceRole};
use lacewingrail_model::message::{Heartbeat, KnownScheduler};
use lacewingrail_model::{ConfigVersion, DomainName, Epoch, InstanceId};
use rand::seq::IteratorRandom;
use serde::Serialize;

/// Time without a heartbeat after which a peer counts as silent.
///
/// Each process calls two random peers of its domain a second. Among the 33 of a domain at the target
/// size two given processes meet every 8 s on average, and 99.6% of them within this time.
const SILENT_AFTER: Duration = Duration::from_secs(45);
/// Time without a heartbeat after which a peer is forgotten unless it is listed.
const FORGET_AFTER: Duration = Duration::from_secs(120);
/// Most peers kept, so that a faulty list cannot fill the memory.
const MAX_PEERS: usize = 4096;

/// Holds what is known of each peer, by address.
#[derive(Debug)]
pub struct PeerTable {
    own: String,
    fixed: BTreeSet<String>,
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
    heard: Option<Instant>,
    added: Instant,
    leaving: bool,
    /// Whether the newest call to it failed and no heartbeat has come since.
    unreachable: bool,
}

/// Describes a peer to operators.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PeerStatus {
    /// Address, as `ip:port`.
    pub address: String,
    /// Id of the process; empty before its first heartbeat.
    pub instance: InstanceId,
    /// Failure domain; empty before its first heartbeat unless listed.
    pub domain: DomainName,
    /// Role, if known.
    pub role: Option<InstanceRole>,
    /// Version of its settings tree.
    pub config_version: ConfigVersion,
    /// Seconds since its newest heartbeat, if any.
    pub silent_s: Option<f64>,
    /// Whether it was heard within the last 45 s and the newest call to it did not fail.
    pub alive: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
}

impl PeerTable {
    /// Creates a table with the addresses for the first contact.
    pub fn new(own: &str, fixed: &[String]) -> Self {
        let mut table = Self {
            own: own.to_owned(),
            fixed: fixed.iter().cloned().collect(),
            listed: BTreeSet::new(),
            peers: BTreeMap::new(),
            schedulers: BTreeMap::new(),
        };
        for address in fixed {
            table.add(address, "", None);
        }
        table
    }

    /// Takes over the platform's instance list; peers that left it are forgotten once silent.
    pub fn take_list(&mut self, entries: &[InstanceEntry]) {
        let roles = [InstanceRole::Entry, InstanceRole::Scheduler];
        let entries = entries
            .iter()
            .filter(|entry| roles.contains(&entry.role) && !entry.peer_address.is_empty());
        self.listed.clear();
        for entry in entries {
            self.listed.insert(entry.peer_address.clone());
            self.add(&entry.peer_address, &entry.domain, Some(entry.role));
        }
    }

    /// Records a heartbeat.
    pub fn learn(&mut self, heartbeat: &Heartbeat, now: Instant) {
        self.add(&heartbeat.address, &heartbeat.domain, heartbeat.role);
        if let Some(record) = self.peers.get_mut(&heartbeat.address) {
            record.instance.clone_from(&heartbeat.from);
            record.config_version = heartbeat.config_version;
            record.heard = Some(now);
            record.leaving = heartbeat.leaving;
            record.unreachable = false;
        }
        for (domain, seen) in &heartbeat.schedulers {
            self.merge(domain, seen);
        }
    }

    /// Records that a call to a peer failed.
    pub fn note_failure(&mut self, address: &str) {
        if let Some(record) = self.peers.get_mut(address) {
            record.unreachable = true;
        }
    }

    /// Selects random peers of a failure domain, of one role or any.
    pub fn pick(&self, domain: &str, role: Option<InstanceRole>, count: usize) -> Vec<String> {
        let matches = |record: &PeerRecord| {
            (record.domain == domain || record.domain.is_empty())
                && (role.is_none() || record.role.is_none() || record.role == role)
        };
        let candidates = self.peers.iter().filter(|(_, record)| matches(record));
        candidates.map(|(address, _)| address.clone()).sample(&mut rand::rng(), count)
    }

    /// Returns the addresses of all peers of a failure domain that are not known to be silent.
    pub fn reachable(&self, domain: &str, now: Instant) -> Vec<String> {
        let reachable = |record: &PeerRecord| {
            let since = record.heard.unwrap_or(record.added);
            record.domain == domain && now.duration_since(since) < SILENT_AFTER
        };
        let reachable = self.peers.iter().filter(|(_, record)| reachable(record));
        reachable.map(|(address, _)| address.clone()).collect()
    }

    /// Returns the ids of the scheduler processes of a failure domain that were heard lately.
    pub fn live_schedulers(&self, domain: &str, now: Instant) -> Vec<InstanceId> {
        let live = |record: &PeerRecord| {
            record.domain == domain
                && record.role == Some(InstanceRole::Scheduler)
                && !record.leaving
                && !record.unreachable
                && record.heard.is_some_and(|heard| now.duration_since(heard) < SILENT_AFTER)
        };
        let live = self.peers.values().filter(|record| live(record));
        live.map(|record| record.instance.clone()).collect()
    }

    /// Forgets peers that are silent and neither listed nor configured.
    pub fn prune(&mut self, now: Instant) {
        let (fixed, listed) = (&self.fixed, &self.listed);
        self.peers.retain(|address, record| {
            let since = record.heard.unwrap_or(record.added);
            fixed.contains(address)
                || listed.contains(address)
                || now.duration_since(since) < FORGET_AFTER
        });
    }

    /// Returns the known active schedulers.
    pub fn schedulers(&self) -> &BTreeMap<DomainName, KnownScheduler> {
        &self.schedulers
    }

    /// Records the own process as an active scheduler.
    pub fn set_own(
        &mut self,
        domain: &DomainName,
        epoch: Epoch,
        address: String,
        free_accelerators: u32,
    ) {
        let known = self.schedulers.get(domain);
        let update = known.filter(|seen| seen.epoch == epoch).map_or(1, |seen| seen.update + 1);
        let seen = KnownScheduler { epoch, address, free_accelerators, update };
        if known.is_none_or(|known| known.epoch <= epoch) {
            self.schedulers.insert(domain.clone(), seen);
        }
    }

    /// Removes the own process as the active scheduler of a failure domain.
    pub fn clear_own(&mut self, domain: &DomainName) {
        if self.schedulers.get(domain).is_some_and(|seen| seen.address == self.own) {
            self.schedulers.remove(domain);
        }
    }

    /// Describes all peers.
    pub fn status(&self, now: Instant) -> Vec<PeerStatus> {
        let describe = |(address, record): (&String, &PeerRecord)| {
            let silent = record.heard.map(|heard| now.duration_since(heard));
            PeerStatus {
                address: address.clone(),
                instance: record.instance.clone(),
                domain: record.domain.clone(),
                role: record.role,
                config_version: record.config_version,
                silent_s: silent.map(|silent| silent.as_secs_f64()),
                alive: !record.unreachable && silent.is_some_and(|silent| silent < SILENT_AFTER),
                leaving: record.leaving,
            }
        };
        self.peers.iter().map(describe).collect()
    }

    fn add(&mut self, address: &str, domain: &str, role: Option<InstanceRole>) {
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
            heard: None,
            added: Instant::now(),
            leaving: false,
            unreachable: false,
        });
        if !domain.is_empty() {
            domain.clone_into(&mut record.domain);
        }
        record.role = role.or(record.role);
    }

    fn merge(&mut self, domain: &DomainName, seen: &KnownScheduler) {
        let newer = self
            .schedulers
            .get(domain)
            .is_none_or(|known| (seen.epoch, seen.update) > (known.epoch, known.update));
        // A process that restarted under the address of its former self must not believe an old
        // heartbeat that names it the active scheduler.
        if newer && seen.address != self.own {
            self.schedulers.insert(domain.clone(), seen.clone());
        }
    }
}
