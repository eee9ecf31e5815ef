//! The operators' listener: status, health, drain.
//!
//! It stands apart from the callers' address, and few use it, so `tiny_http` serves it.

use std::sync::Arc;
use std::thread;

use crossbeam::channel::Sender;
use jaypin_core::Event;
use jaypin_wire::{MemberBody, StatusBody};
use tiny_http::{Header, Method, Request, Response, Server};
use tokio::sync::watch;

use crate::links::LinkCounters;
use crate::snapshot::Snapshot;

/// What the operators' listener shows and does.
#[derive(Debug, Clone)]
pub struct Operator {
    /// This host.
    pub host: String,
    /// This run of its process.
    pub incarnation: u64,
    /// The reducer's state as it is shown.
    pub snapshots: watch::Receiver<Arc<Snapshot>>,
    /// Where orders go.
    pub events: Sender<Event>,
    /// What went over the links.
    pub links: Arc<LinkCounters>,
}

impl Operator {
    /// Serves in a thread that ends with the process.
    pub fn spawn(self, address: std::net::SocketAddr) -> Result<(), String> {
        let server =
            Server::http(address).map_err(|error| format!("operator-listen {address}: {error}"))?;
        thread::Builder::new()
            .name("operator".to_owned())
            .spawn(move || {
                for req in server.incoming_requests() {
                    self.answer(req);
                }
            })
            .map_err(|error| error.to_string())?;
        Ok(())
    }

    fn answer(&self, req: Request) {
        let snapshot = self.snapshots.borrow().clone();
        let (status, body) = match (req.method(), req.url()) {
            (Method::Get, "/status") => {
                let body = StatusBody::new(&self.host, self.incarnation, &snapshot.summary);
                (200, serde_json::to_string(&body).unwrap_or_default())
            }
            (Method::Get, "/links") => {
                let counts = self.links.counts();
                (200, serde_json::to_string(&counts).unwrap_or_default())
            }
            (Method::Get, "/members") => {
                let body = MemberBody::list(&snapshot.members);
                (200, serde_json::to_string(&body).unwrap_or_default())
            }
            (Method::Get, "/healthz") => (200, "\"ok\"".to_owned()),
            (Method::Get, "/readyz") => readiness(&snapshot),
            (Method::Post, "/drain") => {
                let _ = self.events.send(Event::Drain);
                (202, "\"draining\"".to_owned())
            }
            _ => (404, "\"no such path\"".to_owned()),
        };
        let mut response = Response::from_string(body).with_status_code(status);
        if let Ok(header) = Header::from_bytes("content-type", "application/json") {
            response.add_header(header);
        }
        let _ = req.respond(response);
    }
}

fn readiness(snapshot: &Snapshot) -> (u16, String) {
    let summary = &snapshot.summary;
    if summary.rules_version == 0 {
        (503, "\"no rules yet\"".to_owned())
    } else if summary.hosts_version == 0 {
        (503, "\"no host list yet\"".to_owned())
    } else if !summary.caught_up {
        (503, "\"no peer heard yet\"".to_owned())
    } else if summary.draining {
        (503, "\"draining\"".to_owned())
    } else {
        (200, "\"ready\"".to_owned())
    }
}
