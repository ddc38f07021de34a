//! A request of the model.

use policy::quarantine::Suspect;

/// The part that crashes endpoints, or the content of the request that does.
pub const HARMFUL: u64 = 666;

#[derive(Debug, Clone)]
pub struct Request {
    pub id: u64,
    pub gateway: usize,
    /// The same each time that a request comes again.
    pub content: u64,
    pub parts: Vec<u64>,
    pub attempt: u32,
}

impl Request {
    /// Whether it crashes the endpoints that begin to answer it.
    pub fn is_harmful(&self) -> bool {
        self.content == HARMFUL || self.parts.contains(&HARMFUL)
    }

    /// Returns it as a suspect.
    pub fn suspect(&self) -> Suspect {
        Suspect::of_request(self.content, self.parts.iter().copied())
    }
}
