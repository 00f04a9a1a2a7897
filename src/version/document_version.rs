//! The version of the operators' document.

use crate::newtype;

newtype::decimal! {
    /// A version of the operators' document; it never decreases.
    DocumentVersion
}
