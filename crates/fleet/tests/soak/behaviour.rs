//! Correct and faulty behaviour of an endpoint.

/// How an endpoint answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Behaviour {
    #[default]
    Normal,
    /// Resets the connection after it ran the request.
    Reset,
    /// Never answers.
    Hang,
    /// Closes the connection within the answer.
    Truncate,
    /// Refuses the request and states that it did not run.
    Refuse,
    /// Answers with status 500.
    Fail,
    /// Sends a second, unrequested answer after the first.
    ExtraAnswer,
    /// Answers with the id of another request.
    WrongId,
    #[allow(dead_code, reason = "only the hostile test uses it")]
    /// Answers with a body of [`LARGE_BODY_BYTES`], or with large events without end.
    Large,
}

/// Length of a large body, in bytes; a gateway takes 8 MB at most.
pub const LARGE_BODY_BYTES: usize = 6_000_000;

impl Behaviour {
    pub const ALL: [Behaviour; 7] = [
        Behaviour::Reset,
        Behaviour::Hang,
        Behaviour::Truncate,
        Behaviour::Refuse,
        Behaviour::Fail,
        Behaviour::ExtraAnswer,
        Behaviour::WrongId,
    ];
}
