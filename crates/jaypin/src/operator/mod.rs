//! The operators' listener: status, explanations, metrics, health, drain.
//!
//! It stands apart from the callers' address, and few use it, so `tiny_http` serves it.

mod explain;
mod token;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use crossbeam::channel::Sender;
use jaypin_core::Event;
use jaypin_wire::{HostIdentity, MemberBody, ShardState, StatusBody};
use tiny_http::{Header, Method, Request, Response, Server};
use tokio::sync::watch;

use crate::decisions::Decisions;
use crate::links::LinkCounters;
use crate::metrics;
use crate::snapshot::Snapshot;

/// Threads that answer; one that waits for another host holds up no health check.
const THREADS: usize = 3;

/// Type of the text format that scrapers read.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";
/// Path below which requests are explained.
const EXPLAIN: &str = "/explain/";

/// What the operators' listener shows and does.
#[derive(Debug, Clone)]
pub struct Operator {
    /// This host.
    pub own: HostIdentity,
    /// The reducer's state as it is shown.
    pub snapshots: watch::Receiver<Arc<Snapshot>>,
    /// Where orders go.
    pub events: Sender<Event>,
    /// Records of this host's requests.
    pub decisions: Arc<Decisions>,
    /// Port of every host's operator listener.
    pub port: u16,
    /// Digest of the operators' token; none asks for none.
    pub token_digest: Option<String>,
    /// What went over the links.
    pub links: Arc<LinkCounters>,
}

/// An answer: status and JSON body.
type Page = (u16, String);

impl Operator {
    /// Serves in threads that end with the process.
    pub fn spawn(self, address: SocketAddr) -> Result<(), String> {
        let server =
            Server::http(address).map_err(|error| format!("operator-listen {address}: {error}"))?;
        let server = Arc::new(server);
        for _ in 0..THREADS {
            let (operator, server) = (self.clone(), server.clone());
            thread::Builder::new()
                .name("operator".to_owned())
                .spawn(move || {
                    for req in server.incoming_requests() {
                        operator.answer(req);
                    }
                })
                .map_err(|error| error.to_string())?;
        }
        Ok(())
    }

    fn answer(&self, req: Request) {
        let (status, body) = self.page(&req);
        let content_type = match (status, req.url()) {
            (200, "/metrics") => METRICS_TYPE,
            _ => "application/json",
        };
        let mut response = Response::from_string(body).with_status_code(status);
        if let Ok(header) = Header::from_bytes("content-type", content_type) {
            response.add_header(header);
        }
        let _ = req.respond(response);
    }

    fn page(&self, req: &Request) -> Page {
        let snapshot = self.snapshots.borrow().clone();
        match (req.method(), req.url()) {
            (Method::Get, "/healthz") => return (200, "\"ok\"".to_owned()),
            (Method::Get, "/readyz") => return readiness(&snapshot),
            _ => {}
        }
        if !token::is_allowed(req, self.token_digest.as_deref()) {
            return error_page(401, "the operators' token is expected");
        }
        match (req.method(), req.url()) {
            (Method::Get, "/metrics") => (200, metrics::render(&snapshot)),
            (Method::Get, "/status") => self.status(&snapshot),
            (Method::Get, path) if path.starts_with(EXPLAIN) => {
                self.explain(req, &path[EXPLAIN.len()..], &snapshot)
            }
            (Method::Get, "/links") => {
                let counts = self.links.counts();
                (200, serde_json::to_string(&counts).unwrap_or_default())
            }
            (Method::Get, "/members") => {
                let body = MemberBody::list(&snapshot.members);
                (200, serde_json::to_string(&body).unwrap_or_default())
            }
            (Method::Post, "/drain") => {
                let _ = self.events.send(Event::Drain);
                (202, "\"draining\"".to_owned())
            }
            _ => error_page(404, "no such path"),
        }
    }

    fn status(&self, snapshot: &Snapshot) -> Page {
        let shards = snapshot.shards.iter();
        let shards = shards.map(|it| ShardState::new(it, &snapshot.rules));
        let mut body = StatusBody::new(
            &self.own,
            &snapshot.summary,
            &snapshot.hosts,
            &snapshot.members,
            shards.collect(),
        );
        body.suspected_requests = snapshot.suspects.suspected;
        body.quarantined_requests = snapshot.suspects.quarantined;
        (200, serde_json::to_string(&body).unwrap_or_default())
    }
}

fn error_page(status: u16, message: &str) -> Page {
    (status, serde_json::to_string(message).unwrap_or_default())
}

fn readiness(snapshot: &Snapshot) -> Page {
    let summary = &snapshot.summary;
    if summary.hosts_version == 0 {
        (503, "\"no host list yet\"".to_owned())
    } else if !summary.caught_up {
        (503, "\"no peer heard yet, or no rules\"".to_owned())
    } else if summary.rules_version == 0 {
        (503, "\"no rules yet\"".to_owned())
    } else if summary.draining {
        (503, "\"draining\"".to_owned())
    } else {
        (200, "\"ready\"".to_owned())
    }
}
