//! Real host processes before stand-ins that run inside this process.

use std::net::SocketAddr;
use std::path::PathBuf;

use jaypin_standin::{App, AppConfig, Engine, EngineConfig, Platform, Proxy};
use serde_json::{Value, json};

use crate::Host;

type AnyError = Box<dyn std::error::Error + Send + Sync>;

/// The rule file that fleets run by default.
pub const RULES: &str = include_str!("../../../examples/lanyang-rules.yaml");
/// Accounts of that rule file; the credential is the account with `-secret` behind it.
pub const ACCOUNTS: [&str; 3] = ["farm-yilan", "farm-luodong", "farm-jiaoxi"];
/// Address that stands for a free port of the loopback address.
const ANY_PORT: &str = "127.0.0.1:0";

/// What a fleet is made of.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// Entry hosts.
    pub hosts: usize,
    /// Engines of the service `chat`.
    pub engines: Vec<EngineConfig>,
    /// Application workers of the plain service.
    pub apps: usize,
    /// Name of the plain service.
    pub plain_service: String,
    /// Whether a fault proxy stands before the platform, each link and each backend server.
    pub proxied: bool,
    /// The rule file.
    pub rules: String,
    /// Further lines of every host's settings.
    pub settings: String,
    /// Filter of the hosts' logs, in the form of `RUST_LOG`.
    pub log: String,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            hosts: 3,
            engines: vec![EngineConfig::default(); 2],
            apps: 1,
            plain_service: "robots".to_owned(),
            proxied: false,
            rules: RULES.to_owned(),
            settings: String::new(),
            log: "warn".to_owned(),
        }
    }
}

/// One backend server, as the host list names it.
#[derive(Debug, Clone)]
pub struct BackendSpec {
    /// Name.
    pub id: String,
    /// Where hosts reach it.
    pub address: SocketAddr,
    /// Its service.
    pub service: String,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Requests it can run at once.
    pub slots: usize,
}

/// Fault proxies of a fleet; empty where it has none.
#[derive(Debug, Default)]
pub struct Proxies {
    /// Before the platform.
    pub platform: Option<Proxy>,
    /// Before the links of each host, in their order.
    pub links: Vec<Proxy>,
    /// Before each backend server, in their order.
    pub backends: Vec<Proxy>,
}

/// A running fleet; dropping it ends its hosts.
#[derive(Debug)]
pub struct Fleet {
    /// The platform.
    pub platform: Platform,
    /// Engines.
    pub engines: Vec<Engine>,
    /// Application workers.
    pub apps: Vec<App>,
    /// Entry hosts.
    pub hosts: Vec<Host>,
    /// Backend servers as the host list names them.
    pub backends: Vec<BackendSpec>,
    /// Fault proxies, where the fleet has them.
    pub proxies: Proxies,
    directory: PathBuf,
}

impl Fleet {
    /// Starts stand-ins and hosts, and waits until every host is ready.
    ///
    /// # Errors
    /// When something can't be started or does not become ready.
    pub async fn start(cfg: FleetConfig) -> Result<Self, AnyError> {
        let mut fleet = Self::prepare(cfg).await?;
        for host in &mut fleet.hosts {
            host.start()?;
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Starts stand-ins and writes settings; hosts are not started.
    ///
    /// # Errors
    /// When something can't be started.
    pub async fn prepare(cfg: FleetConfig) -> Result<Self, AnyError> {
        let platform = Platform::start(ANY_PORT).await?;
        let mut engines = Vec::new();
        let mut apps = Vec::new();
        let mut backends = Vec::new();
        for (index, engine) in cfg.engines.into_iter().enumerate() {
            let slots = engine.slots;
            let engine = Engine::start(engine).await?;
            backends.push(backend(
                format!("engine-{index}"),
                engine.address,
                "chat",
                slots,
            ));
            engines.push(engine);
        }
        for index in 0..cfg.apps {
            let app = App::start(AppConfig::default()).await?;
            let id = format!("app-{index}");
            backends.push(backend(id, app.address, &cfg.plain_service, 16));
            apps.push(app);
        }
        let mut proxies = Proxies::default();
        let mut platform_address = platform.address;
        if cfg.proxied {
            let proxy = Proxy::start(ANY_PORT, platform.address).await?;
            platform_address = proxy.address;
            proxies.platform = Some(proxy);
            for backend in &mut backends {
                let proxy = Proxy::start(ANY_PORT, backend.address).await?;
                backend.address = proxy.address;
                proxies.backends.push(proxy);
            }
        }
        let directory = scratch_directory()?;
        let mut hosts = Vec::new();
        for index in 0..cfg.hosts {
            hosts.push(Host::prepare(
                index,
                &directory,
                platform_address,
                &cfg.settings,
                &cfg.log,
            )?);
        }
        if cfg.proxied {
            for host in &mut hosts {
                let proxy = Proxy::start(ANY_PORT, host.link).await?;
                host.link = proxy.address;
                proxies.links.push(proxy);
            }
        }
        let fleet = Self {
            platform,
            engines,
            apps,
            hosts,
            backends,
            proxies,
            directory,
        };
        fleet.publish_hosts();
        fleet.publish_rules(&cfg.rules);
        Ok(fleet)
    }

    /// Writes the host list, without killed hosts, to the platform.
    pub fn publish_hosts(&self) {
        let hosts: Vec<Value> = self
            .hosts
            .iter()
            .filter(|host| !host.killed)
            .map(|host| {
                json!({
                    "id": host.id,
                    "address": host.address.to_string(),
                    "link": host.link.to_string(),
                    "failure_domain": host.failure_domain,
                    "leaving": host.leaving,
                })
            })
            .collect();
        let backends: Vec<Value> = self
            .backends
            .iter()
            .map(|backend| {
                json!({
                    "id": backend.id,
                    "address": backend.address.to_string(),
                    "service": backend.service,
                    "failure_domain": "domain-0",
                    "leaving": backend.leaving,
                    "slots": backend.slots,
                })
            })
            .collect();
        let list = json!({ "hosts": hosts, "backends": backends });
        self.platform.put("hosts", list.to_string());
    }

    /// Writes a rule file to the platform without an operator; gives its version.
    #[expect(clippy::must_use_candidate, reason = "called for what it does")]
    pub fn publish_rules(&self, text: &str) -> u64 {
        let object = json!({ "text": text, "changes": [] });
        self.platform.put("rules", object.to_string())
    }

    /// Waits until every running host says that it is ready.
    ///
    /// # Errors
    /// When one is not in time.
    pub async fn wait_ready(&self) -> Result<(), AnyError> {
        for host in self.hosts.iter().filter(|host| host.pid().is_some()) {
            host.wait_ready().await?;
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            host.kill();
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn backend(id: String, address: SocketAddr, service: &str, slots: usize) -> BackendSpec {
    BackendSpec {
        id,
        address,
        service: service.to_owned(),
        leaving: false,
        slots,
    }
}

fn scratch_directory() -> Result<PathBuf, AnyError> {
    let name = format!("jaypin-{}-{:x}", std::process::id(), rand::random::<u64>());
    let path = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&path)?;
    Ok(path)
}
