//! Versioned state: the operators' document, the routing configuration and the assignment table.
//!
//! ```
//! use foxtaildrift::version::key_hash::KeyHash;
//! use foxtaildrift::version::table::ServiceSlices;
//!
//! let service = ServiceSlices { slices: vec![Default::default(); 64], range_starts: vec![] };
//! let slice = service.slice_of(KeyHash::of(b"member-17"));
//! assert!(slice.is_some_and(|s| s.index() < 64));
//! ```

pub mod api_key;
pub mod assignment;
pub mod burst;
pub mod configuration;
pub mod departed_process;
pub mod digest;
pub mod document;
pub mod document_error;
pub mod document_version;
pub mod domain_name;
pub mod domain_state;
pub mod epoch;
pub mod fencing_token;
pub mod instance_id;
pub mod key_hash;
pub mod member;
pub mod name_error;
pub mod objective;
pub mod rendezvous;
pub mod request_rate;
pub mod route;
pub mod routing_config;
pub mod service;
pub mod service_name;
pub mod session_id;
pub mod slice_id;
pub mod store_era;
pub mod table;
pub mod table_delta;
pub mod table_error;
pub mod team;
pub mod team_name;
pub mod teams;
pub mod upstream;
pub mod witness_set;
