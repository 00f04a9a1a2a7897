//! The burst of a rate limit.

use crate::newtype;

newtype::decimal! {
    /// How many requests above its rate a team may send at once.
    Burst
}
