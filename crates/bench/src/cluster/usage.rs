//! Resources that a process has used, as Linux reports them under `/proc`.

use std::fs;
use std::path::{Path, PathBuf};

/// Resources that a process has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time in user and kernel mode, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

impl Usage {
    /// Returns the resources that a running process has used; zeros if there is no such process.
    pub(super) fn of_process(pid: u32) -> Self {
        let path = PathBuf::from(format!("/proc/{pid}"));
        let stat = read_or_empty(&path.join("stat"));
        // The second field is the program's name in parentheses, which may contain spaces. The fields
        // after it are counted from zero: 11 is utime, 12 is stime.
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or("")
            .split_whitespace()
            .collect();
        let field = |n: usize| {
            fields
                .get(n)
                .and_then(|f| f.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let status = read_or_empty(&path.join("status"));
        let line = |name: &str| {
            let line = status.lines().find(|l| l.starts_with(name));
            line.and_then(|l| l.split_whitespace().nth(1)?.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let ticks = rustix::param::clock_ticks_per_second() as f64;
        Self {
            cpu_seconds: (field(11) + field(12)) as f64 / ticks,
            resident_bytes: line("VmRSS:") * 1024,
        }
    }
}

fn read_or_empty(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_default()
}
