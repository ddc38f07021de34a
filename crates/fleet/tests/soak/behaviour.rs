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
}

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
