//! Updates the entry's tables from the answers to its attempts.

use std::rc::Rc;
use std::time::Duration;

use policy::candidate::without_request;
use policy::placement::Location;
use policy::placement::Spill;
use policy::placement::fingerprint;
use wire::Load;
use wire::Refusal;
use wire::frame::Payload;
use wire::frame::Report;
use wire::id;
use wire::notes::Note;
use wire::refusal::Reason;

use crate::choice::Target;
use crate::counts;
use crate::request::Request;
use crate::worker::Worker;

/// Observes the answer to one attempt and updates the load, outlier and placement tables.
///
/// An engine counts as working only once an answer ended, because it may fail behind an
/// agent that still accepts work.
pub(crate) struct Observer {
    worker: Rc<Worker>,
    target: Target,
    needs: String,
    chat: Option<id::Chat>,
    is_first_turn: bool,
    sent_at: Duration,
    /// Time from sending to the first frame.
    latency: Option<Duration>,
    /// Whether the work is counted in the engine's known load.
    is_counted: bool,
    /// Whether the attempt resumes an answer.
    is_resumed: bool,
}

impl Observer {
    /// Creates the observer of an attempt that is sent now.
    pub(crate) fn new(worker: &Rc<Worker>, request: &Request, target: &Target) -> Observer {
        Observer {
            worker: Rc::clone(worker),
            target: target.clone(),
            needs: request.work.needs().to_owned(),
            chat: request.chat(),
            is_first_turn: request.is_first_turn,
            sent_at: worker.board().now(),
            latency: None,
            is_counted: false,
            is_resumed: false,
        }
    }

    /// Returns the observer of an attempt that resumes an answer, which says nothing of
    /// where the chat's context is or of what the engine holds.
    pub(crate) fn for_resumed(mut self) -> Observer {
        self.chat = None;
        self.is_resumed = true;
        self
    }

    /// Records the next payload of the answer.
    pub(crate) fn observe(&mut self, payload: &Payload) {
        if self.latency.is_none() {
            self.latency = Some(self.now().saturating_sub(self.sent_at));
        }
        match payload {
            Payload::Accepted(report) => {
                self.record_report(report, without_request(report.load));
                self.is_counted = true;
            }
            Payload::Head(_) => self.record_placement(),
            Payload::Data(_) => {}
            Payload::End(usage) => {
                if self.chat.is_some() {
                    counts::record_chat(self.target.locality, self.is_first_turn, *usage);
                }
                self.record_success();
                self.release();
            }
            Payload::Refused(refusal, report) => {
                self.is_counted = false;
                self.record_report(report, report.load);
                counts::record_refusal(self.target.locality, refusal.reason);
                self.record_refusal(refusal);
            }
        }
    }

    /// Records that the agent could not be reached, disconnected or timed out.
    pub(crate) fn record_loss(&mut self) {
        counts::record_loss();
        self.record_failure();
        self.release();
    }

    fn now(&self) -> Duration {
        self.worker.board().now()
    }

    /// Records an agent's report. The estimate of the mean load gets `met`, the load
    /// without this work: counted with it, each engine would seem one request busier than
    /// it is at other times.
    fn record_report(&self, report: &Report, met: Load) {
        (self.worker.context.on_stamp)(&report.stamp);
        let (now, engine) = (self.now(), &self.target.engine);
        self.worker.board().update_mean(|mean| mean.observe(engine, met, now));
        self.worker.tables.loads.lock().observe(engine, report.load, now);
    }

    fn record_refusal(&self, refusal: &Refusal) {
        match refusal.reason {
            Reason::Engine | Reason::Starting => self.record_failure(),
            _ if self.is_resumed => {}
            Reason::Leaving => self.avoid(None),
            Reason::Missing => self.avoid(Some(&self.needs)),
            _ => self.record_success(),
        }
    }

    fn record_success(&self) {
        let latency = self.latency.unwrap_or_default();
        let now = self.now();
        let is_ejected =
            self.worker.tables.outliers.lock().record_answer(&self.target.engine, latency, now);
        if is_ejected {
            counts::record_ejection("slow");
        }
    }

    fn record_failure(&self) {
        let now = self.now();
        if self.worker.tables.outliers.lock().record_failure(&self.target.engine, now) {
            counts::record_ejection("failed");
        }
    }

    fn avoid(&self, needs: Option<&str>) {
        let Target { engine, edition, .. } = &self.target;
        self.worker.tables.avoided.lock().avoid(engine, *edition, needs, self.now());
    }

    /// Remembers where a chat is served if that isn't its home, and forgets it otherwise.
    ///
    /// Its home is sent a note only if it never had the chat. Otherwise the home has the
    /// context as well, and redirecting callers would cost more than it saves.
    fn record_placement(&self) {
        let Some(chat) = self.chat else { return };
        let locations = &self.worker.tables.locations;
        let engine = &self.target.engine;
        let Some(home) = self.target.home.as_ref().filter(|home| *home != engine) else {
            locations.lock().forget(chat);
            return;
        };
        let last = Location { engine: fingerprint(engine), home: fingerprint(home) };
        let is_new = locations.lock().record(chat, last, self.now());
        if is_new && self.target.is_home_unaware {
            let note = Note { chat, engine: engine.clone() };
            self.worker.tables.spills.lock().add(Spill { home: home.clone(), note });
        }
    }

    /// Removes the work from the engine's known load, however its answer ended.
    fn release(&mut self) {
        if std::mem::take(&mut self.is_counted) {
            self.worker.tables.loads.lock().record_end(&self.target.engine);
        }
    }
}

impl Drop for Observer {
    fn drop(&mut self) {
        self.release();
    }
}
