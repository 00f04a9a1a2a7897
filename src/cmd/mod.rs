//! The operators' command line with its subcommands, and the daemons' command lines.
//!
//! The module of a subcommand has a function that declares its options and one that executes it.
//!
//! ```
//! let names: Vec<&str> = foxtaildrift::cmd::command::commands().iter().map(|c| c.name).collect();
//! assert!(names.contains(&"promote"));
//! ```

pub mod burn;
pub mod check;
pub mod command;
pub mod daemon;
mod daemon_command;
pub mod drain;
pub mod explain;
pub mod history;
pub mod host;
pub mod promote;
pub mod show;
pub mod status;
pub mod trial;
