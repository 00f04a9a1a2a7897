//! The operators' changes against a platform that loses answers, and against each other.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use foxtaildrift::process::clock::SystemClock;
use foxtaildrift::process::operations::{OperationError, Operations, PRODUCTION, TRIAL, Target};
use foxtaildrift::process::platform::{
    Platform, PlatformError, PlatformKey, Revision, StoredValue, SwapOutcome,
};
use foxtaildrift::version::document_version::DocumentVersion;

/// What goes wrong with the next write of a configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Fault {
    #[default]
    None,
    /// It takes effect, and its answer is lost.
    AnswerLost,
    /// It does not arrive.
    Dropped,
    /// Another operator writes first.
    Raced,
}

#[derive(Default)]
struct FakePlatform {
    values: Mutex<BTreeMap<PlatformKey, StoredValue>>,
    fault: Mutex<Fault>,
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

    fn no_answer() -> PlatformError {
        PlatformError::NoAnswer {
            location: "fake".to_owned(),
            reason: "cut".to_owned(),
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
        let watched = *key == PlatformKey::configuration(PRODUCTION);
        let fault = if watched {
            std::mem::take(&mut *self.fault.lock().unwrap())
        } else {
            Fault::None
        };
        let present = self.read(key)?;
        match fault {
            Fault::Dropped => return Err(Self::no_answer()),
            Fault::Raced => {
                let other = present.clone().map(|s| s.bytes).unwrap_or_default();
                self.write(key, &bump(&other));
            }
            Fault::None | Fault::AnswerLost => {}
        }
        let present = self.read(key)?.map_or(Revision::default(), |s| s.revision);
        if present != expected {
            return Ok(SwapOutcome::Conflict);
        }
        self.write(key, bytes);
        if fault == Fault::AnswerLost {
            Err(Self::no_answer())
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

/// Returns the configuration in `bytes` as another operator would have changed it.
fn bump(bytes: &[u8]) -> Vec<u8> {
    let configuration: foxtaildrift::Configuration = serde_json::from_slice(bytes).unwrap();
    let at = foxtaildrift::process::wall_time::WallTime(1);
    serde_json::to_vec(&configuration.changed(at, "drain failure domain djerba", |_| {})).unwrap()
}

fn operations() -> (Arc<FakePlatform>, Operations) {
    let platform = Arc::new(FakePlatform::default());
    let as_platform = Arc::clone(&platform) as Arc<dyn Platform>;
    (
        platform,
        Operations::new(as_platform, Arc::new(SystemClock)),
    )
}

fn zarzis() -> Target {
    Target::Domain("zarzis".parse().unwrap())
}

#[test]
fn only_a_tried_document_is_promoted_and_byte_for_byte() {
    let (_, operations) = operations();
    let text = "services: {order-desk: {}} # as tried\n";
    let tried = operations.trial(text).unwrap();
    let promoted = operations.promote(&tried.digest).unwrap();
    assert_eq!(
        (promoted.text.as_str(), promoted.version),
        (text, DocumentVersion(1))
    );
    let untried = foxtaildrift::version::document::Document::digest("services: {}\n");
    assert!(matches!(
        operations.promote(&untried),
        Err(OperationError::NotTried(..))
    ));
}

#[test]
fn an_earlier_tried_document_can_still_be_promoted() {
    let (_, operations) = operations();
    let first = operations.trial("services: {a: {}}\n").unwrap();
    operations.trial("services: {b: {}}\n").unwrap();
    let promoted = operations.promote(&first.digest).unwrap();
    assert_eq!(promoted.text, "services: {a: {}}\n");
}

#[test]
fn a_bad_document_changes_nothing() {
    let (_, operations) = operations();
    assert!(operations.trial("services: 7\n").is_err());
    assert_eq!(
        operations.configuration(TRIAL).unwrap().version,
        DocumentVersion(0)
    );
}

#[test]
fn a_lost_answer_is_read_back() {
    let (platform, operations) = operations();
    *platform.fault.lock().unwrap() = Fault::AnswerLost;
    let changed = operations.drain(PRODUCTION, &zarzis()).unwrap();
    assert_eq!(changed.version, DocumentVersion(1));
    assert_eq!(operations.configuration(PRODUCTION).unwrap(), changed);
}

#[test]
fn a_write_that_may_still_arrive_is_said_to_be_in_doubt() {
    let (platform, operations) = operations();
    *platform.fault.lock().unwrap() = Fault::Dropped;
    let doubt = operations.drain(PRODUCTION, &zarzis());
    assert!(matches!(doubt, Err(OperationError::InDoubt { .. })));
}

#[test]
fn the_loser_of_a_race_learns_against_which_version_it_lost() {
    let (platform, operations) = operations();
    operations.drain(PRODUCTION, &zarzis()).unwrap();
    *platform.fault.lock().unwrap() = Fault::Raced;
    let lost = operations.undrain(PRODUCTION, &zarzis()).unwrap_err();
    let text = lost.to_string();
    assert_eq!(
        text,
        "lost against version 2 (drain failure domain djerba); nothing was changed"
    );
}
