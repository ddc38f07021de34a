//! Rate limits of endpoints, shared by all gateways.
//!
//! An endpoint may name the rate at which it takes requests from all gateways together. Each
//! gateway sends its part of that rate, by its part of the service's traffic, as far as it knows
//! what the others send. What it doesn't know of them makes its part smaller, never larger.
//! Retries, probes and resumed streams count like any request.
//! See `docs/decisions/rate-limits.md`.

mod bucket;
mod limiter;
mod promises;
mod usage;
mod window;

use std::time::Duration;

pub use bucket::Bucket;
pub use limiter::Limiter;
pub use promises::Promises;
pub use usage::Row;
pub use usage::Usage;
pub use window::Window;

use crate::exchange::Parts;
use crate::exchange::PartsLedger;

/// A gateway's requests at limited endpoints, with those that it answers for.
pub type Report = Parts<Usage>;

/// The latest usage that other gateways reported.
pub type Ledger = PartsLedger<Usage>;

/// Requests are counted over the latest span of this length.
pub const SPAN: Duration = Duration::from_secs(4);

/// Lowest rate, in requests per second, at which requests are sent to an endpoint whatever it names:
/// only its responses tell that a limit has ended.
pub const MIN_RATE: f64 = 0.2;

/// Highest rate, in requests per second, that is reckoned with: far more than an endpoint takes. With
/// the largest numbers that can be named, permits would overflow and never be right again.
pub const MAX_RATE: f64 = 1e6;
