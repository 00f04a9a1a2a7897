//! A route of a service.

use serde::{Deserialize, Serialize};

/// Which requests a decision is for, and the decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The method, or `None` for all.
    #[serde(default)]
    pub method: Option<String>,
    /// The start of the path behind the service's name; it ends at a segment's end.
    pub path: String,
    /// Whether a request may be run more than once.
    pub repeatable: bool,
}

impl Route {
    /// Returns whether a request falls under this route.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let method_fits = self
            .method
            .as_deref()
            .is_none_or(|m| m.eq_ignore_ascii_case(method));
        let path = path.split('?').next().unwrap_or("");
        let rest = path.strip_prefix(self.path.trim_end_matches('/'));
        method_fits && rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }
}
