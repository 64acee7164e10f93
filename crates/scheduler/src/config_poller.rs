//! Polls the settings tree in the store, which shows whether a failure domain is taken out.

use std::sync::Arc;
use std::time::{Duration, Instant};

use lacewingrail_model::keys::CONFIG_TREE;
use lacewingrail_model::message::ConfigPayload;
use lacewingrail_model::store::Revision;
use serde::Deserialize;

use crate::context::ProcessContext;
use crate::permission::StartPermission;

/// Interval between reads.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

#[derive(Deserialize)]
struct StoredVersion {
    version: u64,
}

/// Polls until the task is aborted. A read transfers the tree only if it changed since the last
/// one.
pub async fn run(context: Arc<ProcessContext>, permission: Arc<StartPermission>) {
    let mut ticks = context.timer.subscribe(READ_INTERVAL);
    let mut revision: Revision = 0;
    loop {
        ticks.tick().await;
        let sent = Instant::now();
        let read = context.store.watch(CONFIG_TREE, revision, Duration::ZERO);
        let batch = match tokio::time::timeout(READ_TIMEOUT, read).await {
            Ok(Ok(batch)) => batch,
            Ok(Err(_)) | Err(_) => {
                context.membership.record_store_call(sent, false);
                permission.record_read(sent, false);
                continue;
            }
        };
        context.membership.record_store_call(sent, true);
        let events = batch.events.into_iter().filter(|event| event.key == CONFIG_TREE);
        if let Some(text) = events.filter_map(|event| event.value).next_back()
            && !apply_tree(&context, text).await
        {
            // A malformed tree may say that the domain is out, so this read permits no start.
            permission.record_read(sent, false);
            continue;
        }
        revision = batch.revision;
        permission.record_read(sent, true);
    }
}

/// Applies a newer tree; returns whether the current tree is at least as new as the stored one.
async fn apply_tree(context: &ProcessContext, text: String) -> bool {
    let version = match serde_json::from_str::<StoredVersion>(&text) {
        Ok(stored) => stored.version,
        Err(error) => {
            log::error!("the stored settings tree is malformed ({error}); write it again");
            return false;
        }
    };
    if version > context.membership.current().version {
        context.membership.publish(ConfigPayload { version, text }).await;
    }
    context.membership.current().version >= version
}
