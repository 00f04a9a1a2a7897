//! Journal entries of the upstream's stand-in for the users' platform: one line for each change of
//! the keys that it holds.

use std::fmt;
use std::fs;
use std::io;
use std::path::Path;

/// A change of the keys that an upstream holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnershipEvent {
    /// When the change took effect, in microseconds since 1970.
    pub at_micros: u64,
    /// The instance id of the upstream process.
    pub upstream: String,
    /// The first key of the range.
    pub first: u64,
    /// The last key of the range.
    pub last: u64,
    /// The fencing token of the call.
    pub fencing_token: u64,
    /// What changed.
    pub change: OwnershipChange,
}

/// What changed for the keys of a range.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipChange {
    /// The upstream carried out a grant.
    Granted {
        /// When the grant expires, in microseconds since 1970.
        expires_at_micros: u64,
    },
    /// The upstream carried out a release.
    Released,
    /// The process of the upstream has ended.
    Ended,
}

impl OwnershipEvent {
    /// Returns the change for all keys when the process of an upstream has ended.
    pub fn end_of(upstream: impl Into<String>, at_micros: u64) -> Self {
        Self {
            at_micros,
            upstream: upstream.into(),
            first: 0,
            last: u64::from(u16::MAX),
            fencing_token: 0,
            change: OwnershipChange::Ended,
        }
    }

    /// Parses a line of a journal; returns `None` if it describes no change of ownership.
    pub fn parse(line: &str) -> Option<Self> {
        let (kind, fields) = line.split_once(' ')?;
        let mut fields = fields.split(' ');
        let (first, last) = (number(fields.next())?, number(fields.next())?);
        let fencing_token = number(fields.next())?;
        let at_micros = number(fields.next())?;
        let upstream = fields.next()?.to_owned();
        let change = match kind {
            "grant" => OwnershipChange::Granted {
                expires_at_micros: number(fields.next())?,
            },
            "release" => OwnershipChange::Released,
            "end" => OwnershipChange::Ended,
            _ => return None,
        };
        Some(Self {
            at_micros,
            upstream,
            first,
            last,
            fencing_token,
            change,
        })
    }

    /// Returns all changes in a journal; none if the file does not exist, as where an upstream was
    /// never granted a key.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, or a change in it can't be parsed.
    pub fn read_all(journal: &Path) -> io::Result<Vec<Self>> {
        let text = match fs::read_to_string(journal) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
            text => text?,
        };
        let is_change = |line: &&str| {
            ["grant ", "release ", "end "]
                .iter()
                .any(|k| line.starts_with(k))
        };
        let changes = text.lines().filter(is_change);
        let parse = |line: &str| {
            Self::parse(line).ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, line))
        };
        changes.map(parse).collect()
    }
}

fn number(field: Option<&str>) -> Option<u64> {
    field?.parse().ok()
}

impl fmt::Display for OwnershipEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.change {
            OwnershipChange::Granted { .. } => "grant",
            OwnershipChange::Released => "release",
            OwnershipChange::Ended => "end",
        };
        write!(
            f,
            "{kind} {} {} {} {} {}",
            self.first, self.last, self.fencing_token, self.at_micros, self.upstream
        )?;
        match self.change {
            OwnershipChange::Granted { expires_at_micros } => write!(f, " {expires_at_micros}"),
            OwnershipChange::Released | OwnershipChange::Ended => Ok(()),
        }
    }
}
