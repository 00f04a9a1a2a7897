//! Options of the upstream's stand-in for the users' platform that an environment chooses.

use getopts::{Matches, Options};

use crate::args::{self, BenchError};

/// How long a request takes unless an option says otherwise, in milliseconds.
const WORK_MS_DEFAULT: u64 = 20;

/// How the upstreams of an environment run requests and treat grants.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamOptions {
    /// How long a request takes, in milliseconds.
    pub work_ms: u64,
    /// The fraction of the grants that get no answer and are carried out later.
    pub late_grants: f64,
    /// The fraction of the connections that are taken up late.
    pub late_connections: f64,
    /// The seed of the choice of these grants and connections.
    pub seed: u64,
    /// Whether a grant is refused also for the higher fencing token of a release.
    pub fences_by_releases: bool,
    /// How long after its start an upstream begins to report its state, in milliseconds.
    pub first_report_ms: u64,
}

impl Default for UpstreamOptions {
    fn default() -> Self {
        Self {
            work_ms: WORK_MS_DEFAULT,
            late_grants: 0.0,
            late_connections: 0.0,
            seed: 0,
            fences_by_releases: false,
            first_report_ms: 0,
        }
    }
}

impl UpstreamOptions {
    /// Declares the options of the command line.
    pub fn declare(options: &mut Options) {
        options.optopt(
            "",
            "work-ms",
            "how long a request takes, in milliseconds (default 20)",
            "N",
        );
        options.optopt(
            "",
            "late-grants",
            "the fraction of the grants that get no answer and are carried out later (default 0)",
            "SHARE",
        );
        options.optopt(
            "",
            "late-connections",
            "the fraction of the connections that are taken up late (default 0)",
            "SHARE",
        );
        options.optopt(
            "",
            "seed",
            "the seed of the choice of late grants and connections",
            "N",
        );
        options.optflag(
            "",
            "fence-by-releases",
            "refuse a grant also for the higher fencing token of a release",
        );
        options.optopt(
            "",
            "first-report-ms",
            "how long after the start the first report is sent, in milliseconds (default 0)",
            "N",
        );
    }

    /// Returns the options of a command line.
    ///
    /// # Errors
    ///
    /// Returns an error if a value is invalid.
    pub fn from_matches(matches: &Matches) -> Result<Self, BenchError> {
        Ok(Self {
            work_ms: args::value(matches, "work-ms", WORK_MS_DEFAULT)?,
            late_grants: share(matches, "late-grants")?,
            late_connections: share(matches, "late-connections")?,
            seed: args::value(matches, "seed", 0)?,
            fences_by_releases: matches.opt_present("fence-by-releases"),
            first_report_ms: args::value(matches, "first-report-ms", 0)?,
        })
    }

    /// Returns the command line of the upstream with this number. Each upstream draws its own late
    /// grants and connections.
    pub fn to_args(&self, number: usize) -> Vec<String> {
        let seed = self.seed.wrapping_mul(1000) + number as u64;
        let mut args = vec![
            "--work-ms".to_owned(),
            self.work_ms.to_string(),
            "--late-grants".to_owned(),
            self.late_grants.to_string(),
            "--late-connections".to_owned(),
            self.late_connections.to_string(),
            "--seed".to_owned(),
            seed.to_string(),
            "--first-report-ms".to_owned(),
            self.first_report_ms.to_string(),
        ];
        if self.fences_by_releases {
            args.push("--fence-by-releases".to_owned());
        }
        args
    }
}

/// Returns the value of an option that is a fraction; 0 if it is not given.
fn share(matches: &Matches, name: &str) -> Result<f64, BenchError> {
    let share = args::value(matches, name, 0.0)?;
    if !(0.0..=1.0).contains(&share) {
        return Err(BenchError(format!("--{name}: {share} is not in 0 to 1")));
    }
    Ok(share)
}
