//! The settings of one daemon process.
//!
//! ```
//! use foxtaildrift::process::settings::Settings;
//!
//! let settings = Settings::parse("domain: zarzis\n")?;
//! assert_eq!(settings.domain.as_str(), "zarzis");
//! # Ok::<(), foxtaildrift::process::settings_error::SettingsError>(())
//! ```

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::process::lease_times::LeaseTimes;
use crate::process::logging::LogFormat;
use crate::process::settings_error::SettingsError;
use crate::process::settings_file;
use crate::version::domain_name::DomainName;

/// The settings that a daemon reads from its YAML file; every field has a default.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The environment whose configuration the daemon uses.
    pub environment: DomainName,
    /// The cell that the daemon is a member of.
    pub cell: u32,
    /// The failure domain of the host.
    pub domain: DomainName,
    /// The address that listens for callers' requests.
    pub entry: SocketAddr,
    /// The address that listens for datagrams and connections of other daemons.
    pub peer: SocketAddr,
    /// The address at which other daemons reach `peer`, if it differs.
    pub advertise: Option<SocketAddr>,
    /// The address of the administration API.
    pub admin: SocketAddr,
    /// The URL of the platform.
    pub platform: String,
    /// The token that administration requests must present to change state; if it is empty, such
    /// requests are refused.
    pub token: String,
    /// The number of callers' requests that are processed at the same time.
    pub workers: u32,
    /// The interval at which a lease is renewed, in milliseconds.
    pub renewal_ms: u64,
    /// How long a lease lasts, in milliseconds.
    pub lease_ms: u64,
    /// The maximum difference between the clocks of hosts and callers, in milliseconds.
    pub clock_skew_ms: u64,
    /// The memory for records of requests that must not run twice, in mebibytes.
    pub record_mb: u32,
    /// How long a graceful shutdown may take, in milliseconds.
    pub stop_ms: u64,
    /// The format of log lines.
    pub log_format: LogFormat,
    /// The least severe level that is logged: error, warn, info, debug or trace.
    pub log_level: String,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            environment: "production".parse().expect("the default is a valid name"),
            cell: 0,
            domain: "default".parse().expect("the default is a valid name"),
            entry: ([127, 0, 0, 1], 8080).into(),
            peer: ([127, 0, 0, 1], 7400).into(),
            advertise: None,
            admin: ([127, 0, 0, 1], 9400).into(),
            platform: "http://127.0.0.1:8500".to_owned(),
            token: String::new(),
            workers: 64,
            renewal_ms: 500,
            lease_ms: 2000,
            clock_skew_ms: 250,
            record_mb: 24,
            stop_ms: 10_000,
            log_format: LogFormat::Text,
            log_level: "info".to_owned(),
        }
    }
}

impl Settings {
    /// Parses and validates settings in YAML.
    ///
    /// # Errors
    ///
    /// Returns an error if the YAML is malformed, with its line, or a value is invalid.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = settings_file::decode(text)?;
        settings.validate()?;
        Ok(settings)
    }

    /// Reads, parses and validates the settings in a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or its settings are invalid.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&settings_file::read(path)?)
    }

    /// Returns the durations of the lease protocol.
    pub fn lease_times(&self) -> LeaseTimes {
        let lease = Duration::from_millis(self.lease_ms);
        let renewal = Duration::from_millis(self.renewal_ms);
        LeaseTimes {
            renewal_interval: renewal,
            lease,
            drift_margin: lease / 20,
            ..LeaseTimes::default()
        }
    }

    /// Returns the address at which other daemons reach this daemon.
    pub fn advertised_address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.peer)
    }

    fn validate(&self) -> Result<(), SettingsError> {
        if !(1..=4096).contains(&self.workers) {
            return settings_file::out_of_range("workers", self.workers.into(), "1 to 4096");
        }
        settings_file::check_lease(self.lease_ms, self.renewal_ms)?;
        if self.clock_skew_ms > 60_000 {
            return settings_file::out_of_range("clock_skew_ms", self.clock_skew_ms, "0 to 60000");
        }
        if !(1..=4096).contains(&self.record_mb) {
            return settings_file::out_of_range("record_mb", self.record_mb.into(), "1 to 4096");
        }
        if !(100..=600_000).contains(&self.stop_ms) {
            return settings_file::out_of_range("stop_ms", self.stop_ms, "100 to 600000");
        }
        settings_file::check_log_level(&self.log_level)?;
        if !self.platform.starts_with("http://") {
            return Err(SettingsError::Platform(self.platform.clone()));
        }
        Ok(())
    }
}
