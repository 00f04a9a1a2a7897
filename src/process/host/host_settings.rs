//! The settings of the daemon beside an upstream of a platform.
//!
//! ```
//! use foxtaildrift::process::host::host_settings::HostSettings;
//!
//! let settings = HostSettings::parse("domain: zarzis\nretry_ratio: 0.1\n")?;
//! assert_eq!(settings.domain.as_str(), "zarzis");
//! assert!(HostSettings::parse("lease_ms: 1\n").is_err());
//! # Ok::<(), foxtaildrift::process::settings_error::SettingsError>(())
//! ```

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::process::host::retry_budget_share::RetryBudgetConfig;
use crate::process::lease_times::LeaseTimes;
use crate::process::settings_error::SettingsError;
use crate::version::domain_name::DomainName;
use crate::version::member::STRENGTH_EVEN;
use crate::version::service_name::ServiceName;

/// What the daemon learns from its YAML file; every field has a default.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HostSettings {
    /// The name of the host.
    pub node: String,
    /// The failure domain of the host.
    pub domain: DomainName,
    /// Where callers' requests are taken.
    pub callers: SocketAddr,
    /// Where datagrams and connections of other daemons are taken.
    pub peers: SocketAddr,
    /// Where that is listened for, where something in between takes it at `peers`.
    pub peers_bind: Option<SocketAddr>,
    /// Where readiness and metrics are told.
    pub ready: SocketAddr,
    /// Where the upstream reports its state.
    pub reports: SocketAddr,
    /// Where the upstream takes orders.
    pub upstream: SocketAddr,
    /// The service that the upstream runs.
    pub service: ServiceName,
    /// The platform's store.
    pub store: SocketAddr,
    /// How often a lease is renewed, in milliseconds.
    pub renewal_ms: u64,
    /// How long a lease holds, in milliseconds.
    pub lease_ms: u64,
    /// How long a session may stay lapsed before it is given up, in milliseconds: then others may
    /// serve its keys, also where most of its witnesses were lost with it.
    pub give_up_ms: u64,
    /// The longest hold of a grant, in milliseconds.
    pub hold_max_ms: u64,
    /// After how long an upstream that leaves gets nothing more, in milliseconds.
    pub drain_ms: u64,
    /// After how long a process that is asked to stop is killed, in seconds.
    pub grace_s: f64,
    /// The repeats that all daemons together may send for each request.
    pub retry_ratio: f64,
    /// The repeats that they may send in a window whatever the requests.
    pub retry_slack: f64,
    /// The length of that window, in seconds.
    pub retry_window_s: f64,
    /// The processor share of the host, in cores: the strongest hosts plan.
    pub cpu_share: f64,
    /// The least level that is logged: error, warn, info, debug or trace.
    pub log_level: String,
}

impl Default for HostSettings {
    fn default() -> Self {
        let local = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            node: "local".to_owned(),
            domain: "default".parse().expect("the default is a name"),
            callers: local(8080),
            peers: local(7400),
            peers_bind: None,
            ready: local(9400),
            reports: local(9401),
            upstream: local(9000),
            service: "default".parse().expect("the default is a name"),
            store: local(8500),
            renewal_ms: 400,
            lease_ms: 2000,
            give_up_ms: 1200,
            hold_max_ms: 10_000,
            drain_ms: 2000,
            grace_s: 6.0,
            retry_ratio: 0.2,
            retry_slack: 50.0,
            retry_window_s: 10.0,
            cpu_share: 1.0,
            log_level: "info".to_owned(),
        }
    }
}

impl HostSettings {
    /// Reads and checks settings.
    ///
    /// # Errors
    ///
    /// Returns what is wrong, with the line where the YAML tells it.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        if text.trim().is_empty() {
            return Ok(Self::default());
        }
        let settings: Option<Self> = serde_yaml_ng::from_str(text)?;
        let settings = settings.unwrap_or_default();
        settings.check()?;
        Ok(settings)
    }

    /// Reads and checks the settings in a file.
    ///
    /// # Errors
    ///
    /// Returns what is wrong, and in which file.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|e| SettingsError::File {
            path: path.to_owned(),
            source: e,
        })?;
        Self::parse(&text)
    }

    /// Returns where other daemons are listened for.
    pub fn peers_bound(&self) -> SocketAddr {
        self.peers_bind.unwrap_or(self.peers)
    }

    /// Returns the times of the lease protocol.
    pub fn lease_times(&self) -> LeaseTimes {
        let lease = Duration::from_millis(self.lease_ms);
        LeaseTimes {
            renewal_interval: Duration::from_millis(self.renewal_ms),
            lease,
            drift_margin: lease / 20,
            give_up_after: Duration::from_millis(self.give_up_ms),
        }
    }

    /// Returns the processor share of the host, in per mille of a core.
    pub fn strength(&self) -> u32 {
        (self.cpu_share * f64::from(STRENGTH_EVEN)) as u32
    }

    /// Returns the terms of the budget of repeats.
    pub fn budget(&self) -> RetryBudgetConfig {
        RetryBudgetConfig {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window: Duration::from_secs_f64(self.retry_window_s),
        }
    }

    fn check(&self) -> Result<(), SettingsError> {
        let range = |field, value: u64, range| {
            Err(SettingsError::Range {
                field,
                value,
                range,
            })
        };
        if !(100..=60_000).contains(&self.lease_ms) {
            return range("lease_ms", self.lease_ms, "100 to 60000");
        }
        if self.renewal_ms < 10 || self.renewal_ms > self.lease_ms / 3 {
            return range("renewal_ms", self.renewal_ms, "10 to a third of lease_ms");
        }
        if !(100..=600_000).contains(&self.give_up_ms) {
            return range("give_up_ms", self.give_up_ms, "100 to 600000");
        }
        if !(500..=600_000).contains(&self.hold_max_ms) {
            return range("hold_max_ms", self.hold_max_ms, "500 to 600000");
        }
        if !(500..=600_000).contains(&self.drain_ms) {
            return range("drain_ms", self.drain_ms, "500 to 600000");
        }
        if !(0.5..=600.0).contains(&self.grace_s) {
            return range("grace_s", self.grace_s as u64, "0.5 to 600");
        }
        if !(0.0..=10.0).contains(&self.retry_ratio) {
            return range("retry_ratio", self.retry_ratio as u64, "0 to 10");
        }
        if !(0.0..=1e6).contains(&self.retry_slack) {
            return range("retry_slack", self.retry_slack as u64, "0 to 1000000");
        }
        if !(0.5..=600.0).contains(&self.retry_window_s) {
            return range("retry_window_s", self.retry_window_s as u64, "0.5 to 600");
        }
        if !(0.001..=1024.0).contains(&self.cpu_share) {
            return range("cpu_share", self.cpu_share as u64, "0.001 to 1024");
        }
        let levels = ["error", "warn", "info", "debug", "trace"];
        if !levels.contains(&self.log_level.as_str()) {
            return Err(SettingsError::LogLevel(self.log_level.clone()));
        }
        Ok(())
    }
}
