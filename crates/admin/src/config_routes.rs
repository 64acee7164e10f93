//! Route handlers of the settings tree.

use axum::Json;
use axum::body::Bytes;
use axum::extract::rejection::BytesRejection;
use axum::extract::{Path, State};
use axum::http::{HeaderMap, StatusCode};
use lacewingrail_model::ConfigVersion;
use lacewingrail_model::admin::{
    DomainAnswer, DomainEffects, DomainQuery, DryRunReport, TreeReport, WriteReport,
};
use lacewingrail_model::config::AccessRole;
use lacewingrail_model::keys::CONFIG_TREE;
use lacewingrail_settings::{EffectivePath, EffectiveValue, StoredTree, diff, effective};

use crate::SharedState;
use crate::access::{Caller, TreeCaller};
use crate::error::RouteError;
use crate::{domain_query, tree_writer};

/// Header with the version of the tree that the request replaces, 0 for the first tree.
const IF_VERSION_HEADER: &str = "if-version";
/// Header with the name of the person who requests a change.
const AUTHOR_HEADER: &str = "x-author";
/// Maximum length of an author name in characters; longer names are truncated.
const MAX_AUTHOR_CHARS: usize = 64;

/// Returns the stored tree, or the tree in force if the key-value service is unavailable.
pub(crate) async fn get_tree(
    State(state): State<SharedState>,
    caller: Caller,
) -> Result<Json<TreeReport>, RouteError> {
    caller.require_reader("reading the settings tree")?;
    let (tree, from_store) = match tree_writer::read(&state).await {
        Ok(current) => (current.tree, true),
        Err(error) => {
            let payload = state.context.payload().ok_or(error)?;
            (Some(StoredTree::decode(&payload.text)?), false)
        }
    };
    let tree = tree.ok_or_else(|| {
        RouteError::not_found("there is no settings tree", "write one with `config init`")
    })?;
    Ok(Json(TreeReport {
        version: tree.version,
        author: tree.author,
        written_at: tree.written_at,
        text: tree.text,
        from_store,
    }))
}

/// Replaces the tree if its version matches the `if-version` header.
pub(crate) async fn put_tree(
    State(state): State<SharedState>,
    caller: TreeCaller,
    headers: HeaderMap,
    body: Result<Bytes, BytesRejection>,
) -> Result<Json<WriteReport>, RouteError> {
    let bootstrap_digest = match &caller {
        TreeCaller::Authenticated(caller) => {
            caller.require_operator("changing settings")?;
            None
        }
        TreeCaller::Bootstrap(digest) => Some(digest.as_str()),
    };
    let if_version = read_if_version(&headers)?;
    let text = read_tree_text(body)?;
    let author = read_author(&headers);
    let version =
        tree_writer::replace(&state, if_version, &text, &author, bootstrap_digest).await?;
    Ok(Json(WriteReport { version }))
}

/// Validates a tree and reports its changes and effects without writing it.
pub(crate) async fn dry_run(
    State(state): State<SharedState>,
    caller: Caller,
    body: Result<Bytes, BytesRejection>,
) -> Result<Json<DryRunReport>, RouteError> {
    caller.require_reader("a dry run of settings")?;
    let text = read_tree_text(body)?;
    let current = tree_writer::read(&state).await?;
    tree_writer::require_operators(&text)?;
    // Builds the next tree only for its checks, which include the size limit.
    let mark = String::new();
    match &current.tree {
        Some(tree) => tree.next(&text, "dry run", mark)?,
        None => StoredTree::first(&text, "dry run", mark)?,
    };
    let before = current.tree.as_ref().map_or("", |tree| tree.text.as_str());
    let changes = diff::describe(before, &text)?;
    let query = DomainQuery::DryRun { text };
    let answers =
        domain_query::query_domains(&state, domain_query::all_domains(&state), &query).await;
    let domains = answers
        .into_iter()
        .map(|(domain, answer)| match answer {
            DomainAnswer::DryRun(effects) => DomainEffects { domain, effects, error: None },
            answer => {
                let error = Some(domain_query::describe_error(&domain, answer));
                DomainEffects { domain, effects: Vec::new(), error }
            }
        })
        .collect();
    Ok(Json(DryRunReport { against_version: current.version(), changes, domains }))
}

/// Returns the effective settings values at the global level.
pub(crate) async fn effective_global(
    state: State<SharedState>,
    caller: Caller,
) -> Result<Json<Vec<EffectiveValue>>, RouteError> {
    effective_path(state, caller, Path(String::new())).await
}

/// Returns the effective settings values for a path such as `domain/om-north-a/customer/bank`.
///
/// A customer may only read paths that name it.
pub(crate) async fn effective_path(
    State(state): State<SharedState>,
    caller: Caller,
    Path(path): Path<String>,
) -> Result<Json<Vec<EffectiveValue>>, RouteError> {
    let path =
        EffectivePath::parse(&path).map_err(|error| path_error(&error.to_string(), false))?;
    if let AccessRole::Customer { customer } = &caller.role
        && path.customer.as_ref() != Some(customer)
    {
        return Err(RouteError::forbidden("settings of others"));
    }
    let values = effective(&state.context.config(), &path)
        .map_err(|error| path_error(&error.to_string(), true))?;
    Ok(Json(values))
}

/// Converts an error message of the form `reason; remedy` to a 404 response if `not_found` is true,
/// or else to a 400 response.
fn path_error(message: &str, not_found: bool) -> RouteError {
    let (reason, remedy) = message.split_once("; ").unwrap_or((message, "check the path"));
    if not_found {
        RouteError::not_found(reason, remedy)
    } else {
        RouteError::bad_request(reason, remedy)
    }
}

fn read_if_version(headers: &HeaderMap) -> Result<ConfigVersion, RouteError> {
    let Some(value) = headers.get(IF_VERSION_HEADER) else {
        return Err(RouteError::new(
            StatusCode::PRECONDITION_REQUIRED,
            "the header if-version is missing",
            "send the version that the new tree is based on, 0 for the first tree",
        ));
    };
    value.to_str().ok().and_then(|text| text.trim().parse().ok()).ok_or_else(|| {
        RouteError::bad_request("the header if-version is not a version", "send a whole number")
    })
}

/// Reads the author of a change, which is informational and grants no access.
///
/// Characters other than ASCII letters, digits, spaces and `.-_@` are dropped. If no character is
/// left, the author is `operator`.
pub(crate) fn read_author(headers: &HeaderMap) -> String {
    let name = headers.get(AUTHOR_HEADER).and_then(|value| value.to_str().ok()).unwrap_or_default();
    let name: String = name
        .chars()
        .filter(|character| character.is_ascii_alphanumeric() || " .-_@".contains(*character))
        .take(MAX_AUTHOR_CHARS)
        .collect();
    if name.is_empty() { "operator".to_owned() } else { name }
}

/// Returns the request body, or an error if axum rejected it, usually for its size.
pub(crate) fn read_body(body: Result<Bytes, BytesRejection>) -> Result<Bytes, RouteError> {
    body.map_err(|rejection| {
        RouteError::new(
            rejection.status(),
            format!("the body cannot be read ({})", rejection.body_text()),
            "send a smaller body",
        )
    })
}

fn read_tree_text(body: Result<Bytes, BytesRejection>) -> Result<String, RouteError> {
    String::from_utf8(read_body(body)?.to_vec()).map_err(|_| {
        RouteError::bad_request(
            format!("the body for {CONFIG_TREE} is not UTF-8 text"),
            "send the tree as YAML in UTF-8",
        )
    })
}
