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
    /// The seed of the choice of these grants.
    pub seed: u64,
    /// Whether a grant is refused also for the higher fencing token of a release.
    pub fences_by_releases: bool,
}

impl Default for UpstreamOptions {
    fn default() -> Self {
        Self {
            work_ms: WORK_MS_DEFAULT,
            late_grants: 0.0,
            seed: 0,
            fences_by_releases: false,
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
        options.optopt("", "seed", "the seed of the choice of late grants", "N");
        options.optflag(
            "",
            "fence-by-releases",
            "refuse a grant also for the higher fencing token of a release",
        );
    }

    /// Returns the options of a command line.
    ///
    /// # Errors
    ///
    /// Returns an error if a value is invalid.
    pub fn from_matches(matches: &Matches) -> Result<Self, BenchError> {
        let late_grants = args::value(matches, "late-grants", 0.0)?;
        if !(0.0..=1.0).contains(&late_grants) {
            let text = format!("--late-grants: {late_grants} is not in 0 to 1");
            return Err(BenchError(text));
        }
        Ok(Self {
            work_ms: args::value(matches, "work-ms", WORK_MS_DEFAULT)?,
            late_grants,
            seed: args::value(matches, "seed", 0)?,
            fences_by_releases: matches.opt_present("fence-by-releases"),
        })
    }

    /// Returns the command line of the upstream with this number. Each upstream draws its own late
    /// grants.
    pub fn to_args(&self, number: usize) -> Vec<String> {
        let seed = self.seed.wrapping_mul(1000) + number as u64;
        let mut args = vec![
            "--work-ms".to_owned(),
            self.work_ms.to_string(),
            "--late-grants".to_owned(),
            self.late_grants.to_string(),
            "--seed".to_owned(),
            seed.to_string(),
        ];
        if self.fences_by_releases {
            args.push("--fence-by-releases".to_owned());
        }
        args
    }
}
