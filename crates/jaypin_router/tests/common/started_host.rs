//! A host that has just started, and the entries that it lists.

use jaypin_router::{BackendRecord, Event};

use crate::common::{self, ENGINES, TestHost, record};

/// Returns a host that has just read its configuration and knows `others` registered hosts, none
/// of which has sent a report.
pub fn started_host(others: u16) -> TestHost {
    let mut host = TestHost::unconfigured();
    let wholes = (2..2 + others).map(common::whole_report);
    let hosts = wholes.map(|it| (it.host, it.address));
    host.apply(Event::HostsListed(hosts.collect()));
    host.configure(common::configuration(1));
    host.prove();
    host
}

/// Returns the entries of `count` engines.
pub fn engines(count: usize) -> Vec<BackendRecord> {
    let ids = (0..count).map(|n| record(&format!("engine-{n}"), ENGINES, 9));
    ids.collect()
}
