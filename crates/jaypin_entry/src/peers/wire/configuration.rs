//! A configuration as bytes, as hosts hand it over.

use std::time::Duration;

use super::entries::{WirePoint, read_point, wire_point};
use super::{WireError, decode, encode, milliseconds};
use crate::ports::Object;

/// Name, point, and what the author wrote.
type WireObject = (String, WirePoint, serde_json::Value);
/// Version, milliseconds since it was the newest, and the object if it was asked for.
type WireSnapshot = (u64, Option<u64>, Option<WireObject>);

/// A configuration as hosts hand it over.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigurationSnapshot {
    /// Its version.
    pub version: u64,
    /// Time since it was the newest for sure, where it ever was.
    pub proof_age: Option<Duration>,
    /// The store's object, unless the asking host has this version.
    pub object: Option<Object>,
}

/// Writes a configuration.
///
/// # Errors
/// Gives what the library gives.
pub fn encode_configuration(snapshot: &ConfigurationSnapshot) -> Result<Vec<u8>, WireError> {
    let object = snapshot.object.as_ref();
    let object = object.map(|it| (it.name.clone(), wire_point(it.point), it.content.clone()));
    // Rounded up: a proof must not grow younger on its way.
    let age = snapshot.proof_age.map(|age| milliseconds(age) + 1);
    let wire: WireSnapshot = (snapshot.version, age, object);
    encode(&wire)
}

/// Reads a configuration.
///
/// # Errors
/// Says why the bytes are none.
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
