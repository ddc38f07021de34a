//! The share of requests that fail at each endpoint, as all gateways see it.
//!
//! Handles the load pattern in which some endpoints of a service fail a share of their requests for
//! some seconds, such as 45 in 100, while the others are sound. A gateway of a large fleet sees a
//! few requests a second at an endpoint, and every second one succeeds, so that consecutive
//! failures ([`crate::outlier`]) tell too little. The counts of all gateways together tell within a
//! second.
//!
//! Shares are only compared within one service: a request that causes its own failure does so at
//! any endpoint. See `docs/design/failure-rates.md`.

mod judge;
mod room;
mod sheet;
mod tally;
mod window;

use std::time::Duration;

pub use judge::Change;
pub use judge::Trials;
pub use judge::judge;
pub use room::Load;
pub use room::sound;
pub use sheet::Row;
pub use sheet::Sheet;
pub use tally::Tally;
pub use window::Counts;
pub use window::Window;

/// Requests are counted over the latest span of this length. In a shorter one an endpoint with 6
/// requests a second has too few, in a longer one it is avoided for too long after it recovered.
pub const SPAN: Duration = Duration::from_secs(3);

/// Counts of other gateways are dropped if none came for this time, which is six intervals of the
/// exchange: they are older than half a second on arrival, and a fault lasts some seconds.
pub const OTHERS_TTL: Duration = Duration::from_millis(1_500);

/// An endpoint is only avoided if its share of failures is that much above that of the best ones.
/// Below it, a request gains less by another endpoint than load is worth that is evenly spread.
pub const MARGIN: f64 = 0.15;
