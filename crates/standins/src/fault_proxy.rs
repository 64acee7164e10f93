//! TCP proxy that injects network faults into many links.
//!
//! Each link names the group of its callers and the group of its target, so that one call can
//! partition two groups. A cut holds the bytes of one direction until it ends. Rules last until
//! they are changed; `silence` and `reset` affect existing connections and no later ones.

pub mod control;
pub mod link;
pub mod rules;

mod transfer;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use lacewingrail_model::hash::digest;

use crate::fault_proxy::link::{LinkReport, ProxyLink};
use crate::fault_proxy::rules::{LinkRule, LinkSelection, LinkSpec};

/// Links of one proxy; bounds its file descriptors and memory.
const MAX_LINKS: usize = 2_000;

/// Runs proxied links until the last clone is dropped.
#[derive(Clone, Debug)]
pub struct FaultProxy {
    links: Arc<Mutex<BTreeMap<String, ProxyLink>>>,
    seed: u64,
}

impl FaultProxy {
    /// Creates a proxy without links; the jitter of delays is drawn from the seed.
    pub fn new(seed: u64) -> Self {
        log::info!("fault proxy uses seed {seed}");
        Self { links: Arc::default(), seed }
    }

    /// Adds a link and returns its bound address.
    ///
    /// Fails if the name is in use, the proxy has too many links or the address cannot be bound.
    pub async fn add_link(&self, spec: LinkSpec) -> io::Result<SocketAddr> {
        let name = spec.name.clone();
        self.check_can_add(&name)?;
        let link = ProxyLink::spawn(spec, self.seed ^ digest(name.as_bytes())).await?;
        let address = link.address();
        self.check_can_add(&name)?;
        self.lock().insert(name, link);
        Ok(address)
    }

    /// Removes a link, which closes its listener and connections; returns whether it existed.
    pub fn remove_link(&self, name: &str) -> bool {
        self.lock().remove(name).is_some()
    }

    /// Returns reports of all links, ordered by name.
    pub fn links(&self) -> Vec<LinkReport> {
        self.lock().values().map(ProxyLink::report).collect()
    }

    /// Replaces the rule of the selected links and returns how many there are.
    pub fn set_rule(&self, selection: &LinkSelection, rule: LinkRule) -> usize {
        self.for_each(selection, |link| link.change_rule(|current| *current = rule))
    }

    /// Modifies the rules of the selected links in place and returns how many there are.
    pub fn change_rule<F>(&self, selection: &LinkSelection, change: F) -> usize
    where
        F: Fn(&mut LinkRule),
    {
        self.for_each(selection, |link| link.change_rule(&change))
    }

    /// Partitions two groups in both directions and returns the number of links affected.
    pub fn partition(&self, first: &str, second: &str) -> usize {
        self.partition_one_way(first, second);
        self.partition_one_way(second, first)
    }

    /// Holds the bytes from one group to another and returns the number of links affected.
    pub fn partition_one_way(&self, from: &str, to: &str) -> usize {
        self.set_path_cut(from, to, true)
    }

    /// Ends the partition of two groups in both directions and returns the number of links
    /// affected.
    pub fn heal_partition(&self, first: &str, second: &str) -> usize {
        self.set_path_cut(first, second, false);
        self.set_path_cut(second, first, false)
    }

    /// Permanently stops delivery on the existing connections of the selected links; new ones work.
    /// Returns the number of selected links.
    pub fn silence(&self, selection: &LinkSelection) -> usize {
        self.for_each(selection, ProxyLink::silence)
    }

    /// Resets the existing connections of the selected links and returns the number of these links.
    pub fn reset(&self, selection: &LinkSelection) -> usize {
        self.for_each(selection, ProxyLink::reset)
    }

    /// Sets whether the bytes from one group to another are held; returns the number of links
    /// affected.
    fn set_path_cut(&self, from: &str, to: &str, cut: bool) -> usize {
        let forward = LinkSelection::path(from, to);
        let backward = LinkSelection::path(to, from);
        if from == to {
            return self.change_rule(&forward, |rule| {
                (rule.cut_forward, rule.cut_backward) = (cut, cut);
            });
        }
        self.change_rule(&forward, |rule| rule.cut_forward = cut)
            + self.change_rule(&backward, |rule| rule.cut_backward = cut)
    }

    fn for_each<F>(&self, selection: &LinkSelection, apply: F) -> usize
    where
        F: Fn(&ProxyLink),
    {
        let links = self.lock();
        let selected = links.values().filter(|link| selection.matches(link.spec()));
        selected.inspect(|link| apply(link)).count()
    }

    fn check_can_add(&self, name: &str) -> io::Result<()> {
        let links = self.lock();
        if links.contains_key(name) {
            return Err(io::Error::other(format!("link {name} exists; choose another name")));
        }
        if links.len() >= MAX_LINKS {
            return Err(io::Error::other(format!("{MAX_LINKS} links exist; start another proxy")));
        }
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, ProxyLink>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
