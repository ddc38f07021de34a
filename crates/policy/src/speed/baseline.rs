//! The usual time of similar work at the endpoints of a service.

/// What was timed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// From sending a request to the first event of its stream.
    FirstEvent,
    /// Mean pause between pieces of a stream.
    Pause,
    /// From sending a plain request to the end of its response.
    Whole,
}

/// Work of which the times are comparable at equally fast endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Work {
    /// What was timed.
    pub kind: Kind,
    /// Hash of what requests have in common, such as the name of their route and whether the endpoint is
    /// in another data centre.
    pub class: u32,
    /// Length of the prompt in tokens; 0 if it is not known.
    pub tokens: u32,
    /// Requests that the endpoint had in hand.
    pub requests: u32,
}

/// Most cells. Work of further kinds is not compared.
const MAX_CELLS: usize = 512;

/// Times after which a cell is used. Its error is common to the endpoints of which the times are in
/// the cell, and not to the cells of several gateways.
const MIN_TIMES: u32 = 8;

/// Times as which an assumed mean counts in a new cell, so that it isn't that of the first endpoint to
/// have as many requests, which may be slow.
const ASSUMED_TIMES: u32 = 8;

/// By how much times are assumed to be longer for each step of the requests, as a logarithm: by the
/// square root of their ratio, between no slowdown and one in proportion.
const ASSUMED_SLOPE: f64 = 0.17;

/// The latest time has at least a weight of one in this many, some half a minute of requests at one
/// gateway.
const MAX_TIMES: u32 = 256;

/// Cells among which a similar one is looked for, on either side.
const MAX_DISTANCE: usize = 4;

/// Kind, class, and steps of the tokens and the requests.
type Key = (Kind, u32, u32, u32);

/// Mean logarithm of the times of similar work.
#[derive(Debug, Clone, Copy)]
struct Cell {
    key: Key,
    mean: f64,
    /// Number of times, up to [`MAX_TIMES`].
    times: u32,
}

/// The usual times of a service.
#[derive(Debug, Clone, Default)]
pub(super) struct Baseline {
    /// Sorted by key.
    cells: Vec<Cell>,
}

impl Baseline {
    /// Records the logarithm of a time. Returns by how much it exceeds the usual one, if that is
    /// known.
    ///
    /// `known` is by how much the endpoint is known to differ. It is left out of the usual time, so
    /// that a slow endpoint is no measure of itself where no other has as few requests.
    pub(super) fn record(&mut self, work: Work, logarithm: f64, known: f64) -> Option<f64> {
        let key = key(work);
        let index = match self.cells.binary_search_by(|cell| cell.key.cmp(&key)) {
            Ok(index) => index,
            Err(_) if self.cells.len() >= MAX_CELLS => return None,
            Err(index) => {
                let cell = self.assumed(index, key).unwrap_or(Cell { key, mean: 0.0, times: 0 });
                self.cells.insert(index, cell);
                index
            }
        };
        let cell = &mut self.cells[index];
        let deviation = (cell.times >= MIN_TIMES).then_some(logarithm - cell.mean);
        cell.times = (cell.times + 1).min(MAX_TIMES);
        cell.mean += (logarithm - known - cell.mean) / f64::from(cell.times);
        deviation
    }

    /// Returns a new cell for an index, with a mean that is assumed from the nearest cell of the same
    /// work with other requests; `None` if none is used yet.
    fn assumed(&self, index: usize, key: Key) -> Option<Cell> {
        let (kind, class, tokens, requests) = key;
        let is_similar = |cell: &&Cell| {
            (cell.key.0, cell.key.1, cell.key.2) == (kind, class, tokens) && cell.times >= MIN_TIMES
        };
        let (before, after) = self.cells.split_at(index);
        let below = before.iter().rev().take(MAX_DISTANCE).find(is_similar);
        let above = after.iter().take(MAX_DISTANCE).find(is_similar);
        let near = below.or(above)?;
        let steps = f64::from(requests) - f64::from(near.key.3);
        let mean = near.mean + steps * ASSUMED_SLOPE;
        Some(Cell { key, mean, times: ASSUMED_TIMES })
    }
}

/// Returns the key of the work's cell. Tokens are distinguished by powers of two, and requests by
/// two steps for each power of two.
fn key(work: Work) -> Key {
    let Work { kind, class, tokens, requests } = work;
    let tokens = tokens.checked_ilog2().map_or(0, |power| power + 1);
    let requests = requests.saturating_add(1).saturating_pow(2).ilog2();
    // The first event waits for the reading of the prompt, later ones don't.
    let tokens = if kind == Kind::Pause { 0 } else { tokens };
    (kind, class, tokens, requests)
}
