//! Violations of the exclusive ownership of keys, as the check of the journals reports them.

use std::fmt;

/// A key that two upstreams had in a way that exclusive ownership rules out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnershipViolation {
    /// When the later of the two upstreams took the key, in microseconds since 1970.
    pub at_micros: u64,
    /// The lowest of the keys for which it happened.
    pub key: u64,
    /// The upstream that had the key first.
    pub former: String,
    /// The upstream that took the key later.
    pub upstream: String,
    /// What is ruled out.
    pub kind: ViolationKind,
}

/// What two upstreams may not do with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViolationKind {
    /// The later upstream took the key with a token that isn't above the former one's.
    TokenNotHigher {
        /// The fencing token of the later upstream's grant.
        fencing_token: u64,
        /// The highest fencing token with which the former upstream had the key.
        former_token: u64,
    },
    /// Both held the key for too long.
    HeldTogether {
        /// For how long, in microseconds.
        duration_micros: u64,
    },
    /// Both began requests for the key while both held it.
    UsedTogether {
        /// The id of a request that the former upstream began.
        former_request: String,
        /// The id of a request that the later upstream began.
        request: String,
    },
}

impl OwnershipViolation {
    /// Returns whether `other` describes the same violation, for the same or for another key.
    pub fn is_same_for_any_key(&self, other: &Self) -> bool {
        let same_key = Self {
            key: other.key,
            ..self.clone()
        };
        same_key == *other
    }
}

impl fmt::Display for OwnershipViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            at_micros,
            key,
            former,
            upstream,
            ..
        } = self;
        write!(f, "at {at_micros} us: ")?;
        match &self.kind {
            ViolationKind::TokenNotHigher {
                fencing_token,
                former_token,
            } => write!(
                f,
                "key {key} went to {upstream} with {fencing_token}; {former} had it with {former_token}"
            ),
            ViolationKind::HeldTogether { duration_micros } => write!(
                f,
                "key {key} was held by {former} and {upstream} for {duration_micros} us"
            ),
            ViolationKind::UsedTogether {
                former_request,
                request,
            } => write!(
                f,
                "{former} began {former_request} and {upstream} began {request} while both held key {key}"
            ),
        }
    }
}
