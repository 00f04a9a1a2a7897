//! Log lines on their way to standard output: a bounded buffer that a thread of its own empties.
//!
//! A reader that is slow or stopped costs lines and never time: what does not fit is dropped, and
//! a line tells how many were once there is room again.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use tracing_subscriber::fmt::MakeWriter;

use crate::process::stop_flag::StopFlag;
use crate::process::sync;

/// The most bytes that wait.
const BYTES_MAX: usize = 256 * 1024;
/// How often the buffer is emptied.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Default)]
struct State {
    bytes: Vec<u8>,
    dropped: u64,
}

/// The lines that wait to be written.
#[derive(Clone, Default)]
pub struct LogBuffer {
    state: Arc<Mutex<State>>,
}

/// The thread that writes the lines; dropping it writes what is left, unless the reader is stuck.
pub struct LogThread {
    stop: Arc<StopFlag>,
    thread: Option<JoinHandle<()>>,
}

impl LogBuffer {
    /// Starts to write the lines to `out`.
    ///
    /// # Errors
    ///
    /// Returns an error where no thread can be started.
    pub fn start(&self, out: impl Write + Send + 'static) -> io::Result<LogThread> {
        let stop = Arc::new(StopFlag::default());
        let (buffer, for_thread) = (self.clone(), Arc::clone(&stop));
        let thread = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || buffer.run(out, &for_thread))?;
        Ok(LogThread {
            stop,
            thread: Some(thread),
        })
    }

    /// Returns how many bytes wait.
    pub fn buffered_bytes(&self) -> usize {
        sync::lock(&self.state).bytes.len()
    }

    fn run(&self, mut out: impl Write, stop: &StopFlag) {
        loop {
            let stopping = stop.wait(FLUSH_INTERVAL);
            let (bytes, dropped) = {
                let mut state = sync::lock(&self.state);
                (
                    std::mem::take(&mut state.bytes),
                    std::mem::take(&mut state.dropped),
                )
            };
            if !write(&mut out, &bytes, dropped) || stopping {
                // Where standard output is closed, nobody reads what follows either.
                return;
            }
        }
    }
}

/// Writes what has gathered; returns whether more can be written.
fn write(out: &mut impl Write, bytes: &[u8], dropped: u64) -> bool {
    if bytes.is_empty() && dropped == 0 {
        return true;
    }
    let mut written = out.write_all(bytes);
    if dropped > 0 {
        let line =
            format!("{{\"level\":\"WARN\",\"event\":\"log-lines-dropped\",\"count\":{dropped}}}\n");
        written = written.and_then(|()| out.write_all(line.as_bytes()));
    }
    written.and_then(|()| out.flush()).is_ok()
}

impl Drop for LogThread {
    fn drop(&mut self) {
        self.stop.set();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Takes one line at a time.
pub struct LineWriter(LogBuffer);

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut state = sync::lock(&self.0.state);
        if state.bytes.len() + line.len() > BYTES_MAX {
            state.dropped += 1;
        } else {
            state.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'w> MakeWriter<'w> for LogBuffer {
    type Writer = LineWriter;

    fn make_writer(&'w self) -> LineWriter {
        LineWriter(self.clone())
    }
}
