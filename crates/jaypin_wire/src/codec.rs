//! CBOR for everything between hosts.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// A frame that could not be written or read.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The value could not be written.
    #[snafu(display("can't encode: {message}"))]
    Encode {
        /// What the codec says.
        message: String,
    },
    /// The bytes are no such value.
    #[snafu(display("can't decode: {message}"))]
    Decode {
        /// What the codec says.
        message: String,
    },
}

/// Writes a value as CBOR.
///
/// # Errors
/// When the value can't be represented.
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>, CodecError> {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).map_err(|error| CodecError::Encode {
        message: error.to_string(),
    })?;
    Ok(buf)
}

/// Reads a value from CBOR.
///
/// # Errors
/// When the bytes are no such value.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    ciborium::from_reader(bytes).map_err(|error| CodecError::Decode {
        message: error.to_string(),
    })
}
