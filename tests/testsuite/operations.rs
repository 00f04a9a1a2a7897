//! Operators' changes of the configuration: lost responses of the platform, and conflicting writes.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use foxtaildrift::process::clock::SystemClock;
use foxtaildrift::process::operations::{
    DrainTarget, OperationError, Operations, PRODUCTION, TRIAL,
};
use foxtaildrift::process::platform::{
    Platform, PlatformError, PlatformKey, Revision, StoredValue, SwapOutcome,
};
use foxtaildrift::version::document_version::DocumentVersion;

/// The fault that the fake platform injects into the next write of the production configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Fault {
    #[default]
    None,
    /// The write takes effect, but its response is lost.
    ResponseLost,
    /// The write does not arrive.
    Dropped,
    /// Another operator writes before it.
    Conflict,
}

#[derive(Default)]
struct FakePlatform {
    values: Mutex<BTreeMap<PlatformKey, StoredValue>>,
    next_fault: Mutex<Fault>,
}

impl FakePlatform {
    fn write(&self, key: &PlatformKey, bytes: &[u8]) {
        let mut values = self.values.lock().unwrap();
        let revision = Revision(values.get(key).map_or(0, |s| s.revision.0) + 1);
        values.insert(
            key.clone(),
            StoredValue {
                revision,
                bytes: bytes.to_vec(),
            },
        );
    }

    fn no_response() -> PlatformError {
        PlatformError::NoResponse {
            location: "fake".to_owned(),
            reason: "connection cut".to_owned(),
        }
    }
}

impl Platform for FakePlatform {
    fn read(&self, key: &PlatformKey) -> Result<Option<StoredValue>, PlatformError> {
        Ok(self.values.lock().unwrap().get(key).cloned())
    }

    fn watch(
        &self,
        key: &PlatformKey,
        _revision: Revision,
        _wait: Duration,
    ) -> Result<Option<StoredValue>, PlatformError> {
        self.read(key)
    }

    fn compare_and_swap(
        &self,
        key: &PlatformKey,
        expected: Revision,
        bytes: &[u8],
    ) -> Result<SwapOutcome, PlatformError> {
        let is_target = *key == PlatformKey::configuration(PRODUCTION);
        let fault = if is_target {
            std::mem::take(&mut *self.next_fault.lock().unwrap())
        } else {
            Fault::None
        };
        let stored = self.read(key)?;
        match fault {
            Fault::Dropped => return Err(Self::no_response()),
            Fault::Conflict => {
                let current = stored.clone().map(|s| s.bytes).unwrap_or_default();
                self.write(key, &change_by_other_operator(&current));
            }
            Fault::None | Fault::ResponseLost => {}
        }
        let revision = self.read(key)?.map_or(Revision::default(), |s| s.revision);
        if revision != expected {
            return Ok(SwapOutcome::Conflict);
        }
        self.write(key, bytes);
        if fault == Fault::ResponseLost {
            Err(Self::no_response())
        } else {
            Ok(SwapOutcome::Done)
        }
    }

    fn acquire_lease(
        &self,
        _key: &PlatformKey,
        _holder: &str,
        _is_dead: &dyn Fn(&str) -> bool,
    ) -> Result<bool, PlatformError> {
        Ok(true)
    }

    fn release_leases(&self) -> Result<(), PlatformError> {
        Ok(())
    }
}

/// Returns the configuration in `bytes` with a change by another operator.
fn change_by_other_operator(bytes: &[u8]) -> Vec<u8> {
    let configuration: foxtaildrift::Configuration = serde_json::from_slice(bytes).unwrap();
    let at = foxtaildrift::process::wall_time::WallTime(1);
    serde_json::to_vec(&configuration.with_change(at, "drain failure domain djerba", |_| {}))
        .unwrap()
}

fn operations() -> (Arc<FakePlatform>, Operations) {
    let platform = Arc::new(FakePlatform::default());
    let as_platform = Arc::clone(&platform) as Arc<dyn Platform>;
    (
        platform,
        Operations::new(as_platform, Arc::new(SystemClock)),
    )
}

fn zarzis_domain() -> DrainTarget {
    DrainTarget::Domain("zarzis".parse().unwrap())
}

#[test]
fn promote_accepts_only_tried_documents_and_keeps_their_bytes() {
    let (_, operations) = operations();
    let text = "services: {order-desk: {}} # as tried\n";
    let tried = operations.trial(text).unwrap();
    let promoted = operations.promote(&tried.digest).unwrap();
    assert_eq!(
        (promoted.text.as_str(), promoted.version),
        (text, DocumentVersion::from(1_u64))
    );
    let untried = foxtaildrift::version::document::Document::digest("services: {}\n");
    assert!(matches!(
        operations.promote(&untried),
        Err(OperationError::NotTried(..))
    ));
}

#[test]
fn promote_accepts_an_earlier_tried_document() {
    let (_, operations) = operations();
    let first = operations.trial("services: {a: {}}\n").unwrap();
    operations.trial("services: {b: {}}\n").unwrap();
    let promoted = operations.promote(&first.digest).unwrap();
    assert_eq!(promoted.text, "services: {a: {}}\n");
}

#[test]
fn an_invalid_document_changes_nothing() {
    let (_, operations) = operations();
    assert!(operations.trial("services: 7\n").is_err());
    assert_eq!(
        operations.configuration(TRIAL).unwrap().version,
        DocumentVersion::from(0_u64)
    );
}

#[test]
fn a_change_whose_response_was_lost_is_read_back() {
    let (platform, operations) = operations();
    *platform.next_fault.lock().unwrap() = Fault::ResponseLost;
    let changed = operations.drain(PRODUCTION, &zarzis_domain()).unwrap();
    assert_eq!(changed.version, DocumentVersion::from(1_u64));
    assert_eq!(operations.configuration(PRODUCTION).unwrap(), changed);
}

#[test]
fn a_write_that_may_still_arrive_is_reported_in_doubt() {
    let (platform, operations) = operations();
    *platform.next_fault.lock().unwrap() = Fault::Dropped;
    let result = operations.drain(PRODUCTION, &zarzis_domain());
    assert!(matches!(result, Err(OperationError::InDoubt { .. })));
}

#[test]
fn a_conflict_names_the_version_that_was_written_first() {
    let (platform, operations) = operations();
    operations.drain(PRODUCTION, &zarzis_domain()).unwrap();
    *platform.next_fault.lock().unwrap() = Fault::Conflict;
    let conflict = operations
        .undrain(PRODUCTION, &zarzis_domain())
        .unwrap_err();
    let text = conflict.to_string();
    assert_eq!(
        text,
        "conflict with version 2 (drain failure domain djerba); nothing was changed"
    );
}
