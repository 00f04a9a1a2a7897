//! Log lines while their reader is stuck.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foxtaildrift::process::log_buffer::LogBuffer;
use tracing_subscriber::fmt::MakeWriter;

/// A reader that stands still while its lock is held.
#[derive(Clone, Default)]
struct Reader(Arc<Mutex<Vec<u8>>>);

impl Write for Reader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stuck_reader_costs_lines_and_no_time() {
    let (buffer, reader) = (LogBuffer::default(), Reader::default());
    let thread = buffer.start(reader.clone()).unwrap();
    let stuck = reader.0.lock().unwrap();
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
    drop(stuck);
    drop(thread);
    let written = reader.0.lock().unwrap();
    let text = String::from_utf8_lossy(&written);
    let told = text.lines().filter(|l| l.contains("log-lines-dropped"));
    let dropped: u64 = told.map(count_of).sum();
    let whole = text.lines().filter(|l| l.len() == 999).count() as u64;
    assert_eq!(whole + dropped, 10_000, "each line is written or counted");
    assert!(dropped > 0);
}

fn count_of(line: &str) -> u64 {
    let count = line.split("\"count\":").nth(1).unwrap();
    count.trim_end_matches('}').parse().unwrap()
}
