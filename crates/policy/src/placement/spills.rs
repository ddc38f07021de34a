//! A queue of notes to homes about their chats that another engine serves.

use std::collections::VecDeque;

use wire::id;
use wire::notes::Note;

/// Most queued spills; a full queue drops the oldest.
const QUEUE_MAX_SPILLS: usize = 1024;

/// Most homes notified by one call of [`Spills::take`]; each takes a message of its own.
const TAKE_MAX_HOMES: usize = 2;

/// Most notes taken by one call of [`Spills::take`], over all homes.
const TAKE_MAX_NOTES: usize = 24;

/// A queue of spilled chats, taken in bounded batches so that control traffic
/// stays bounded however many chats spill.
#[derive(Debug, Clone, Default)]
pub struct Spills {
    queue: VecDeque<Spill>,
}

/// A chat that was placed on another engine than its home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Spill {
    /// The chat's home.
    pub home: id::Engine,
    /// The note for the home's agent.
    pub note: Note,
}

/// The notes for one home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// The engine whose agent receives the notes.
    pub home: id::Engine,
    /// The chats and the engines that serve them.
    pub notes: Vec<Note>,
}

impl Spills {
    /// Queues a spill; it replaces an earlier one of the same chat.
    pub fn add(&mut self, spill: Spill) {
        self.queue.retain(|known| known.note.chat != spill.note.chat);
        if self.queue.len() >= QUEUE_MAX_SPILLS {
            self.queue.pop_front();
        }
        self.queue.push_back(spill);
    }

    /// Removes and returns the next batches: the oldest spills and others of the
    /// same homes.
    pub fn take(&mut self) -> Vec<Batch> {
        let mut batches: Vec<Batch> = Vec::new();
        let mut left = TAKE_MAX_NOTES;
        self.queue.retain(|spill| {
            let known = batches.iter().position(|batch| batch.home == spill.home);
            if left == 0 || (known.is_none() && batches.len() >= TAKE_MAX_HOMES) {
                return true;
            }
            left -= 1;
            match known {
                Some(index) => batches[index].notes.push(spill.note.clone()),
                None => {
                    let notes = vec![spill.note.clone()];
                    batches.push(Batch { home: spill.home.clone(), notes });
                }
            }
            false
        });
        batches
    }
}
