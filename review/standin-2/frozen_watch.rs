//! CONFIG, strict revocation: a machine freezes for less than five seconds while keys are taken away.

use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::fleet::{Call, Host, Place, Record, SIGCONT, SIGSTOP, Store, Worker, signal};
use crate::{Outcome, has_trouble, http};

const REVOKE_MS: f64 = 5_000.0;
/// The longest freeze that the pages play.
const FREEZE: Duration = Duration::from_millis(4_990);
/// Time between two keys that are taken away.
const GAP: Duration = Duration::from_millis(100);

/// Clients that keep the host busy.
const LOAD: usize = 60;
/// Workers of the service, with ten slots each: more than the clients need.
const WORKERS: usize = 12;
/// Rounds that are played at most. The last begins within the time that a case may take.
const ROUNDS: usize = 3;

/// Returns the configuration in which this many of the keys were taken away.
fn configuration(taken: usize) -> String {
    let version = taken + 1;
    let keys: Vec<_> = (taken..2 * ROUNDS + 1)
        .map(|it| format!("\"key-{it}\""))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"read\",\"host\":\"site.example\",\"path_prefix\":\"/read/\",\"kind\":\"idempotent\",\
         \"timeout_ms\":800,\"slo_ms\":100,\"priority\":2,\"service\":\"barn-api\",\"attempts\":2,\"public\":false}}],\
         \"services\":[{{\"name\":\"barn-api\",\"health_path\":\"/health\",\"max_conns\":780,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_ms\":3000,\"idle_ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-a\",\"api_keys\":[{}],\"priority\":1,\"unit\":\"tokens\",\"plain_tokens\":200,\
         \"rate_per_s\":0,\"burst\":0}}]}}",
        keys.join(",")
    )
}

fn request(id: &str, key: &str) -> Call {
    Call::new("GET", &format!("/read/{id}"))
        .with("X-Attempt-Id", id)
        .with("X-Deadline-Ms", "1500")
        .with("X-Credential", key)
        .limit(Duration::from_millis(1_500))
}

/// A client that sends one request after the other, with a key that is never taken away. A frozen host
/// was busy.
fn load(front: SocketAddr, n: usize, is_over: &AtomicBool) {
    let key = format!("key-{}", 2 * ROUNDS);
    let mut sent = 0;
    while !is_over.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(front) else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let Ok(read) = stream.try_clone() else { return };
        let mut reader = BufReader::new(read);
        loop {
            sent += 1;
            let bytes = request(&format!("load-{n}-{sent}"), &key).bytes();
            let is_sent = stream.write_all(&bytes).is_ok();
            let head = if is_sent {
                http::read_head(&mut reader)
            } else {
                Ok(None)
            };
            let Ok(Some(mut message)) = head else { break };
            if http::read_body(&mut reader, &mut message, true).is_err() {
                break;
            }
        }
        sleep(Duration::from_millis(20));
    }
}

struct Sent {
    id: String,
    at_ms: f64,
}

pub fn play(record: &Record, place: &Place) -> Outcome {
    let store = Store::start();
    let work = Duration::from_millis(15);
    let workers: Vec<_> = (1..=WORKERS)
        .map(|n| Worker::start(&format!("i-{n}"), record, work))
        .collect();
    for worker in &workers {
        store.put(
            "servers",
            &worker.id,
            &worker.entry("barn-api", 10, "ready"),
        );
    }
    store.put("config", "main", &configuration(0));
    let host = Host::start(place, &store, "front-1", "127.0.0.1").map_err(|it| it.to_string())?;
    if !host.wait_until_ready(Duration::from_secs(20)) {
        return Err("the host isn't ready".to_owned());
    }
    let is_over = Arc::new(AtomicBool::new(false));
    for n in 0..LOAD {
        let (front, is_over) = (host.front, is_over.clone());
        thread::spawn(move || load(front, n, &is_over));
    }
    for round in 0..ROUNDS {
        let broken = play_round(record, &store, &workers, &host, round)?;
        if broken > 0 {
            is_over.store(true, Ordering::Relaxed);
            return Ok(broken);
        }
    }
    is_over.store(true, Ordering::Relaxed);
    Ok(0)
}

fn play_round(
    record: &Record,
    store: &Store,
    workers: &[Worker],
    host: &Host,
    round: usize,
) -> Outcome {
    sleep(Duration::from_millis(3_500));
    let (first, second) = (2 * round, 2 * round + 1);
    for key in [first, second] {
        let answer = request(&format!("before-{key}"), &format!("key-{key}")).send(host.front);
        let status = answer.map_err(|it| it.to_string())?.status();
        record.line(&format!("request before-{key}: {status}"));
        if status != 200 {
            return Err(format!("a request with key-{key} is answered {status}"));
        }
    }
    // The host's watch of the configuration is open.
    let frozen_at = Instant::now();
    if has_trouble() {
        signal(&host.process, SIGSTOP);
        record.line("the host freezes");
        sleep(Duration::from_millis(5));
    }
    store.put("config", "main", &configuration(first + 1));
    record.line(&format!("acknowledged: key-{first} was taken away"));
    sleep(GAP);
    store.put("config", "main", &configuration(second + 1));
    let revoked_ms = record.ms();
    record.line(&format!("acknowledged: key-{second} was taken away"));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let front = host.front;
    let mut threads = Vec::new();
    let mut is_frozen = has_trouble();
    let mut n = 0;
    while frozen_at.elapsed() < Duration::from_millis(6_500) {
        if is_frozen && frozen_at.elapsed() >= FREEZE {
            signal(&host.process, SIGCONT);
            record.line("the host runs again");
            is_frozen = false;
        }
        if frozen_at.elapsed() >= Duration::from_millis(4_700) {
            n += 1;
            let (sent, record) = (sent.clone(), record.clone());
            threads.push(thread::spawn(move || {
                let id = format!("after-{second}-{n}");
                let at_ms = record.ms();
                sent.lock().unwrap().push(Sent {
                    id: id.clone(),
                    at_ms,
                });
                let answer = request(&id, &format!("key-{second}")).send(front);
                let answer = answer.map_or_else(|it| it.to_string(), |it| it.status().to_string());
                record.line(&format!(
                    "request {id} with key-{second}, sent at {at_ms:.1}: {answer}"
                ));
            }));
        }
        sleep(Duration::from_millis(10));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let ran: BTreeSet<String> = workers
        .iter()
        .flat_map(|it| {
            it.runs
                .lock()
                .unwrap()
                .iter()
                .map(|run| run.id.clone())
                .collect::<Vec<_>>()
        })
        .collect();
    let mut broken = 0;
    for sent in sent
        .lock()
        .unwrap()
        .iter()
        .filter(|it| it.at_ms > revoked_ms + REVOKE_MS)
    {
        if ran.contains(&sent.id) {
            broken += 1;
            let late = sent.at_ms - revoked_ms;
            record.line(&format!(
                "BROKEN: {} ran, sent {late:.1} ms after its key was taken away",
                sent.id
            ));
        }
    }
    Ok(broken)
}
