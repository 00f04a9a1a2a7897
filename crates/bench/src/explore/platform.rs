//! The platform of a simulation.

use std::sync::Arc;

use foxtaildrift::process::platform::Revision;
use foxtaildrift::version::document::Document;
use foxtaildrift::version::document_version::DocumentVersion;
use foxtaildrift::version::table::Table;

/// The document, the table and the planner's lease that the platform stores.
pub struct Platform {
    /// Whether the platform is available.
    pub is_up: bool,
    /// Whether some of its replies are lost.
    pub loses_replies: bool,
    /// The current version of the document.
    pub document_version: DocumentVersion,
    /// The current document.
    pub document: Document,
    /// The revision of the table.
    pub revision: Revision,
    /// The table.
    pub table: Arc<Table>,
    planner: Option<usize>,
}

impl Platform {
    /// Creates an available platform that stores `document` and no table.
    pub fn new(document: Document) -> Self {
        Self {
            is_up: true,
            loses_replies: false,
            document_version: DocumentVersion::from(1_u64),
            document,
            revision: Revision::default(),
            table: Arc::default(),
            planner: None,
        }
    }

    /// Records a change of the document as a new version.
    pub fn increment_document_version(&mut self) {
        self.document_version = self.document_version.next();
    }

    /// Replaces the table if the platform is available and the table has the revision `base`;
    /// returns whether it did.
    pub fn compare_and_swap(&mut self, base: Revision, table: Arc<Table>) -> bool {
        let is_swapped = self.is_up && self.revision == base;
        if is_swapped {
            self.revision = Revision(base.0 + 1);
            self.table = table;
        }
        is_swapped
    }

    /// Gives the planner's lease to the daemon `number` if its holder does not run; returns whether
    /// the daemon has the lease.
    pub fn acquire_planner_lease(
        &mut self,
        number: usize,
        is_running: impl Fn(usize) -> bool,
    ) -> bool {
        if self.planner.is_none_or(|p| !is_running(p)) {
            self.planner = Some(number);
        }
        self.planner == Some(number)
    }
}
