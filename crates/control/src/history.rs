//! The latest documents that were in force.

use std::sync::Arc;

use config::Document;
use wire::id;

/// Highest number of documents that are kept.
const MAX_DOCUMENTS: usize = 4;

/// Keeps the latest documents, oldest first, to compute differences for peers that are behind.
#[derive(Debug, Default)]
pub(crate) struct History {
    documents: Vec<Arc<Document>>,
}

impl History {
    /// Adds a document that is in force and drops the oldest above the limit.
    ///
    /// A revision that isn't above the last one is ignored.
    pub(crate) fn push(&mut self, document: Arc<Document>) {
        let last = self.documents.last().map_or(0, |last| last.revision);
        if document.revision <= last {
            return;
        }
        self.documents.push(document);
        self.documents.drain(..self.documents.len().saturating_sub(MAX_DOCUMENTS));
    }

    /// Returns the document of a revision, if it is still kept.
    pub(crate) fn document(&self, revision: id::Revision) -> Option<Arc<Document>> {
        self.documents.iter().find(|document| document.revision == revision).cloned()
    }
}
