//! The name of a service.

use crate::newtype;

newtype::name! {
    /// The name of a service, such as `order-desk`.
    ServiceName
}
