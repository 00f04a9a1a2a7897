//! A request on its way between daemons.

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

/// The fields of an envelope, in the order of the encoding.
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

/// A request as daemons pass it on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The request's identity through all hops.
    pub id: RequestId,
    /// The service that it is for.
    pub service: ServiceName,
    /// Its HTTP method.
    pub method: String,
    /// Its path behind the service's name, with the query.
    pub path: String,
    /// The key that it concerns; empty on shared services.
    pub key: Vec<u8>,
    /// The caller's name for the work.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Until when no other attempt at the work exists, by the caller's word, where the entry
    /// vouches that it gave the request to no daemon before.
    pub fresh_until: Option<WallTime>,
    /// Whether the request may be run more than once.
    pub repeatable: bool,
    /// How long the caller still waits.
    pub remaining: Duration,
    /// The type of the body.
    pub content_type: Option<String>,
    /// The body.
    pub body: Body,
}

impl Envelope {
    /// Returns the hash that places the request: of its key, or of its idempotency key where it
    /// has no key.
    pub fn routing_hash(&self) -> KeyHash {
        match (&self.idempotency_key, self.key.is_empty()) {
            (Some(id), true) => id.key_hash(),
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

/// Reads the field at `index` of a sequence.
pub(crate) fn field<'de, A: SeqAccess<'de>, T: Deserialize<'de>>(
    seq: &mut A,
    index: usize,
) -> Result<T, A::Error> {
    seq.next_element()?
        .ok_or_else(|| de::Error::invalid_length(index, &"more fields"))
}
