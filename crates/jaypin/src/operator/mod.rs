//! The operators' HTTP listener: status, explanations of requests, metrics, health, drain.
//!
//! It has an address of its own, apart from the callers' one. It gets few requests, so the
//! synchronous server `tiny_http` is sufficient.

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

/// Threads that serve requests. With several threads, one that waits for another host doesn't
/// delay health checks.
const SERVER_THREADS: usize = 3;

/// Content type of the Prometheus text format.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";
/// Prefix of the paths that explain a request; the request's id follows.
const EXPLAIN_PREFIX: &str = "/explain/";

/// The state and channels that the operators' listener uses.
#[derive(Debug, Clone)]
pub struct Operator {
    /// Identity of this host.
    pub identity: HostIdentity,
    /// Receives copies of the reducer's state.
    pub snapshots: watch::Receiver<Arc<Snapshot>>,
    /// Sends events, such as the order to drain, to the reducer.
    pub events: Sender<Event>,
    /// Records of this host's requests.
    pub decisions: Arc<Decisions>,
    /// Port of the operators' listener, the same on every host of the fleet.
    pub port: u16,
    /// SHA-256 of the operators' token; without one, no token is required.
    pub token_digest: Option<String>,
    /// Counters of the traffic on links.
    pub links: Arc<LinkCounters>,
}

/// A response: status code and body, which is JSON except for metrics.
type Page = (u16, String);

impl Operator {
    /// Binds the listener and serves requests in threads that end with the process.
    pub fn spawn(self, address: SocketAddr) -> Result<(), String> {
        let server =
            Server::http(address).map_err(|error| format!("operator-listen {address}: {error}"))?;
        let server = Arc::new(server);
        for _ in 0..SERVER_THREADS {
            let (operator, server) = (self.clone(), server.clone());
            thread::Builder::new()
                .name("operator".to_owned())
                .spawn(move || {
                    for req in server.incoming_requests() {
                        operator.respond(req);
                    }
                })
                .map_err(|error| error.to_string())?;
        }
        Ok(())
    }

    fn respond(&self, req: Request) {
        let (status, body) = self.page(&req);
        let content_type = match (status, req.url()) {
            (200, "/metrics") => METRICS_CONTENT_TYPE,
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
            (Method::Get, path) if path.starts_with(EXPLAIN_PREFIX) => {
                self.explain(req, &path[EXPLAIN_PREFIX.len()..], &snapshot)
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
            &self.identity,
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
