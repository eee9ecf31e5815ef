//! The metrics page of a host.

use std::time::Duration;

use hyper::StatusCode;
use jaypin_bench::{Client, Fleet, FleetConfig, completion_body};

async fn scrape(fleet: &Fleet, host: usize) -> String {
    let url = format!("http://{}/metrics", fleet.hosts[host].operator);
    let read = move || {
        let timeout = Duration::from_secs(2);
        let response = attohttpc::get(url).timeout(timeout).send().expect("a page");
        response.text().expect("text")
    };
    tokio::task::spawn_blocking(read).await.expect("no panic")
}

/// Scrapes until a line is present, since a request's last step is counted only after the
/// caller has its response.
async fn scrape_until(fleet: &Fleet, host: usize, line: &str) -> String {
    for _ in 0..500 {
        let text = scrape(fleet, host).await;
        if text.lines().any(|it| it == line) {
            return text;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("no {line} in {}", scrape(fleet, host).await);
}

#[tokio::test]
async fn a_served_and_a_refused_request_are_counted_and_no_account_is_named() {
    let mut fleet = Fleet::start(FleetConfig::default()).await.expect("fleet");
    let client = Client::new(fleet.hosts[0].address, "farm-yilan-secret");
    let body = completion_body("cow-small", "How is cow 17?", 8, true);
    let answer = client.complete(&body, &[]).await.expect("an answer");
    assert!(answer.done);
    let complete = r#"jaypin_requests_total{outcome="complete",tier="cow-status"} 1"#;
    let text = scrape_until(&fleet, 0, complete).await;
    for part in [
        r#"jaypin_request_first_token_duration_seconds_count{tier="cow-status"} 1"#,
        "jaypin_stream_gap_duration_seconds_bucket",
        "jaypin_rules_version 1",
        r#"jaypin_platform_calls_total{kind="watch""#,
    ] {
        assert!(text.contains(part), "{part} in {text}");
    }
    assert!(!text.contains("farm-"), "{text}");
    fleet.backends.retain(|backend| backend.service != "chat");
    fleet.publish_hosts();
    let refused = loop {
        let answer = client.complete(&body, &[]).await.expect("an answer");
        if answer.status != StatusCode::OK {
            break answer;
        }
    };
    assert_eq!(refused.json()["outcome"], "not-run");
    let labels = r#"outcome="not-run",reason="no-backend-server",tier="cow-status""#;
    let line = format!("jaypin_refusals_total{{{labels}}} 1");
    scrape_until(&fleet, 0, &line).await;
}
