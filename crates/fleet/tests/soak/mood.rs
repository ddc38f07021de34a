//! What an endpoint does instead of answering well.

/// What an endpoint does instead of answering well.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Mood {
    #[default]
    Good,
    /// Resets the connection after it ran the request.
    Reset,
    /// Never answers.
    Hang,
    /// Breaks off within the answer.
    Cut,
    /// Refuses, and says that it did not run.
    Refuse,
    /// Answers with a failure of its own.
    Fail,
    /// Sends a second answer after the first.
    Extra,
    /// Answers with the id of another request.
    Crossed,
}

impl Mood {
    pub const ALL: [Mood; 7] =
        [Mood::Reset, Mood::Hang, Mood::Cut, Mood::Refuse, Mood::Fail, Mood::Extra, Mood::Crossed];
}
