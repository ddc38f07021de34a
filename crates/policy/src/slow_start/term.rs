//! How long an endpoint is cold, by what is known of it.

use std::time::Duration;

/// An endpoint counts as cold for this time after another gateway told that it is: two intervals
/// between reports and their transit.
const REPORTED_TTL: Duration = Duration::from_millis(600);

/// What an announcement of an endpoint says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Announced {
    /// How much longer the endpoint is cold, as of the announcement.
    pub left: Duration,
    /// Grows with the endpoint's announcements since its start; `None` if they can't be ordered.
    pub sequence: Option<u64>,
}

/// From where it is known that an endpoint is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// Its announcement.
    Announcement,
    /// One of its responses.
    Response,
    /// Another gateway.
    Gateway,
}

/// A cold time of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Known {
    /// When it ends or has ended.
    pub until: Duration,
    /// What tells that.
    pub source: Source,
    /// When that arrived.
    pub at: Duration,
}

/// What is known of the cold time of an endpoint.
///
/// Each source gives a time that isn't before the true one, since a message arrives after it was
/// written. None of them shortens the time of another one: an announcement from before the
/// endpoint turned cold may arrive after a response from then.
#[derive(Debug, Clone, Copy, Default)]
pub struct Term {
    announced: Option<Known>,
    /// Number of the latest announcement.
    sequence: Option<u64>,
    responded: Option<Known>,
    reported: Option<Known>,
    /// When it turned cold last, as far as is known here.
    begun: Option<Duration>,
}

impl Term {
    /// Records an announcement that arrived now. One that isn't later than the latest is ignored:
    /// relays and listings deliver old ones again, with a time that has passed in part.
    pub fn announce(&mut self, announced: Announced, now: Duration) {
        let known = Known::new(announced.left, Source::Announcement, now);
        match (announced.sequence, self.sequence) {
            (Some(sequence), Some(latest)) if sequence <= latest => {}
            (Some(sequence), _) => {
                self.begin(known, now);
                self.announced = known.or(self.announced.map(|before| before.ended(now)));
                self.sequence = Some(sequence);
            }
            // It may be an old one, which doesn't shorten the time.
            (None, _) if known.map(|it| it.until) > self.announced.map(|it| it.until) => {
                self.begin(known, now);
                self.announced = known;
            }
            (None, _) => {}
        }
    }

    /// Records a response that said how much longer the endpoint is cold.
    pub fn respond(&mut self, left: Duration, now: Duration) {
        let known = Known::new(left, Source::Response, now);
        self.begin(known, now);
        self.responded = known.or(self.responded.map(|before| before.ended(now)));
    }

    /// Records that another gateway knows the endpoint to be cold.
    pub fn report(&mut self, now: Duration) {
        let known = Known::new(REPORTED_TTL, Source::Gateway, now);
        self.begin(known, now);
        self.reported = known;
    }

    /// Returns when the endpoint turned cold last, as far as is known here.
    pub fn begun(&self) -> Option<Duration> {
        self.begun
    }

    /// Returns the cold time that ends last; `None` if the endpoint has not been cold.
    pub fn known(&self) -> Option<Known> {
        let all = [self.reported, self.responded, self.announced];
        all.into_iter().flatten().max_by_key(|known| known.until)
    }

    /// Records a cold time as a new one, unless it goes on from one that is known.
    fn begin(&mut self, known: Option<Known>, now: Duration) {
        if known.is_some() && self.known().is_none_or(|known| known.until <= now) {
            self.begun = Some(now);
        }
    }

    /// Whether the endpoint itself has said that it is cold now.
    pub fn is_cold(&self, now: Duration) -> bool {
        [self.announced, self.responded].iter().flatten().any(|known| now < known.until)
    }
}

impl Known {
    fn new(left: Duration, source: Source, now: Duration) -> Option<Known> {
        let until = now.saturating_add(left);
        (!left.is_zero()).then_some(Known { until, source, at: now })
    }

    /// Returns the cold time of an endpoint that is known now to have ended it.
    fn ended(self, now: Duration) -> Known {
        Known { until: self.until.min(now), ..self }
    }
}
