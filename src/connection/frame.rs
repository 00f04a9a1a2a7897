//! Frames on a connection between daemons: the length of the payload as a big-endian `u32`, then
//! the payload, a value in postcard encoding.

use std::io::{self, Read, Write};

use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// The largest payload of a frame, in bytes.
pub const FRAME_BYTES_MAX: usize = 32 * 1024 * 1024;
/// The size of the length prefix, in bytes.
pub(super) const LENGTH_BYTES: usize = 4;

/// A frame that could not be sent or read.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The connection failed.
    #[error("connection: {0}")]
    Io(#[from] io::Error),
    /// The payload is not an encoding of the expected type.
    #[error("malformed frame: {0}")]
    Malformed(#[from] postcard::Error),
    /// The payload, of the given number of bytes, is larger than [`FRAME_BYTES_MAX`].
    #[error("a frame of {0} bytes is larger than {FRAME_BYTES_MAX}")]
    TooLarge(usize),
}

/// Writes `value` as one frame.
///
/// # Errors
///
/// Returns an error if the connection fails or the encoded value is too large.
pub fn write(to: &mut impl Write, value: &impl Serialize) -> Result<(), FrameError> {
    to.write_all(&encode(value)?)?;
    Ok(())
}

/// Encodes `value` as one frame.
///
/// # Errors
///
/// Returns an error if the encoded value is too large.
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>, FrameError> {
    let mut bytes = postcard::to_extend(value, vec![0; LENGTH_BYTES])?;
    let length = bytes.len() - LENGTH_BYTES;
    if length > FRAME_BYTES_MAX {
        return Err(FrameError::TooLarge(length));
    }
    let prefix = u32::try_from(length).map_err(|_| FrameError::TooLarge(length))?;
    bytes[..LENGTH_BYTES].copy_from_slice(&prefix.to_be_bytes());
    Ok(bytes)
}

/// Decodes the frame at the start of `bytes`; returns the value and the frame's length, or `None`
/// while the frame is incomplete.
///
/// # Errors
///
/// Returns an error if the frame is malformed or too large.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<Option<(T, usize)>, FrameError> {
    let Some(length) = payload_length(bytes)? else {
        return Ok(None);
    };
    let end = LENGTH_BYTES + length;
    let Some(payload) = bytes.get(LENGTH_BYTES..end) else {
        return Ok(None);
    };
    Ok(Some((decode_payload(payload)?, end)))
}

/// Returns the length of the payload of the frame at the start of `bytes`, or `None` while its prefix is
/// incomplete.
pub(super) fn payload_length(bytes: &[u8]) -> Result<Option<usize>, FrameError> {
    let Some(prefix) = bytes.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = usize::try_from(u32::from_be_bytes(*prefix)).unwrap_or(usize::MAX);
    match length > FRAME_BYTES_MAX {
        true => Err(FrameError::TooLarge(length)),
        false => Ok(Some(length)),
    }
}

/// Decodes a payload, which must consist of exactly one value.
pub(super) fn decode_payload<T: DeserializeOwned>(payload: &[u8]) -> Result<T, FrameError> {
    let (value, rest) = postcard::take_from_bytes(payload)?;
    if !rest.is_empty() {
        return Err(FrameError::Malformed(
            postcard::Error::DeserializeBadEncoding,
        ));
    }
    Ok(value)
}

/// Reads one frame.
///
/// # Errors
///
/// Returns an error if the connection fails or closes, or the frame is malformed or too large.
pub fn read<T: DeserializeOwned>(from: &mut impl Read) -> Result<T, FrameError> {
    let mut prefix = [0; LENGTH_BYTES];
    from.read_exact(&mut prefix)?;
    let length = usize::try_from(u32::from_be_bytes(prefix)).unwrap_or(usize::MAX);
    if length > FRAME_BYTES_MAX {
        return Err(FrameError::TooLarge(length));
    }
    let mut bytes = Vec::new();
    let read = from.take(length as u64).read_to_end(&mut bytes)?;
    if read < length {
        return Err(FrameError::Io(io::ErrorKind::UnexpectedEof.into()));
    }
    decode_payload(&bytes)
}
