//! Hashes requests to recognise those with the same content.

use crate::newtype;
use crate::request::envelope::Envelope;
use crate::request::upstream_request::UpstreamRequest;

newtype::hexadecimal! {
    /// The hash of a request's content; attempts with different ids have the same fingerprint.
    Fingerprint
}

impl Fingerprint {
    /// Returns the fingerprint of a request: of its service, method, path, key and body.
    pub fn of(envelope: &Envelope) -> Self {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        let head = [envelope.service.as_str(), &envelope.method, &envelope.path];
        for part in head
            .iter()
            .map(|p| p.as_bytes())
            .chain([&envelope.key[..], &envelope.body.0])
        {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest())
    }

    /// Returns the fingerprint of an upstream request: of its service, origin, method, target and
    /// body. The id is left out, because callers give each attempt a new one.
    pub fn of_upstream_request(request: &UpstreamRequest) -> Self {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        let head = [
            request.service.as_str(),
            request.origin.as_str(),
            &request.method,
            &request.target,
        ];
        for part in head
            .iter()
            .map(|p| p.as_bytes())
            .chain([&request.body.0[..]])
        {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest())
    }
}
