//! One process of the system with stand-ins, which a crowd of clients calls.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use lacewingrail_model::keys::CONFIG_TREE;
use lacewingrail_model::store::KeyValueService;
use lacewingrail_model::write_id::WriteIdGenerator;
use lacewingrail_settings::StoredTree;
use lacewingrail_standins::{
    BackendServer, BackendSettings, ClientCrowd, CrowdScript, InstanceChange, InstanceListServer,
    ProcessUsage, StoreServer,
};
use tokio::sync::{Mutex, MutexGuard};

use crate::process::{ProcessKind, TestProcess};

/// Memory that the settings grant, in MB.
const MEMORY_MB: u64 = 64;
/// Descriptors that the settings grant; fewer than the clients of a crowd.
const DESCRIPTORS: u64 = 400;
/// Number of clients that exceed [`DESCRIPTORS`].
pub const MANY_CONNECTIONS: usize = 420;
/// Name of the customer and of the service in the settings.
pub const CUSTOMER: &str = "north";
pub const SERVICE: &str = "desk";
/// Number of times that callers repeat a request.
const RETRIES: usize = 4;
/// Delay before a caller repeats a request.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time for which a caller waits for an answer; a bound against tests without an end.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
/// Time within which the process is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Lock that keeps the tests of this binary from running beside each other.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// One process that crowds of clients call.
pub struct CrowdBed {
    process: TestProcess,
    address: SocketAddr,
    directory: PathBuf,
    _store: StoreServer,
    _list: InstanceListServer,
    _backend: BackendServer,
    _turn: MutexGuard<'static, ()>,
}

impl CrowdBed {
    /// Starts a process with a store, an instance list and a backend server, as soon as no other
    /// test runs.
    pub async fn start(kind: ProcessKind, name: &str) -> Self {
        let turn = ONE_AT_A_TIME.lock().await;
        let directory =
            std::env::temp_dir().join(format!("lacewingrail-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("the temporary directory can be written");
        let any_port = "127.0.0.1:0";
        let store = StoreServer::spawn(any_port, 1).await.expect("start the store");
        let mark = WriteIdGenerator::new("test".to_owned()).generate();
        let tree = StoredTree::first(&settings_tree(), "test", mark).expect("a valid tree");
        let tree = tree.encode().expect("a small tree");
        store.store().put(CONFIG_TREE, tree, 0, None).await.expect("the store accepts the tree");
        let list = InstanceListServer::spawn(any_port).await.expect("start the instance list");
        let settings = BackendSettings {
            name: "backend".to_owned(),
            service: SERVICE.to_owned(),
            domain: "a".to_owned(),
            median_ms: 1.0,
            ..BackendSettings::default()
        };
        let backend = BackendServer::spawn(any_port, settings).await.expect("start a backend");
        list.change(InstanceChange::AddInstance(backend.entry()));
        let listen_key = match kind {
            ProcessKind::Scheduler => "admin",
            ProcessKind::Entry => "callers",
        };
        let text = format!(
            "name: {name}\nregion: north\ndomain: a\n\
             listen: {{ {listen_key}: {any_port}, peers: {any_port} }}\n\
             store: {}\ninstances: {}\n\
             resources: {{ memory_mb: {MEMORY_MB}, descriptors: {DESCRIPTORS} }}\n",
            store.url(),
            list.url(),
        );
        let process = TestProcess::spawn(kind, name, &directory, &text);
        let (_, address) = process.addresses().await;
        let bed = Self {
            process,
            address,
            directory,
            _store: store,
            _list: list,
            _backend: backend,
            _turn: turn,
        };
        crate::eventually_async("the process is ready", READY_TIMEOUT, || async {
            bed.is_served(reqwest::Method::GET, "/readyz", Vec::new()).await
        })
        .await;
        bed
    }

    /// Sends a crowd to the address for callers or operators, and waits until all have sent their
    /// script.
    pub async fn send_crowd(&self, size: usize, script: CrowdScript) -> ClientCrowd {
        let mut crowd = ClientCrowd::start(self.address, size, script);
        crowd.wait_until_sent().await;
        crowd
    }

    /// Checks that the process lives within its resources.
    pub async fn check_resources(&mut self) {
        ProcessUsage::settle(self.process.id()).await;
        assert!(self.process.status().is_none(), "the process has ended");
        ProcessUsage::check(self.process.id(), MEMORY_MB << 20, DESCRIPTORS);
    }

    /// Calls the process over new connections, with no more attempts than callers make; returns
    /// whether one succeeds.
    pub async fn is_served(&self, method: reqwest::Method, path: &str, body: Vec<u8>) -> bool {
        let url = format!("http://{}{path}", self.address);
        for _ in 0..=RETRIES {
            // A new caller opens a new connection.
            let client = reqwest::Client::builder().no_proxy().build().expect("a client");
            let request = client.request(method.clone(), &url).timeout(ANSWER_TIMEOUT);
            let request = request.header("x-customer", CUSTOMER).body(body.clone());
            let answer = request.send().await;
            if answer.is_ok_and(|answer| answer.status().is_success()) {
                return true;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        false
    }
}

impl Drop for CrowdBed {
    fn drop(&mut self) {
        self.process.kill();
        if !std::thread::panicking() {
            // Only the logs of a failed test are kept.
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

fn settings_tree() -> String {
    format!(
        "policy: {{ default_deadline: 5s }}\n\
         regions:\n  north:\n    domains:\n      a:\n        racks:\n\
         \x20         r0: {{ workers: 2, accelerators: 8 }}\n\
         customers:\n  {CUSTOMER}: {{ quota: 200 }}\n\
         services:\n  {SERVICE}: {{}}\n\
         access:\n  operators:\n    - {OPERATOR_TOKEN_DIGEST}\n"
    )
}

/// Digest of the operators' token; see [`lacewingrail_dev::api::OPERATOR_TOKEN`].
const OPERATOR_TOKEN_DIGEST: &str =
    "c15de198d781469a78760f52482bac96c651dec77512c11657dcb336fa480ca0";
