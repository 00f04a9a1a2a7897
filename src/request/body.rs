//! The body of a request or a response.

use std::fmt;

use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// The maximum size of a body, in bytes.
pub const BODY_BYTES_MAX: usize = 8 * 1024 * 1024;

/// The bytes of a request or response body, encoded as one byte string rather than as a sequence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Body(pub Vec<u8>);

impl Serialize for Body {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Body {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_bytes(BodyVisitor)
    }
}

struct BodyVisitor;

impl Visitor<'_> for BodyVisitor {
    type Value = Body;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at most {BODY_BYTES_MAX} bytes")
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Body, E> {
        if bytes.len() > BODY_BYTES_MAX {
            return Err(E::invalid_length(bytes.len(), &self));
        }
        Ok(Body(bytes.to_vec()))
    }
}
