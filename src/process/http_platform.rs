//! The client of a platform with Consul's HTTP API: key-value store, blocking queries and sessions.

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

/// The timeout of a call, in addition to the wait time of a blocking query.
const CALL_TIMEOUT: Duration = Duration::from_millis(2000);
/// The timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// How long a lease lasts without renewal; Consul's minimum session TTL.
const LEASE_TTL: &str = "10s";
/// The maximum size of a response, in bytes: a value of one megabyte in base64, and the JSON around
/// it.
const RESPONSE_BYTES_MAX: u64 = 2 * 1024 * 1024;

/// A [`Platform`] that is reached over HTTP.
pub struct HttpPlatform {
    base_url: String,
    agent: Agent,
    /// The id of the Consul session that holds this process's lease.
    lease_session: Mutex<Option<String>>,
}

/// A key-value entry as Consul encodes it.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Entry {
    modify_index: u64,
    value: Option<String>,
    session: Option<String>,
}

/// The response to the creation of a session.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct CreatedSession {
    #[serde(rename = "ID")]
    id: String,
}

impl HttpPlatform {
    /// Creates a client of the platform at the URL `base_url`, such as `http://10.0.0.5:8500`.
    pub fn new(base_url: &str) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .proxy(None)
            .build();
        Self {
            base_url: base_url.trim_end_matches('/').to_owned(),
            agent: config.new_agent(),
            lease_session: Mutex::default(),
        }
    }

    fn get(&self, path: &str, timeout: Duration) -> Result<Response<ureq::Body>, PlatformError> {
        let request = Request::get(format!("{}{path}", self.base_url)).body(());
        let request = request.map_err(|e| self.malformed(&e))?;
        let request = self
            .agent
            .configure_request(request)
            .timeout_global(Some(timeout))
            .build();
        self.agent.run(request).map_err(|e| self.no_response(&e))
    }

    fn put(&self, path: &str, body: Vec<u8>) -> Result<String, PlatformError> {
        let request = Request::put(format!("{}{path}", self.base_url)).body(body);
        let request = request.map_err(|e| self.malformed(&e))?;
        let request = self.agent.configure_request(request);
        let request = request.timeout_global(Some(CALL_TIMEOUT)).build();
        let response = self.agent.run(request).map_err(|e| self.no_response(&e))?;
        let status = response.status().as_u16();
        if status != 200 {
            return Err(PlatformError::Refused {
                location: self.base_url.clone(),
                status,
            });
        }
        response
            .into_body()
            .read_to_string()
            .map_err(|e| self.no_response(&e))
    }

    /// Reads an entry. If `path` is a blocking query, waits until the entry has changed.
    fn read_entry(&self, path: &str, timeout: Duration) -> Result<Option<Entry>, PlatformError> {
        let response = self.get(path, timeout)?;
        let status = response.status().as_u16();
        if status == 404 {
            return Ok(None);
        }
        if status != 200 {
            return Err(PlatformError::Refused {
                location: self.base_url.clone(),
                status,
            });
        }
        let mut body = response.into_body();
        let read = body.with_config().limit(RESPONSE_BYTES_MAX).read_to_vec();
        let bytes = read.map_err(|e| self.no_response(&e))?;
        let entries: Vec<Entry> = serde_json::from_slice(&bytes).map_err(|e| self.malformed(&e))?;
        Ok(entries.into_iter().next())
    }

    /// Returns the revision and the decoded value of an entry.
    fn decode_value(&self, entry: Option<Entry>) -> Result<Option<StoredValue>, PlatformError> {
        let Some(entry) = entry else { return Ok(None) };
        let text = entry.value.unwrap_or_default();
        let bytes = STANDARD.decode(text).map_err(|e| self.malformed(&e))?;
        Ok(Some(StoredValue {
            revision: Revision(entry.modify_index),
            bytes,
        }))
    }

    /// Creates a session; when it ends, Consul deletes the keys that it holds.
    fn create_session(&self) -> Result<String, PlatformError> {
        let body = format!(r#"{{"TTL":"{LEASE_TTL}","LockDelay":"0s","Behavior":"delete"}}"#);
        let text = self.put("/v1/session/create", body.into_bytes())?;
        let created: CreatedSession =
            serde_json::from_str(&text).map_err(|e| self.malformed(&e))?;
        Ok(created.id)
    }

    fn no_response(&self, e: &dyn std::fmt::Display) -> PlatformError {
        PlatformError::NoResponse {
            location: self.base_url.clone(),
            reason: e.to_string(),
        }
    }

    fn malformed(&self, e: &dyn std::fmt::Display) -> PlatformError {
        PlatformError::Malformed {
            location: self.base_url.clone(),
            reason: e.to_string(),
        }
    }
}

impl Platform for HttpPlatform {
    fn read(&self, key: &PlatformKey) -> Result<Option<StoredValue>, PlatformError> {
        let entry = self.read_entry(&format!("/v1/kv/{key}"), CALL_TIMEOUT)?;
        self.decode_value(entry)
    }

    fn watch(
        &self,
        key: &PlatformKey,
        revision: Revision,
        wait: Duration,
    ) -> Result<Option<StoredValue>, PlatformError> {
        // A query with index 0 returns immediately, so an absent value, whose revision is 0, is
        // watched from index 1.
        let index = revision.0.max(1);
        let path = format!("/v1/kv/{key}?index={index}&wait={}ms", wait.as_millis());
        let entry = self.read_entry(&path, wait + CALL_TIMEOUT)?;
        self.decode_value(entry)
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
        let mut lease_session = sync::lock(&self.lease_session);
        if let Some(id) = lease_session.clone() {
            // Consul deletes the key when the session ends, so renewing the session is enough.
            match self.put(&format!("/v1/session/renew/{id}"), Vec::new()) {
                Ok(_) => return Ok(true),
                Err(PlatformError::Refused { status: 404, .. }) => *lease_session = None,
                Err(e) => return Err(e),
            }
        }
        // While another live process holds the lease, this read is the only call.
        if let Some(entry) = self.read_entry(&format!("/v1/kv/{key}"), CALL_TIMEOUT)?
            && let Some(session) = entry.session.clone()
        {
            let current_holder = self
                .decode_value(Some(entry))?
                .map(|s| s.bytes)
                .unwrap_or_default();
            if !is_dead(&String::from_utf8_lossy(&current_holder)) {
                return Ok(false);
            }
            self.put(&format!("/v1/session/destroy/{session}"), Vec::new())?;
        }
        let id = self.create_session()?;
        let path = format!("/v1/kv/{key}?acquire={id}");
        let acquired = self.put(&path, holder.as_bytes().to_vec())?.trim() == "true";
        if acquired {
            *lease_session = Some(id);
        } else {
            self.put(&format!("/v1/session/destroy/{id}"), Vec::new())?;
        }
        Ok(acquired)
    }

    fn release_leases(&self) -> Result<(), PlatformError> {
        let session = sync::lock(&self.lease_session).take();
        let Some(id) = session else { return Ok(()) };
        self.put(&format!("/v1/session/destroy/{id}"), Vec::new())
            .map(|_| ())
    }
}
