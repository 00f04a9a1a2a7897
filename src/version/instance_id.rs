//! The identity of a daemon process.

use crate::newtype;

newtype::hexadecimal! {
    /// A daemon process, drawn at random when it starts.
    InstanceId
}
