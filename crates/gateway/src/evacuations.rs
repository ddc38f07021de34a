//! The evacuated data centres, with their log lines and metrics.
//!
//! `policy::evacuation` decides which ones are evacuated; `docs/design/evacuation.md` has the design.

use std::sync::Arc;
use std::time::Duration;

use policy::evacuation::Change;
use policy::evacuation::Register;
use policy::evacuation::Request;
use route::Evacuation;
use services::version;
use services::version::Version;

use crate::record;
use crate::tracked::Tracked;

/// What the store told of evacuations.
#[derive(Debug, Clone)]
pub enum News {
    /// All of them, each with the version at which it was written.
    Listed {
        /// The evacuations.
        evacuations: Vec<(Evacuation, Version)>,
        /// Whether keys may be missing only because of an outage of the store.
        after_outage: bool,
    },
    /// One that was written at a version.
    Written(Evacuation, Version),
    /// The data centre of one that was removed.
    Removed(Arc<str>),
}

/// The evacuated data centres.
#[derive(Debug)]
pub(crate) struct Evacuations {
    register: Register,
    /// The store's version of the latest news.
    version: Version,
    /// Time at which the store gave the latest news.
    told_at: Duration,
    /// Evacuations in force, sorted by data centre.
    active: Vec<Active>,
    /// Whether all known endpoints are in evacuated data centres.
    is_total: bool,
}

/// An evacuation in force.
#[derive(Debug)]
struct Active {
    centre: Arc<str>,
    since: Duration,
    /// Whether it was checked that the data centre has endpoints.
    is_checked: bool,
}

impl Evacuations {
    /// Creates a value without evacuations; see [`Register::new`] for the grace time.
    pub(crate) fn new(grace_time: Duration) -> Evacuations {
        Evacuations {
            register: Register::new(grace_time),
            version: 0,
            told_at: Duration::ZERO,
            active: Vec::new(),
            is_total: false,
        }
    }

    /// Whether no evacuation is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.register.is_empty()
    }

    /// Whether a data centre is evacuated.
    pub(crate) fn contains(&self, centre: &str) -> bool {
        self.register.is_evacuated(centre)
    }

    /// Returns the evacuated data centres, sorted.
    pub(crate) fn centres(&self) -> Vec<Arc<str>> {
        self.register.evacuated().cloned().collect()
    }

    /// Applies news that the store gave some time ago, at a version of it.
    pub(crate) fn apply(&mut self, news: News, version: Version, age: Duration, now: Duration) {
        self.version = version;
        self.told_at = now.saturating_sub(age);
        let changes = match news {
            News::Listed { evacuations, after_outage } => {
                let listed = evacuations.into_iter().map(|(it, version)| request(it, version));
                let restores = version::restores(version);
                let listed = listed.collect();
                let changes = self.register.replace(listed, restores, after_outage, now);
                let (missing, held) = self.register.undecided();
                if missing + held > 0 {
                    log::warn!(version, restores, after_outage, missing, held;
                        "evacuations wait for operators to write or remove them again");
                }
                changes
            }
            News::Written(evacuation, version) => {
                self.register.add(request(evacuation, version)).into_iter().collect()
            }
            News::Removed(centre) => self.register.remove(&centre, now).into_iter().collect(),
        };
        self.record(changes, now);
    }

    /// Records that the store can't be read: until it can be again, no evacuation ends.
    pub(crate) fn suspend(&mut self) {
        self.register.suspend();
    }

    /// Applies the ends of grace times.
    pub(crate) fn settle(&mut self, now: Duration) {
        let changes = self.register.settle(now);
        self.record(changes, now);
    }

    /// Records the progress, given all known endpoints.
    pub(crate) fn report(&mut self, endpoints: &[Tracked], now: Duration) {
        for active in &mut self.active {
            let is_inside = |it: &&Tracked| it.endpoint.centre == active.centre;
            let inside = || endpoints.iter().filter(is_inside);
            let requests = inside().map(|tracked| tracked.occupancy.own()).sum();
            let lasted = now.saturating_sub(active.since);
            record::evacuation_progress(&active.centre, lasted, requests);
            if !active.is_checked {
                active.is_checked = true;
                record::evacuated_endpoints(&active.centre, inside().count(), requests);
            }
        }
        let is_total =
            !endpoints.is_empty() && endpoints.iter().all(|it| self.contains(&it.endpoint.centre));
        if is_total != self.is_total {
            self.is_total = is_total;
            record::total_evacuation(is_total, self.active.len(), endpoints.len());
        }
    }

    /// Records evacuations that begin or end.
    fn record(&mut self, changes: Vec<Change>, now: Duration) {
        let age = now.saturating_sub(self.told_at);
        for change in changes {
            let index = self.active.binary_search_by(|active| active.centre.cmp(&change.centre));
            let since = match index {
                Ok(index) => self.active[index].since,
                Err(_) => now,
            };
            let lasted = now.saturating_sub(since);
            record::evacuation(&change, self.version, age, lasted);
            match index {
                Ok(index) if !change.is_evacuated => {
                    self.active.remove(index);
                }
                Err(index) if change.is_evacuated => {
                    let centre = Arc::clone(&change.centre);
                    self.active.insert(index, Active { centre, since, is_checked: false });
                }
                _ => {}
            }
            record::evacuations(self.active.len());
        }
    }
}

/// Returns the request of an evacuation, and logs what is wrong with its value.
fn request(evacuation: Evacuation, version: Version) -> Request {
    let Evacuation { centre, fault } = evacuation;
    if let Some(fault) = fault {
        log::warn!(centre = &*centre, version; "the value of an evacuation is ignored: {fault}");
    }
    Request { centre, revision: version::revision(version) }
}
