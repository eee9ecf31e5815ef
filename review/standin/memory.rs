//! Case: bodies within the limit of the configuration take more memory than the machine has.
#![allow(dead_code)]

mod common;

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::{Host, Record, Store, Wire, Worker, configuration};

/// `memory_mb` of the site's machines, in KiB.
const MEMORY_KIB: u64 = 182 * 1_024;
/// `body_bytes` of the configuration is 4,194,304.
const BODY_BYTES: usize = 4_000_000;
/// A client sends its body in this time. All of them together send less than `link_mbps`, 700.
const UPLOAD_TIME: Duration = Duration::from_millis(3_000);
const PIECES: u32 = 40;
/// Each machine gets this many bursts.
const BURSTS: usize = 3;
const RESTART: Duration = Duration::from_millis(500);

fn resident_kib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|it| it.starts_with("VmRSS:"));
    line.and_then(|it| it.split_whitespace().nth(1))
        .and_then(|it| it.parse().ok())
        .unwrap_or(0)
}

/// Sends one request with a large body, and returns its status or what became of its connection.
fn upload(host: SocketAddr, id: &str) -> String {
    let Ok(stream) = TcpStream::connect_timeout(&host, Duration::from_secs(1)) else {
        return "no connection".into();
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(15)));
    let mut wire = Wire::new(stream);
    let head = format!(
        "POST /sum/{id} HTTP/1.1\r\nHost: farm.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 15000\r\nX-Token-Counts: 6670,384\r\nX-Credential: key-1\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    if wire.stream.write_all(head.as_bytes()).is_err() {
        return "cut".into();
    }
    let piece = vec![b'x'; BODY_BYTES / PIECES as usize];
    for _ in 0..PIECES {
        if wire.stream.write_all(&piece).is_err() {
            return "cut".into();
        }
        thread::sleep(UPLOAD_TIME / PIECES);
    }
    let Some(head) = wire.head() else {
        return "cut".into();
    };
    let status = head.first.split(' ').nth(1).unwrap_or("").to_owned();
    if wire.body(&head).is_none() {
        return format!("{status}, cut");
    }
    status
}

fn main() {
    let path = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "record.txt".into());
    let record = Record::create(Path::new(&path));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let clients = if has_trouble { 34 } else { 10 };
    let store = Store::start();
    store.write(
        "config",
        "main",
        Some(configuration(1, &[("farm", "key-1")]).as_bytes()),
    );
    let workers: Vec<_> = (1..=10)
        .map(|n| Worker::start_engine(&format!("i-{n}"), &record))
        .collect();
    for worker in &workers {
        worker.register(&store, "ready");
    }
    let names = ["front-1", "front-2"];
    let mut kills = [0_usize; 2];
    for (machine, name) in names.iter().enumerate() {
        for burst in 0..BURSTS {
            let host = match Host::start(&store, name) {
                Ok(host) => host,
                Err(error) => {
                    record.line(&error);
                    exit(2);
                }
            };
            thread::sleep(Duration::from_secs(2));
            record.line(&format!(
                "burst {burst} at {name}: {clients} clients send {BODY_BYTES} bytes each in {} ms",
                UPLOAD_TIME.as_millis()
            ));
            let answers: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
            let (done, peak) = (
                Arc::new(AtomicBool::new(false)),
                Arc::new(AtomicU64::new(0)),
            );
            let callers = host.callers;
            let uploads: Vec<_> = (0..clients)
                .map(|n| {
                    let (answers, record) = (answers.clone(), record.clone());
                    let id = format!("u{machine}{burst}{n:03}");
                    thread::spawn(move || {
                        record.line(&format!(
                            "a client sends POST /sum/{id} as {id}, {BODY_BYTES} bytes"
                        ));
                        let answer = upload(callers, &id);
                        record.line(&format!("the client gets {answer} for {id}"));
                        *answers.lock().unwrap().entry(answer).or_default() += 1;
                    })
                })
                .collect();
            let watched = {
                let (done, peak, process) = (done.clone(), peak.clone(), host.pid());
                thread::spawn(move || {
                    while !done.load(Ordering::SeqCst) {
                        let now = resident_kib(process);
                        peak.fetch_max(now, Ordering::SeqCst);
                        if now > MEMORY_KIB {
                            return Some(Instant::now());
                        }
                        thread::sleep(Duration::from_millis(5));
                    }
                    None
                })
            };
            // "A process that exceeds `memory_mb` is killed" (DEPLOY.md).
            let is_killed = Arc::new(AtomicBool::new(false));
            let ends = Instant::now() + Duration::from_secs(8);
            while Instant::now() < ends && !uploads.iter().all(|it| it.is_finished()) {
                if watched.is_finished() && !is_killed.swap(true, Ordering::SeqCst) {
                    host.signal("KILL");
                    kills[machine] += 1;
                    record.line(&format!(
                        "{name} exceeds memory_mb and is killed by the platform"
                    ));
                }
                thread::sleep(Duration::from_millis(5));
            }
            done.store(true, Ordering::SeqCst);
            drop(host);
            for upload in uploads {
                let _ = upload.join();
            }
            let _ = watched.join();
            record.line(&format!(
                "resident memory at most {} KiB of {MEMORY_KIB}; answers {:?}",
                peak.load(Ordering::SeqCst),
                answers.lock().unwrap()
            ));
            thread::sleep(RESTART);
        }
    }
    let text = format!(
        "processes killed for their memory: {} of front-1, {} of front-2",
        kills[0], kills[1]
    );
    record.line(&text);
    println!("{text}");
    exit(i32::from(kills.iter().all(|it| *it >= BURSTS)));
}
