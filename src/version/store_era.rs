//! The era of the platform's store.

use crate::newtype;

newtype::decimal! {
    /// How often the store has returned from an older copy; zero if it does not say.
    StoreEra
}
