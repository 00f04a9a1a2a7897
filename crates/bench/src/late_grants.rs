//! Choice of the grants that the upstream's stand-in leaves unanswered and carries out late.

use std::sync::Mutex;
use std::time::Duration;

use foxtaildrift::process::sync;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::upstream_options::UpstreamOptions;

/// How long after its arrival a late grant is carried out, in milliseconds.
const DELAY_MS: std::ops::Range<u64> = 300..2000;

/// Draws which grants are late.
pub struct LateGrants {
    choice: Mutex<Choice>,
}

struct Choice {
    /// The fraction of the grants that are late.
    share: f64,
    rng: SmallRng,
}

impl LateGrants {
    /// Creates the choice with the share and the seed of `options`.
    pub fn new(options: &UpstreamOptions) -> Self {
        Self {
            choice: Mutex::new(Choice {
                share: options.late_grants,
                rng: SmallRng::seed_from_u64(options.seed),
            }),
        }
    }

    /// Changes the fraction of the grants that are late; it must be from 0 to 1.
    pub fn set_share(&self, share: f64) {
        sync::lock(&self.choice).share = share;
    }

    /// Returns how long after its arrival the next grant is carried out; `None` if it is not late.
    pub fn draw_delay(&self) -> Option<Duration> {
        let mut choice = sync::lock(&self.choice);
        let share = choice.share;
        let is_late = choice.rng.random_bool(share);
        is_late.then(|| Duration::from_millis(choice.rng.random_range(DELAY_MS)))
    }
}
