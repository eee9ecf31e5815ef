//! Case: a worker's rejection that arrives a second time is taken for the answer to the next request.
#![allow(dead_code)]

mod common;

use std::collections::BTreeMap;
use std::path::Path;
use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use common::{Answer, Call, Host, Random, Record, Store, Worker, configuration, send};

const CLIENTS: u64 = 34;
/// Commands and reads of all clients, a second.
const PER_SECOND: f64 = 31.6 + 12.6;
const COMMAND_SHARE: f64 = 31.6 / PER_SECOND;
const WINDOWS: u32 = 14;

struct Attempt {
    is_command: bool,
    answer: Answer,
}

fn main() {
    let path = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "record.txt".into());
    let record = Record::create(Path::new(&path));
    let trouble = std::env::var("TROUBLE").unwrap_or_else(|_| "1".into());
    let (has_shed, has_extra) = (trouble != "0", trouble != "0" && trouble != "shed");
    let store = Store::start();
    let config = configuration(1, &[("farm", "key-1")]);
    store.write("config", "main", Some(config.as_bytes()));
    let workers: Vec<_> = (1..=3)
        .map(|n| Worker::start_plain(&format!("i-{n}"), &record))
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
    thread::sleep(Duration::from_secs(2));

    let attempts: Arc<Mutex<BTreeMap<String, Attempt>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let callers = host.callers;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (attempts, stop, record) = (attempts.clone(), stop.clone(), record.clone());
            thread::spawn(move || {
                let mut random = Random::new(client + 1);
                let mut kept = None;
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    thread::sleep(
                        random.pause(Duration::from_secs_f64(CLIENTS as f64 / PER_SECOND)),
                    );
                    let is_command = random.unit() < COMMAND_SHARE;
                    number += 1;
                    let id = format!(
                        "{}{client:02}{number:05}",
                        if is_command { "c" } else { "r" }
                    );
                    let path = format!(
                        "{}/{client}/{number}",
                        if is_command { "/cmd" } else { "/read" }
                    );
                    let (method, body) = if is_command {
                        ("POST", "reset teat cup")
                    } else {
                        ("GET", "")
                    };
                    let call = Call {
                        method,
                        path: &path,
                        key: "key-1",
                        id: &id,
                        deadline_ms: 1_500,
                        tokens: None,
                        body,
                    };
                    record.line(&format!("client {client} sends {method} {path} as {id}"));
                    let answer = send(callers, &mut kept, &call);
                    record.line(&format!("client {client} gets {answer:?} for {id}"));
                    attempts
                        .lock()
                        .unwrap()
                        .insert(id, Attempt { is_command, answer });
                }
            })
        })
        .collect();

    thread::sleep(Duration::from_secs(2));
    for _ in 0..WINDOWS {
        if has_shed {
            record.line("srv_grey (shed all) begins at i-1, i-2 and i-3");
            for worker in &workers {
                *worker.shed.lock().unwrap() = 0.35;
            }
        }
        if has_extra {
            record.line("garble (extra late) begins at i-1 and i-2");
            for worker in &workers[..2] {
                *worker.extra.lock().unwrap() = 0.03;
            }
        }
        thread::sleep(Duration::from_secs(5));
        for worker in &workers {
            *worker.extra.lock().unwrap() = 0.0;
            *worker.shed.lock().unwrap() = 0.0;
        }
        record.line("the window ends");
        thread::sleep(Duration::from_secs(1));
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(1));

    let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for worker in &workers {
        for run in worker.runs.lock().unwrap().iter() {
            runs.entry(run.id.clone())
                .or_default()
                .push(run.worker.clone());
        }
    }
    let attempts = attempts.lock().unwrap();
    let (mut twice, mut refused, mut served) = (0, 0, 0);
    for (id, attempt) in attempts.iter() {
        served += u32::from(attempt.answer == Answer::Status(200));
        let Some(of_attempt) = runs.get(id).filter(|_| attempt.is_command) else {
            continue;
        };
        if of_attempt.len() > 1 {
            twice += 1;
            record.line(&format!(
                "TWICE: {id} ran at {of_attempt:?} and was answered {:?}",
                attempt.answer
            ));
        }
        if matches!(attempt.answer, Answer::Status(408 | 421 | 429 | 503)) {
            refused += 1;
            record.line(&format!(
                "REFUSED: {id} was answered {:?} and ran at {of_attempt:?}",
                attempt.answer
            ));
        }
    }
    let text = format!(
        "attempts {}, served {served}, TWICE {twice}, REFUSED {refused}",
        attempts.len()
    );
    record.line(&text);
    println!("{text}");
    drop(host);
    if attempts.is_empty() || served == 0 {
        exit(2);
    }
    exit(i32::from(twice + refused > 0));
}
