//! A host process: writes its settings, starts and signals it, and reads its operator pages.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use serde_json::Value;
use tokio::time::{Instant, sleep};

type AnyError = Box<dyn std::error::Error + Send + Sync>;

/// Ports of every host, in this order: for callers, peers and operators.
const PORTS: [u16; 3] = [7_101, 7_102, 7_103];
/// Time limit for a host to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a host's state is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// One host process.
#[derive(Debug)]
pub struct Host {
    /// Name in the host list, such as `host-0`.
    pub id: String,
    /// Address that callers connect to.
    pub address: SocketAddr,
    /// Address that peers connect to; that of the fault proxy if there is one.
    pub link: SocketAddr,
    /// Address that operators connect to.
    pub operator: SocketAddr,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Whether the host list marks it as leaving.
    pub leaving: bool,
    settings: PathBuf,
    log: String,
    child: Option<Child>,
    /// Whether it was killed and has not been restarted.
    pub(crate) killed: bool,
}

/// Returns the path of a program of this workspace in the build directory of the running one.
///
/// # Errors
/// Returns an error if the program was not built.
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

/// Chooses the loopback address of a host.
///
/// Each host has its own loopback address, and [`PORTS`] are below the ephemeral port range
/// of the system, so no other program can bind them before the host does.
fn choose_address() -> Ipv4Addr {
    static COUNT: AtomicU8 = AtomicU8::new(1);
    let process = std::process::id();
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = process.to_be_bytes();
    Ipv4Addr::new(127, 1 + high % 250, low, count)
}

impl Host {
    pub(crate) fn prepare(
        index: usize,
        directory: &Path,
        platform: SocketAddr,
        extra: &str,
        log: &str,
    ) -> Result<Self, AnyError> {
        let id = format!("host-{index}");
        let failure_domain = format!("domain-{}", index % 3);
        let ip = choose_address();
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

    /// Edits the settings file, which is read at the next start.
    ///
    /// # Errors
    /// Returns an error if the file can't be read or written.
    pub fn edit_settings(&self, edit: impl FnOnce(String) -> String) -> Result<(), AnyError> {
        let text = std::fs::read_to_string(&self.settings)?;
        std::fs::write(&self.settings, edit(text))?;
        Ok(())
    }

    /// Starts the process; its log goes to this process's standard error.
    ///
    /// # Errors
    /// Returns an error if the program was not built or can't be started.
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

    /// Returns the process id, or `None` while the host is not running.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends a signal to the process, by its name without `SIG`, such as `STOP`.
    pub fn signal(&self, name: &str) {
        if let Some(pid) = self.pid() {
            let _ = Command::new("kill")
                .args([format!("-{name}"), pid.to_string()])
                .status();
        }
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.killed = true;
        }
    }

    /// Waits for the process to exit by itself and returns whether it succeeded, or `None` if
    /// it is not running or does not exit in time.
    pub async fn wait_exit(&mut self, within: Duration) -> Option<bool> {
        let deadline = Instant::now() + within;
        while Instant::now() < deadline {
            let status = self.child.as_mut()?.try_wait().ok()?;
            if let Some(status) = status {
                self.child = None;
                return Some(status.success());
            }
            sleep(POLL_INTERVAL).await;
        }
        None
    }

    /// Reads a JSON page of the host's operator listener and returns its status code and body.
    ///
    /// Returns `None` if the host does not answer within 2 s or the body is not JSON.
    pub async fn page(&self, path: &str) -> Option<(u16, Value)> {
        Self::page_at(self.operator, path).await
    }

    /// Reads a JSON page of the operator listener at an address, like [`Host::page`].
    pub async fn page_at(operator: SocketAddr, path: &str) -> Option<(u16, Value)> {
        let url = format!("http://{operator}{path}");
        tokio::task::spawn_blocking(move || {
            let timeout = Duration::from_secs(2);
            let response = attohttpc::get(url).timeout(timeout).send().ok()?;
            let status = response.status().as_u16();
            Some((status, response.json().ok()?))
        })
        .await
        .ok()?
    }

    /// Waits until the host reports that it is ready.
    ///
    /// # Errors
    /// Returns an error if that takes longer than 20 s.
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
            sleep(POLL_INTERVAL).await;
        }
        Err(format!("{} is not ready", self.id).into())
    }
}
