//! Real host processes before stand-ins that run inside this process.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use jaypin_standin::{App, AppConfig, Engine, EngineConfig, Platform};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

type AnyError = Box<dyn std::error::Error + Send + Sync>;

/// The rule file that fleets run by default.
pub const RULES: &str = include_str!("../../../examples/lanyang-rules.yaml");
/// Accounts of that rule file; the credential is the account with `-secret` behind it.
pub const ACCOUNTS: [&str; 3] = ["farm-yilan", "farm-luodong", "farm-jiaoxi"];
/// Ports of every host: for callers, peers and operators.
const PORTS: [u16; 3] = [7_101, 7_102, 7_103];
/// Longest wait for a host to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between two looks at a host.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

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

/// One host process.
#[derive(Debug)]
pub struct Host {
    /// Name.
    pub id: String,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Where peers connect.
    pub link: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Whether the host list says that it is leaving.
    pub leaving: bool,
    settings: PathBuf,
    log: String,
    child: Option<Child>,
    killed: bool,
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
    directory: PathBuf,
}

/// Finds a program of this workspace beside the running one.
///
/// # Errors
/// When it was not built.
pub fn binary(name: &str) -> Result<PathBuf, AnyError> {
    let own = std::env::current_exe()?;
    let mut directory = own.parent().map(Path::to_path_buf).unwrap_or_default();
    if directory.ends_with("deps") || directory.ends_with("examples") {
        directory.pop();
    }
    let path = directory.join(name);
    if path.is_file() {
        Ok(path)
    } else {
        Err(format!(
            "{} is not built; run `cargo build --workspace`",
            path.display()
        )
        .into())
    }
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
        let platform = Platform::start("127.0.0.1:0").await?;
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
        let directory = scratch_directory()?;
        let mut hosts = Vec::new();
        for index in 0..cfg.hosts {
            hosts.push(Host::prepare(
                index,
                &directory,
                platform.address,
                &cfg.settings,
                &cfg.log,
            )?);
        }
        let fleet = Self {
            platform,
            engines,
            apps,
            hosts,
            backends,
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
        for host in self.hosts.iter().filter(|host| host.child.is_some()) {
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

/// Address of a host, and after it its ports for callers, peers and operators.
///
/// Each host has a loopback address of its own, and its ports are below the range that
/// the system hands out, so no other program takes them between choice and use.
fn host_address() -> Ipv4Addr {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id();
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = process.to_be_bytes();
    Ipv4Addr::new(127, 1 + high % 250, low, count)
}

impl Host {
    fn prepare(
        index: usize,
        directory: &Path,
        platform: SocketAddr,
        extra: &str,
        log: &str,
    ) -> Result<Self, AnyError> {
        let id = format!("host-{index}");
        let failure_domain = format!("domain-{}", index % 3);
        let ip = host_address();
        let [address, link, operator] = PORTS.map(|port| SocketAddr::from((ip, port)));
        let settings = directory.join(format!("{id}.yaml"));
        let text = format!(
            "host: {id}\nfailure-domain: {failure_domain}\nlisten: {address}\n\
             link-listen: {link}\noperator-listen: {operator}\nplatform: {platform}\n\
             fleet-key: a-key-for-tests-only\n{extra}"
        );
        std::fs::write(&settings, text)?;
        Ok(Self {
            id,
            address,
            link,
            operator,
            failure_domain,
            leaving: false,
            settings,
            log: log.to_owned(),
            child: None,
            killed: false,
        })
    }

    /// Changes the settings that the next start reads.
    ///
    /// # Errors
    /// When the file can't be read or written.
    pub fn edit_settings(&self, edit: impl FnOnce(String) -> String) -> Result<(), AnyError> {
        let text = std::fs::read_to_string(&self.settings)?;
        std::fs::write(&self.settings, edit(text))?;
        Ok(())
    }

    /// Starts the process; its log goes to this process's standard error.
    ///
    /// # Errors
    /// When the program can't be started.
    pub fn start(&mut self) -> Result<(), AnyError> {
        let child = Command::new(binary("jaypin")?)
            .args(["serve", "--settings"])
            .arg(&self.settings)
            .env("RUST_LOG", &self.log)
            .stdin(Stdio::null())
            .spawn()?;
        self.child = Some(child);
        self.killed = false;
        Ok(())
    }

    /// Id of the process.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal by its name, for example `STOP`.
    pub fn signal(&self, name: &str) {
        if let Some(pid) = self.pid() {
            let _ = Command::new("kill")
                .args([format!("-{name}"), pid.to_string()])
                .status();
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.killed = true;
        }
    }

    /// Waits for the process to end by itself; gives whether it ended well.
    pub async fn wait_exit(&mut self, within: Duration) -> Option<bool> {
        let deadline = Instant::now() + within;
        while Instant::now() < deadline {
            let status = self.child.as_mut()?.try_wait().ok()?;
            if let Some(status) = status {
                self.child = None;
                return Some(status.success());
            }
            sleep(LOOK_PAUSE).await;
        }
        None
    }

    /// Reads a page of the operators' listener; gives nothing when it does not answer.
    pub async fn page(&self, path: &str) -> Option<(u16, Value)> {
        let url = format!("http://{}{path}", self.operator);
        tokio::task::spawn_blocking(move || {
            let timeout = Duration::from_secs(2);
            let response = attohttpc::get(url).timeout(timeout).send().ok()?;
            let status = response.status().as_u16();
            Some((status, response.json().ok()?))
        })
        .await
        .ok()?
    }

    /// Waits until the host says that it is ready.
    ///
    /// # Errors
    /// When it is not in time.
    pub async fn wait_ready(&self) -> Result<(), AnyError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            if self
                .page("/readyz")
                .await
                .is_some_and(|(status, _)| status == 200)
            {
                return Ok(());
            }
            sleep(LOOK_PAUSE).await;
        }
        Err(format!("{} is not ready", self.id).into())
    }
}
