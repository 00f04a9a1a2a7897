//! The permit to serve a slice.

use crate::process::moment::Moment;
use crate::version::fencing_token::FencingToken;
use crate::version::slice_id::SliceId;

/// The permit to serve a slice until a given time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServePermit {
    /// The slice.
    pub slice: SliceId,
    /// The fencing token that goes with the permit.
    pub token: FencingToken,
    /// When the permit expires unless it is renewed.
    pub until: Moment,
}
