//! Settings of the daemon that runs next to an upstream of a platform.
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

use crate::process::host::quota_config::QuotaConfig;
use crate::process::host::retry_budget_share::RetryBudgetConfig;
use crate::process::host::routing_freshness::RoutingFreshness;
use crate::process::lease_times::LeaseTimes;
use crate::process::settings_error::SettingsError;
use crate::process::settings_file;
use crate::version::domain_name::DomainName;
use crate::version::member::CPU_SHARE_DEFAULT;
use crate::version::service_name::ServiceName;

/// Bytes of a mebibyte.
const MIB: u64 = 1024 * 1024;
/// Which part of the memory the budget has: one in this number. The rest is for the program, its threads,
/// what the allocator keeps and the kernel's socket buffers.
const BUDGET_SHARE: u64 = 2;
/// What the program takes beside the budget, in MiB: code, threads, and what the allocator keeps. Hosts
/// with less memory than twice this have a smaller budget.
const PROGRAM_MB: u64 = 36;
/// Which part of the memory the budget has at least: one in this number.
const BUDGET_SHARE_MIN: u64 = 4;
/// Which part of the memory the bodies of responses may take: one in this number. A response that waits
/// for its caller can't be refused any more, so the rest of the budget is kept for requests.
const RESPONSES_SHARE: u64 = 4;

/// Settings from the daemon's YAML file; every field has a default.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct HostSettings {
    /// Name of the host.
    pub node: String,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Address that callers send requests to.
    pub callers: SocketAddr,
    /// Address that other daemons send datagrams and connect to.
    pub peers: SocketAddr,
    /// Address to listen on for other daemons, if it differs from `peers`, for example behind a
    /// proxy.
    pub peers_bind: Option<SocketAddr>,
    /// Address of the readiness and metrics endpoints.
    pub ready: SocketAddr,
    /// Address that the upstream sends its reports to.
    pub reports: SocketAddr,
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Service that the upstream runs.
    pub service: ServiceName,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Interval between renewals of a lease, in milliseconds.
    pub renewal_ms: u64,
    /// Duration of a lease, in milliseconds.
    pub lease_ms: u64,
    /// How long a session may stay lapsed before the daemon ends it, in milliseconds. Others may
    /// then serve its keys, even if most of the session's witnesses were lost with it.
    pub give_up_ms: u64,
    /// Longest duration of a grant, in milliseconds.
    pub hold_max_ms: u64,
    /// Time after which a leaving upstream gets no more requests, in milliseconds.
    pub drain_ms: u64,
    /// Time after which a process that was asked to stop is killed, in seconds.
    pub grace_s: f64,
    /// Retries that all daemons together may send per request.
    pub retry_ratio: f64,
    /// Retries that all daemons together may send per window in addition, however few the requests.
    pub retry_slack: f64,
    /// Length of the retry window, in seconds.
    pub retry_window_s: f64,
    /// Length of the window in which the rate limits of teams hold, in seconds.
    pub quota_window_s: f64,
    /// Fraction by which all daemons together may exceed the rate limit of a team.
    pub quota_overage: f64,
    /// Requests of a team per window that all daemons together may send in addition.
    pub quota_slack: f64,
    /// Whether a revoked API key must not work later than `revoke_timeout_ms` after the store
    /// acknowledged its removal, also where the store can't be reached.
    pub strict_revocation: bool,
    /// Time after which a revoked API key must not work, in milliseconds.
    pub revoke_timeout_ms: u64,
    /// Processor share of the host, in cores; the daemons on hosts with the largest share come
    /// first in the planning order.
    pub cpu_share: f64,
    /// Speed of the host's network link, in megabits per second.
    pub link_mbps: f64,
    /// Memory that the daemon may use, in MiB.
    pub memory_mb: u64,
    /// Least severe level that is logged: error, warn, info, debug or trace.
    pub log_level: String,
}

impl Default for HostSettings {
    fn default() -> Self {
        let local = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            node: "local".to_owned(),
            domain: "default".parse().expect("the default name is valid"),
            callers: local(8080),
            peers: local(7400),
            peers_bind: None,
            ready: local(9400),
            reports: local(9401),
            upstream: local(9000),
            service: "default".parse().expect("the default name is valid"),
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
            quota_window_s: 5.0,
            quota_overage: 0.1,
            quota_slack: 20.0,
            strict_revocation: false,
            revoke_timeout_ms: 5000,
            cpu_share: 1.0,
            link_mbps: 1000.0,
            memory_mb: 256,
            log_level: "info".to_owned(),
        }
    }
}

impl HostSettings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Returns the invalid field or the YAML error, with its line if the parser knows it.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = settings_file::decode(text)?;
        settings.validate()?;
        Ok(settings)
    }

    /// Reads, parses and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read or its content is invalid.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        Self::parse(&settings_file::read(path)?)
    }

    /// Returns the address to listen on for other daemons.
    pub fn peers_listen_address(&self) -> SocketAddr {
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
    pub fn cpu_share_per_mille(&self) -> u32 {
        (self.cpu_share * f64::from(CPU_SHARE_DEFAULT)) as u32
    }

    /// Returns the memory for everything that grows with the load, in bytes.
    pub fn memory_budget_bytes(&self) -> usize {
        let beside_program = self.memory_mb.saturating_sub(PROGRAM_MB);
        let megabytes = (self.memory_mb / BUDGET_SHARE)
            .min(beside_program)
            .max(self.memory_mb / BUDGET_SHARE_MIN);
        let bytes = megabytes * MIB;
        usize::try_from(bytes).unwrap_or(usize::MAX)
    }

    /// Returns the part of the memory budget for the bodies of responses, in bytes.
    pub fn response_bodies_bytes(&self) -> usize {
        let bytes = self.memory_mb * MIB / RESPONSES_SHARE;
        usize::try_from(bytes).unwrap_or(usize::MAX)
    }

    /// Returns the state of a daemon that does not know yet whether its routing is recent.
    pub fn routing_freshness(&self) -> RoutingFreshness {
        match self.strict_revocation {
            true => RoutingFreshness::strict(Duration::from_millis(self.revoke_timeout_ms)),
            false => RoutingFreshness::default(),
        }
    }

    /// Returns the configuration of the retry budget.
    pub fn retry_budget(&self) -> RetryBudgetConfig {
        RetryBudgetConfig {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window: Duration::from_secs_f64(self.retry_window_s),
        }
    }

    /// Returns the allowance over the rate limits of teams.
    pub fn quota(&self) -> QuotaConfig {
        QuotaConfig {
            window: Duration::from_secs_f64(self.quota_window_s),
            overage: self.quota_overage,
            slack: self.quota_slack,
        }
    }

    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// Returns the first field that is out of range.
    pub fn validate(&self) -> Result<(), SettingsError> {
        settings_file::check_lease(self.lease_ms, self.renewal_ms)?;
        if !(100..=600_000).contains(&self.give_up_ms) {
            return settings_file::out_of_range("give_up_ms", self.give_up_ms, "100 to 600000");
        }
        if !(500..=600_000).contains(&self.hold_max_ms) {
            return settings_file::out_of_range("hold_max_ms", self.hold_max_ms, "500 to 600000");
        }
        if !(500..=600_000).contains(&self.drain_ms) {
            return settings_file::out_of_range("drain_ms", self.drain_ms, "500 to 600000");
        }
        if !(0.5..=600.0).contains(&self.grace_s) {
            return settings_file::out_of_range("grace_s", self.grace_s as u64, "0.5 to 600");
        }
        if !(0.0..=10.0).contains(&self.retry_ratio) {
            return settings_file::out_of_range("retry_ratio", self.retry_ratio as u64, "0 to 10");
        }
        if !(0.0..=1e6).contains(&self.retry_slack) {
            return settings_file::out_of_range(
                "retry_slack",
                self.retry_slack as u64,
                "0 to 1000000",
            );
        }
        if !(0.5..=600.0).contains(&self.retry_window_s) {
            return settings_file::out_of_range(
                "retry_window_s",
                self.retry_window_s as u64,
                "0.5 to 600",
            );
        }
        self.validate_quota()?;
        if !(1000..=600_000).contains(&self.revoke_timeout_ms) {
            let value = self.revoke_timeout_ms;
            return settings_file::out_of_range("revoke_timeout_ms", value, "1000 to 600000");
        }
        if !(0.001..=1024.0).contains(&self.cpu_share) {
            return settings_file::out_of_range(
                "cpu_share",
                self.cpu_share as u64,
                "0.001 to 1024",
            );
        }
        if !(0.1..=1_000_000.0).contains(&self.link_mbps) {
            return settings_file::out_of_range(
                "link_mbps",
                self.link_mbps as u64,
                "0.1 to 1000000",
            );
        }
        if !(16..=1_048_576).contains(&self.memory_mb) {
            return settings_file::out_of_range("memory_mb", self.memory_mb, "16 to 1048576");
        }
        settings_file::check_log_level(&self.log_level)?;
        Ok(())
    }

    fn validate_quota(&self) -> Result<(), SettingsError> {
        if !(0.5..=600.0).contains(&self.quota_window_s) {
            let value = self.quota_window_s as u64;
            return settings_file::out_of_range("quota_window_s", value, "0.5 to 600");
        }
        if !(0.0..=10.0).contains(&self.quota_overage) {
            let value = self.quota_overage as u64;
            return settings_file::out_of_range("quota_overage", value, "0 to 10");
        }
        if !(0.0..=1e6).contains(&self.quota_slack) {
            let value = self.quota_slack as u64;
            return settings_file::out_of_range("quota_slack", value, "0 to 1000000");
        }
        Ok(())
    }
}
