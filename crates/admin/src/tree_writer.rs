//! Writes of the settings tree.
//!
//! Each write is one compare-and-swap on the revision that was read. After an unclear answer the
//! value is read again: its mark tells whether the write took effect.

use std::time::Duration;

use lacewingrail_model::ConfigVersion;
use lacewingrail_model::keys::CONFIG_TREE;
use lacewingrail_model::message::ConfigPayload;
use lacewingrail_model::store::{Revision, StoreError};
use lacewingrail_model::timer::TimerService;
use lacewingrail_settings::{StoredTree, parse, set_domain_out};

use crate::SharedState;
use crate::error::RouteError;

/// Attempts that one change makes.
const MAX_ATTEMPTS: u32 = 8;
/// Wait after an unclear answer or a lost race, which doubles with each attempt.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Holds the tree as it is in the store.
pub(crate) struct CurrentTree {
    /// Tree; nothing before the first.
    pub(crate) tree: Option<StoredTree>,
    revision: Revision,
}

impl CurrentTree {
    pub(crate) fn version(&self) -> ConfigVersion {
        self.tree.as_ref().map_or(0, |tree| tree.version)
    }
}

enum WriteOutcome {
    Written,
    /// Another write came first.
    Conflict,
}

/// Reads the tree from the store.
pub(crate) async fn read(state: &SharedState) -> Result<CurrentTree, RouteError> {
    let Some(entry) = state.context.store().get(CONFIG_TREE).await? else {
        return Ok(CurrentTree { tree: None, revision: 0 });
    };
    let tree = match StoredTree::decode(&entry.value) {
        Ok(tree) => tree,
        Err(errors) => {
            log::error!("the stored settings tree is damaged and may be replaced: {errors}");
            // Versions must not go back, so a repair continues from the version in force.
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

/// Replaces the whole tree if its version is `if_version`.
///
/// `first_digest` is the token of a caller that is known to no tree yet; it may write the first tree
/// if that tree names the token as an operator's.
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
    let operators = check_operators(text)?;
    if bootstrap_digest.is_some_and(|digest| !operators.iter().any(|known| known == digest)) {
        return Err(RouteError::unauthorized());
    }
    let mark = state.context.issue_mark();
    let tree = match &current.tree {
        Some(tree) => tree.next(text, author, mark)?,
        None => StoredTree::first(text, author, mark)?,
    };
    match write(state, &tree, current.revision).await? {
        WriteOutcome::Written => Ok(tree.version),
        WriteOutcome::Conflict => Err(RouteError::conflict(read(state).await?.version())),
    }
}

/// Checks a tree and returns its operators; one without any would lock everyone out.
///
/// An empty text is a valid tree, so this also refuses a body that was lost on its way.
pub(crate) fn check_operators(text: &str) -> Result<Vec<String>, RouteError> {
    let operators = parse(text, CONFIG_TREE)?.operators;
    if operators.is_empty() {
        return Err(RouteError::unprocessable(
            "the tree names no operator, so nobody could change it again",
            "add the digest of an operator's token under access.operators",
        ));
    }
    Ok(operators)
}

/// Sets whether a failure domain is out; the change is made again on a tree that changed meanwhile.
///
/// Returns the version that holds the state and whether a write was needed.
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
        let next = tree.next(&text, author, state.context.issue_mark())?;
        match write(state, &next, current.revision).await? {
            WriteOutcome::Written => return Ok((next.version, true)),
            WriteOutcome::Conflict => back_off(attempt).await,
        }
    }
    Err(RouteError::conflict(read(state).await?.version()))
}

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
        // A repeated write expects the same revision and so cannot take effect twice.
        let Ok(found) = read(state).await else { continue };
        match found.tree {
            Some(found) if found.mark == tree.mark => {
                return Ok(publish(state, tree, value).await);
            }
            // The next version has another mark: the other write came first.
            Some(found) if found.version == tree.version => return Ok(WriteOutcome::Conflict),
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

async fn back_off(attempt: u32) {
    TimerService::new().wait(RETRY_DELAY * (1 << attempt.min(4))).await;
}
