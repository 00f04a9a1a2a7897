//! What makes a request the same as one sent before.

use crate::newtype;
use crate::request::envelope::Envelope;
use crate::request::upstream_request::UpstreamRequest;

newtype::hexadecimal! {
    /// The hash of a request's service, method, path, key and body.
    Fingerprint
}

impl Fingerprint {
    /// Returns the fingerprint of a request.
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

    /// Returns the fingerprint of an order; its caller gives each attempt another id.
    pub fn of_order(order: &UpstreamRequest) -> Self {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        let head = [
            order.service.as_str(),
            order.origin.as_str(),
            &order.method,
            &order.target,
        ];
        for part in head.iter().map(|p| p.as_bytes()).chain([&order.body.0[..]]) {
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest())
    }
}
