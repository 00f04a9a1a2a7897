//! The headers of an HTTP message, in the order received.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Headers that concern only one connection and are never forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Headers whose values are secrets (RFC 9110, section 11); debug output does not show them.
const SECRET: [&str; 2] = ["authorization", "proxy-authorization"];

/// The headers of a message; names are compared case-insensitively.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Headers(Vec<(String, Vec<u8>)>);

impl fmt::Debug for Headers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = self.0.iter().map(|(name, value)| {
            let is_secret = SECRET.iter().any(|s| name.eq_ignore_ascii_case(s));
            let value = match is_secret {
                true => "..".into(),
                false => String::from_utf8_lossy(value),
            };
            (name, value)
        });
        f.debug_list().entries(shown).finish()
    }
}

impl Headers {
    /// Appends a header.
    pub fn push(&mut self, name: impl Into<String>, value: impl Into<Vec<u8>>) {
        self.0.push((name.into(), value.into()));
    }

    /// Returns the first value of `name`.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let mut named = self.0.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        named.next().map(|(_, value)| value.as_slice())
    }

    /// Returns the first value of `name` as trimmed text, or `None` if it is not UTF-8.
    pub fn get_str(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok().map(str::trim)
    }

    /// Returns all values of `name`.
    pub fn get_all<'h>(&'h self, name: &'h str) -> impl Iterator<Item = &'h [u8]> {
        let named = self.0.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_slice())
    }

    /// Returns whether one of the comma-separated values of `name` is `token`.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let values = self
            .get_all(name)
            .filter_map(|v| std::str::from_utf8(v).ok());
        let mut tokens = values.flat_map(|v| v.split(','));
        tokens.any(|t| t.trim().eq_ignore_ascii_case(token))
    }

    /// Removes all headers with `name`.
    pub fn remove(&mut self, name: &str) {
        self.0.retain(|(n, _)| !n.eq_ignore_ascii_case(name));
    }

    /// Returns the headers to forward: without hop-by-hop headers and those listed in `Connection`.
    /// `Content-Length` is left out too, because each hop sets its own.
    pub fn end_to_end(&self) -> Self {
        let listed: Vec<String> = self
            .get_all("connection")
            .filter_map(|v| std::str::from_utf8(v).ok())
            .flat_map(|v| v.split(','))
            .map(|t| t.trim().to_ascii_lowercase())
            .collect();
        let is_forwarded = |name: &str| {
            let name = name.to_ascii_lowercase();
            !HOP_BY_HOP.contains(&name.as_str())
                && name != "content-length"
                && !listed.contains(&name)
        };
        Self(
            self.0
                .iter()
                .filter(|(n, _)| is_forwarded(n))
                .cloned()
                .collect(),
        )
    }

    /// Returns all headers in the order received.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.0.iter().map(|(n, v)| (n.as_str(), v.as_slice()))
    }
}
