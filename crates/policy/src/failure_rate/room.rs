//! Which endpoints take requests in place of those that are failing.

use xxhash_rust::xxh3::xxh3_64;

/// No request is sent to an endpoint in place of a failing one above this multiple of the mean load
/// of its service, and [`ROOM_SLACK_REQUESTS`]. It is below the operators' load bound of 2 and 3, since
/// known loads lag.
const ROOM_LOAD_MULTIPLE: f64 = 1.8;

/// See [`ROOM_LOAD_MULTIPLE`].
const ROOM_SLACK_REQUESTS: f64 = 2.5;

/// Sound endpoints that are drawn for a request. With one, a third fewer requests are kept from failing
/// endpoints; with four, endpoints go a tenth to four fifths further above the load bound.
const DRAWN: usize = 2;

/// An endpoint that a request may be sent to.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Estimated number of its requests.
    pub requests: f64,
    /// Whether it would process another request at once.
    pub has_free_slot: bool,
    /// Whether it is taken for failing.
    pub is_failing: bool,
}

/// Returns the sound endpoints that have room for a request, as indices into `loads`, given the mean
/// load of the service and random bits of the request; `None` if all endpoints remain candidates.
///
/// They also remain if none of some sound endpoints that are drawn has room. If one of many has room,
/// few requests are sent to it: hundreds of gateways that see it at the same time would fill it far
/// above the load bound before they learn of each other's requests.
pub fn sound(loads: &[Load], mean: f64, seed: u64) -> Option<Vec<usize>> {
    if !loads.iter().any(|load| load.is_failing) {
        return None;
    }
    let max_requests = mean * ROOM_LOAD_MULTIPLE + ROOM_SLACK_REQUESTS;
    let has_room = |index: &usize| {
        let Load { requests, has_free_slot, .. } = loads[*index];
        has_free_slot && requests + 1.0 <= max_requests
    };
    let sound: Vec<usize> = (0..loads.len()).filter(|index| !loads[*index].is_failing).collect();
    // Ties between endpoints are broken by the bits themselves.
    let first = xxh3_64(&seed.to_le_bytes()) as usize % sound.len().max(1);
    let mut drawn = sound.iter().cycle().skip(first).take(DRAWN.min(sound.len()));
    drawn.any(has_room).then(|| sound.iter().copied().filter(has_room).collect())
}
