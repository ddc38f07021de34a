//! The load bound of an engine, given the fleet's mean load.

use std::time::Duration;

use wire::Mean;

/// A mean whose samples are older than this on average is ignored.
const MEAN_MAX_AGE: Duration = Duration::from_secs(5);

/// A mean must have more weight than this. With fewer samples it may be this
/// engine's own load fed back, which would raise its limit again and again.
const MEAN_MIN_WEIGHT: f32 = 1.0;

/// Without a usable mean, an engine may queue one request for each group of this many slots.
const SLOTS_PER_WAITING_REQUEST: u32 = 4;

/// Returns the most requests, running and waiting, that an engine may have accepted:
///
/// `max(slots, ceil(bound × mean per slot × slots))`
///
/// `bound` is a multiple of the mean load. The limit is at least `slots`, so that
/// a small or idle fleet can always use all its slots. Without a usable mean the
/// limit is `slots + ceil(slots / 4)`, so that work continues with short queues.
/// See `docs/decisions/gate.md`.
pub fn limit(bound: f32, slots: u32, mean: Option<Mean>) -> u32 {
    match mean.filter(is_usable) {
        Some(mean) => {
            let bounded = f64::from(bound) * f64::from(mean.per_slot) * f64::from(slots);
            // The conversion saturates, so a huge mean can't overflow.
            (bounded.ceil() as u32).max(slots)
        }
        None => slots + slots.div_ceil(SLOTS_PER_WAITING_REQUEST),
    }
}

fn is_usable(mean: &Mean) -> bool {
    let is_sound = mean.per_slot.is_finite() && mean.per_slot >= 0.0;
    is_sound && mean.age <= MEAN_MAX_AGE && mean.weight > MEAN_MIN_WEIGHT
}
