//! The log buffer while the reader of its output is blocked.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foxtaildrift::process::log_buffer::LogBuffer;
use tracing_subscriber::fmt::MakeWriter;

/// An output that blocks while its lock is held.
#[derive(Clone, Default)]
struct BlockingOutput(Arc<Mutex<Vec<u8>>>);

impl Write for BlockingOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_blocked_output_drops_lines_but_does_not_block_logging() {
    let (buffer, output) = (LogBuffer::default(), BlockingOutput::default());
    let thread = buffer.start(output.clone()).unwrap();
    let block_guard = output.0.lock().unwrap();
    let line = [b'x'; 999]
        .iter()
        .chain(b"\n")
        .copied()
        .collect::<Vec<u8>>();
    let started = Instant::now();
    for _ in 0..10_000 {
        buffer.make_writer().write_all(&line).unwrap();
    }
    assert!(started.elapsed() < Duration::from_secs(2));
    assert!(
        buffer.buffered_bytes() <= 256 * 1024,
        "{}",
        buffer.buffered_bytes()
    );
    drop(block_guard);
    drop(thread);
    let written = output.0.lock().unwrap();
    let text = String::from_utf8_lossy(&written);
    let reports = text.lines().filter(|l| l.contains("log-lines-dropped"));
    let dropped: u64 = reports.map(dropped_count).sum();
    let written_lines = text.lines().filter(|l| l.len() == 999).count() as u64;
    assert_eq!(
        written_lines + dropped,
        10_000,
        "each line must be written or counted as dropped"
    );
    assert!(dropped > 0);
}

fn dropped_count(line: &str) -> u64 {
    let count = line.split("\"count\":").nth(1).unwrap();
    count.trim_end_matches('}').parse().unwrap()
}
