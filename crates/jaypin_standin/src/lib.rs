//! Small stand-ins for the systems that jaypin meets; never shipped.
//!
//! Each runs inside any tokio runtime, as tasks of a test, or as a process of its own
//! by the command `jaypin-standin`.

mod app;
mod engine;
mod http;
mod platform;
mod prefix_cache;
mod proxy;

pub use app::{App, AppCall, AppConfig};
pub use engine::{Engine, EngineConfig, Execution, expected_answer};
pub use http::unix_ms;
pub use platform::{Fault, Platform, PlatformCalls};
pub use prefix_cache::{CHARS_PER_TOKEN, CacheEvent, CacheEvents, ServiceBlocks};
pub use proxy::{Proxy, ProxyMode};
