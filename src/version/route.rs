//! A route of a service.

use serde::{Deserialize, Serialize};

/// Which requests the route matches, and whether they are idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The HTTP method, or `None` for any.
    #[serde(default)]
    pub method: Option<String>,
    /// The path prefix after the service name; it matches whole segments only.
    pub path: String,
    /// Whether a matching request may run more than once.
    pub repeatable: bool,
}

impl Route {
    /// Returns whether a request matches this route.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self
            .method
            .as_deref()
            .is_none_or(|m| m.eq_ignore_ascii_case(method));
        let path = path.split('?').next().unwrap_or("");
        let rest = path.strip_prefix(self.path.trim_end_matches('/'));
        method_matches && rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}
