//! foxtaildrift: a router for servers that own keys exclusively.
//!
//! A daemon runs beside each upstream. Together the daemons bring each request to the sole owner
//! of its key; no work is lost or run twice while servers, upstreams and failure domains come and
//! go. The modules are laid out by what their state lives for: a request, a connection, a version
//! of document or table, the process.
//!
//! ```
//! use foxtaildrift::{Document, Settings};
//!
//! let settings = Settings::parse("")?;
//! let document = Document::parse("services: {order-desk: {kind: keyed}}")?;
//! assert_eq!(settings.environment.as_str(), "production");
//! assert!(!document.services.is_empty());
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod newtype;

pub mod cmd;
pub mod connection;
pub mod process;
pub mod request;
pub mod version;

pub use process::daemon::{Daemon, DaemonError};
pub use process::settings::Settings;
pub use version::configuration::Configuration;
pub use version::document::Document;
pub use version::table::Table;
