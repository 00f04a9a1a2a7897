//! The permit to serve a slice.

use crate::process::moment::Moment;
use crate::version::slice_id::SliceId;
use crate::version::token::Token;

/// The permit to serve a slice until a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServePermit {
    /// The slice.
    pub slice: SliceId,
    /// The fencing token that goes with the permit.
    pub token: Token,
    /// When the permit expires unless it is renewed.
    pub until: Moment,
}
