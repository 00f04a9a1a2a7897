//! The runs: each starts an environment, brings about a failure, and holds what callers were told
//! against the journals.

pub mod demo;
pub mod environment;
