//! A caller's request as daemons forward it to each other.

use std::fmt;
use std::time::Duration;

use serde::de::{self, SeqAccess, Visitor};
use serde::ser::SerializeStruct;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::process::wall_time::WallTime;
use crate::request::body::Body;
use crate::request::idempotency_key::IdempotencyKey;
use crate::request::request_id::RequestId;
use crate::version::key_hash::KeyHash;
use crate::version::service_name::ServiceName;

/// The fields of an envelope, in encoding order.
const FIELDS: &[&str] = &[
    "id",
    "service",
    "method",
    "path",
    "key",
    "idempotency_key",
    "fresh_until",
    "repeatable",
    "remaining",
    "content_type",
    "body",
];

/// A caller's request with all that another daemon needs to serve it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The request id, the same on every hop.
    pub id: RequestId,
    /// The requested service.
    pub service: ServiceName,
    /// The HTTP method.
    pub method: String,
    /// The path after the service name, with the query.
    pub path: String,
    /// The key that the request belongs to; empty on shared services.
    pub key: Vec<u8>,
    /// The caller's idempotency key, which all attempts of one operation share.
    pub idempotency_key: Option<IdempotencyKey>,
    /// The time until which this is the only attempt of the operation, as the caller states. It is
    /// set only if the daemon that received the request from the caller has not yet forwarded it
    /// to any daemon.
    pub fresh_until: Option<WallTime>,
    /// Whether the request is idempotent, so that it may run more than once.
    pub repeatable: bool,
    /// How much longer the caller waits for the response.
    pub remaining: Duration,
    /// The `Content-Type` of the body.
    pub content_type: Option<String>,
    /// The request body.
    pub body: Body,
}

impl Envelope {
    /// Returns the hash that selects the request's slice: that of its key, or of its idempotency
    /// key if it has no key.
    pub fn routing_hash(&self) -> KeyHash {
        match (&self.idempotency_key, self.key.is_empty()) {
            (Some(idempotency_key), true) => idempotency_key.key_hash(),
            _ => KeyHash::of(&self.key),
        }
    }
}

impl Serialize for Envelope {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut s = serializer.serialize_struct("Envelope", FIELDS.len())?;
        s.serialize_field("id", &self.id)?;
        s.serialize_field("service", &self.service)?;
        s.serialize_field("method", &self.method)?;
        s.serialize_field("path", &self.path)?;
        s.serialize_field("key", &self.key)?;
        s.serialize_field("idempotency_key", &self.idempotency_key)?;
        s.serialize_field("fresh_until", &self.fresh_until)?;
        s.serialize_field("repeatable", &self.repeatable)?;
        s.serialize_field("remaining", &self.remaining)?;
        s.serialize_field("content_type", &self.content_type)?;
        s.serialize_field("body", &self.body)?;
        s.end()
    }
}

impl<'de> Deserialize<'de> for Envelope {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_struct("Envelope", FIELDS, EnvelopeVisitor)
    }
}

struct EnvelopeVisitor;

impl<'de> Visitor<'de> for EnvelopeVisitor {
    type Value = Envelope;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an envelope")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Envelope, A::Error> {
        Ok(Envelope {
            id: field(&mut seq, 0)?,
            service: field(&mut seq, 1)?,
            method: field(&mut seq, 2)?,
            path: field(&mut seq, 3)?,
            key: field(&mut seq, 4)?,
            idempotency_key: field(&mut seq, 5)?,
            fresh_until: field(&mut seq, 6)?,
            repeatable: field(&mut seq, 7)?,
            remaining: field(&mut seq, 8)?,
            content_type: field(&mut seq, 9)?,
            body: field(&mut seq, 10)?,
        })
    }
}

/// Reads the field at `index` from a sequence.
pub(crate) fn field<'de, A: SeqAccess<'de>, T: Deserialize<'de>>(
    seq: &mut A,
    index: usize,
) -> Result<T, A::Error> {
    seq.next_element()?
        .ok_or_else(|| de::Error::invalid_length(index, &"more fields"))
}
