//! Type aliases for the ids in events, messages and effects.

use std::sync::Arc;

/// Name of an entry host, as in the host list.
pub type HostId = Arc<str>;
/// Name of a backend server, as in the host list.
pub type BackendId = Arc<str>;
/// Name of a service, as in the rule file.
pub type ServiceId = Arc<str>;
/// Name of a client account, as in the rule file.
pub type AccountId = Arc<str>;
/// Name of a failure domain, as in the settings and the host list.
pub type FailureDomain = Arc<str>;
/// Id of a request, unique in the fleet; it consists of host, incarnation and a counter.
pub type RequestId = Arc<str>;
/// Number of one run of a host's process; a later run has a greater number.
pub type Incarnation = u64;
