//! foxtaildrift: a router for servers that own keys exclusively.
//!
//! A daemon runs on the host of each upstream. Together the daemons route each request to the
//! exclusive owner of its key. No request is lost or run twice while servers, upstreams and failure
//! domains are added and removed. The modules are organized by the lifetime of their state: a
//! request, a connection, a version of a document or table, the process.
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
