//! Explains a request from this host's records or from those of the host that owns it.
//!
//! The query goes to the owner's operator listener rather than over a link, since links carry
//! scheduling messages, which must not wait for operators. All hosts of a fleet use the same
//! port for operators, so the owner's address follows from the host list.

use std::net::SocketAddr;
use std::time::Duration;

use tiny_http::Request;

use super::{Operator, Page, error_page};
use crate::decisions::RequestOwner;
use crate::snapshot::Snapshot;

/// Timeout of a query to the owner.
const OWNER_TIMEOUT: Duration = Duration::from_secs(3);
/// Header of a query that another host has forwarded; it prevents a second forwarding.
const FORWARDED_HEADER: &str = "x-jaypin-passed-on";

impl Operator {
    /// Returns the record of a request, or an error page that says why there is none.
    pub(super) fn explain(&self, req: &Request, id: &str, snapshot: &Snapshot) -> Page {
        if let Some(body) = self.decisions.find(id) {
            return (200, serde_json::to_string(&body).unwrap_or_default());
        }
        let Some(owner) = RequestOwner::from_request_id(id) else {
            return error_page(404, "no request has such an id");
        };
        if owner.host != self.identity.host {
            return match header(req, FORWARDED_HEADER) {
                Some(_) => error_page(404, "the request belongs to another host"),
                None => self.forward_to_owner(req, id, owner, snapshot),
            };
        }
        if owner.incarnation == self.identity.incarnation {
            error_page(404, "the record is not kept any more: see the host's log")
        } else {
            error_page(
                404,
                "the process that owned it has ended: see the host's log",
            )
        }
    }

    /// Forwards the query for a request to the host that owns it.
    fn forward_to_owner(
        &self,
        req: &Request,
        id: &str,
        owner: RequestOwner<'_>,
        snapshot: &Snapshot,
    ) -> Page {
        let hosts = &snapshot.hosts.hosts;
        let record = hosts.iter().find(|host| &*host.id == owner.host);
        let Some(record) = record else {
            return error_page(404, "the host that owned it is not in the host list");
        };
        let Ok(mut address) = record.link.parse::<SocketAddr>() else {
            return error_page(502, "the owner's address can't be read");
        };
        address.set_port(self.port);
        let mut query = attohttpc::get(format!("http://{address}/explain/{id}"))
            .timeout(OWNER_TIMEOUT)
            .header(FORWARDED_HEADER, "1");
        if let Some(value) = header(req, "authorization") {
            query = query.header("authorization", value);
        }
        match query.send() {
            Ok(response) => {
                let status = response.status().as_u16();
                (status, response.text().unwrap_or_default())
            }
            Err(error) => {
                let message = format!("{}, which owns it, does not answer: {error}", owner.host);
                error_page(502, &message)
            }
        }
    }
}

fn header(req: &Request, name: &'static str) -> Option<String> {
    let found = req.headers().iter().find(|header| header.field.equiv(name));
    found.map(|header| header.value.as_str().to_owned())
}
