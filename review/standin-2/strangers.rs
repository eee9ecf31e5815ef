//! QUOTA: two hosts that start together never hear of each other, and each grants the whole quota.

use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::fleet::{Call, Host, Place, Record, Store, Worker};
use crate::{Outcome, has_trouble};

/// How far the second copy for stale reads is behind.
const COPY_LAG: Duration = Duration::from_secs(3);
const RATE: f64 = 20_000.0;
const BURST: f64 = 20_000.0;
const WINDOW_MS: f64 = 8_000.0;
const TOLERANCE: f64 = 0.1;
const SLACK: f64 = 140_000.0;
/// Tokens of a request.
const UNITS: f64 = 2_000.0;
const SEND_TIME: Duration = Duration::from_secs(12);

fn configuration() -> String {
    format!(
        "{{\"version\":1,\"routes\":[{{\"name\":\"read\",\"host\":\"site.example\",\"path_prefix\":\"/read/\",\"kind\":\"idempotent\",\
         \"timeout_ms\":800,\"slo_ms\":100,\"priority\":2,\"service\":\"barn-api\",\"attempts\":2,\"public\":false}}],\
         \"services\":[{{\"name\":\"barn-api\",\"health_path\":\"/health\",\"max_conns\":208,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_ms\":3000,\"idle_ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-a\",\"api_keys\":[\"key-1\"],\"priority\":1,\"unit\":\"tokens\",\"plain_tokens\":200,\
         \"rate_per_s\":{RATE},\"burst\":{BURST}}}]}}"
    )
}

pub fn play(record: &Record, place: &Place) -> Outcome {
    let store = Store::start();
    if has_trouble() {
        store.set_copy_lag(COPY_LAG);
    }
    let work = Duration::from_millis(15);
    let workers: Vec<_> = (1..=3)
        .map(|n| Worker::start(&format!("i-{n}"), record, work))
        .collect();
    for worker in &workers {
        store.put("servers", &worker.id, &worker.entry("barn-api", 6, "ready"));
    }
    store.put("config", "main", &configuration());
    sleep(COPY_LAG + Duration::from_millis(500));
    let start = |n: usize| {
        Host::start(
            place,
            &store,
            &format!("front-{n}"),
            &format!("127.0.0.{n}"),
        )
    };
    let hosts: Result<Vec<_>, _> = (1..=2).map(start).collect();
    let hosts = hosts.map_err(|it| it.to_string())?;
    if !hosts
        .iter()
        .all(|it| it.wait_until_ready(Duration::from_secs(20)))
    {
        return Err("a host isn't ready".to_owned());
    }
    record.line("both hosts are ready");
    // Long enough for any copy to be current, and for the quota to be full.
    sleep(Duration::from_secs(20));
    let sent: Arc<Mutex<Vec<(String, f64)>>> = Arc::default();
    let mut threads = Vec::new();
    let (start, mut n) = (Instant::now(), 0);
    while start.elapsed() < SEND_TIME {
        for host in &hosts {
            n += 1;
            let (front, name) = (host.front, host.name.clone());
            let (sent, record) = (sent.clone(), record.clone());
            threads.push(thread::spawn(move || {
                let id = format!("read-{n}");
                sent.lock().unwrap().push((id.clone(), record.ms()));
                let call = Call::new("GET", &format!("/read/{id}"))
                    .with("X-Attempt-Id", &id)
                    .with("X-Deadline-Ms", "1500")
                    .with("X-Credential", "key-1")
                    .with("X-Token-Counts", "1900,100");
                let answer = call.send(front);
                let answer = answer.map_or_else(|it| it.to_string(), |it| it.status().to_string());
                record.line(&format!("request {id} at {name}: {answer}"));
            }));
        }
        sleep(Duration::from_millis(25));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let sent = sent.lock().unwrap().clone();
    let ran_at = |id: &str| {
        let runs = workers
            .iter()
            .flat_map(|it| it.runs.lock().unwrap().clone());
        runs.filter(|it| it.id == id).map(|it| it.at_ms).next()
    };
    let ran: Vec<_> = sent
        .iter()
        .filter_map(|(id, at)| Some((*at, ran_at(id)?)))
        .collect();
    let allowed = (RATE * WINDOW_MS / 1_000.0 + BURST) * (1.0 + TOLERANCE) + SLACK;
    let used_from = |from: f64| {
        let of_window = ran
            .iter()
            .filter(|(sent, at)| *sent >= from && *at <= from + WINDOW_MS);
        of_window.map(|_| UNITS).sum::<f64>()
    };
    let most = ran
        .iter()
        .map(|(sent, _)| used_from(*sent))
        .fold(0.0, f64::max);
    record.line(&format!(
        "most units in a window of 8 s: {most}; allowed: {allowed}"
    ));
    Ok(usize::from(most > allowed))
}
