//! Reads the state of a failure domain for the start permission.

use std::sync::Arc;
use std::time::{Duration, Instant};

use lacewingrail_model::keys::CONFIG_TREE;
use lacewingrail_model::message::ConfigPayload;
use lacewingrail_model::store::Revision;
use serde::Deserialize;

use crate::context::ProcessContext;
use crate::permission::StartPermission;

/// Time between reads.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time of one read.
const READ_TIMEOUT: Duration = Duration::from_millis(400);

#[derive(Deserialize)]
struct StoredVersion {
    version: u64,
}

/// Reads until it is aborted. A read transfers the tree only if it changed since the one before.
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
                context.membership.note_store(sent, false);
                permission.record_read(sent, false);
                continue;
            }
        };
        context.membership.note_store(sent, true);
        let events = batch.events.into_iter().filter(|event| event.key == CONFIG_TREE);
        if let Some(text) = events.filter_map(|event| event.value).next_back()
            && !follow(&context, text).await
        {
            // An unreadable tree may say that the domain is out, so it is no evidence.
            permission.record_read(sent, false);
            continue;
        }
        revision = batch.revision;
        permission.record_read(sent, true);
    }
}

/// Puts a newer tree in force; returns whether the tree in force is at least as new.
async fn follow(context: &ProcessContext, text: String) -> bool {
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
