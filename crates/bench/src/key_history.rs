//! The periods in which upstreams held a key, replayed from the changes of its ownership.

use crate::ownership_event::{OwnershipChange, OwnershipEvent};
use crate::ownership_violation::{OwnershipViolation, ViolationKind};

/// A period in which an upstream held the key under one fencing token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holding {
    /// The instance id of the upstream process.
    pub upstream: String,
    /// The fencing token of the grant and its renewals.
    pub fencing_token: u64,
    /// When the first grant was carried out, in microseconds since 1970.
    pub from_micros: u64,
    /// When the key was released or the last grant expired, in microseconds since 1970.
    pub until_micros: u64,
}

/// The periods in which upstreams held one key.
#[derive(Debug, Default)]
pub struct KeyHistory {
    /// The periods, in the order in which they began.
    pub holdings: Vec<Holding>,
}

impl KeyHistory {
    /// Applies the next change of the key's ownership; returns a violation if it is a grant with a
    /// token that isn't above all tokens with which other upstreams had the key.
    pub fn apply(&mut self, event: &OwnershipEvent) -> Option<OwnershipViolation> {
        let is_held =
            |h: &&mut Holding| h.upstream == event.upstream && h.until_micros > event.at_micros;
        let mut held = self.holdings.iter_mut().filter(is_held);
        let OwnershipChange::Granted { expires_at_micros } = event.change else {
            held.for_each(|h| h.until_micros = event.at_micros);
            return None;
        };
        if let Some(renewed) = held.find(|h| h.fencing_token == event.fencing_token) {
            renewed.until_micros = renewed.until_micros.max(expires_at_micros);
            return None;
        }
        let violation = self.check_token(event);
        self.holdings.push(Holding {
            upstream: event.upstream.clone(),
            fencing_token: event.fencing_token,
            from_micros: event.at_micros,
            until_micros: expires_at_micros,
        });
        violation
    }

    fn check_token(&self, event: &OwnershipEvent) -> Option<OwnershipViolation> {
        let of_others = self
            .holdings
            .iter()
            .filter(|h| h.upstream != event.upstream);
        let former = of_others.max_by_key(|h| h.fencing_token)?;
        let is_higher = event.fencing_token > former.fencing_token;
        (!is_higher).then(|| OwnershipViolation {
            at_micros: event.at_micros,
            key: event.first,
            former: former.upstream.clone(),
            upstream: event.upstream.clone(),
            kind: ViolationKind::TokenNotHigher {
                fencing_token: event.fencing_token,
                former_token: former.fencing_token,
            },
        })
    }
}
