//! Retry delays for refused requests.

use std::time::Duration;

use wire::id;
use xxhash_rust::xxh3::xxh3_64;

/// Lower limit of the retry delay before it is spread.
const BASE_DELAY_MIN: Duration = Duration::from_millis(200);

/// Upper limit of the retry delay before it is spread.
const BASE_DELAY_MAX: Duration = Duration::from_secs(30);

/// Returns the time after which a refused request should be retried.
///
/// It is the time to process the backlog, within the limits, times a factor from
/// 0.5 to 1.5 derived from the request id, so that refused requests don't all
/// return at the same time.
pub(super) fn retry_after(backlog: Duration, request: id::Request) -> Duration {
    let hash = xxh3_64(&request.to_le_bytes());
    let factor = 0.5 + hash as f64 / u64::MAX as f64;
    backlog.clamp(BASE_DELAY_MIN, BASE_DELAY_MAX).mul_f64(factor)
}
