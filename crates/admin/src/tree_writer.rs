//! Writes of the settings tree.
//!
//! Each write is one compare-and-swap on the revision that was read. If its outcome is unknown, the
//! value is read again: the write id in it shows whether the write took effect.

use std::time::Duration;

use lacewingrail_model::ConfigVersion;
use lacewingrail_model::keys::CONFIG_TREE;
use lacewingrail_model::message::ConfigPayload;
use lacewingrail_model::store::{Revision, StoreError};
use lacewingrail_model::timer::TimerService;
use lacewingrail_settings::{StoredTree, parse, set_domain_out};

use crate::SharedState;
use crate::error::RouteError;

/// Maximum number of attempts of one write.
const MAX_ATTEMPTS: u32 = 8;
/// Initial delay before a retry after an unknown outcome or a conflict; doubles with each attempt,
/// up to 16 times the initial value.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Settings tree as read from the store, with the revision of its key.
pub(crate) struct CurrentTree {
    /// Stored tree; `None` before the first write.
    pub(crate) tree: Option<StoredTree>,
    revision: Revision,
}

impl CurrentTree {
    pub(crate) fn version(&self) -> ConfigVersion {
        self.tree.as_ref().map_or(0, |tree| tree.version)
    }
}

/// Outcome of a write of the tree whose effect is known.
enum WriteOutcome {
    Written,
    /// Another write took effect first.
    Conflict,
}

/// Reads the tree from the store. A malformed tree is returned as an empty one, so that an operator
/// can overwrite it.
pub(crate) async fn read(state: &SharedState) -> Result<CurrentTree, RouteError> {
    let Some(entry) = state.context.store().get(CONFIG_TREE).await? else {
        return Ok(CurrentTree { tree: None, revision: 0 });
    };
    let tree = match StoredTree::decode(&entry.value) {
        Ok(tree) => tree,
        Err(errors) => {
            log::error!("the stored settings tree is malformed and can be overwritten: {errors}");
            // Versions must not decrease, so a repair continues from the version in force.
            StoredTree {
                version: state.context.config().version,
                mark: String::new(),
                author: String::new(),
                written_at: 0,
                text: String::new(),
                since: std::collections::BTreeMap::new(),
            }
        }
    };
    Ok(CurrentTree { tree: Some(tree), revision: entry.revision })
}

/// Replaces the whole tree if its version is `if_version`; returns the new version.
///
/// `bootstrap_digest` is the token digest of a caller while no tree is in force. Such a caller may
/// write only the first tree, and only if that tree lists the digest as an operator's.
pub(crate) async fn replace(
    state: &SharedState,
    if_version: ConfigVersion,
    text: &str,
    author: &str,
    bootstrap_digest: Option<&str>,
) -> Result<ConfigVersion, RouteError> {
    let current = read(state).await?;
    if bootstrap_digest.is_some() && current.tree.is_some() {
        return Err(RouteError::unauthorized());
    }
    if current.version() != if_version {
        return Err(RouteError::conflict(current.version()));
    }
    let operators = require_operators(text)?;
    if bootstrap_digest.is_some_and(|digest| !operators.iter().any(|known| known == digest)) {
        return Err(RouteError::unauthorized());
    }
    let write_id = state.context.generate_write_id();
    let tree = match &current.tree {
        Some(tree) => tree.next(text, author, write_id)?,
        None => StoredTree::first(text, author, write_id)?,
    };
    match write(state, &tree, current.revision).await? {
        WriteOutcome::Written => Ok(tree.version),
        WriteOutcome::Conflict => Err(RouteError::conflict(read(state).await?.version())),
    }
}

/// Validates a tree and returns the token digests of its operators.
///
/// Rejects a tree without operators, which would lock out everyone. An empty text is a valid tree,
/// so this also rejects a request whose body was lost.
pub(crate) fn require_operators(text: &str) -> Result<Vec<String>, RouteError> {
    let operators = parse(text, CONFIG_TREE)?.operators;
    if operators.is_empty() {
        return Err(RouteError::unprocessable(
            "the tree names no operator, so nobody could change it again",
            "add the digest of an operator's token under access.operators",
        ));
    }
    Ok(operators)
}

/// Takes a failure domain out of service if `out` is true, or else returns it to service; reapplies
/// the change if the tree was changed concurrently.
///
/// Returns the version that contains the state and whether a write was needed.
pub(crate) async fn set_out_of_service(
    state: &SharedState,
    domain: &str,
    out: bool,
    author: &str,
) -> Result<(ConfigVersion, bool), RouteError> {
    for attempt in 0..MAX_ATTEMPTS {
        let current = read(state).await?;
        let Some(tree) = &current.tree else {
            return Err(RouteError::unprocessable(
                "there is no settings tree",
                "write one with `lacewingrail config init`",
            ));
        };
        let text = set_domain_out(&tree.text, domain, out)?;
        if text == tree.text {
            return Ok((tree.version, false));
        }
        let next = tree.next(&text, author, state.context.generate_write_id())?;
        match write(state, &next, current.revision).await? {
            WriteOutcome::Written => return Ok((next.version, true)),
            WriteOutcome::Conflict => back_off(attempt).await,
        }
    }
    Err(RouteError::conflict(read(state).await?.version()))
}

/// Writes a tree if the stored one has the expected revision, and publishes it.
///
/// Returns an error if the outcome of the write stays unknown.
async fn write(
    state: &SharedState,
    tree: &StoredTree,
    expected: Revision,
) -> Result<WriteOutcome, RouteError> {
    let value = tree.encode()?;
    let store = state.context.store();
    let mut unclear_cause = None;
    for attempt in 0..MAX_ATTEMPTS {
        match store.put(CONFIG_TREE, value.clone(), expected, None).await {
            Ok(_) => return Ok(publish(state, tree, value).await),
            Err(StoreError::Conflict { .. }) if unclear_cause.is_none() => {
                return Ok(WriteOutcome::Conflict);
            }
            Err(StoreError::Conflict { .. }) => {}
            Err(StoreError::Unclear(cause)) => unclear_cause = Some(cause),
            Err(StoreError::Unavailable(_)) if unclear_cause.is_some() => {}
            Err(error) => return Err(error.into()),
        }
        back_off(attempt).await;
        // A repeated write expects the same revision, so it cannot take effect twice.
        let Ok(found) = read(state).await else { continue };
        match found.tree {
            Some(found) if found.mark == tree.mark => {
                return Ok(publish(state, tree, value).await);
            }
            // The same version with another id means that a concurrent write took effect first.
            Some(found) if found.version == tree.version => return Ok(WriteOutcome::Conflict),
            // A newer tree no longer shows whether this write took effect.
            Some(found) if found.version > tree.version => break,
            _ => {}
        }
    }
    Err(RouteError::unknown_outcome(
        format!(
            "it is unknown whether the settings were written as version {} ({})",
            tree.version,
            unclear_cause.unwrap_or_default()
        ),
        "get the tree and compare it before the change is repeated",
    ))
}

async fn publish(state: &SharedState, tree: &StoredTree, value: String) -> WriteOutcome {
    log::info!("settings version {} was written by {}", tree.version, tree.author);
    state.context.publish(ConfigPayload { version: tree.version, text: value }).await;
    WriteOutcome::Written
}

/// Waits before a retry, with exponential backoff; the first attempt has number 0.
async fn back_off(attempt: u32) {
    TimerService::new().wait(INITIAL_RETRY_DELAY * (1 << attempt.min(4))).await;
}
