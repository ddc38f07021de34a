//! How fast an endpoint works, relative to the other endpoints of its service.
//!
//! The load: endpoints of one service differ by a constant factor, and some are several times as
//! slow for a few seconds, or from a number of requests on that is far below their slots. Each
//! gateway gets 1 to 5 answers a second from an endpoint.
//!
//! Logarithms of times are compared with those of similar work at endpoints of the service that
//! had as many requests in hand. The speed is 1 unless an endpoint differs from the median by more
//! than noise does. See `docs/design/endpoint-speed.md`.

mod baseline;
mod judgement;
mod measure;
mod pace;
mod speeds;
mod sums;
mod window;

pub use baseline::Kind;
pub use baseline::Work;
pub use judgement::Judgement;
pub use pace::Pace;
pub use speeds::Change;
pub use speeds::Speeds;
pub use sums::Row;
pub use sums::Sums;

/// Lowest speed, so that an endpoint that was slow keeps getting requests by which it is seen
/// when it has recovered.
pub const MIN_SPEED: f64 = 0.2;

/// Highest speed. What an endpoint has in reserve is not known until it is used.
pub const MAX_SPEED: f64 = 1.5;
