//! The right to serve a slice.

use crate::process::moment::Moment;
use crate::version::slice_id::SliceId;
use crate::version::token::Token;

/// The right to serve a slice for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServePermit {
    /// The slice.
    pub slice: SliceId,
    /// The fence token of the right.
    pub token: Token,
    /// When the right ends, unless it is renewed.
    pub until: Moment,
}
