//! The id of a daemon process.

use crate::newtype;

newtype::hexadecimal! {
    /// The id of a daemon process, chosen at random when the process starts.
    InstanceId
}
