//! Wire format of configuration snapshots.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::entries::{WirePoint, read_point, wire_point};
use super::{WireError, decode, encode, milliseconds};
use crate::ports::Object;

/// Name, point and content.
type WireObject = (String, WirePoint, serde_json::Value);
/// Version, milliseconds since it was known to be the newest, the object unless the requesting host
/// has it, and the proof of the entries: their digest, and milliseconds since they were known to be
/// complete.
#[derive(Debug, Serialize, Deserialize)]
struct WireSnapshot(
    u64,
    Option<u64>,
    Option<WireObject>,
    // Snapshots of earlier versions end before it.
    #[serde(default)] Option<(u64, u64)>,
);

/// A configuration as one host sends it to another.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigurationSnapshot {
    /// Version of the configuration; 0 before any.
    pub version: u64,
    /// Time since the version was known to be the newest; `None` if it never was.
    pub proof_age: Option<Duration>,
    /// The store's object, unless the requesting host has this version.
    pub object: Option<Object>,
    /// Proof of the entries of backend servers; `None` if the host never had one.
    pub entries: Option<EntriesProof>,
}

/// A proof that a host knew all entries of backend servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntriesProof {
    /// Digest of the entries.
    pub digest: u64,
    /// Time since they were known to be all.
    pub age: Duration,
}

/// Encodes a configuration snapshot.
///
/// # Errors
/// Fails if the CBOR library does.
pub fn encode_configuration(snapshot: &ConfigurationSnapshot) -> Result<Vec<u8>, WireError> {
    let object = snapshot.object.as_ref();
    let object = object.map(|it| (it.name.clone(), wire_point(it.point), it.content.clone()));
    // Ages are rounded up, so that a proof never becomes younger in transit.
    let rounded_up = |age: Duration| milliseconds(age) + 1;
    let entries = snapshot.entries.map(|it| (it.digest, rounded_up(it.age)));
    encode(&WireSnapshot(
        snapshot.version,
        snapshot.proof_age.map(rounded_up),
        object,
        entries,
    ))
}

/// Decodes a configuration snapshot.
///
/// # Errors
/// Fails if the bytes are not a configuration snapshot.
pub fn decode_configuration(bytes: &[u8]) -> Result<ConfigurationSnapshot, WireError> {
    let WireSnapshot(version, age, object, entries) = decode(bytes)?;
    let object = object.map(|(name, point, content)| Object {
        name,
        point: read_point(point),
        content,
        status: serde_json::Value::Null,
    });
    Ok(ConfigurationSnapshot {
        version,
        proof_age: age.map(Duration::from_millis),
        object,
        entries: entries.map(|(digest, age)| EntriesProof {
            digest,
            age: Duration::from_millis(age),
        }),
    })
}
