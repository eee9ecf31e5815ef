//! Case: one entry that cannot be read keeps a host from learning which workers leave and come.
#![allow(dead_code)]

mod common;

use std::collections::BTreeMap;
use std::path::Path;
use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::{Answer, Call, Host, Random, Record, Store, Worker, configuration, send};

const CLIENTS: u64 = 34;
/// Requests of all clients, a second.
const PER_SECOND: f64 = 10.0;
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time for which a worker that leaves goes on serving after the store has accepted its report:
/// `drain_ms` and a little longer.
const SERVES_FOR: Duration = Duration::from_millis(3_500);
/// Pause between two replacements, as `release` has it.
const GAP: Duration = Duration::from_millis(900);

/// Entries of another writer.
const FOREIGN: [(&str, &[u8]); 4] = [
    (
        "a text that is no Unicode, written as JSON",
        b"{\"service\":\"barn-api\",\"zone\":\"\\ud83d\",\"state\":\"ready\"}",
    ),
    (
        "bytes that are no text",
        b"{\"service\":\"barn-api\",\"zone\":\"\xff\xfe\",\"state\":\"ready\"}",
    ),
    (
        "a number that is too large",
        b"{\"service\":\"barn-api\",\"slots\":1e999,\"state\":\"ready\"}",
    ),
    ("a text in place of the fields", b"\"moved\""),
];

fn main() {
    let path = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "record.txt".into());
    let record = Record::create(Path::new(&path));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let variant: usize = std::env::var("ENTRY")
        .ok()
        .and_then(|it| it.parse().ok())
        .unwrap_or(0);
    let (what, foreign) = FOREIGN[variant % FOREIGN.len()];
    let store = Store::start();
    let config = configuration(1, &[("farm", "key-1")]);
    store.write("config", "main", Some(config.as_bytes()));
    let workers: Vec<_> = (1..=6)
        .map(|n| Worker::start_engine(&format!("i-{n}"), &record))
        .collect();
    for worker in &workers {
        worker.register(&store, "ready");
    }
    let host = match Host::start(&store, "front-1") {
        Ok(host) => host,
        Err(error) => {
            record.line(&error);
            exit(2);
        }
    };
    record.line("the host is ready");
    thread::sleep(Duration::from_secs(3));

    let answers: Arc<Mutex<BTreeMap<String, Answer>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let callers = host.callers;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (answers, stop, record) = (answers.clone(), stop.clone(), record.clone());
            thread::spawn(move || {
                let mut random = Random::new(client + 1);
                let mut kept = None;
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    thread::sleep(
                        random.pause(Duration::from_secs_f64(CLIENTS as f64 / PER_SECOND)),
                    );
                    number += 1;
                    let id = format!("s{client:02}{number:05}");
                    let path = format!("/sum/{client}/{number}");
                    let tokens = Some("2000,384");
                    let call = Call {
                        method: "POST",
                        path: &path,
                        key: "key-1",
                        id: &id,
                        deadline_ms: 15_000,
                        tokens,
                        body: "herd summary",
                    };
                    record.line(&format!("client {client} sends POST {path} as {id}"));
                    let answer = send(callers, &mut kept, &call);
                    record.line(&format!("client {client} gets {answer:?} for {id}"));
                    answers.lock().unwrap().insert(id, answer);
                }
            })
        })
        .collect();

    thread::sleep(Duration::from_secs(4));
    if has_trouble {
        store.write("servers", "zz-other", Some(foreign));
        record.line(&format!(
            "another writer has written the entry zz-other: {what}"
        ));
    }
    thread::sleep(Duration::from_secs(4));

    // Half of the workers are replaced one after the other. The new one starts first.
    let mut leaves = Vec::new();
    let mut new = Vec::new();
    for n in 0..3 {
        let worker = Worker::start_engine(&format!("i-{}", 7 + n), &record);
        worker.register(&store, "ready");
        record.line(&format!("{} has started and written its entry", worker.id));
        new.push(worker);
        let leaver = workers[n].clone();
        leaver.register(&store, "draining");
        let acknowledged = Instant::now();
        record.line(&format!(
            "the store has acknowledged that {} is draining",
            leaver.id
        ));
        leaves.push((leaver.clone(), acknowledged));
        let (store, record) = (store.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(SERVES_FOR);
            leaver.end();
            store.write("servers", &leaver.id, None);
            record.line(&format!("{} has ended", leaver.id));
        });
        thread::sleep(GAP);
    }
    thread::sleep(SERVES_FOR + Duration::from_secs(4));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let answers = answers.lock().unwrap();
    let (mut late, mut lost) = (0, 0);
    for (leaver, acknowledged) in &leaves {
        for run in leaver.runs.lock().unwrap().iter() {
            let after = run.at.saturating_duration_since(*acknowledged);
            if after > DRAIN {
                late += 1;
                let answer = answers.get(&run.id);
                lost += u32::from(answer != Some(&Answer::Status(200)));
                record.line(&format!(
                    "DRAIN: {} reached {} {} ms after the acknowledgement, the client got {answer:?}",
                    run.id,
                    leaver.id,
                    after.as_millis()
                ));
            }
        }
    }
    // A host that starts now, for the record alone.
    let mut at_start = "not started".to_owned();
    if let Ok(other) = Host::start(&store, "front-2") {
        thread::sleep(Duration::from_secs(4));
        let answers: Vec<_> = (0..10)
            .map(|n| {
                let (id, path) = (format!("n{n}"), format!("/sum/n/{n}"));
                let tokens = Some("2000,384");
                let call = Call {
                    method: "POST",
                    path: &path,
                    key: "key-1",
                    id: &id,
                    deadline_ms: 15_000,
                    tokens,
                    body: "herd summary",
                };
                send(other.callers, &mut None, &call)
            })
            .collect();
        let served = answers
            .iter()
            .filter(|it| **it == Answer::Status(200))
            .count();
        at_start = format!("{served} of {}", answers.len());
    }
    for line in host.log_lines("store call failed").iter().take(3) {
        record.line(&format!("the host's log: {line}"));
    }
    let at_new: usize = new.iter().map(|it| it.runs.lock().unwrap().len()).sum();
    let served = answers
        .values()
        .filter(|it| **it == Answer::Status(200))
        .count();
    let text = format!(
        "attempts {}, served {served}, DRAIN {late}, of these streams cut off {lost}, run by the new workers {at_new}; a host that starts afterwards serves {at_start}",
        answers.len()
    );
    record.line(&text);
    println!("{text}");
    drop(host);
    if answers.is_empty() || served == 0 {
        exit(2);
    }
    exit(i32::from(late > 0));
}
