//! Wire form of the refusals that hosts send each other.

use jaypin_core::{Ran, Reason, Refusal};
use serde::{Deserialize, Serialize};

use crate::slots::WireDuration;

/// Wire form of [`Refusal`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WireRefusal {
    #[serde(rename = "r")]
    reason: WireReason,
    #[serde(rename = "o")]
    ran: WireRan,
    #[serde(rename = "w")]
    retry_after: Option<WireDuration>,
    #[serde(rename = "l")]
    rule_line: Option<u32>,
}

/// Defines the wire form of an enum, with conversions in both directions.
///
/// Variants have the same names on both sides; the names are what is sent.
macro_rules! twin_enum {
    ($(#[$doc:meta])* $wire:ident, $core:ident, [$($name:ident),* $(,)?]) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Serialize, Deserialize)]
        #[allow(missing_docs, reason = "variants are documented at the core type")]
        pub enum $wire { $($name),* }

        impl From<$core> for $wire {
            fn from(value: $core) -> Self {
                match value { $($core::$name => Self::$name),* }
            }
        }

        impl From<$wire> for $core {
            fn from(value: $wire) -> Self {
                match value { $($wire::$name => Self::$name),* }
            }
        }
    };
}

twin_enum!(
    /// Wire form of [`Ran`].
    WireRan, Ran, [NotRun, Ran, Unknown]
);
twin_enum!(
    /// Wire form of [`Reason`].
    WireReason,
    Reason,
    [
        Draining, NotReady, Unproven, NoBackend, Shed, TooLate, NoScheduler, OverLimit, Quarantined,
        InFlight, KeyUnknown, KeyMismatch, KeyTableFull, AlreadyRan, BackendLost, BackendFailed,
        VersionGone, VersionUnknown,
    ]
);

impl From<Refusal> for WireRefusal {
    fn from(refusal: Refusal) -> Self {
        Self {
            reason: refusal.reason.into(),
            ran: refusal.ran.into(),
            retry_after: refusal.retry_after.map(Into::into),
            rule_line: refusal.rule_line,
        }
    }
}

impl From<WireRefusal> for Refusal {
    fn from(wire: WireRefusal) -> Self {
        Self {
            reason: wire.reason.into(),
            ran: wire.ran.into(),
            retry_after: wire.retry_after.map(Into::into),
            rule_line: wire.rule_line,
        }
    }
}
