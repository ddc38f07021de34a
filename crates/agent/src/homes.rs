//! Chats whose home is this agent but whose context is at another engine.

use std::time::Duration;

use wire::Attempt;
use wire::Notes;
use wire::Refusal;
use wire::Work;
use wire::id;
use wire::refusal::Reason;

use crate::failure;
use crate::worker::Worker;

/// Records where an entry placed chats whose home is this agent.
pub(crate) fn record_notes(worker: &Worker, notes: &Notes) {
    let now = worker.board.now();
    let own = &worker.board.identity().vm;
    let mut homes = worker.shared.homes.lock();
    for note in &notes.notes {
        match note.engine == *own {
            true => homes.forget(note.chat),
            false => homes.record(note.chat, &note.engine, now),
        }
    }
}

/// Returns a refusal that redirects the entry to the engine that holds the chat's
/// context, if the entry follows redirects and a live engine of that name has the model.
pub(crate) fn redirect(worker: &Worker, attempt: &Attempt) -> Option<Refusal> {
    let chat = chat_at_home(worker, attempt).filter(|_| attempt.redirect)?;
    let now = worker.board.now();
    let engine = worker.shared.homes.lock().engine(chat, now).map(str::to_owned)?;
    let needs = attempt.work.needs();
    let is_held =
        worker.board.with_roster(|roster| roster.holders(needs).any(|holder| holder.vm == engine));
    is_held.then(|| Refusal {
        retry_after: Duration::ZERO,
        hint: Some(engine),
        ..failure::not_run(Reason::Moved)
    })
}

/// Records that a chat started at its home, so that its context is there from now on.
pub(crate) fn record_start(worker: &Worker, attempt: &Attempt) {
    if let Some(chat) = chat_at_home(worker, attempt) {
        worker.shared.homes.lock().forget(chat);
    }
}

fn chat_at_home(worker: &Worker, attempt: &Attempt) -> Option<id::Chat> {
    match &attempt.work {
        Work::Chat(chat) if attempt.home.as_ref() == Some(&worker.board.identity().vm) => {
            Some(chat.chat)
        }
        _ => None,
    }
}
