//! Choice among endpoints whose loads are known late.
//!
//! Load pattern: many gateways that see the same loads, some hundred milliseconds old, while dozens of
//! requests arrive. If each gateway sends to the endpoint that looks least loaded, all requests of that
//! time go to the same one, whose queue overflows while the others idle. So the requests that other
//! gateways have sent since are reckoned with: they fill the least loaded endpoints up to an equal
//! level, and an endpoint is drawn with a likelihood in proportion to what it is below that level.
//! See `docs/design/stale-loads.md`.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bits of a hash that make up a number from 0 to 1.
const FRACTION_BITS: u32 = 53;

/// Draws an endpoint, as an index into `loads`; `None` if there are none, or loads are current.
///
/// `arrivals` is the number of requests that other gateways are expected to have sent to these
/// endpoints since their loads were known.
pub fn draw(loads: &[f64], arrivals: f64, seed: u64) -> Option<usize> {
    if arrivals <= 0.0 {
        return None;
    }
    let level = level(loads, arrivals);
    let room = |load: f64| (level - load).max(0.0);
    let total: f64 = loads.iter().map(|load| room(*load)).sum();
    let mut left = total * fraction(seed);
    let drawn = loads.iter().position(|load| {
        left -= room(*load);
        left < 0.0
    });
    drawn.or_else(|| (0..loads.len()).min_by(|a, b| loads[*a].total_cmp(&loads[*b])))
}

/// Returns the load that the least loaded endpoints have once further requests are spread over them so
/// that they are equal.
fn level(loads: &[f64], arrivals: f64) -> f64 {
    let mut sorted = loads.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut level = f64::INFINITY;
    let mut sum = 0.0;
    for (index, load) in sorted.iter().enumerate() {
        if *load >= level {
            break;
        }
        sum += load;
        level = (sum + arrivals) / (index + 1) as f64;
    }
    level
}

/// Returns a number from 0 to 1 that depends on the seed alone.
fn fraction(seed: u64) -> f64 {
    // The seed also rotates the endpoints of popular parts, so it is hashed for another purpose.
    let bits = xxh3_64_with_seed(b"spread", seed) >> (64 - FRACTION_BITS);
    bits as f64 / (1u64 << FRACTION_BITS) as f64
}
