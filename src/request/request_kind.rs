//! Groups requests whose run times are alike.

use crate::newtype;

newtype::hexadecimal! {
    /// The kind of a request: all requests of one route are of the same kind.
    RequestKind
}

impl RequestKind {
    /// Returns the kind of the requests on the route with the given name.
    pub fn of_route(name: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(name.as_bytes()))
    }
}
