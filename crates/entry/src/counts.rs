//! Metrics of placement and its results; `docs/METRICS.md` lists them.

use metrics::counter;
use wire::frame::Usage;
use wire::refusal::Reason;

/// The place of a chat's attempt in relation to the chat's context.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Locality {
    /// The home: the engine that rendezvous hashing gives the chat.
    Home,
    /// The engine that served the chat last, as this entry remembers or an agent's hint
    /// said.
    Last,
    /// Another engine.
    Other,
    /// Any engine, because the work belongs to no chat.
    Any,
}

impl Locality {
    fn name(self) -> &'static str {
        match self {
            Locality::Home => "home",
            Locality::Last => "last",
            Locality::Other => "other",
            Locality::Any => "any",
        }
    }
}

/// Records that a chat was answered completely.
pub(crate) fn record_chat(locality: Locality, is_first_turn: bool, usage: Usage) {
    let turn = if is_first_turn { "first" } else { "later" };
    let labels = [("place", locality.name()), ("turn", turn)];
    counter!("lycheeknot_entry_chats_total", &labels).increment(1);
    counter!("lycheeknot_entry_prompt_tokens_total", &labels).increment(usage.prompt.into());
    counter!("lycheeknot_entry_cached_tokens_total", &labels).increment(usage.cached.into());
}

/// Records that an agent refused an attempt.
pub(crate) fn record_refusal(locality: Locality, reason: Reason) {
    let labels = [("place", locality.name().to_owned()), ("reason", reason.to_string())];
    counter!("lycheeknot_entry_refusals_total", &labels).increment(1);
}

/// Records that an agent could not be reached, disconnected or timed out.
pub(crate) fn record_loss() {
    counter!("lycheeknot_entry_lost_total").increment(1);
}

/// Records that an engine was ejected as an outlier.
pub(crate) fn record_ejection(cause: &'static str) {
    counter!("lycheeknot_entry_ejections_total", "cause" => cause).increment(1);
}

/// Records that a home's agent accepted notes of chats placed elsewhere, or that they
/// were lost.
pub(crate) fn record_notes(chats: usize, bytes: usize, is_accepted: bool) {
    let outcome = if is_accepted { "taken" } else { "lost" };
    counter!("lycheeknot_entry_notes_total", "outcome" => outcome).increment(chats as u64);
    counter!("lycheeknot_entry_note_bytes_total").increment(bytes as u64);
}
