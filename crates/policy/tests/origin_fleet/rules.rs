//! The rules that are in force.

/// The rules that are in force. Each is there for a failure that was seen.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Rules {
    /// Only a process that answers is ruled out, and what may have begun without a journal counts
    /// (review/14).
    pub(crate) has_exclusion: bool,
    /// What was written before the store came back from a copy may be incomplete, and what gateways know
    /// themselves counts (review/3).
    pub(crate) has_histories: bool,
    /// A stream begins once it is safe, and other processes are asked at a take-up (review/7).
    pub(crate) has_custody: bool,
    /// Lost journals are written again at once, and count where their process is gone (review/8).
    pub(crate) has_losses: bool,
    /// The versions in use outlive all journals (docs/incidents/order-all-journals-lost.md).
    pub(crate) has_in_use: bool,
}

impl Rules {
    pub(crate) const ALL: Rules = Rules {
        has_exclusion: true,
        has_histories: true,
        has_custody: true,
        has_losses: true,
        has_in_use: true,
    };

    /// Returns all rules but one, for each of them.
    pub(crate) fn without_one() -> [Rules; 5] {
        [
            Rules { has_exclusion: false, ..Rules::ALL },
            Rules { has_histories: false, ..Rules::ALL },
            Rules { has_custody: false, ..Rules::ALL },
            Rules { has_losses: false, ..Rules::ALL },
            Rules { has_in_use: false, ..Rules::ALL },
        ]
    }
}
