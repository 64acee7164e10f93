//! In-memory context of a scheduler process, and calls to its API.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use axum::Router;
use axum::body::Body;
use axum::http::Request;
use lacewingrail_admin::{AdminContext, VetoOutcome, router};
use lacewingrail_clients::MemoryStore;
use lacewingrail_model::admin::{DomainAnswer, DomainQuery, DomainStatus, ProcessStatus};
use lacewingrail_model::config::ConfigView;
use lacewingrail_model::keys::CONFIG_TREE;
use lacewingrail_model::message::ConfigPayload;
use lacewingrail_model::store::KeyValueService;
use lacewingrail_model::write_id::{WriteId, WriteIdGenerator};
use lacewingrail_model::{ConfigVersion, DomainName, InstanceId};
use lacewingrail_settings::{StoredTree, token_digest};
use serde_json::Value;
use tower::ServiceExt;

pub const OPERATOR_TOKEN: &str = "operator-token";
pub const READER_TOKEN: &str = "reader-token";
pub const BANK_TOKEN: &str = "bank-token";
pub const SHOP_TOKEN: &str = "shop-token";

/// Context with an in-memory store and preset answers of the active schedulers.
pub struct TestContext {
    pub store: MemoryStore,
    /// Preset answers of the active scheduler of each failure domain; a query without an answer of
    /// its kind is refused.
    pub answers: Mutex<BTreeMap<DomainName, Vec<DomainAnswer>>>,
    /// Outcome of each veto; `None` if it does not return within the API's timeout.
    pub veto: Mutex<Option<VetoOutcome>>,
    /// Number of queries sent to active schedulers.
    pub query_count: AtomicUsize,
    payload: Mutex<Option<ConfigPayload>>,
    config: Mutex<Arc<ConfigView>>,
    write_id_generator: WriteIdGenerator,
}

pub struct ApiResponse {
    pub status: u16,
    pub text: String,
}

impl ApiResponse {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_else(|_| panic!("not JSON: {}", self.text))
    }
}

/// Returns a settings tree with two failure domains and two customers.
pub fn settings_tree() -> String {
    let digest = token_digest;
    format!(
        "\
# Kept comment.
regions:
  north:
    domains:
      a:
        racks: {{ r1: {{ workers: 4, accelerators: 8 }} }}
      b:
        racks: {{ r1: {{ workers: 2, accelerators: 8 }} }}
customers:
  bank:
    quota: 32
    guarantees:
      - {{ domain: b, shape: {{ members: 2, accelerators: 8, adjacency: rack }} }}
    tokens: [\"{}\"]
  shop:
    quota: 8
    tokens: [\"{}\"]
access:
  operators: [\"{}\"]
  readers: [\"{}\"]
",
        digest(BANK_TOKEN),
        digest(SHOP_TOKEN),
        digest(OPERATOR_TOKEN),
        digest(READER_TOKEN)
    )
}

impl TestContext {
    /// Creates a context without a settings tree.
    pub fn without_tree() -> Arc<Self> {
        Arc::new(Self {
            store: MemoryStore::new(),
            answers: Mutex::default(),
            veto: Mutex::new(Some(VetoOutcome::ConfirmedBy("scheduler-a".to_owned()))),
            query_count: AtomicUsize::new(0),
            payload: Mutex::default(),
            config: Mutex::default(),
            write_id_generator: WriteIdGenerator::new("test".to_owned()),
        })
    }

    /// Creates a context with [`settings_tree`] as version 1, both stored and in force.
    pub async fn with_tree() -> Arc<Self> {
        let context = Self::without_tree();
        let stored =
            StoredTree::first(&settings_tree(), "ada", "m#0".to_owned()).expect("valid tree");
        let text = stored.encode().expect("encode");
        context.store.put(CONFIG_TREE, text.clone(), 0, None).await.expect("put");
        context.publish(ConfigPayload { version: 1, text }).await;
        context
    }

    /// Adds a preset answer of a domain's active scheduler.
    pub fn add_answer(&self, domain: &str, answer: DomainAnswer) {
        self.answers.lock().expect("lock").entry(domain.to_owned()).or_default().push(answer);
    }

    /// Adds a status answer with a number of free accelerators.
    pub fn add_free_accelerators(&self, domain: &str, free: u32) {
        let status = DomainStatus { accelerators_free: free, ..DomainStatus::default() };
        self.add_answer(domain, DomainAnswer::Status(status));
    }

    /// Returns the settings tree in the store.
    pub async fn stored_tree(&self) -> StoredTree {
        let entry = self.store.get(CONFIG_TREE).await.expect("get").expect("tree");
        StoredTree::decode(&entry.value).expect("decode")
    }

    /// Sends a request to a new router, so that rate limits do not apply across calls.
    pub async fn call(
        self: &Arc<Self>,
        token: &str,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Body>,
    ) -> ApiResponse {
        call(&self.router(), token, method, path, headers, body).await
    }

    pub async fn get(self: &Arc<Self>, token: &str, path: &str) -> ApiResponse {
        self.call(token, "GET", path, &[], "").await
    }

    pub fn router(self: &Arc<Self>) -> Router {
        router(self.clone(), Router::new())
    }
}

/// Sends a request to a router. Rate limits apply across all calls of the same router.
pub async fn call(
    router: &Router,
    token: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Body>,
) -> ApiResponse {
    let mut request = Request::builder().method(method).uri(path);
    if !token.is_empty() {
        request = request.header("authorization", format!("Bearer {token}"));
    }
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(body.into()).expect("request");
    let response = router.clone().oneshot(request).await.expect("infallible");
    let status = response.status().as_u16();
    let body = axum::body::to_bytes(response.into_body(), 1 << 24).await.expect("body");
    ApiResponse { status, text: String::from_utf8(body.to_vec()).expect("UTF-8") }
}

#[async_trait]
impl AdminContext for TestContext {
    fn instance(&self) -> InstanceId {
        "test".to_owned()
    }

    fn config(&self) -> Arc<ConfigView> {
        self.config.lock().expect("lock").clone()
    }

    fn payload(&self) -> Option<ConfigPayload> {
        self.payload.lock().expect("lock").clone()
    }

    async fn publish(&self, payload: ConfigPayload) {
        let view = StoredTree::decode(&payload.text).and_then(|tree| tree.view()).expect("view");
        *self.config.lock().expect("lock") = Arc::new(view);
        *self.payload.lock().expect("lock") = Some(payload);
    }

    fn store(&self) -> Arc<dyn KeyValueService> {
        Arc::new(self.store.clone())
    }

    fn generate_write_id(&self) -> WriteId {
        self.write_id_generator.generate()
    }

    async fn query_domain(&self, domain: &DomainName, query: DomainQuery) -> DomainAnswer {
        let answers = self.answers.lock().expect("lock");
        let matches_query = |answer: &&DomainAnswer| {
            matches!(
                (&query, answer),
                (DomainQuery::Status, DomainAnswer::Status(_))
                    | (DomainQuery::Guarantees, DomainAnswer::Guarantees(_))
                    | (DomainQuery::Why { .. }, DomainAnswer::Why(_))
                    | (DomainQuery::DryRun { .. }, DomainAnswer::DryRun(_))
            )
        };
        self.query_count.fetch_add(1, Ordering::Relaxed);
        let found = answers.get(domain).and_then(|answers| answers.iter().find(matches_query));
        found.cloned().unwrap_or_else(|| DomainAnswer::Refused("no scheduler is active".to_owned()))
    }

    async fn veto(&self, _: &DomainName, _: ConfigVersion) -> VetoOutcome {
        let outcome = self.veto.lock().expect("lock").clone();
        match outcome {
            Some(outcome) => outcome,
            None => {
                tokio::time::sleep(Duration::from_secs(3_600)).await;
                VetoOutcome::PermissionExpired
            }
        }
    }

    fn processes(&self) -> Vec<ProcessStatus> {
        vec![ProcessStatus { instance: "<b>entry</b>".to_owned(), ..ProcessStatus::default() }]
    }

    fn not_ready_reason(&self) -> Option<String> {
        (self.config().version == 0).then(|| "no settings are known".to_owned())
    }
}
