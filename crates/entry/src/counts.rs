//! Metrics of what placement came to; `docs/METRICS.md` lists them.

use metrics::counter;
use wire::frame::Usage;
use wire::refusal::Reason;

/// Where a chat's attempt went, in regard of where its context may lie.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Locality {
    /// To the engine that the chat's hash names first.
    Home,
    /// To where the chat was served last, as this entry remembers or an agent told.
    Last,
    /// To another engine.
    Other,
    /// Nowhere in particular, because the work belongs to no chat.
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

/// A chat was answered whole.
pub(crate) fn record_chat(locality: Locality, is_first_turn: bool, usage: Usage) {
    let turn = if is_first_turn { "first" } else { "later" };
    let labels = [("place", locality.name()), ("turn", turn)];
    counter!("lycheeknot_entry_chats_total", &labels).increment(1);
    counter!("lycheeknot_entry_prompt_tokens_total", &labels).increment(usage.prompt.into());
    counter!("lycheeknot_entry_cached_tokens_total", &labels).increment(usage.cached.into());
}

/// An agent refused an attempt.
pub(crate) fn record_refusal(locality: Locality, reason: Reason) {
    let labels = [("place", locality.name().to_owned()), ("reason", reason.to_string())];
    counter!("lycheeknot_entry_refusals_total", &labels).increment(1);
}

/// An agent could not be reached, broke off or stayed silent.
pub(crate) fn record_loss() {
    counter!("lycheeknot_entry_lost_total").increment(1);
}

/// An engine was left out.
pub(crate) fn record_ejection(cause: &'static str) {
    counter!("lycheeknot_entry_ejections_total", "cause" => cause).increment(1);
}

/// Chats of which a home was told, or could not be told.
pub(crate) fn record_notes(chats: usize, bytes: usize, is_accepted: bool) {
    let outcome = if is_accepted { "taken" } else { "lost" };
    counter!("lycheeknot_entry_notes_total", "outcome" => outcome).increment(chats as u64);
    counter!("lycheeknot_entry_note_bytes_total").increment(bytes as u64);
}
