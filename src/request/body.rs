//! The body of a request or a response.

use std::fmt;

use bytes::Bytes;
use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::request::mapping;

/// The maximum size of a body, in bytes.
pub const BODY_BYTES_MAX: usize = 8 * 1024 * 1024;

/// The largest body that is kept on the heap, in bytes.
pub const HEAP_BYTES_MAX: usize = 64 * 1024;

/// The bytes of a request or response body, encoded as one byte string rather than as a sequence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Body(pub Bytes);

/// The bytes of a body together with what accounts for their memory.
struct Held<T> {
    bytes: Bytes,
    _account: T,
}

impl<T> AsRef<[u8]> for Held<T> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Body {
    /// Copies `bytes`. Large ones get a mapping of their own.
    pub fn copy_of(bytes: &[u8]) -> Self {
        let mapping = match bytes.len() > HEAP_BYTES_MAX {
            true => mapping::allocate(bytes.len()).ok(),
            false => None,
        };
        let Some(mut mapping) = mapping else {
            return Self(Bytes::copy_from_slice(bytes));
        };
        mapping.copy_from_slice(bytes);
        Self(Bytes::from_owner(mapping))
    }

    /// Keeps `account` until the bytes are dropped.
    pub fn hold(&mut self, account: Option<impl Send + 'static>) {
        if let Some(account) = account.filter(|_| !self.0.is_empty()) {
            let bytes = std::mem::take(&mut self.0);
            self.0 = Bytes::from_owner(Held {
                bytes,
                _account: account,
            });
        }
    }
}

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
        Ok(Body::copy_of(bytes))
    }
}
