//! Test doubles for the systems that jaypin talks to; not part of a release.
//!
//! Each test double runs either as tasks on the tokio runtime of a test or as a separate
//! process that the command `jaypin-standin` starts.

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
