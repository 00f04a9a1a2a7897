//! A bounded buffer of log lines, which a separate thread writes to standard output.
//!
//! Logging never blocks on a slow or stopped reader of the output: lines that do not fit into the
//! buffer are dropped, and a line with their count is written when there is space again.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use tracing_subscriber::fmt::MakeWriter;

use crate::process::stop_flag::StopFlag;
use crate::process::sync;

/// The maximum size of the buffer, in bytes.
const BUFFER_BYTES_MAX: usize = 256 * 1024;
/// How often the buffer is written out.
const FLUSH_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Default)]
struct State {
    bytes: Vec<u8>,
    dropped_lines: u64,
}

/// The log lines that are not written yet.
#[derive(Clone, Default)]
pub struct LogBuffer {
    state: Arc<Mutex<State>>,
}

/// The thread that writes the lines. Dropping it writes the remaining lines and joins the thread,
/// which waits while the output is blocked.
pub struct LogThread {
    stop: Arc<StopFlag>,
    thread: Option<JoinHandle<()>>,
}

impl LogBuffer {
    /// Starts a thread that writes the lines to `out`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub fn start(&self, out: impl Write + Send + 'static) -> io::Result<LogThread> {
        let stop = Arc::new(StopFlag::default());
        let (buffer, thread_stop) = (self.clone(), Arc::clone(&stop));
        let thread = thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || buffer.run(out, &thread_stop))?;
        Ok(LogThread {
            stop,
            thread: Some(thread),
        })
    }

    /// Returns the size of the lines that are not written yet, in bytes.
    pub fn buffered_bytes(&self) -> usize {
        sync::lock(&self.state).bytes.len()
    }

    fn run(&self, mut out: impl Write, stop: &StopFlag) {
        loop {
            let stopping = stop.wait(FLUSH_INTERVAL);
            let (bytes, dropped_lines) = {
                let mut state = sync::lock(&self.state);
                (
                    std::mem::take(&mut state.bytes),
                    std::mem::take(&mut state.dropped_lines),
                )
            };
            if !write_lines(&mut out, &bytes, dropped_lines) || stopping {
                // After a write error the output is closed, so later lines would have no reader.
                return;
            }
        }
    }
}

/// Writes `bytes` and the count of dropped lines; returns whether `out` still accepts data.
fn write_lines(out: &mut impl Write, bytes: &[u8], dropped_lines: u64) -> bool {
    if bytes.is_empty() && dropped_lines == 0 {
        return true;
    }
    let mut result = out.write_all(bytes);
    if dropped_lines > 0 {
        let line = format!(
            "{{\"level\":\"WARN\",\"event\":\"log-lines-dropped\",\"count\":{dropped_lines}}}\n"
        );
        result = result.and_then(|()| out.write_all(line.as_bytes()));
    }
    result.and_then(|()| out.flush()).is_ok()
}

impl Drop for LogThread {
    fn drop(&mut self) {
        self.stop.set();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Adds one log line per `write` to the buffer, or drops it if the buffer is full.
pub struct LineWriter(LogBuffer);

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut state = sync::lock(&self.0.state);
        if state.bytes.len() + line.len() > BUFFER_BYTES_MAX {
            state.dropped_lines += 1;
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
