//! The arrival pattern of requests.

/// The arrival pattern of requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Shape {
    /// Open loop: requests arrive at random times, as from independent callers, whether
    /// or not earlier ones were answered.
    Open {
        /// Mean number of requests per second.
        rate: f64,
        /// Largest number of requests in flight; at this number none is sent.
        max_in_flight: usize,
    },
    /// Closed loop: each caller sends its next request once the last one is answered.
    Closed {
        /// Number of callers.
        callers: usize,
    },
}
