//! The speeds of the endpoints of a service.

use std::time::Duration;

use crate::quarantine::StartId;
use crate::speed::baseline::Baseline;
use crate::speed::baseline::Kind;
use crate::speed::baseline::Work;
use crate::speed::judgement::Judgement;
use crate::speed::judgement::Required;
use crate::speed::measure::Measure;
use crate::speed::sums::Row;
use crate::speed::window::Evidence;

/// Time between two judgements, which sort all endpoints: as often as gateways exchange what they
/// have observed.
const INTERVAL: Duration = Duration::from_millis(250);

/// An endpoint without observations for this time is forgotten.
const TTL: Duration = Duration::from_secs(30);

/// Most endpoints of a service that a gateway reports.
const MAX_ROWS: usize = 64;

/// A change is reported from this factor on, or if an endpoint begins or ceases to differ.
const STEP: f64 = 1.25;

/// Most changes that are reported at a time; further ones are with the next judgement.
const MAX_CHANGES: usize = 8;

/// Observations by which an endpoint counts in the median, and in what is reported, by weight.
const MIN_OWN_WEIGHT: f64 = 0.5;

/// Weight of times of streams: pauses of one stream are not independent of those of others at the
/// endpoint, and the first event depends on what of the prompt is cached.
const STREAM_WEIGHT: f64 = 0.5;

/// Deviations of the first event count up to this, a factor of 2.7: a prompt that is cached is read
/// ten times as fast, which says nothing of the endpoint.
const FIRST_EVENT_MAX_DEVIATION: f64 = 1.0;

/// The latest deviation has at least a weight of one in this many in the spread.
const SPREAD_WINDOW: u32 = 500;

/// Deviations as which the assumed spread of 1 counts at first.
const ASSUMED_DEVIATIONS: u32 = 10;

/// Smallest spread of deviations, as times are not known more precisely.
const MIN_SPREAD: f64 = 0.2;

/// Largest deviation for the spread, so that a slowdown of some endpoints isn't taken for noise.
const MAX_SPREAD: f64 = 1.5;

/// A change of an endpoint's speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Change {
    /// The start of the endpoint.
    pub endpoint: StartId,
    /// The speed that was reported before.
    pub from: f64,
    /// What is thought of the endpoint now.
    pub judgement: Judgement,
    /// Time since this gateway has observed the endpoint.
    pub age: Duration,
    /// Other gateways to which the endpoint differs.
    pub reporters: u32,
}

/// The endpoints of a service, as one gateway compares them.
#[derive(Debug, Clone)]
pub struct Speeds {
    baseline: Baseline,
    /// Sorted by endpoint.
    measures: Vec<Measure>,
    /// Mean square of the deviations of single times.
    variance: f64,
    /// Number of these deviations, up to [`SPREAD_WINDOW`].
    deviations: u32,
    /// Deviations that all endpoints have in common, in the short and the long window.
    centres: (f64, f64),
    /// Whether enough endpoints were observed for them to be compared.
    is_comparable: bool,
    /// When the endpoints were last judged.
    judged: Duration,
}

impl Default for Speeds {
    fn default() -> Speeds {
        Speeds {
            baseline: Baseline::default(),
            measures: Vec::new(),
            variance: 1.0,
            deviations: ASSUMED_DEVIATIONS,
            centres: (0.0, 0.0),
            is_comparable: false,
            judged: Duration::ZERO,
        }
    }
}

impl Speeds {
    /// Records how long an endpoint took for work.
    pub fn record(&mut self, endpoint: StartId, work: Work, took: Duration, now: Duration) {
        let measure = Measure::new(endpoint, now);
        let index = self.find(endpoint).unwrap_or_else(|index| {
            self.measures.insert(index, measure);
            index
        });
        let logarithm = took.as_secs_f64().max(1e-5).ln();
        let known = -self.measures[index].judgement.speed.ln();
        let Some(deviation) = self.baseline.record(work, logarithm, known) else { return };
        let centre = self.centres.0;
        let single = (deviation - centre - known).clamp(-MAX_SPREAD, MAX_SPREAD);
        self.deviations = (self.deviations + 1).min(SPREAD_WINDOW);
        self.variance += (single * single - self.variance) / f64::from(self.deviations);
        let (weight, limit) = match work.kind {
            Kind::Whole => (1.0, f64::INFINITY),
            Kind::Pause => (STREAM_WEIGHT, f64::INFINITY),
            Kind::FirstEvent => (STREAM_WEIGHT, FIRST_EVENT_MAX_DEVIATION),
        };
        let deviation = centre + (deviation - centre).clamp(-limit, limit);
        self.measures[index].add(weight, deviation, centre, now);
    }

    /// Returns the speed of an endpoint; exactly 1 if it doesn't differ from the others.
    pub fn speed(&self, endpoint: StartId) -> f64 {
        self.find(endpoint).map_or(1.0, |index| self.measures[index].judgement.speed)
    }

    /// Returns the number of endpoints that differ.
    pub fn differing(&self) -> usize {
        self.measures.iter().filter(|measure| measure.judgement.differs()).count()
    }

    /// Returns what this gateway has observed of endpoints that differ, and of those that other
    /// gateways report. `gateways` is the number of other gateways.
    pub fn rows(&self, gateways: u32, now: Duration) -> Vec<Row> {
        if !self.is_comparable {
            return Vec::new();
        }
        let required = Required::to_report(gateways);
        let row = |measure: &Measure| {
            let (fast, slow) = self.own(measure, now);
            let alone = Judgement::default().next(fast, slow, self.spread(), required);
            let differs = alone.differs() || measure.judgement.is_confirmed_by(slow);
            let is_told = (differs || measure.reporters() > 0) && slow.weight >= MIN_OWN_WEIGHT;
            is_told.then(|| Row::new(measure.endpoint, u32::from(differs), fast, slow))
        };
        let mut rows: Vec<Row> = self.measures.iter().filter_map(row).collect();
        rows.sort_by_key(|row| row.reporters == 0);
        rows.truncate(MAX_ROWS);
        rows
    }

    /// Records what other gateways have observed of an endpoint of this service; `None` if none of
    /// them reports it.
    pub fn set_others(&mut self, endpoint: StartId, row: Option<&Row>, now: Duration) {
        let index = match (self.find(endpoint), row) {
            (Ok(index), _) => index,
            (Err(_), None) => return,
            (Err(index), Some(_)) => {
                self.measures.insert(index, Measure::new(endpoint, now));
                index
            }
        };
        self.measures[index].set_others(row, now);
    }

    /// Judges all endpoints if it is time to. Returns the changes that are worth a log line.
    pub fn judge(&mut self, now: Duration) -> Vec<Change> {
        if now.saturating_sub(self.judged) < INTERVAL {
            return Vec::new();
        }
        self.judged = now;
        self.measures.retain(|measure| now.saturating_sub(measure.observed) < TTL);
        self.compare(now);
        let spread = self.spread();
        let mut changes = Vec::new();
        for index in 0..self.measures.len() {
            let (fast, slow) = self.evidence(&self.measures[index], now);
            let measure = &mut self.measures[index];
            measure.judgement = measure.judgement.next(fast, slow, spread, Required::TO_JUDGE);
            let (from, to) = (measure.told, measure.judgement.speed);
            let is_step = from.max(to) >= from.min(to) * STEP || (from == 1.0) != (to == 1.0);
            if is_step && changes.len() < MAX_CHANGES {
                measure.told = to;
                changes.push(Change {
                    endpoint: measure.endpoint,
                    from,
                    judgement: measure.judgement,
                    age: now.saturating_sub(measure.observed),
                    reporters: measure.reporters(),
                });
            }
        }
        changes
    }

    /// Finds out what the deviations of all endpoints have in common: their median.
    fn compare(&mut self, now: Duration) {
        let windows = |measure: &Measure| (measure.fast.evidence(now), measure.slow.evidence(now));
        let observed: Vec<(Evidence, Evidence)> = self
            .measures
            .iter()
            .map(windows)
            .filter(|(_, slow)| slow.weight >= MIN_OWN_WEIGHT)
            .collect();
        self.is_comparable = observed.len() >= 2;
        self.centres = (
            median(observed.iter().map(|(fast, _)| fast.mean()).collect()),
            median(observed.iter().map(|(_, slow)| slow.mean()).collect()),
        );
    }

    /// Returns what this gateway has observed, relative to the other endpoints.
    fn own(&self, measure: &Measure, now: Duration) -> (Evidence, Evidence) {
        if !self.is_comparable {
            return (Evidence::default(), Evidence::default());
        }
        let fast = measure.fast.evidence(now).centred(self.centres.0);
        (fast, measure.slow.evidence(now).centred(self.centres.1))
    }

    /// Returns what all gateways have observed.
    fn evidence(&self, measure: &Measure, now: Duration) -> (Evidence, Evidence) {
        let (fast, slow) = self.own(measure, now);
        let Some(row) = measure.others(now) else { return (fast, slow) };
        (fast.plus(row.fast()), slow.plus(row.slow()))
    }

    fn spread(&self) -> f64 {
        self.variance.sqrt().max(MIN_SPREAD)
    }

    fn find(&self, endpoint: StartId) -> Result<usize, usize> {
        self.measures.binary_search_by_key(&endpoint, |measure| measure.endpoint)
    }
}

/// Returns the median; 0 without values.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    match values.len() {
        0 => 0.0,
        len if len % 2 == 1 => values[middle],
        _ => f64::midpoint(values[middle - 1], values[middle]),
    }
}
