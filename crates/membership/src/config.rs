//! The settings tree in force in this process.

use std::fmt;
use std::sync::{Arc, Mutex};

use lacewingrail_model::ConfigVersion;
use lacewingrail_model::config::ConfigView;
use lacewingrail_model::hash::digest;
use lacewingrail_model::invariant::{InvariantName, check};
use lacewingrail_model::message::ConfigPayload;
use tokio::sync::watch;

use crate::lock;

/// Decodes the stored text of a settings tree; an error names the cause and the remedy.
pub type TreeDecoder = Arc<dyn Fn(&str) -> Result<ConfigView, String> + Send + Sync>;

/// The settings tree in force in this process; its version never decreases.
pub struct ActiveConfig {
    decoder: TreeDecoder,
    payload: Mutex<Option<ConfigPayload>>,
    view: watch::Sender<Arc<ConfigView>>,
}

/// Outcome of [`ActiveConfig::apply`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApplyOutcome {
    /// The tree is newer than the one before and is now in force.
    Accepted,
    /// The version is not higher than the one in force; nothing changed.
    NotNewer,
    /// The tree could not be decoded or has the wrong version; the one in force stays.
    Refused(String),
}

impl fmt::Debug for ActiveConfig {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("ActiveConfig").field("version", &self.version()).finish()
    }
}

impl ActiveConfig {
    /// Starts with an empty tree of version 0.
    pub fn new(decoder: TreeDecoder) -> Self {
        let view = watch::Sender::new(Arc::new(ConfigView::default()));
        Self { decoder, payload: Mutex::new(None), view }
    }

    /// Decodes a settings tree and puts it in force if its version is higher than the current one.
    pub fn apply(&self, payload: ConfigPayload) -> ApplyOutcome {
        let hash = digest(payload.text.as_bytes());
        if payload.version <= self.version() {
            let current = self.current();
            let same = payload.version != current.version || hash == current.hash;
            check(InvariantName::ConfigMonotonic, same, || {
                format!("two settings trees have version {}", payload.version)
            });
            return ApplyOutcome::NotNewer;
        }
        let mut view = match (self.decoder)(&payload.text) {
            Ok(view) => view,
            Err(cause) => return ApplyOutcome::Refused(cause),
        };
        if view.version != payload.version {
            let cause = format!("version {} is labelled {}", view.version, payload.version);
            return ApplyOutcome::Refused(cause);
        }
        view.hash = hash;
        // Another thread may have put a tree in force since the first comparison, so the version is
        // compared again under the lock.
        let mut newest = lock(&self.payload);
        if payload.version <= self.version() {
            return ApplyOutcome::NotNewer;
        }
        let version = payload.version;
        *newest = Some(payload);
        self.view.send_replace(Arc::new(view));
        log::info!("settings version {version} is in force");
        ApplyOutcome::Accepted
    }

    /// Returns the version in force; 0 before the first tree.
    pub fn version(&self) -> ConfigVersion {
        self.view.borrow().version
    }

    /// Returns the tree in force; empty before the first.
    pub fn current(&self) -> Arc<ConfigView> {
        self.view.borrow().clone()
    }

    /// Returns the stored form of the tree in force, or `None` before the first.
    pub fn payload(&self) -> Option<ConfigPayload> {
        lock(&self.payload).clone()
    }

    /// Returns a receiver of the tree in force and of each later one.
    pub fn subscribe(&self) -> watch::Receiver<Arc<ConfigView>> {
        self.view.subscribe()
    }
}
