//! CBOR encoding of the frames between hosts.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// An error of CBOR encoding or decoding.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The value could not be encoded.
    #[snafu(display("can't encode as CBOR: {message}"))]
    Encode {
        /// Error message of the CBOR library.
        message: String,
    },
    /// The bytes are not valid CBOR or do not match the expected type.
    #[snafu(display("can't decode CBOR: {message}"))]
    Decode {
        /// Error message of the CBOR library.
        message: String,
    },
}

/// Encodes a value as CBOR.
///
/// # Errors
/// Returns [`CodecError::Encode`] when CBOR can't represent the value.
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>, CodecError> {
    let mut buf = Vec::new();
    ciborium::into_writer(value, &mut buf).map_err(|error| CodecError::Encode {
        message: error.to_string(),
    })?;
    Ok(buf)
}

/// Decodes a value from CBOR.
///
/// # Errors
/// Returns [`CodecError::Decode`] when the bytes are not valid CBOR or do not match the type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    ciborium::from_reader(bytes).map_err(|error| CodecError::Decode {
        message: error.to_string(),
    })
}
