//! The settings tree that a process follows.

use std::fmt;
use std::sync::{Arc, Mutex};

use lacewingrail_model::ConfigVersion;
use lacewingrail_model::config::ConfigView;
use lacewingrail_model::hash::digest;
use lacewingrail_model::invariant::{InvariantName, check};
use lacewingrail_model::message::ConfigPayload;
use tokio::sync::watch;

use crate::lock;

/// Turns the stored text of a settings tree into its effective form; fails with fault and mend.
pub type TreeDecoder = Arc<dyn Fn(&str) -> Result<ConfigView, String> + Send + Sync>;

/// Keeps the newest settings tree and refuses older ones.
pub struct ConfigHolder {
    decoder: TreeDecoder,
    payload: Mutex<Option<ConfigPayload>>,
    view: watch::Sender<Arc<ConfigView>>,
}

/// States what became of an offered settings tree.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
    /// The tree is newer and now in force.
    Taken,
    /// The tree is the one in force or older.
    Known,
    /// The tree could not be read; the former one stays.
    Refused(String),
}

impl fmt::Debug for ConfigHolder {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("ConfigHolder").field("version", &self.version()).finish()
    }
}

impl ConfigHolder {
    /// Creates a holder without a tree.
    pub fn new(decoder: TreeDecoder) -> Self {
        let view = watch::Sender::new(Arc::new(ConfigView::default()));
        Self { decoder, payload: Mutex::new(None), view }
    }

    /// Offers a settings tree; only a higher version is taken.
    pub fn offer(&self, payload: ConfigPayload) -> OfferOutcome {
        let hash = digest(payload.text.as_bytes());
        if payload.version <= self.version() {
            let current = self.current();
            let same = payload.version != current.version || hash == current.hash;
            check(InvariantName::ConfigMonotonic, same, || {
                format!("two settings trees have version {}", payload.version)
            });
            return OfferOutcome::Known;
        }
        let mut view = match (self.decoder)(&payload.text) {
            Ok(view) => view,
            Err(cause) => return OfferOutcome::Refused(cause),
        };
        if view.version != payload.version {
            let cause = format!("version {} is labelled {}", view.version, payload.version);
            return OfferOutcome::Refused(cause);
        }
        view.hash = hash;
        // The lock orders racing offers; the version is compared again under it.
        let mut newest = lock(&self.payload);
        if payload.version <= self.version() {
            return OfferOutcome::Known;
        }
        let version = payload.version;
        *newest = Some(payload);
        self.view.send_replace(Arc::new(view));
        log::info!("settings version {version} is in force");
        OfferOutcome::Taken
    }

    /// Returns the version in force; 0 before the first.
    pub fn version(&self) -> ConfigVersion {
        self.view.borrow().version
    }

    /// Returns the tree in force.
    pub fn current(&self) -> Arc<ConfigView> {
        self.view.borrow().clone()
    }

    /// Returns the stored form of the tree in force.
    pub fn payload(&self) -> Option<ConfigPayload> {
        lock(&self.payload).clone()
    }

    /// Returns the tree in force and its changes.
    pub fn subscribe(&self) -> watch::Receiver<Arc<ConfigView>> {
        self.view.subscribe()
    }
}
