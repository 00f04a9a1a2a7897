//! The command line of the stand-ins and runs.

use std::fmt::Display;
use std::str::FromStr;

use getopts::{Matches, Options};
use thiserror::Error;

/// A command line that makes no sense, or a run that could not be set up.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct BenchError(pub String);

impl BenchError {
    /// Returns a function that turns an error with `what` before it.
    pub fn with_context<E: Display>(what: &str) -> impl Fn(E) -> BenchError + '_ {
        move |e| BenchError(format!("{what}: {e}"))
    }
}

/// Parses `args` with the options that `declare` adds.
///
/// # Errors
///
/// Returns an error where the arguments don't fit.
pub fn parse(args: &[String], declare: impl FnOnce(&mut Options)) -> Result<Matches, BenchError> {
    let mut options = Options::new();
    declare(&mut options);
    options.parse(args).map_err(|e| BenchError(e.to_string()))
}

/// Returns the value of an option, or `default`.
///
/// # Errors
///
/// Returns an error where the value doesn't fit.
pub fn value<T: FromStr>(matches: &Matches, name: &str, default: T) -> Result<T, BenchError>
where
    T::Err: Display,
{
    match matches.opt_str(name) {
        Some(text) => text
            .parse()
            .map_err(|e| BenchError(format!("--{name}: {e}"))),
        None => Ok(default),
    }
}
