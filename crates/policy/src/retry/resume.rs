//! The pauses and time limits for resuming an answer that broke off.

use std::time::Duration;

/// How long to try to resume an answer that broke off: as long as a replaced
/// process takes to answer, and within the time that an agent keeps an answer
/// running without its caller.
pub const RESUME_WINDOW: Duration = Duration::from_secs(10);

/// The same while the caller has received nothing, so that another engine can
/// still start the work in time. Long enough for a broken connection, not for an
/// agent that died.
pub const SHORT_RESUME_WINDOW: Duration = Duration::from_millis(500);

/// Pause before the first try; each further pause is twice as long.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause between two tries.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// The tries to resume one answer since its last chunk: exponential backoff within
/// a window.
///
/// Tries don't spend the retry budget: the engine repeats no work, and the pauses
/// bound the number of messages. Each received chunk starts a new window.
#[derive(Debug, Clone, Default)]
pub struct Resumption {
    /// Time of the first try.
    since: Option<Duration>,
    tries: u32,
}

impl Resumption {
    /// Records a received chunk of the answer, which starts a new window.
    pub fn record_progress(&mut self) {
        *self = Resumption::default();
    }

    /// Returns the pause before the next try, or `None` if the window is over.
    ///
    /// `has_output` tells whether the caller has received a part of the answer.
    pub fn next_pause(&mut self, has_output: bool, now: Duration) -> Option<Duration> {
        let window = if has_output { RESUME_WINDOW } else { SHORT_RESUME_WINDOW };
        let since = *self.since.get_or_insert(now);
        let pause = MAX_PAUSE.min(FIRST_PAUSE.saturating_mul(1 << self.tries.min(16)));
        self.tries += 1;
        let is_in_time = now.saturating_add(pause) <= since.saturating_add(window);
        is_in_time.then_some(pause)
    }
}
