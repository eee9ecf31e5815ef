//! Explains a request: from this host's records, or by asking the host that owns it.
//!
//! The owner's operator listener is asked, not a link: links carry decisions and must
//! not wait for operators. Hosts of a fleet use one port for operators, so the owner's
//! address follows from the host list.

use std::net::SocketAddr;
use std::time::Duration;

use tiny_http::Request;

use super::{Operator, Page, error_page};
use crate::decisions::RequestOwner;
use crate::snapshot::Snapshot;

/// Time for the owner to answer.
const OWNER_TIMEOUT: Duration = Duration::from_secs(3);
/// Header of a question that another host passed on, so that it goes no further.
const PASSED_ON: &str = "x-jaypin-passed-on";

impl Operator {
    /// Gives the record of a request.
    pub(super) fn explain(&self, req: &Request, id: &str, snapshot: &Snapshot) -> Page {
        if let Some(body) = self.decisions.find(id) {
            return (200, serde_json::to_string(&body).unwrap_or_default());
        }
        let Some(owner) = RequestOwner::from_request_id(id) else {
            return error_page(404, "no request has such an id");
        };
        if owner.host != self.own.host {
            return match header(req, PASSED_ON) {
                Some(_) => error_page(404, "the request belongs to another host"),
                None => self.ask_owner(req, id, owner, snapshot),
            };
        }
        if owner.incarnation == self.own.incarnation {
            error_page(404, "the record is not kept any more: see the host's log")
        } else {
            error_page(
                404,
                "the process that owned it has ended: see the host's log",
            )
        }
    }

    fn ask_owner(
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
        let mut ask = attohttpc::get(format!("http://{address}/explain/{id}"))
            .timeout(OWNER_TIMEOUT)
            .header(PASSED_ON, "1");
        if let Some(value) = header(req, "authorization") {
            ask = ask.header("authorization", value);
        }
        match ask.send() {
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
