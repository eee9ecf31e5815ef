//! Wire format of configuration snapshots.

use std::time::Duration;

use super::entries::{WirePoint, read_point, wire_point};
use super::{WireError, decode, encode, milliseconds};
use crate::ports::Object;

/// Name, point and content.
type WireObject = (String, WirePoint, serde_json::Value);
/// Version, milliseconds since it was known to be the newest, and the object unless the
/// requesting host has it.
type WireSnapshot = (u64, Option<u64>, Option<WireObject>);

/// A configuration as one host sends it to another.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigurationSnapshot {
    /// Version of the configuration; 0 before any.
    pub version: u64,
    /// Time since the version was known to be the newest; `None` if it never was.
    pub proof_age: Option<Duration>,
    /// The store's object, unless the requesting host has this version.
    pub object: Option<Object>,
}

/// Encodes a configuration snapshot.
///
/// # Errors
/// Fails if the CBOR library does.
pub fn encode_configuration(snapshot: &ConfigurationSnapshot) -> Result<Vec<u8>, WireError> {
    let object = snapshot.object.as_ref();
    let object = object.map(|it| (it.name.clone(), wire_point(it.point), it.content.clone()));
    // The age is rounded up, so that a proof never becomes younger in transit.
    let age = snapshot.proof_age.map(|age| milliseconds(age) + 1);
    let wire: WireSnapshot = (snapshot.version, age, object);
    encode(&wire)
}

/// Decodes a configuration snapshot.
///
/// # Errors
/// Fails if the bytes are not a configuration snapshot.
pub fn decode_configuration(bytes: &[u8]) -> Result<ConfigurationSnapshot, WireError> {
    let (version, age, object): WireSnapshot = decode(bytes)?;
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
    })
}
