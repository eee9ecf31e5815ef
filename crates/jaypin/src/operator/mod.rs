//! The operators' listener: status, health, drain.
//!
//! It stands apart from the callers' address, and few use it, so `tiny_http` serves it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use crossbeam::channel::Sender;
use jaypin_core::Event;
use jaypin_wire::{HostIdentity, StatusBody};
use tiny_http::{Header, Method, Request, Response, Server};
use tokio::sync::watch;

use crate::snapshot::Snapshot;

/// Threads that answer; one that waits for another host holds up no health check.
const THREADS: usize = 3;

/// What the operators' listener shows and does.
#[derive(Debug, Clone)]
pub struct Operator {
    /// This host.
    pub own: HostIdentity,
    /// The reducer's state as it is shown.
    pub snapshots: watch::Receiver<Arc<Snapshot>>,
    /// Where orders go.
    pub events: Sender<Event>,
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
        let mut response = Response::from_string(body).with_status_code(status);
        if let Ok(header) = Header::from_bytes("content-type", "application/json") {
            response.add_header(header);
        }
        let _ = req.respond(response);
    }

    fn page(&self, req: &Request) -> Page {
        let snapshot = self.snapshots.borrow().clone();
        match (req.method(), req.url()) {
            (Method::Get, "/status") => self.status(&snapshot),
            (Method::Get, "/healthz") => (200, "\"ok\"".to_owned()),
            (Method::Get, "/readyz") => readiness(&snapshot),
            (Method::Post, "/drain") => {
                let _ = self.events.send(Event::Drain);
                (202, "\"draining\"".to_owned())
            }
            _ => (404, "\"no such path\"".to_owned()),
        }
    }

    fn status(&self, snapshot: &Snapshot) -> Page {
        let body = StatusBody::new(
            &self.own,
            &snapshot.summary,
            &snapshot.hosts,
            &snapshot.live_hosts,
        );
        (200, serde_json::to_string(&body).unwrap_or_default())
    }
}

fn readiness(snapshot: &Snapshot) -> Page {
    let summary = &snapshot.summary;
    if summary.rules_version == 0 {
        (503, "\"no rules yet\"".to_owned())
    } else if summary.hosts_version == 0 {
        (503, "\"no host list yet\"".to_owned())
    } else if summary.draining {
        (503, "\"draining\"".to_owned())
    } else {
        (200, "\"ready\"".to_owned())
    }
}
