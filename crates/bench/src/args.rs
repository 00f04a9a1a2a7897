//! Parsing of the command lines of stand-ins and runs, and their error type.

use std::fmt::Display;
use std::str::FromStr;

use getopts::{Matches, Options};
use thiserror::Error;

/// An invalid command line, or a run that failed or missed its targets.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct BenchError(pub String);

impl BenchError {
    /// Returns a function that converts an error and puts `context` before its message.
    pub fn with_context<E: Display>(context: &str) -> impl Fn(E) -> BenchError + '_ {
        move |e| BenchError(format!("{context}: {e}"))
    }
}

/// Parses `args` with the options that `declare` adds.
///
/// # Errors
///
/// Returns an error if an option is unknown, or a value or a required option is missing.
pub fn parse(args: &[String], declare: impl FnOnce(&mut Options)) -> Result<Matches, BenchError> {
    let mut options = Options::new();
    declare(&mut options);
    options.parse(args).map_err(|e| BenchError(e.to_string()))
}

/// Returns the parsed value of the option `name`, or `default` if it is absent.
///
/// # Errors
///
/// Returns an error if the value can't be parsed.
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
