//! A request that may have crashed an endpoint.

use serde::Deserialize;
use serde::Serialize;

use crate::quarantine::CONTENT_BIT;
use crate::quarantine::PartId;

/// Most parts of a request that are kept. Prompts have a few.
const MAX_PARTS: usize = 16;

/// What other requests may share with a request: its content as a whole, which its repetitions
/// have, and the parts of its prompt.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Suspect {
    /// Sorted.
    parts: Vec<PartId>,
    /// Whether it had broken off at another endpoint before, and was sent again.
    is_repeated: bool,
}

impl Suspect {
    /// Creates the suspect of a request with this [content](crate::quarantine::content_id) and these
    /// parts of a prompt.
    pub fn of_request(content: PartId, prompt: impl IntoIterator<Item = PartId>) -> Suspect {
        let mut parts = vec![content | CONTENT_BIT];
        let prompt = prompt.into_iter().take(MAX_PARTS - 1);
        parts.extend(prompt.map(|part| part & !CONTENT_BIT));
        parts.sort_unstable();
        parts.dedup();
        Suspect { parts, is_repeated: false }
    }

    /// Creates a suspect with these parts, as they were stored or received; `None` if there are
    /// none.
    pub fn new(parts: impl IntoIterator<Item = PartId>) -> Option<Suspect> {
        let mut parts: Vec<PartId> = parts.into_iter().take(MAX_PARTS).collect();
        parts.sort_unstable();
        parts.dedup();
        (!parts.is_empty()).then_some(Suspect { parts, is_repeated: false })
    }

    /// Sets whether it had broken off at another endpoint before, and was sent again.
    pub fn repeated(self, is_repeated: bool) -> Suspect {
        Suspect { is_repeated, ..self }
    }

    /// Whether it had broken off at another endpoint before, and was sent again.
    pub fn is_repeated(&self) -> bool {
        self.is_repeated
    }

    /// Returns the parts, sorted.
    pub fn parts(&self) -> &[PartId] {
        &self.parts
    }

    /// Whether it has a part.
    pub fn contains(&self, part: PartId) -> bool {
        self.parts.binary_search(&part).is_ok()
    }

    /// Whether it is in order, as one that was received may not be.
    pub fn is_valid(&self) -> bool {
        let is_sorted = self.parts.is_sorted_by(|left, right| left < right);
        !self.parts.is_empty() && self.parts.len() <= MAX_PARTS && is_sorted
    }
}
