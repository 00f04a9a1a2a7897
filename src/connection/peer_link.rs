//! One connection between daemons: frames are sent without blocking and received by a reactor.

use std::io::{self, ErrorKind, Write};
use std::net::{Shutdown, TcpStream};
use std::os::fd::{AsFd, BorrowedFd};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock, Weak};
use std::time::Instant;

use crate::connection::buffered_connection::BufferedConnection;
use crate::connection::frame::{self, FrameError};
use crate::connection::frame_assembler::FrameAssembler;
use crate::connection::memory_budget::{MemoryBudget, ShedReason};
use crate::connection::memory_reservation::MemoryReservation;
use crate::connection::peer_frame::PeerFrame;
use crate::connection::reactor::{Reactor, Readiness, Source, SourceNumber};
use crate::connection::traffic::Traffic;
use crate::connection::transfer::{TransferGuard, TransferKind};
use crate::process::sync;

/// The most unsent bytes; a peer that lets more accumulate is presumed dead.
const UNSENT_BYTES_MAX: usize = 4 * 1024 * 1024;
/// What an incomplete frame takes for each of its bytes: the bytes, and the value that is decoded from
/// them.
const FRAME_COPIES: usize = 2;

/// Handles what happens on a link. The functions must not block.
pub trait LinkHandler: Send + Sync {
    /// Handles a received frame, except for pings and pongs.
    fn handle_frame(&self, link: &Arc<PeerLink>, frame: PeerFrame<'static>);

    /// Handles a frame that could not be decoded; the link is closed afterwards.
    fn handle_malformed(&self, error: &FrameError);

    /// Handles the close of the link; called once.
    fn handle_close(&self, link: &PeerLink);

    /// Returns the counts of what is sent.
    fn traffic(&self) -> &Traffic;

    /// Acts on timeouts that have passed at `now`.
    fn sweep(&self, link: &PeerLink, now: Instant);
}

struct Unsent {
    bytes: Vec<u8>,
    /// The index of the first byte that was not sent.
    start: usize,
    reservation: MemoryReservation,
}

impl Unsent {
    fn new(budget: &Arc<MemoryBudget>) -> Self {
        Self {
            bytes: Vec::new(),
            start: 0,
            reservation: MemoryReservation::new(budget),
        }
    }
}

/// The receiving end.
struct Receiver {
    conn: BufferedConnection,
    assembler: FrameAssembler,
    /// The frame that has arrived in part.
    partial: Option<PartialFrame>,
}

struct PartialFrame {
    transfer: TransferGuard,
    reservation: MemoryReservation,
}

/// A connection between daemons.
pub struct PeerLink {
    stream: Arc<TcpStream>,
    reactor: Weak<Reactor>,
    number: OnceLock<SourceNumber>,
    /// Used by the reactor's thread only.
    receiver: Mutex<Receiver>,
    budget: Arc<MemoryBudget>,
    unsent: Mutex<Unsent>,
    received_at: Mutex<Instant>,
    /// When a whole frame was last received.
    framed_at: Mutex<Instant>,
    closed: AtomicBool,
    handler: Box<dyn LinkHandler>,
    /// Itself, for the calls of its handler.
    this: Weak<PeerLink>,
}

impl PeerLink {
    /// Starts to receive frames on `conn`.
    ///
    /// # Errors
    ///
    /// Returns an error if the reactor can't watch the socket.
    pub fn start(
        reactor: &Arc<Reactor>,
        conn: BufferedConnection,
        handler: Box<dyn LinkHandler>,
    ) -> io::Result<Arc<Self>> {
        let link = Arc::new_cyclic(|this| Self {
            stream: Arc::clone(conn.stream()),
            reactor: Arc::downgrade(reactor),
            number: OnceLock::new(),
            receiver: Mutex::new(Receiver {
                conn,
                assembler: FrameAssembler::default(),
                partial: None,
            }),
            budget: Arc::clone(reactor.budget()),
            unsent: Mutex::new(Unsent::new(reactor.budget())),
            received_at: Mutex::new(Instant::now()),
            framed_at: Mutex::new(Instant::now()),
            closed: AtomicBool::new(false),
            handler,
            this: Weak::clone(this),
        });
        let source = Arc::clone(&link) as Arc<dyn Source>;
        reactor.add(source, Readiness::READ, |number| {
            // A link is added once.
            let _ = link.number.set(number);
        })?;
        Ok(link)
    }

    /// Returns whether the link is closed.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Returns when bytes were last received.
    pub fn received_at(&self) -> Instant {
        *sync::lock(&self.received_at)
    }

    /// Returns when a whole frame was last received, or the link was started.
    pub fn framed_at(&self) -> Instant {
        *sync::lock(&self.framed_at)
    }

    /// Sends a frame, or queues what the socket does not take at once.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame can't be encoded, or if the link is closed or fails, which
    /// closes it.
    pub fn send(&self, frame: &PeerFrame<'_>) -> Result<(), FrameError> {
        let bytes = frame::encode(frame)?;
        self.handler.traffic().record(frame.kind(), bytes.len());
        let sent = self.send_bytes(bytes);
        if sent.is_err() {
            self.close();
        }
        Ok(sent?)
    }

    /// Closes the link.
    pub fn close(&self) {
        if self.closed.swap(true, Ordering::SeqCst) {
            return;
        }
        // Fails if the peer has closed the connection already.
        let _ = self.stream.shutdown(Shutdown::Both);
        if let (Some(reactor), Some(number)) = (self.reactor.upgrade(), self.number.get()) {
            reactor.remove(*number);
        }
        self.handler.handle_close(self);
    }

    fn send_bytes(&self, bytes: Vec<u8>) -> io::Result<()> {
        let mut unsent = sync::lock(&self.unsent);
        if self.is_closed() {
            return Err(ErrorKind::NotConnected.into());
        }
        if unsent.bytes.is_empty() {
            let sent = write_available(&self.stream, &bytes)?;
            if sent == bytes.len() {
                return Ok(());
            }
            self.reserve_unsent(&mut unsent, bytes.len())?;
            unsent.bytes = bytes;
            unsent.start = sent;
            return self.watch(Readiness {
                writable: true,
                ..Readiness::READ
            });
        }
        if unsent.bytes.len() - unsent.start > UNSENT_BYTES_MAX {
            return Err(ErrorKind::TimedOut.into());
        }
        let length = unsent.bytes.len() + bytes.len();
        self.reserve_unsent(&mut unsent, length)?;
        unsent.bytes.extend_from_slice(&bytes);
        Ok(())
    }

    fn reserve_unsent(&self, unsent: &mut Unsent, length: usize) -> io::Result<()> {
        if unsent.reservation.raise_to(length) {
            return Ok(());
        }
        self.budget.record(ShedReason::Refused);
        Err(ErrorKind::OutOfMemory.into())
    }

    /// Sends queued bytes.
    fn flush(&self) -> io::Result<()> {
        let mut unsent = sync::lock(&self.unsent);
        let sent = write_available(&self.stream, &unsent.bytes[unsent.start..])?;
        unsent.start += sent;
        if unsent.start < unsent.bytes.len() {
            return Ok(());
        }
        *unsent = Unsent::new(&self.budget);
        self.watch(Readiness::READ)
    }

    fn watch(&self, interest: Readiness) -> io::Result<()> {
        match (self.reactor.upgrade(), self.number.get()) {
            (Some(reactor), Some(number)) => reactor.modify(*number, self, interest),
            _ => Err(ErrorKind::NotConnected.into()),
        }
    }

    /// Reads what has arrived and handles the complete frames.
    fn receive(&self) -> Result<(), FrameError> {
        let mut receiver = sync::lock(&self.receiver);
        let receiver = &mut *receiver;
        let had = receiver.conn.buffered().len();
        let has_more = receiver.conn.read_once().map_err(io::Error::other)?;
        let now = Instant::now();
        *sync::lock(&self.received_at) = now;
        let count = receiver.conn.buffered().len().saturating_sub(had);
        while let Some(frame) = receiver.assembler.next(&mut receiver.conn)? {
            *sync::lock(&self.framed_at) = now;
            let reservation = receiver.partial.take().map(|mut partial| {
                let bytes = partial.reservation.bytes();
                partial.reservation.lower_to(bytes / FRAME_COPIES);
                partial.reservation
            });
            self.handle_frame(frame.holding(reservation));
        }
        self.reserve_partial(receiver, count, now)?;
        match has_more {
            true => Ok(()),
            false => Err(io::Error::from(ErrorKind::UnexpectedEof).into()),
        }
    }

    /// Reserves the memory of a frame that has arrived in part, `count` bytes of it just now.
    fn reserve_partial(
        &self,
        receiver: &mut Receiver,
        count: usize,
        now: Instant,
    ) -> io::Result<()> {
        let length = receiver.conn.buffered().len() + receiver.assembler.stored();
        if length == 0 {
            receiver.partial = None;
            return Ok(());
        }
        let partial = receiver.partial.get_or_insert_with(|| PartialFrame {
            transfer: self
                .budget
                .begin_transfer(&self.stream, TransferKind::Frame, now),
            reservation: MemoryReservation::new(&self.budget),
        });
        let bytes = length * FRAME_COPIES;
        if !partial.reservation.raise_to(bytes) {
            // The reactor can't wait for the memory of others: this link is closed, and the next one has
            // it.
            self.budget.shed_stalled();
            self.budget.record(ShedReason::Refused);
            return Err(ErrorKind::OutOfMemory.into());
        }
        let transfer = partial.transfer.transfer();
        transfer.set_held_bytes(bytes);
        transfer.record(count);
        Ok(())
    }

    /// Returns whether a frame arrives below the minimum rate.
    fn is_too_slow(&self, now: Instant) -> bool {
        let receiver = sync::lock(&self.receiver);
        let partial = receiver.partial.as_ref();
        partial.is_some_and(|p| p.transfer.transfer().progress_deadline() <= now)
    }

    fn handle_frame(&self, frame: PeerFrame<'static>) {
        match frame {
            PeerFrame::Ping => {
                // A failure closes the link.
                let _ = self.send(&PeerFrame::Pong);
            }
            PeerFrame::Pong => {}
            frame => {
                if let Some(link) = self.this.upgrade() {
                    self.handler.handle_frame(&link, frame);
                }
            }
        }
    }
}

impl Source for PeerLink {
    fn fd(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }

    fn handle(&self, ready: Readiness) {
        if ready.writable && self.flush().is_err() {
            self.close();
            return;
        }
        if !ready.readable && !ready.hung_up {
            return;
        }
        if let Err(e) = self.receive() {
            if !matches!(e, FrameError::Io(_)) {
                self.handler.handle_malformed(&e);
            }
            self.close();
        }
    }

    fn sweep(&self, now: Instant) {
        if self.is_too_slow(now) {
            self.budget.record(ShedReason::Slow);
            self.close();
            return;
        }
        self.handler.sweep(self, now);
    }
}

/// Writes as much of `bytes` as the socket takes at once; returns how many bytes.
fn write_available(mut stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    let mut sent = 0;
    while sent < bytes.len() {
        match stream.write(&bytes[sent..]) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(count) => sent += count,
            Err(e) if e.kind() == ErrorKind::WouldBlock => break,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(sent)
}
