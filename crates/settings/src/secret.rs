//! Strings that must not be logged.

use std::fmt;

/// Text that is displayed instead of the secret.
const HIDDEN: &str = "[hidden]";

/// A string that neither `Debug` nor `Display` reveals, so that settings can be logged.
#[derive(Clone)]
pub struct Secret(String);

impl Secret {
    /// Wraps a secret string.
    pub fn new(text: String) -> Secret {
        Secret(text)
    }

    /// Returns the secret string itself; only for code that signs or verifies with it.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(HIDDEN)
    }
}

impl fmt::Display for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(HIDDEN)
    }
}
