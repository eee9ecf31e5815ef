//! Runs real host processes against stand-ins of the platform and of the backend servers.
//!
//! The stand-ins run inside this process.

use std::net::SocketAddr;
use std::path::PathBuf;

use jaypin_standin::{App, AppConfig, Engine, EngineConfig, Platform, Proxy};
use serde_json::{Value, json};

use crate::Host;

type AnyError = Box<dyn std::error::Error + Send + Sync>;

/// Rule file that fleets use by default.
pub const RULES: &str = include_str!("../../../examples/lanyang-rules.yaml");
/// Client accounts of [`RULES`]; the credential of each is its name followed by `-secret`.
pub const ACCOUNTS: [&str; 3] = ["farm-yilan", "farm-luodong", "farm-jiaoxi"];
/// Listen address that makes the system choose a free loopback port.
const ANY_PORT: &str = "127.0.0.1:0";

/// Size and settings of a fleet.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// Number of hosts.
    pub hosts: usize,
    /// Configuration of each engine of the service `chat`.
    pub engines: Vec<EngineConfig>,
    /// Number of application workers of the plain service.
    pub apps: usize,
    /// Name of the plain service, whose calls are not completions.
    pub plain_service: String,
    /// Whether connections to the platform, to each host's link listener and to each backend
    /// server pass through a fault proxy.
    pub proxied: bool,
    /// Text of the rule file.
    pub rules: String,
    /// YAML lines that are appended to every host's settings.
    pub settings: String,
    /// Log filter of the hosts, in the syntax of `RUST_LOG`.
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

/// Entry of a backend server in the host list.
#[derive(Debug, Clone)]
pub struct BackendSpec {
    /// Name in the host list, such as `engine-0`.
    pub id: String,
    /// Address that hosts connect to; that of the fault proxy if there is one.
    pub address: SocketAddr,
    /// Name of the service that it belongs to.
    pub service: String,
    /// Whether the host list marks it as leaving.
    pub leaving: bool,
    /// Number of requests that it can run at once.
    pub slots: usize,
}

/// Fault proxies of a fleet; empty unless [`FleetConfig::proxied`] is set.
#[derive(Debug, Default)]
pub struct Proxies {
    /// Proxy of the platform.
    pub platform: Option<Proxy>,
    /// Proxy of each host's link listener, in the order of [`Fleet::hosts`].
    pub links: Vec<Proxy>,
    /// Proxy of each backend server, in the order of [`Fleet::backends`].
    pub backends: Vec<Proxy>,
}

/// A running fleet; dropping it kills its hosts and deletes their settings.
#[derive(Debug)]
pub struct Fleet {
    /// Stand-in of the platform.
    pub platform: Platform,
    /// Stand-ins of the engines.
    pub engines: Vec<Engine>,
    /// Stand-ins of the application workers.
    pub apps: Vec<App>,
    /// Host processes.
    pub hosts: Vec<Host>,
    /// Entries of the backend servers in the host list: the engines, then the workers.
    pub backends: Vec<BackendSpec>,
    /// Fault proxies.
    pub proxies: Proxies,
    directory: PathBuf,
}

impl Fleet {
    /// Starts the stand-ins and the hosts, and waits until every host is ready.
    ///
    /// # Errors
    /// Returns an error if a stand-in or a host can't be started or a host does not become
    /// ready.
    pub async fn start(cfg: FleetConfig) -> Result<Self, AnyError> {
        let mut fleet = Self::prepare(cfg).await?;
        for host in &mut fleet.hosts {
            host.start()?;
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Starts the stand-ins and writes the hosts' settings without starting the hosts.
    ///
    /// # Errors
    /// Returns an error if a stand-in can't be started or a file can't be written.
    pub async fn prepare(cfg: FleetConfig) -> Result<Self, AnyError> {
        let platform = Platform::start(ANY_PORT).await?;
        let mut engines = Vec::new();
        let mut apps = Vec::new();
        let mut backends = Vec::new();
        for (index, engine) in cfg.engines.into_iter().enumerate() {
            let slots = engine.slots;
            let engine = Engine::start(engine).await?;
            backends.push(backend_spec(
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
            backends.push(backend_spec(id, app.address, &cfg.plain_service, 16));
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
        let directory = create_scratch_directory()?;
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

    /// Writes the host list to the platform; hosts that are killed are left out.
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

    /// Writes a rule file directly to the platform, bypassing the operators' interface, and
    /// returns its version.
    #[expect(clippy::must_use_candidate, reason = "called for its side effect")]
    pub fn publish_rules(&self, text: &str) -> u64 {
        let object = json!({ "text": text, "changes": [] });
        self.platform.put("rules", object.to_string())
    }

    /// Waits until every running host reports that it is ready.
    ///
    /// # Errors
    /// Returns an error if a host does not become ready in time.
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

fn backend_spec(id: String, address: SocketAddr, service: &str, slots: usize) -> BackendSpec {
    BackendSpec {
        id,
        address,
        service: service.to_owned(),
        leaving: false,
        slots,
    }
}

fn create_scratch_directory() -> Result<PathBuf, AnyError> {
    let name = format!("jaypin-{}-{:x}", std::process::id(), rand::random::<u64>());
    let path = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&path)?;
    Ok(path)
}
