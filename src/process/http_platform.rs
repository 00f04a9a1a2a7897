//! The adapter to a platform that speaks the published HTTP interface of Consul: key-value store,
//! blocking queries and sessions.

use std::sync::Mutex;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use ureq::Agent;
use ureq::http::{Request, Response};

use crate::process::platform::{
    Platform, PlatformError, PlatformKey, Revision, StoredValue, SwapOutcome,
};
use crate::process::sync;

/// How long a call may take, on top of the time that it asks the platform to wait.
const CALL_TIME: Duration = Duration::from_millis(2000);
/// How long a connection may take to be made.
const CONNECT_TIME: Duration = Duration::from_millis(1000);
/// How long a lease holds without renewal; the least that the interface allows.
const LEASE_TIME: &str = "10s";
/// The largest answer, in bytes: a value of a megabyte in base64, and its frame.
const ANSWER_BYTES_MAX: u64 = 2 * 1024 * 1024;

/// A platform reached over HTTP.
pub struct HttpPlatform {
    base: String,
    agent: Agent,
    /// The session that holds this process's lease.
    lease: Mutex<Option<String>>,
}

/// An entry as the platform writes it.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Entry {
    modify_index: u64,
    value: Option<String>,
    session: Option<String>,
}

/// The answer to the creation of a session.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Created {
    #[serde(rename = "ID")]
    id: String,
}

impl HttpPlatform {
    /// Creates an adapter to the platform at `base`, such as `http://10.0.0.5:8500`.
    pub fn new(base: &str) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIME))
            .proxy(None)
            .build();
        Self {
            base: base.trim_end_matches('/').to_owned(),
            agent: config.new_agent(),
            lease: Mutex::default(),
        }
    }

    fn get(&self, path: &str, limit: Duration) -> Result<Response<ureq::Body>, PlatformError> {
        let request = Request::get(format!("{}{path}", self.base)).body(());
        let request = request.map_err(|e| self.malformed(&e))?;
        let request = self
            .agent
            .configure_request(request)
            .timeout_global(Some(limit))
            .build();
        self.agent.run(request).map_err(|e| self.no_answer(&e))
    }

    fn put(&self, path: &str, body: Vec<u8>) -> Result<String, PlatformError> {
        let request = Request::put(format!("{}{path}", self.base)).body(body);
        let request = request.map_err(|e| self.malformed(&e))?;
        let request = self.agent.configure_request(request);
        let request = request.timeout_global(Some(CALL_TIME)).build();
        let response = self.agent.run(request).map_err(|e| self.no_answer(&e))?;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(PlatformError::Refused {
                location: self.base.clone(),
                status,
            });
        }
        response
            .into_body()
            .read_to_string()
            .map_err(|e| self.no_answer(&e))
    }

    /// Reads an entry, after its change where the path asks for that.
    fn entry(&self, path: &str, limit: Duration) -> Result<Option<Entry>, PlatformError> {
        let response = self.get(path, limit)?;
        let status = response.status().as_u16();
        if status == 404 {
            return Ok(None);
        }
        if status != 200 {
            return Err(PlatformError::Refused {
                location: self.base.clone(),
                status,
            });
        }
        let mut body = response.into_body();
        let read = body.with_config().limit(ANSWER_BYTES_MAX).read_to_vec();
        let bytes = read.map_err(|e| self.no_answer(&e))?;
        let entries: Vec<Entry> = serde_json::from_slice(&bytes).map_err(|e| self.malformed(&e))?;
        Ok(entries.into_iter().next())
    }

    fn stored(&self, entry: Option<Entry>) -> Result<Option<StoredValue>, PlatformError> {
        let Some(entry) = entry else { return Ok(None) };
        let text = entry.value.unwrap_or_default();
        let bytes = STANDARD.decode(text).map_err(|e| self.malformed(&e))?;
        Ok(Some(StoredValue {
            revision: Revision(entry.modify_index),
            bytes,
        }))
    }

    /// Creates a session, whose end deletes what it holds.
    fn create_session(&self) -> Result<String, PlatformError> {
        let wish = format!(r#"{{"TTL":"{LEASE_TIME}","LockDelay":"0s","Behavior":"delete"}}"#);
        let text = self.put("/v1/session/create", wish.into_bytes())?;
        let created: Created = serde_json::from_str(&text).map_err(|e| self.malformed(&e))?;
        Ok(created.id)
    }

    fn no_answer(&self, e: &dyn std::fmt::Display) -> PlatformError {
        PlatformError::NoAnswer {
            location: self.base.clone(),
            reason: e.to_string(),
        }
    }

    fn malformed(&self, e: &dyn std::fmt::Display) -> PlatformError {
        PlatformError::Malformed {
            location: self.base.clone(),
            reason: e.to_string(),
        }
    }
}

impl Platform for HttpPlatform {
    fn read(&self, key: &PlatformKey) -> Result<Option<StoredValue>, PlatformError> {
        let entry = self.entry(&format!("/v1/kv/{key}"), CALL_TIME)?;
        self.stored(entry)
    }

    fn watch(
        &self,
        key: &PlatformKey,
        revision: Revision,
        wait: Duration,
    ) -> Result<Option<StoredValue>, PlatformError> {
        // An index of zero would not wait; an absent value has been since the first index.
        let index = revision.0.max(1);
        let path = format!("/v1/kv/{key}?index={index}&wait={}ms", wait.as_millis());
        let entry = self.entry(&path, wait + CALL_TIME)?;
        self.stored(entry)
    }

    fn compare_and_swap(
        &self,
        key: &PlatformKey,
        expected: Revision,
        bytes: &[u8],
    ) -> Result<SwapOutcome, PlatformError> {
        let text = self.put(&format!("/v1/kv/{key}?cas={expected}"), bytes.to_vec())?;
        Ok(if text.trim() == "true" {
            SwapOutcome::Done
        } else {
            SwapOutcome::Conflict
        })
    }

    fn acquire_lease(
        &self,
        key: &PlatformKey,
        holder: &str,
        is_dead: &dyn Fn(&str) -> bool,
    ) -> Result<bool, PlatformError> {
        let mut lease = sync::lock(&self.lease);
        if let Some(id) = lease.clone() {
            // The platform deletes the key when the session ends, so a renewal is enough.
            match self.put(&format!("/v1/session/renew/{id}"), Vec::new()) {
                Ok(_) => return Ok(true),
                Err(PlatformError::Refused { status: 404, .. }) => *lease = None,
                Err(e) => return Err(e),
            }
        }
        // Only reads, as long as another process holds the lease.
        if let Some(entry) = self.entry(&format!("/v1/kv/{key}"), CALL_TIME)?
            && let Some(session) = entry.session.clone()
        {
            let present = self
                .stored(Some(entry))?
                .map(|s| s.bytes)
                .unwrap_or_default();
            if !is_dead(&String::from_utf8_lossy(&present)) {
                return Ok(false);
            }
            self.put(&format!("/v1/session/destroy/{session}"), Vec::new())?;
        }
        let id = self.create_session()?;
        let path = format!("/v1/kv/{key}?acquire={id}");
        let held = self.put(&path, holder.as_bytes().to_vec())?.trim() == "true";
        if held {
            *lease = Some(id);
        } else {
            self.put(&format!("/v1/session/destroy/{id}"), Vec::new())?;
        }
        Ok(held)
    }

    fn release_leases(&self) -> Result<(), PlatformError> {
        let lease = sync::lock(&self.lease).take();
        let Some(id) = lease else { return Ok(()) };
        self.put(&format!("/v1/session/destroy/{id}"), Vec::new())
            .map(|_| ())
    }
}
