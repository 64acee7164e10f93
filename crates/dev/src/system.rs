//! Entry and scheduler processes of all instances, run within this operating system process.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use lacewingrail_clients::{HttpInstanceList, HttpStore, HttpWorkerClient};
use lacewingrail_entry::{EntryHandle, EntryProcess, EntrySettings};
use lacewingrail_model::config::ConfigView;
use lacewingrail_model::instance::{InstanceEntry, InstanceRole};
use lacewingrail_model::timer::TimerService;
use lacewingrail_model::{DomainName, ProcessResources};
use lacewingrail_scheduler::SchedulerProcess;
use lacewingrail_settings::{ListenSettings, LogLevel, ProcessSettings};
use lacewingrail_standins::InstanceChange;

use crate::api::{AdminClient, CallError};
use crate::environment::StandinEnvironment;

/// Number of instances; both deployments whose settings trees are in `examples/` have as many entry
/// processes.
const INSTANCE_COUNT: usize = 7;
/// Timeout until every process is ready and every failure domain has an active scheduler.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval at which a condition is evaluated.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running instance, which consists of an entry and a scheduler process.
pub struct SystemInstance {
    /// Name, such as `instance-1`; the names of its processes add their role, as in
    /// `instance-1-entry`.
    pub name: String,
    /// Failure domain of both processes.
    pub domain: DomainName,
    /// Base URL of the entry process for callers, through the fault proxy.
    pub caller_url: String,
    /// Base URL of the scheduler's administration API, through the fault proxy.
    pub admin_url: String,
    entry: EntryHandle,
    scheduler: SchedulerProcess,
}

/// All running instances; dropping it stops them abruptly, as a crash would.
pub struct DevSystem {
    /// Instances in the order of their numbers.
    pub instances: Vec<SystemInstance>,
    timer: TimerService,
}

/// Error of a system that could not start.
#[derive(Debug)]
pub struct SystemError(
    /// Cause, as text for the operator.
    pub String,
);

impl fmt::Display for SystemError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "the system did not start: {}", self.0)
    }
}

impl std::error::Error for SystemError {}

impl From<std::io::Error> for SystemError {
    fn from(error: std::io::Error) -> Self {
        Self(error.to_string())
    }
}

impl From<CallError> for SystemError {
    fn from(error: CallError) -> Self {
        Self(error.to_string())
    }
}

/// Addresses on which the fault proxy listens for one instance.
///
/// The default lets the operating system choose free ports of the loopback interface.
#[derive(Clone, Debug)]
pub struct ListenAddresses {
    /// Listen address for callers, such as `127.0.0.1:8080`.
    pub callers: String,
    /// Listen address of the administration API, such as `127.0.0.1:8090`.
    pub admin: String,
}

impl Default for ListenAddresses {
    fn default() -> Self {
        Self { callers: "127.0.0.1:0".to_owned(), admin: "127.0.0.1:0".to_owned() }
    }
}

impl DevSystem {
    /// Starts all instances, writes the first settings tree and waits until every process is ready.
    ///
    /// The first instance listens on `addresses`, all others on free ports.
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound, a process cannot start, the settings tree is
    /// refused, or the processes are not ready within 15 s.
    pub async fn start(
        environment: &StandinEnvironment,
        view: &ConfigView,
        tree: &str,
        addresses: &ListenAddresses,
    ) -> Result<Self, SystemError> {
        let timer = TimerService::new();
        let domains: Vec<&DomainName> = view.domains.keys().collect();
        let mut instances = Vec::with_capacity(INSTANCE_COUNT);
        // Each process is configured with the peers started before it; those discover it from its
        // heartbeats.
        let mut peers = Vec::with_capacity(2 * INSTANCE_COUNT);
        for number in 0..INSTANCE_COUNT {
            let domain = domains[number % domains.len()];
            let plan = InstancePlan {
                name: format!("instance-{}", number + 1),
                domain: domain.clone(),
                region: view.domains[domain].region.clone(),
            };
            let addresses =
                if number == 0 { addresses.clone() } else { ListenAddresses::default() };
            instances.push(plan.start(environment, &mut peers, &addresses, &timer).await?);
        }
        let system = Self { instances, timer };
        system.admin(0).put_tree(tree, 0).await?;
        let domains = domains.len();
        system
            .wait_until(READY_TIMEOUT, || {
                let ready = system.instances.iter().all(SystemInstance::is_ready);
                ready && system.count_active_domains() == domains
            })
            .await
            .map_err(|()| SystemError("the processes did not become ready in time".to_owned()))?;
        Ok(system)
    }

    /// Returns a client of the administration API of the instance at an index of `instances`.
    ///
    /// # Panics
    /// Panics if there is no such instance.
    pub fn admin(&self, index: usize) -> AdminClient {
        AdminClient::new(self.instances[index].admin_url.clone())
    }

    /// Polls a condition until it holds.
    ///
    /// # Errors
    /// Returns an error if the condition does not hold within the timeout.
    pub async fn wait_until<F>(&self, timeout: Duration, condition: F) -> Result<(), ()>
    where
        F: Fn() -> bool,
    {
        let poll = async {
            while !condition() {
                self.timer.wait(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(timeout, poll).await.map_err(drop)
    }

    /// Waits for a duration with the timer service of the system.
    pub async fn sleep(&self, duration: Duration) {
        self.timer.wait(duration).await;
    }

    /// Returns the number of failure domains that have an active scheduler.
    pub fn count_active_domains(&self) -> usize {
        self.instances.iter().map(|instance| instance.scheduler.leaderships().len()).sum()
    }

    /// Shuts all processes down gracefully, without interrupting a request.
    pub async fn shut_down(self) {
        let shutdowns = self.instances.into_iter().map(|instance| async {
            tokio::join!(instance.entry.shut_down(), instance.scheduler.shut_down());
        });
        futures::future::join_all(shutdowns).await;
    }
}

impl SystemInstance {
    /// Returns whether both the entry and the scheduler process are ready.
    pub fn is_ready(&self) -> bool {
        self.entry.is_ready() && self.scheduler.membership().ready()
    }
}

/// Settings of an instance that has not started yet.
struct InstancePlan {
    name: String,
    domain: DomainName,
    region: String,
}

impl InstancePlan {
    /// Starts the scheduler and then the entry process, and adds both to the instance list.
    ///
    /// Appends the peer addresses of both processes to `peers`.
    async fn start(
        self,
        environment: &StandinEnvironment,
        peers: &mut Vec<SocketAddr>,
        addresses: &ListenAddresses,
        timer: &TimerService,
    ) -> Result<SystemInstance, SystemError> {
        let any_address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let links = environment.link_platform(&self.name, &self.domain).await?;
        let instance_list = Arc::new(HttpInstanceList::new(&links.instance_list));
        let settings = ProcessSettings {
            system: lacewingrail_settings::DEFAULT_SYSTEM.to_owned(),
            file: "built-in".to_owned(),
            name: format!("{}-scheduler", self.name),
            region: self.region.clone(),
            domain: self.domain.clone(),
            listen: ListenSettings {
                callers: None,
                admin: Some(any_address),
                peers: any_address,
                advertise: None,
            },
            peers: peers.clone(),
            store: links.store.clone(),
            instances: links.instance_list.clone(),
            otlp: None,
            log_level: LogLevel::Info,
            resources: ProcessResources::default(),
        };
        let scheduler = SchedulerProcess::start(
            settings,
            Arc::new(HttpStore::new(&links.store)),
            Arc::new(HttpWorkerClient::new()),
            instance_list.clone(),
            timer.clone(),
        )
        .await
        .map_err(|error| SystemError(error.to_string()))?;
        peers.push(scheduler.peer_address());
        let entry_name = format!("{}-entry", self.name);
        let mut settings = EntrySettings::new(&entry_name, &self.domain, any_address, any_address);
        settings.peers = peers.iter().map(SocketAddr::to_string).collect();
        let store = Arc::new(HttpStore::new(&links.store));
        let entry = EntryProcess::start(settings, store, instance_list, timer.clone())
            .await
            .map_err(|error| SystemError(error.to_string()))?;
        peers.push(entry.peer_address());
        let admin_target = scheduler
            .admin_address()
            .ok_or_else(|| SystemError("a scheduler has no administration API".to_owned()))?;
        let (caller_link, admin_link) =
            (format!("{}-callers", self.name), format!("{}-admin", self.name));
        let caller_url = environment
            .link_callers(&caller_link, &self.domain, &addresses.callers, entry.caller_address())
            .await?;
        let admin_url = environment
            .link_callers(&admin_link, &self.domain, &addresses.admin, admin_target)
            .await?;
        for (role, address, peer) in [
            (InstanceRole::Entry, &caller_url, entry.peer_address()),
            (InstanceRole::Scheduler, &admin_url, scheduler.peer_address()),
        ] {
            let suffix = if role == InstanceRole::Entry { "entry" } else { "scheduler" };
            environment.instance_list.change(InstanceChange::AddInstance(InstanceEntry {
                name: format!("{}-{suffix}", self.name),
                role,
                service: String::new(),
                domain: self.domain.clone(),
                address: address.clone(),
                peer_address: peer.to_string(),
                leaving: false,
                slots: 0,
                connections: 0,
            }));
        }
        Ok(SystemInstance {
            name: self.name,
            domain: self.domain,
            caller_url,
            admin_url,
            entry,
            scheduler,
        })
    }
}
