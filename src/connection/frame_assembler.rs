//! Collects the frames that arrive on a link.

use memmap2::MmapMut;

use crate::connection::buffered_connection::BufferedConnection;
use crate::connection::frame::{self, FrameError};
use crate::connection::peer_frame::PeerFrame;
use crate::request::mapping;

/// The largest frame that is collected in the buffer of the connection, in bytes. Larger ones have a
/// mapping of their own, which takes memory only for what has arrived and is returned at once.
const BUFFERED_BYTES_MAX: usize = 64 * 1024;

/// A large frame that has arrived in part.
struct LargeFrame {
    payload: MmapMut,
    length: usize,
}

/// Collects the frames of one link.
#[derive(Default)]
pub struct FrameAssembler {
    large: Option<LargeFrame>,
}

impl FrameAssembler {
    /// Returns the next frame of what has arrived on `conn`, or `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame is malformed or too large, or can't be stored.
    pub fn next(
        &mut self,
        conn: &mut BufferedConnection,
    ) -> Result<Option<PeerFrame<'static>>, FrameError> {
        if self.large.is_none() {
            let length = frame::payload_length(conn.buffered())?;
            let Some(length) = length.filter(|&l| l > BUFFERED_BYTES_MAX) else {
                return decode_buffered(conn);
            };
            conn.consume(frame::LENGTH_BYTES);
            self.large = Some(LargeFrame {
                payload: mapping::allocate(length)?,
                length: 0,
            });
        }
        let Some(large) = &mut self.large else {
            return Ok(None);
        };
        let end = large.payload.len();
        let count = conn.buffered().len().min(end - large.length);
        large.payload[large.length..large.length + count]
            .copy_from_slice(&conn.buffered()[..count]);
        conn.consume(count);
        large.length += count;
        if large.length < end {
            return Ok(None);
        }
        let decoded = frame::decode_payload(&large.payload)?;
        self.large = None;
        Ok(Some(decoded))
    }

    /// Returns how many bytes of an incomplete large frame are stored.
    pub fn stored(&self) -> usize {
        self.large.as_ref().map_or(0, |l| l.length)
    }
}

fn decode_buffered(
    conn: &mut BufferedConnection,
) -> Result<Option<PeerFrame<'static>>, FrameError> {
    let Some((decoded, used)) = frame::decode(conn.buffered())? else {
        return Ok(None);
    };
    conn.consume(used);
    Ok(Some(decoded))
}
