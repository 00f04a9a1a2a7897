//! The response to a caller's request.

use std::fmt;

use serde::de::{SeqAccess, Visitor};
use serde::ser::SerializeStruct;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::request::body::Body;
use crate::request::envelope;
use crate::request::outcome::Outcome;
use crate::request::refusal::Refusal;

/// The fields of a response, in encoding order.
const FIELDS: &[&str] = &["outcome", "status", "refusal", "content_type", "body"];

/// The response to a caller's request, from an upstream or from the daemon itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceResponse {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// The HTTP status code.
    pub status: u16,
    /// Why the daemon responds instead of an upstream; `None` if an upstream responded.
    pub refusal: Option<Refusal>,
    /// The `Content-Type` of the body.
    pub content_type: Option<String>,
    /// The response body.
    pub body: Body,
}

impl ServiceResponse {
    /// Returns the response of an upstream that ran the request.
    pub fn ran(status: u16, content_type: Option<String>, body: Vec<u8>) -> Self {
        let body = Body(body.into());
        Self {
            outcome: Outcome::Ran,
            status,
            refusal: None,
            content_type,
            body,
        }
    }

    /// Returns the response to a request that was sent to no upstream.
    pub fn not_run(refusal: Refusal) -> Self {
        Self::refused(Outcome::NotRun, refusal)
    }

    /// Returns the response to a request that an upstream may have run.
    pub fn unknown(refusal: Refusal) -> Self {
        Self::refused(Outcome::Unknown, refusal)
    }

    fn refused(outcome: Outcome, refusal: Refusal) -> Self {
        let body = Body(format!("{outcome}: {refusal}\n").into_bytes().into());
        let content_type = Some("text/plain; charset=utf-8".to_owned());
        Self {
            outcome,
            status: refusal.status(),
            refusal: Some(refusal),
            content_type,
            body,
        }
    }
}

impl Serialize for ServiceResponse {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut s = serializer.serialize_struct("Answer", FIELDS.len())?;
        s.serialize_field("outcome", &self.outcome)?;
        s.serialize_field("status", &self.status)?;
        s.serialize_field("refusal", &self.refusal)?;
        s.serialize_field("content_type", &self.content_type)?;
        s.serialize_field("body", &self.body)?;
        s.end()
    }
}

impl<'de> Deserialize<'de> for ServiceResponse {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_struct("Answer", FIELDS, ServiceResponseVisitor)
    }
}

struct ServiceResponseVisitor;

impl<'de> Visitor<'de> for ServiceResponseVisitor {
    type Value = ServiceResponse;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a response")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<ServiceResponse, A::Error> {
        Ok(ServiceResponse {
            outcome: envelope::field(&mut seq, 0)?,
            status: envelope::field(&mut seq, 1)?,
            refusal: envelope::field(&mut seq, 2)?,
            content_type: envelope::field(&mut seq, 3)?,
            body: envelope::field(&mut seq, 4)?,
        })
    }
}
