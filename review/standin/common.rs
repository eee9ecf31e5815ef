//! Stand-ins of the review: the platform's store, workers, clients and the start of a host.
//!
//! They use the standard library only and share no code with the product.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `record.txt`: each line begins with the milliseconds since the start.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Self> {
        let file = File::create(path).expect("record.txt");
        Arc::new(Self {
            file: Mutex::new(file),
            start: Instant::now(),
        })
    }

    pub fn ms(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64() * 1_000.0
    }

    pub fn now(&self) -> f64 {
        self.ms(Instant::now())
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:10.1} {text}", self.now());
    }
}

/// A small deterministic generator of random numbers.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn unit(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// A time that is distributed exponentially.
    pub fn pause(&mut self, mean: Duration) -> Duration {
        mean.mul_f64(-(1.0 - self.unit()).ln())
    }
}

// ---------------------------------------------------------------------------------------------
// HTTP

/// The first line and the headers of a message.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|it| it.0.eq_ignore_ascii_case(name));
        found.map(|it| it.1.as_str())
    }
}

/// A connection with bytes that were read and not used.
pub struct Wire {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            rest: Vec::new(),
        }
    }

    fn fill(&mut self) -> Option<()> {
        let mut buf = [0_u8; 16 * 1024];
        let count = self.stream.read(&mut buf).ok()?;
        if count == 0 {
            return None;
        }
        self.rest.extend_from_slice(&buf[..count]);
        Some(())
    }

    pub fn head(&mut self) -> Option<Head> {
        loop {
            if let Some(end) = self.rest.windows(4).position(|it| it == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next()?.to_owned();
                let headers = lines.filter_map(|it| it.split_once(':'));
                let headers =
                    headers.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
                return Some(Head {
                    first,
                    headers: headers.collect(),
                });
            }
            self.fill()?;
        }
    }

    fn take(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.rest.len() < count {
            self.fill()?;
        }
        Some(self.rest.drain(..count).collect())
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|it| it == b"\r\n") {
                let line: Vec<u8> = self.rest.drain(..end + 2).collect();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads a body that has a length or comes in chunks.
    pub fn body(&mut self, head: &Head) -> Option<Vec<u8>> {
        if head.get("transfer-encoding").is_some() {
            let mut body = Vec::new();
            loop {
                let size =
                    usize::from_str_radix(self.line()?.split(';').next()?.trim(), 16).ok()?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Some(body);
                }
                body.extend(self.take(size)?);
                self.line()?;
            }
        }
        let length = head
            .get("content-length")
            .and_then(|it| it.parse().ok())
            .unwrap_or(0);
        self.take(length)
    }
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

// ---------------------------------------------------------------------------------------------
// The platform's store

struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, Vec<u8>)>,
    /// Revision, kind, name, and the `spec` unless the object was removed.
    events: Vec<(u64, String, String, Option<Vec<u8>>)>,
    /// Whether the store turns the host away: it accepts calls and does not answer them.
    turns_away: bool,
    /// When the newest watch of the configuration arrived that has not been answered.
    config_watch: Option<Instant>,
    config_answered: Option<Instant>,
}

/// The platform's store, as PROTOCOL.md describes it, with 4 ms an answer.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<StoreState>,
    changed: Condvar,
}

const STORE_TIME: Duration = Duration::from_millis(4);

impl Store {
    pub fn start() -> Arc<Self> {
        let (listener, address) = listen();
        let store = Arc::new(Self {
            address,
            state: Mutex::new(StoreState {
                revision: 100,
                objects: BTreeMap::new(),
                events: Vec::new(),
                turns_away: false,
                config_watch: None,
                config_answered: None,
            }),
            changed: Condvar::new(),
        });
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(Wire::new(stream)));
            }
        });
        store
    }

    /// Writes the `spec` of an object, or removes the object. The return is the acknowledgement.
    pub fn write(&self, kind: &str, name: &str, spec: Option<&[u8]>) -> u64 {
        let mut state = self.state.lock().unwrap();
        let revision = put(&mut state, kind, name, spec);
        drop(state);
        self.changed.notify_all();
        revision
    }

    pub fn set_turns_away(&self, turns_away: bool) {
        self.state.lock().unwrap().turns_away = turns_away;
    }

    /// When the watch of the configuration arrived that waits now.
    pub fn config_watch(&self) -> Option<Instant> {
        self.state.lock().unwrap().config_watch
    }

    /// When a watch of the configuration was answered last.
    pub fn config_answered(&self) -> Option<Instant> {
        self.state.lock().unwrap().config_answered
    }

    fn serve(&self, mut wire: Wire) {
        while let Some(head) = wire.head() {
            let Some(body) = wire.body(&head) else { return };
            let mut words = head.first.split(' ');
            let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            if self.state.lock().unwrap().turns_away {
                thread::sleep(Duration::from_secs(60));
                return;
            }
            let (status, body) = self.respond(method, target, &body);
            thread::sleep(STORE_TIME);
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let mut bytes = text.into_bytes();
            bytes.extend(body);
            if wire.stream.write_all(&bytes).is_err() {
                return;
            }
        }
    }

    fn respond(&self, method: &str, target: &str, body: &[u8]) -> (u16, Vec<u8>) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let path = path.trim_start_matches("/-/objects/");
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
            pairs
                .find(|it| it.0 == name)
                .and_then(|it| it.1.parse::<u64>().ok())
        };
        match (method, path.split_once('/')) {
            ("GET", None) => match number("watch") {
                Some(since) => self.watch(path, since, number("wait_ms").unwrap_or(0)),
                None => {
                    let state = self.state.lock().unwrap();
                    let of_kind = state.objects.iter().filter(|it| it.0.0 == path);
                    let items: Vec<_> = of_kind
                        .map(|((_, name), (revision, spec))| object(name, *revision, Some(spec)))
                        .collect();
                    let mut page = b"{\"items\":[".to_vec();
                    page.extend(items.join(&b","[..]));
                    page.extend(
                        format!("],\"more\":false,\"as_of\":{}}}", state.revision).into_bytes(),
                    );
                    (200, page)
                }
            },
            ("GET", Some((kind, name))) => {
                let state = self.state.lock().unwrap();
                match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                    Some((revision, spec)) => (200, object(name, *revision, Some(spec))),
                    None => (404, b"{}".to_vec()),
                }
            }
            ("POST" | "PUT", _) => {
                let text = String::from_utf8_lossy(body).into_owned();
                let (Some(name), Some(spec)) =
                    (text_field(&text, "name"), object_field(&text, "spec"))
                else {
                    return (400, b"{}".to_vec());
                };
                let kind = path.split('/').next().unwrap_or("");
                let mut state = self.state.lock().unwrap();
                let key = (kind.to_owned(), name.clone());
                if method == "POST" && state.objects.contains_key(&key) {
                    let (revision, spec) = state.objects[&key].clone();
                    return (409, object(&name, revision, Some(&spec)));
                }
                let revision = put(&mut state, kind, &name, Some(spec.as_bytes()));
                drop(state);
                self.changed.notify_all();
                (200, object(&name, revision, Some(spec.as_bytes())))
            }
            _ => (404, b"{}".to_vec()),
        }
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> (u16, Vec<u8>) {
        let arrived = Instant::now();
        let until = arrived + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        if kind == "config" {
            state.config_watch = Some(arrived);
        }
        let events = loop {
            let newer = state
                .events
                .iter()
                .filter(|it| it.0 > since && it.1 == kind);
            let events: Vec<_> = newer.cloned().collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                break events;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        };
        if kind == "config" {
            state.config_watch = None;
            state.config_answered = Some(Instant::now());
        }
        let events = events.iter().map(|(revision, _, name, spec)| {
            let mut event = b"{\"object\":".to_vec();
            event.extend(object(name, *revision, spec.as_deref()));
            event.extend(format!(",\"deleted\":{}}}", spec.is_none()).into_bytes());
            event
        });
        let mut page = b"{\"events\":[".to_vec();
        page.extend(events.collect::<Vec<_>>().join(&b","[..]));
        page.extend(format!("],\"as_of\":{}}}", state.revision).into_bytes());
        (200, page)
    }
}

fn put(state: &mut StoreState, kind: &str, name: &str, spec: Option<&[u8]>) -> u64 {
    state.revision += 1;
    let revision = state.revision;
    let key = (kind.to_owned(), name.to_owned());
    match spec {
        Some(spec) => state.objects.insert(key, (revision, spec.to_vec())),
        None => state.objects.remove(&key),
    };
    state.events.push((
        revision,
        kind.to_owned(),
        name.to_owned(),
        spec.map(<[u8]>::to_vec),
    ));
    revision
}

fn object(name: &str, revision: u64, spec: Option<&[u8]>) -> Vec<u8> {
    let mut object = format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created_at\":1,\"finalizers\":[],\"delete_pending\":false}},\"spec\":"
    )
    .into_bytes();
    object.extend_from_slice(spec.unwrap_or(b"null"));
    object.extend_from_slice(b",\"status\":null}");
    object
}

/// Returns the text of a field in a JSON body of the host, which contains no escapes.
fn text_field(text: &str, name: &str) -> Option<String> {
    let start = text.find(&format!("\"{name}\":\""))? + name.len() + 4;
    let end = text[start..].find('"')?;
    Some(text[start..start + end].to_owned())
}

/// Returns the object in a field of such a body.
fn object_field(text: &str, name: &str) -> Option<String> {
    let start = text.find(&format!("\"{name}\":{{"))? + name.len() + 3;
    let mut depth = 0;
    for (index, byte) in text[start..].bytes().enumerate() {
        match byte {
            b'{' => depth += 1,
            b'}' => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return Some(text[start..=start + index].to_owned());
        }
    }
    None
}

// ---------------------------------------------------------------------------------------------
// Workers

/// A request that a worker ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub worker: String,
    pub id: String,
    pub path: String,
    /// The value of `X-Tenant`.
    pub tenant: Option<String>,
}

/// A worker: 503 when its slots are taken.
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    service: &'static str,
    slots: u64,
    /// Number of events of its answers; 0 for whole answers.
    events: u32,
    pub runs: Mutex<Vec<Run>>,
    running: AtomicU64,
    answers: AtomicU64,
    ended: AtomicBool,
    random: Mutex<Random>,
    connections: Mutex<Vec<TcpStream>>,
    /// `srv_grey` with `shed`: the share of the requests that it rejects without running them.
    pub shed: Mutex<f64>,
    /// `garble` with `extra late`: the share of its answers that come a second time, where the next
    /// answer on their connection is expected.
    pub extra: Mutex<f64>,
    pub record: Arc<Record>,
}

const STREAM_HEAD_END: &[u8] = b"Transfer-Encoding: chunked\r\n\r\n";
const EVENT_PAUSE: Duration = Duration::from_millis(30);
const MEAN_WORK: Duration = Duration::from_millis(15);

impl Worker {
    /// Starts a worker of `barn-api`, which answers whole.
    pub fn start_plain(id: &str, record: &Arc<Record>) -> Arc<Self> {
        Self::start(id, record, "barn-api", 6, 0)
    }

    /// Starts a worker of `jaypin-pool`, which answers with streams of 64 events in two seconds.
    pub fn start_engine(id: &str, record: &Arc<Record>) -> Arc<Self> {
        Self::start(id, record, "jaypin-pool", 9, 64)
    }

    fn start(
        id: &str,
        record: &Arc<Record>,
        service: &'static str,
        slots: u64,
        events: u32,
    ) -> Arc<Self> {
        let (listener, address) = listen();
        let seed = u64::from(address.port());
        let worker = Arc::new(Self {
            id: id.to_owned(),
            address,
            service,
            slots,
            events,
            runs: Mutex::default(),
            running: AtomicU64::new(0),
            answers: AtomicU64::new(0),
            ended: AtomicBool::new(false),
            random: Mutex::new(Random::new(seed)),
            connections: Mutex::default(),
            shed: Mutex::new(0.0),
            extra: Mutex::new(0.0),
            record: record.clone(),
        });
        let served = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.ended.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    served.connections.lock().unwrap().push(copy);
                }
                let worker = served.clone();
                thread::spawn(move || worker.serve(Wire::new(stream)));
            }
        });
        worker
    }

    /// Writes its entry into the store. The return is the acknowledgement.
    pub fn register(&self, store: &Store, state: &str) {
        let (service, slots) = (self.service, self.slots);
        let spec = format!(
            "{{\"service\":\"{service}\",\"addr\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"{state}\",\"warmup_left_ms\":0,\"call_seq\":0,\"born\":1700000000000}}",
            self.address
        );
        store.write("servers", &self.id, Some(spec.as_bytes()));
    }

    /// Ends the worker: its connections close, and nothing more is accepted.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let _ = TcpStream::connect(self.address);
    }

    fn chance(&self, share: f64) -> bool {
        share > 0.0 && self.random.lock().unwrap().unit() < share
    }

    fn serve(&self, mut wire: Wire) {
        let _ = wire.stream.set_read_timeout(Some(Duration::from_secs(10)));
        let mut extra: Option<Vec<u8>> = None;
        while let Some(head) = wire.head() {
            // The second answer arrives late, where the answer to this request is expected.
            if let Some(bytes) = extra.take() {
                let first = String::from_utf8_lossy(&bytes);
                let first = first.split("\r\n").next().unwrap_or("").to_owned();
                let next = head.get("x-attempt-id").unwrap_or("").to_owned();
                self.record.line(&format!(
                    "{} sends an earlier answer a second time ({first}), as {next} arrives",
                    self.id
                ));
                if wire.stream.write_all(&bytes).is_err() {
                    return;
                }
            }
            let Some(_body) = wire.body(&head) else {
                return;
            };
            let answer = self.answer(&head);
            if self.ended.load(Ordering::SeqCst) || wire.stream.write_all(&answer).is_err() {
                return;
            }
            if answer.ends_with(STREAM_HEAD_END) && !self.stream(&mut wire) {
                return;
            }
            if self.chance(*self.extra.lock().unwrap()) {
                extra = Some(answer);
            }
        }
    }

    /// Sends the events of a stream. Returns whether it was sent to its end.
    fn stream(&self, wire: &mut Wire) -> bool {
        let mut is_whole = true;
        for event in 1..=self.events {
            thread::sleep(EVENT_PAUSE);
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if self.ended.load(Ordering::SeqCst) || wire.stream.write_all(chunk.as_bytes()).is_err()
            {
                is_whole = false;
                break;
            }
        }
        self.running.fetch_sub(1, Ordering::SeqCst);
        is_whole && wire.stream.write_all(b"0\r\n\r\n").is_ok()
    }

    fn answer(&self, head: &Head) -> Vec<u8> {
        let mut words = head.first.split(' ');
        let (_, path) = (words.next(), words.next().unwrap_or("").to_owned());
        let id = head.get("x-attempt-id").unwrap_or("").to_owned();
        if head
            .get("x-expect-instance")
            .is_some_and(|it| it != self.id)
        {
            return format!("HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id).into_bytes();
        }
        let is_full = self.running.load(Ordering::SeqCst) >= self.slots;
        if is_full || self.chance(*self.shed.lock().unwrap()) {
            self.record.line(&format!("{} rejects {id}", self.id));
            // As `fleetbench wire` shows it under "a server sheds".
            return b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_vec();
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        let tenant = head.get("x-tenant").map(ToOwned::to_owned);
        let run = Run {
            at: Instant::now(),
            worker: self.id.clone(),
            id: id.clone(),
            path,
            tenant,
        };
        self.record.line(&format!("{} runs {id}", self.id));
        self.runs.lock().unwrap().push(run);
        if self.events > 0 {
            let stamp = self.answers.fetch_add(1, Ordering::SeqCst);
            return format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Worker-Stamp: {}.{stamp}\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=10\r\nTransfer-Encoding: chunked\r\n\r\n",
                self.id
            )
            .into_bytes();
        }
        let work = self
            .random
            .lock()
            .unwrap()
            .pause(MEAN_WORK)
            .min(Duration::from_millis(110));
        thread::sleep(work);
        self.running.fetch_sub(1, Ordering::SeqCst);
        let stamp = self.answers.fetch_add(1, Ordering::SeqCst);
        let body = format!("{id} by {}", self.id);
        format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Worker-Stamp: {}.{stamp}\r\nKeep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        )
        .into_bytes()
    }
}

// ---------------------------------------------------------------------------------------------
// Clients

/// What a client got for one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    Status(u16),
    Closed,
    NoConnection,
}

/// One request of a client.
pub struct Call<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub key: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    /// The value of `X-Token-Counts`, if there is one.
    pub tokens: Option<&'a str>,
    pub body: &'a str,
}

/// Sends a request on the kept connection or a new one and reads its answer.
pub fn send(host: SocketAddr, kept: &mut Option<Wire>, call: &Call<'_>) -> Answer {
    let mut wire = match kept.take() {
        Some(wire) => wire,
        None => match TcpStream::connect_timeout(&host, Duration::from_secs(1)) {
            Ok(stream) => Wire::new(stream),
            Err(_) => return Answer::NoConnection,
        },
    };
    let limit = Duration::from_millis(call.deadline_ms + 200);
    let _ = wire.stream.set_read_timeout(Some(limit));
    let tokens = call
        .tokens
        .map(|it| format!("X-Token-Counts: {it}\r\n"))
        .unwrap_or_default();
    let text = format!(
        "{} {} HTTP/1.1\r\nHost: farm.example\r\nX-Attempt-Id: {}\r\nX-Deadline-Ms: {}\r\nX-Credential: {}\r\n{tokens}Content-Length: {}\r\n\r\n{}",
        call.method,
        call.path,
        call.id,
        call.deadline_ms,
        call.key,
        call.body.len(),
        call.body
    );
    if wire.stream.write_all(text.as_bytes()).is_err() {
        return Answer::Closed;
    }
    let Some(head) = wire.head() else {
        return Answer::Closed;
    };
    if wire.body(&head).is_none() {
        return Answer::Closed;
    }
    let status = head
        .first
        .split(' ')
        .nth(1)
        .and_then(|it| it.parse().ok())
        .unwrap_or(0);
    let closes = head
        .get("connection")
        .is_some_and(|it| it.eq_ignore_ascii_case("close"));
    if !closes {
        *kept = Some(wire);
    }
    Answer::Status(status)
}

// ---------------------------------------------------------------------------------------------
// The host

/// A host process, started with the command of the deploy file.
pub struct Host {
    pub callers: SocketAddr,
    ready: SocketAddr,
    process: Child,
    folder: PathBuf,
}

/// Returns `count` free ports.
fn free_ports(count: usize) -> Vec<u16> {
    let held: Vec<_> = (0..count).map(|_| listen()).collect();
    held.iter().map(|it| it.1.port()).collect()
}

impl Host {
    /// Starts a host with the bounds of `lanyang-fleet` and waits until it is ready. Its ports are chosen
    /// anew if another program has taken one of them meanwhile.
    pub fn start(store: &Store, name: &str) -> Result<Self, String> {
        let mut error = String::new();
        for _ in 0..5 {
            match Self::start_once(store, name) {
                Ok(host) => return Ok(host),
                Err(reason) => error = reason,
            }
        }
        Err(error)
    }

    fn start_once(store: &Store, name: &str) -> Result<Self, String> {
        let ports = free_ports(6);
        let [front, ready, control, directory, peers, metrics] = ports[..] else {
            return Err("ports".into());
        };
        let folder =
            std::env::temp_dir().join(format!("jaypin-review-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let text = format!(
            r#"node = "{name}"
role = "entry"
machine_class = "front"
serves = ["front","directory"]
ip = "127.0.0.1"
zone = "zone-a"
region = "region-a"
port_range = [{peers},{peers}]
seeds = []
bootstrap = true
in_budget = false
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","quota","platform"]
[zones]
zone-a = "region-a"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
directory = "127.0.0.1:{directory}"
[limits]
cpu_share = 0.17
cores = 1
memory_mb = 182
max_fds = 2940
link_mbps = 700.0
disk_mb = 0
[fault_budget]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_ms = 4000
sync_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
converge_ms = 2000
downgrade_ms = 250
skew_ms = 5000
strict_revoke = true
revoke_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 113
quota_window_s = 8
quota_tolerance = 0.1
quota_slack = 140000
recover_s = 12
pass_ms = 120
retry_after_s = 10
ttl_max_s = 5
[platform]
addr = "{}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#,
            store.address
        );
        let settings = folder.join("local.toml");
        std::fs::write(&settings, text).map_err(|error| error.to_string())?;
        let log = File::create(folder.join("host.log")).map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let process = Command::new("target/release/jaypin")
            .args(["entry", "--settings"])
            .arg(&settings)
            .args(["--metrics-port", &metrics.to_string()])
            .env("JAYPIN_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("target/release/jaypin: {error}"))?;
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let host = Self {
            callers: address(front),
            ready: address(ready),
            process,
            folder,
        };
        let mut host = host;
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            // A host that can't open its ports exits, and another program's may answer there.
            thread::sleep(Duration::from_millis(150));
            if !matches!(host.process.try_wait(), Ok(None)) {
                return Err("the host exited at its start".into());
            }
            if host.is_ready() {
                return Ok(host);
            }
        }
        Err("the host did not become ready".into())
    }

    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300)) else {
            return false;
        };
        let mut wire = Wire::new(stream);
        let _ = wire
            .stream
            .set_read_timeout(Some(Duration::from_millis(500)));
        let sent = wire
            .stream
            .write_all(b"GET /-/ready HTTP/1.1\r\nHost: h\r\n\r\n");
        sent.is_ok() && wire.head().is_some_and(|it| it.first.contains(" 200"))
    }

    /// Sends the signal of this name to the process.
    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.process.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    /// Returns the lines of the host's log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read(self.folder.join("host.log")).unwrap_or_default();
        let log = String::from_utf8_lossy(&log).into_owned();
        log.lines()
            .filter(|it| it.contains(text))
            .map(ToOwned::to_owned)
            .collect()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns a configuration with two services and three routes, like those of `lanyang-fleet`.
pub fn configuration(version: u64, tenants: &[(&str, &str)]) -> String {
    let tenants: Vec<_> = tenants
        .iter()
        .map(|(name, key)| {
            format!("{{\"name\":\"{name}\",\"api_keys\":[\"{key}\"],\"priority\":1,\"unit\":\"tokens\",\"plain_tokens\":200,\"rate_per_s\":318630,\"burst\":318630}}")
        })
        .collect();
    let route = |name: &str,
                 kind: &str,
                 service: &str,
                 timeout_ms: u32,
                 slo_ms: u32,
                 attempts: u32| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"farm.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"slo_ms\":{slo_ms},\"priority\":2,\"service\":\"{service}\",\"attempts\":{attempts},\"public\":false,\"resumable\":false,\"gap_slo_ms\":500}}"
        )
    };
    let routes = [
        route("cmd", "non_idempotent", "barn-api", 800, 100, 1),
        route("read", "idempotent", "barn-api", 800, 100, 2),
        route("sum", "stream", "jaypin-pool", 15_000, 1_000, 1),
    ];
    let services = [
        "{\"name\":\"barn-api\",\"health_path\":\"/health\",\"max_conns\":208,\"protocol\":\"h1\",\"tls\":false}",
        "{\"name\":\"jaypin-pool\",\"health_path\":\"/health\",\"max_conns\":628,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":9,\"kv_capacity\":639999,\"stride\":6}}",
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_ms\":3000,\"idle_ms\":15000}},\"tenants\":[{}]}}",
        routes.join(","),
        services.join(","),
        tenants.join(",")
    )
}
