//! Stand-ins of the platform and its surroundings: the store, workers, hosts as processes, clients
//! and the record of a run.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::Json;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Sends a signal to a process that this run started.
pub fn signal(child: &Child, signal: i32) {
    // SAFETY: `kill` touches no memory of this process.
    unsafe { kill(child.id() as i32, signal) };
}

/// What was sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    pub start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self {
            file,
            start: Instant::now(),
        })
    }

    pub fn ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1_000.0
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:10.1} {text}", self.ms());
    }
}

/// Returns addresses with different free ports.
fn free_addresses(ip: &str, count: usize) -> Vec<SocketAddr> {
    let bind = |_| TcpListener::bind((ip, 0)).expect("a free port");
    let listeners: Vec<_> = (0..count).map(bind).collect();
    listeners
        .iter()
        .map(|it| it.local_addr().expect("its address"))
        .collect()
}

fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
}

// ---------------------------------------------------------------------------------------------
// The store

#[derive(Clone)]
struct Stored {
    revision: u64,
    created: u64,
    spec: Json,
    status: Json,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Stored>,
    /// Revision, kind, object, whether it was removed.
    changes: Vec<(u64, String, Json, bool)>,
    /// Name of each change's object, and when it was made.
    made: Vec<(String, Instant)>,
}

/// The platform's store: objects, revisions, listings, watches, conditional writes.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
    /// How far the second copy for stale reads is behind, in milliseconds; 0 if there is none.
    copy_lag_ms: Arc<AtomicU64>,
}

const STORE_TIME: Duration = Duration::from_millis(4);

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let state = StoreState {
            revision: 100,
            ..StoreState::default()
        };
        let store = Self {
            address: listener.local_addr().expect("its address"),
            state: Arc::new((Mutex::new(state), Condvar::new())),
            copy_lag_ms: Arc::default(),
        };
        let served = store.clone();
        serve(listener, move |stream| {
            let _ = served.connection(stream);
        });
        store
    }

    /// Lets every second stale read of a connection come from a copy that is this far behind.
    pub fn set_copy_lag(&self, lag: Duration) {
        self.copy_lag_ms
            .store(lag.as_millis() as u64, Ordering::SeqCst);
    }

    /// Writes an object, as the operator and workers do. The return is the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let spec = Json::parse(spec).expect("JSON");
        self.write(kind, name, Some(spec), None);
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.write(kind, name, None, None);
    }

    fn write(
        &self,
        kind: &str,
        name: &str,
        spec: Option<Json>,
        status: Option<Json>,
    ) -> Option<Json> {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key).cloned();
        if let (Some(known), Some(spec)) = (&known, &spec) {
            let same_status = status.as_ref().is_none_or(|it| *it == known.status);
            if known.spec == *spec && same_status {
                return Some(object(name, known));
            }
        }
        state.revision += 1;
        let revision = state.revision;
        let stored = Stored {
            revision,
            created: known.as_ref().map_or(revision, |it| it.created),
            status: status
                .or(known.as_ref().map(|it| it.status.clone()))
                .unwrap_or(Json::Null),
            spec: spec
                .clone()
                .or(known.map(|it| it.spec))
                .unwrap_or(Json::Null),
        };
        let text = object(name, &stored);
        let removed = spec.is_none();
        state
            .changes
            .push((revision, kind.to_owned(), text.clone(), removed));
        state.made.push((name.to_owned(), Instant::now()));
        if removed {
            state.objects.remove(&key);
        } else {
            state.objects.insert(key, stored);
        }
        changed.notify_all();
        Some(text)
    }

    fn connection(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stale_reads = 0;
        while let Some(request) = http::read_request(&mut reader)? {
            let lag = Duration::from_millis(self.copy_lag_ms.load(Ordering::SeqCst));
            let is_stale = request.target().contains("stale_read=1");
            stale_reads += usize::from(is_stale);
            let (status, body) = if is_stale && !lag.is_zero() && stale_reads % 2 == 0 {
                self.answer_from_copy(&request, lag)
            } else {
                self.answer(&request)
            };
            thread::sleep(STORE_TIME);
            let json = [("Content-Type", "application/json")];
            http::respond(&mut stream, status, &json, body.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.target().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|it| it.split_once('='))
            .collect();
        let Some(path) = path.strip_prefix("/-/objects/") else {
            return (404, "{}".to_owned());
        };
        let mut parts = path.split('/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().map(ToOwned::to_owned);
        let is_status = parts.next() == Some("status");
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        match (request.method(), name) {
            ("GET", None) if query.contains_key("watch") => {
                let number = |key: &str| query.get(key).and_then(|it| it.parse::<u64>().ok());
                let since = number("watch").unwrap_or_default();
                let wait = Duration::from_millis(number("wait_ms").unwrap_or_default());
                let text = self.watch(&kind, since, wait);
                (200, text)
            }
            ("GET", None) => (200, self.list(&kind)),
            ("GET", Some(name)) => self.get(&kind, &name),
            ("POST" | "PUT", name) => {
                let Some(body) = body else {
                    return (400, "{}".to_owned());
                };
                let metadata = body.get("metadata");
                let stated = metadata.and_then(|it| it.get("name")?.text().map(ToOwned::to_owned));
                let Some(named) = name.clone().or(stated) else {
                    return (400, "{}".to_owned());
                };
                let revision = metadata.and_then(|it| it.get("revision")?.number());
                let (code, known) = self.get(&kind, &named);
                let has_moved = revision.is_some_and(|it| {
                    let known = Json::parse(&known);
                    let known = known.and_then(|it| it.get("metadata")?.get("revision")?.number());
                    known != Some(it)
                });
                if (name.is_none() && code == 200) || (code == 200 && has_moved) {
                    return (409, known);
                }
                if name.is_some() && code == 404 {
                    return (404, "{}".to_owned());
                }
                let spec = if is_status {
                    None
                } else {
                    body.get("spec").cloned()
                };
                let spec = spec.or_else(|| Json::parse(&known)?.get("spec").cloned());
                let status = is_status.then(|| body.get("status").cloned()).flatten();
                let written = self.write(&kind, &named, spec.or(Some(Json::Null)), status);
                (200, written.map_or_else(String::new, |it| it.to_string()))
            }
            ("DELETE", Some(name)) => {
                self.remove(&kind, &name);
                (200, "{}".to_owned())
            }
            _ => (405, "{}".to_owned()),
        }
    }

    /// Answers a read as a copy does that is this far behind.
    fn answer_from_copy(&self, request: &Message, lag: Duration) -> (u16, String) {
        let path = request.target().split('?').next().unwrap_or_default();
        let mut parts = path.trim_start_matches("/-/objects/").split('/');
        let kind = parts.next().unwrap_or_default();
        let state = self.state.0.lock().unwrap();
        let mut objects = BTreeMap::new();
        let mut as_of = 100;
        for ((revision, of_kind, object, removed), (name, at)) in
            state.changes.iter().zip(&state.made)
        {
            if at.elapsed() < lag {
                break;
            }
            as_of = *revision;
            if of_kind == kind && *removed {
                objects.remove(name);
            } else if of_kind == kind {
                objects.insert(name.clone(), object.to_string());
            }
        }
        match parts.next() {
            Some(name) => objects
                .remove(name)
                .map_or((404, "{}".to_owned()), |it| (200, it)),
            None => {
                let items: Vec<_> = objects.into_values().collect();
                (
                    200,
                    format!(
                        "{{\"items\":[{}],\"more\":false,\"as_of\":{as_of}}}",
                        items.join(",")
                    ),
                )
            }
        }
    }

    fn get(&self, kind: &str, name: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        match state.objects.get(&key) {
            Some(stored) => (200, object(name, stored).to_string()),
            None => (404, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let of_kind = state.objects.iter().filter(|it| it.0.0 == kind);
        let items: Vec<_> = of_kind
            .map(|(key, it)| object(&key.1, it).to_string())
            .collect();
        format!(
            "{{\"items\":[{}],\"more\":false,\"as_of\":{}}}",
            items.join(","),
            state.revision
        )
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> String {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let until = Instant::now() + wait;
        loop {
            let new = state
                .changes
                .iter()
                .filter(|it| it.0 > since && it.1 == kind);
            let events: Vec<_> = new
                .map(|it| format!("{{\"object\":{},\"deleted\":{}}}", it.2, it.3))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"as_of\":{}}}",
                    events.join(","),
                    state.revision
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn object(name: &str, stored: &Stored) -> Json {
    let text = format!(
        "{{\"metadata\":{{\"name\":{},\"revision\":{},\"created_at\":{},\"finalizers\":[],\"delete_pending\":false}},\"spec\":{},\"status\":{}}}",
        Json::Text(name.to_owned()),
        stored.revision,
        stored.created,
        stored.spec,
        stored.status
    );
    Json::parse(&text).expect("JSON")
}

// ---------------------------------------------------------------------------------------------
// Workers

/// A run of a request at a worker.
#[derive(Debug, Clone)]
pub struct Run {
    pub at_ms: f64,
    pub worker: String,
    pub id: String,
    pub request: Message,
}

/// A worker, which answers each request that is meant for it.
#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

impl Worker {
    /// Starts a worker that works on each request for `work`.
    pub fn start(id: &str, record: &Record, work: Duration) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let worker = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("its address"),
            runs: Arc::default(),
        };
        let (served, record) = (worker.clone(), record.clone());
        serve(listener, move |stream| {
            let _ = served.connection(stream, &record, work);
        });
        worker
    }

    fn connection(&self, mut stream: TcpStream, record: &Record, work: Duration) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = http::read_request(&mut reader)? {
            let id = request
                .header("x-attempt-id")
                .unwrap_or_default()
                .to_owned();
            if request
                .header("x-expect-instance")
                .is_some_and(|it| it != self.id)
            {
                let headers = [("X-Not-Executed", "1"), ("X-Instance-Id", self.id.as_str())];
                http::respond(&mut stream, 421, &headers, b"")?;
                continue;
            }
            let tenant = request.header("x-tenant").unwrap_or("-").to_owned();
            if !id.starts_with("load-") {
                record.line(&format!("worker {} runs {id} of {tenant}", self.id));
            }
            let run = Run {
                at_ms: record.ms(),
                worker: self.id.clone(),
                id: id.clone(),
                request,
            };
            self.runs.lock().unwrap().push(run);
            thread::sleep(work);
            let stamp = format!("{}.{id}", self.id);
            let headers = [
                ("X-Attempt-Id", id.as_str()),
                ("X-Worker-Stamp", stamp.as_str()),
                ("Keep-Alive", "timeout=5"),
                ("Content-Type", "application/json"),
            ];
            http::respond(
                &mut stream,
                200,
                &headers,
                format!("answer to {id}").as_bytes(),
            )?;
        }
        Ok(())
    }

    /// Returns the entry that the worker writes into the store.
    pub fn entry(&self, service: &str, slots: u32, state: &str) -> String {
        format!(
            "{{\"service\":\"{service}\",\"addr\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"warmup_left_ms\":0,\"call_seq\":0,\"born\":1700000000000}}",
            self.address
        )
    }
}

// ---------------------------------------------------------------------------------------------
// Hosts

/// A host: one process of the deploy file's command.
pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub process: Child,
    settings: PathBuf,
}

/// Where a run finds the program, and keeps its temporary files.
pub struct Place {
    pub program: PathBuf,
    pub folder: PathBuf,
}

impl Place {
    /// The program is that of the deploy file; the folder is a new one for temporary files.
    pub fn new(case: &str) -> io::Result<Self> {
        let root = std::env::var("JAYPIN_ROOT").unwrap_or_else(|_| ".".to_owned());
        let program = Path::new(&root).join("target/release/jaypin");
        let folder =
            std::env::temp_dir().join(format!("jaypin-review-{case}-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        Ok(Self { program, folder })
    }
}

impl Host {
    /// Starts a host with the settings of a small deployment.
    pub fn start(place: &Place, store: &Store, name: &str, ip: &str) -> io::Result<Self> {
        let free = free_addresses(ip, 6);
        let (front, ready, control, directory) = (free[0], free[1], free[2], free[3]);
        let (peers, metrics) = (free[4].port(), free[5].port());
        let settings = place.folder.join(format!("{name}.toml"));
        let text = format!(
            "node = \"{name}\"\nrole = \"entry\"\nmachine_class = \"front\"\nserves = [\"front\",\"directory\"]\n\
             ip = \"{ip}\"\nzone = \"zone-a\"\nregion = \"region\"\nport_range = [{peers},{peers}]\nseeds = [\"{control}\"]\n\
             bootstrap = false\nin_budget = false\ndiscovery = \"platform\"\nentry = \"directory\"\nheartbeat_ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"quota\",\"platform\"]\n\
             [zones]\nzone-a = \"region\"\n\
             [listen]\nfront = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\ndirectory = \"{directory}\"\n\
             [limits]\ncpu_share = 0.17\ncores = 1\nmemory_mb = 182\nmax_fds = 2940\nlink_mbps = 700.0\ndisk_mb = 0\n\
             [fault_budget]\nmachines = 2\nzones = 0\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\nsync_s = 4\ndrain_ms = 2000\n\
             grace_s = 8\nloss_slack_ms = 200\nconverge_ms = 2000\ndowngrade_ms = 250\nskew_ms = 5000\nstrict_revoke = true\n\
             revoke_ms = 5000\nbudget_ratio = 0.2\nbudget_window_s = 10\nbudget_slack = 113\nquota_window_s = 8\n\
             quota_tolerance = 0.1\nquota_slack = 140000\nrecover_s = 12\npass_ms = 120\nretry_after_s = 10\nttl_max_s = 5\n\
             [platform]\naddr = \"{}\"\nform = \"objects\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\n\
             value_bytes = 1048576\nttl_min_ms = 1000\n",
            store.address
        );
        std::fs::write(&settings, text)?;
        let log = File::create(place.folder.join(format!("{name}.log")))?;
        let process = Command::new(&place.program)
            .arg("entry")
            .arg("--settings")
            .arg(&settings)
            .arg("--metrics-port")
            .arg(metrics.to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            name: name.to_owned(),
            front,
            ready,
            process,
            settings,
        })
    }

    /// Waits until the platform's check finds it ready.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let asked = Call::new("GET", "/-/ready")
                .limit(Duration::from_secs(1))
                .send(self.ready);
            if asked.is_ok_and(|it| it.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        signal(&self.process, SIGKILL);
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

// ---------------------------------------------------------------------------------------------
// Clients

/// A request of a client, on a connection of its own.
#[derive(Debug, Clone)]
pub struct Call {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub limit: Duration,
}

impl Call {
    pub fn new(method: &str, target: &str) -> Self {
        Self {
            start: format!("{method} {target} HTTP/1.1"),
            headers: vec![("Host".to_owned(), "site.example".to_owned())],
            body: Vec::new(),
            limit: Duration::from_secs(3),
        }
    }

    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn limit(mut self, limit: Duration) -> Self {
        self.limit = limit;
        self
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!("{}\r\n", self.start);
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !self.body.is_empty() || self.start.starts_with("POST") {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Sends the request on a new connection and reads the whole response.
    pub fn send(&self, to: SocketAddr) -> io::Result<Message> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(self.limit))?;
        stream.write_all(&self.bytes())?;
        let mut reader = BufReader::new(stream);
        let head = http::read_head(&mut reader)?;
        let mut message = head.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        http::read_body(&mut reader, &mut message, true)?;
        Ok(message)
    }
}
