//! Choice of the keys that callers use most for some time.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// How long the same keys are hot.
const PERIOD: Duration = Duration::from_secs(2);
/// The number of adjacent keys that are hot at a time.
const HOT_KEYS: u16 = 60;
/// The first of the hot keys is below this key.
const FIRST_HOT_KEY_END: u16 = u16::MAX - HOT_KEYS;
/// Separates the draws of the periods from other draws of the same seed.
const SEED_MASK: u64 = 0x686f_745f_6b65_7973;

/// Some adjacent keys that are hot for a period, the same for all callers, so that the planner splits
/// and moves their ranges.
pub struct HotKeys {
    seed: u64,
    started: Instant,
}

impl HotKeys {
    /// Creates the choice; the hot keys depend on `seed` and the time since `started`.
    pub fn new(seed: u64, started: Instant) -> Self {
        Self {
            seed: seed ^ SEED_MASK,
            started,
        }
    }

    /// Draws one of the keys that are hot now.
    pub fn draw(&self, rng: &mut SmallRng) -> u16 {
        let period = self.started.elapsed().as_secs() / PERIOD.as_secs();
        let mut period_rng = SmallRng::seed_from_u64(self.seed.wrapping_add(period));
        period_rng.random_range(0..FIRST_HOT_KEY_END) + rng.random_range(0..HOT_KEYS)
    }
}
