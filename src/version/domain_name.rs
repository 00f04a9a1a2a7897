//! The name of a failure domain.

use crate::newtype;

newtype::name! {
    /// The name of a failure domain, such as `zarzis`.
    DomainName
}
