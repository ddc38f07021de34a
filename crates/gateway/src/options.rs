//! Optional decisions of a gateway.

use policy::slow_start::Bounds;

/// The optional decisions that a gateway makes; none by default. `docs/SETTINGS.md` has the settings
/// that switch them on.
#[derive(Debug, Clone, Copy, Default)]
pub struct Options {
    /// How far the rate of cold endpoints may be exceeded; `None` if they are not held back.
    pub slow_start: Option<Bounds>,
    /// Whether requests are spread by what other gateways are expected to have sent since their loads
    /// were known.
    pub spreads_stale_loads: bool,
    /// Whether failures of endpoints are shared with other gateways, and used to choose endpoints.
    pub shares_failures: bool,
    /// Whether endpoints are chosen by how fast they work.
    pub learns_speed: bool,
    /// Whether attempts are abandoned at endpoints that are silent for far longer than usual.
    pub abandons_silent: bool,
}
