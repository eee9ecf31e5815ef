//! The request that is sent to a backend server or a peer.

use hyper::header::HeaderValue;
use hyper::{HeaderMap, Request, Uri};
use tokio::time::Instant;

use super::read_request::{LAST_EVENT_ID, PASSED_ON};
use super::request_task::RequestTask;
use crate::admission::HeldBody;
use crate::calls::{Recipient, SendOrder};
use crate::ports::ForwardContext;

impl RequestTask {
    /// Returns the request as it is sent to the recipient.
    pub(super) fn outgoing_request(&self, order: &SendOrder) -> Request<HeldBody> {
        let mut req = Request::new(self.received.body.clone());
        *req.method_mut() = self.received.method.clone();
        *req.uri_mut() = origin_form(&self.received.uri);
        *req.headers_mut() = self.outgoing_headers(order);
        if let Some(id) = self.last_id {
            let value = HeaderValue::from(id);
            req.headers_mut().insert(LAST_EVENT_ID, value);
        }
        req
    }

    fn outgoing_headers(&self, order: &SendOrder) -> HeaderMap {
        let (platform, received) = (&self.host.platform, &self.received.headers);
        let time_left = order.deadline.saturating_duration_since(Instant::now());
        match &order.recipient {
            Recipient::Backend(backend) => {
                let forward = ForwardContext {
                    backend,
                    account: order.requester.account.as_ref(),
                    time_left,
                };
                platform.forwarded_headers(received, &forward)
            }
            Recipient::Peer(_) => {
                let mut headers = platform.passed_on_headers(received, time_left);
                headers.insert(PASSED_ON, HeaderValue::from_static("1"));
                headers
            }
        }
    }
}

/// Returns the path and query of a URI: a request target that a caller sent in absolute form
/// is sent to the backend server in origin form.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map(Uri::from).unwrap_or_default()
}
