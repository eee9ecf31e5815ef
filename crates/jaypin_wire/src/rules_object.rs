//! The rules as the platform keeps them, in JSON, with their last changes.

use serde::{Deserialize, Serialize};

/// The object behind the key `rules`; its version is the platform object's.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RulesObject {
    /// The rule file as its author wrote it.
    pub text: String,
    /// Last changes, newest last.
    #[serde(default)]
    pub changes: Vec<RulesChange>,
}

/// One accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesChange {
    /// Id of the apply; settles a write whose answer was lost.
    pub apply_id: String,
    /// Who applied it.
    pub author: String,
    /// When, in seconds since the Unix epoch.
    pub at: u64,
}
