//! What an entry takes from each answer.

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
use crate::order::Order;
use crate::worker::Worker;

/// Watches the answer to one attempt and keeps the tables up to date.
///
/// An engine counts as working once an answer came to its end, not before: it
/// may break behind an agent that goes on to take work.
pub(crate) struct Observer {
    worker: Rc<Worker>,
    target: Target,
    needs: String,
    chat: Option<id::Chat>,
    is_first_turn: bool,
    sent: Duration,
    /// From sending to the first frame.
    latency: Option<Duration>,
    /// Whether the work counts in the engine's known load.
    is_held: bool,
    /// Whether it goes on with an answer that an earlier attempt began.
    is_rest: bool,
}

impl Observer {
    /// Watches an attempt that is sent now.
    pub(crate) fn new(worker: &Rc<Worker>, order: &Order, target: &Target) -> Observer {
        Observer {
            worker: Rc::clone(worker),
            target: target.clone(),
            needs: order.work.needs().to_owned(),
            chat: order.chat(),
            is_first_turn: order.is_first_turn,
            sent: worker.board().now(),
            latency: None,
            is_held: false,
            is_rest: false,
        }
    }

    /// The same for an attempt that goes on with an answer, which says nothing
    /// of where the chat lies or of what the engine holds.
    pub(crate) fn of_rest(mut self) -> Observer {
        self.chat = None;
        self.is_rest = true;
        self
    }

    /// Takes in the next piece of the answer.
    pub(crate) fn saw(&mut self, payload: &Payload) {
        if self.latency.is_none() {
            self.latency = Some(self.now().saturating_sub(self.sent));
        }
        match payload {
            Payload::Accepted(report) => {
                self.reported(report, without_request(report.load));
                self.is_held = true;
            }
            Payload::Head(_) => self.begun(),
            Payload::Data(_) => {}
            Payload::End(usage) => {
                if self.chat.is_some() {
                    counts::served(self.target.spot, self.is_first_turn, *usage);
                }
                self.answered();
                self.release();
            }
            Payload::Refused(refusal, report) => {
                self.is_held = false;
                self.reported(report, report.load);
                counts::refused(self.target.spot, refusal.reason);
                self.refused(refusal);
            }
        }
    }

    /// Takes in that the agent could not be reached or broke off.
    pub(crate) fn lost(&mut self) {
        counts::lost();
        self.failed();
        self.release();
    }

    fn now(&self) -> Duration {
        self.worker.board().now()
    }

    /// Takes in an engine's load. The mean takes what the work met: counted with
    /// it, each engine would look one request busier than it is at other times.
    fn reported(&self, report: &Report, met: Load) {
        (self.worker.context.notice)(&report.stamp);
        let (now, engine) = (self.now(), &self.target.engine);
        self.worker.board().update_mean(|mean| mean.observe(engine, met, now));
        self.worker.tables.loads.lock().observe(engine, report.load, now);
    }

    fn refused(&self, refusal: &Refusal) {
        match refusal.reason {
            Reason::Engine | Reason::Starting => self.failed(),
            _ if self.is_rest => {}
            Reason::Leaving => self.avoid(None),
            Reason::Missing => self.avoid(Some(&self.needs)),
            _ => self.answered(),
        }
    }

    fn answered(&self) {
        let latency = self.latency.unwrap_or_default();
        let now = self.now();
        let is_out =
            self.worker.tables.outliers.lock().record_answer(&self.target.engine, latency, now);
        if is_out {
            counts::ejected("slow");
        }
    }

    fn failed(&self) {
        let now = self.now();
        if self.worker.tables.outliers.lock().record_failure(&self.target.engine, now) {
            counts::ejected("failed");
        }
    }

    fn avoid(&self, needs: Option<&str>) {
        let Target { engine, edition, .. } = &self.target;
        self.worker.tables.avoided.lock().avoid(engine, *edition, needs, self.now());
    }

    /// Remembers a chat that is served away from home, and only such a one.
    ///
    /// Its home is told if it never had the chat: else the home has the context
    /// as well, and sending callers on would cost more than it saves.
    fn begun(&self) {
        let Some(chat) = self.chat else { return };
        let places = &self.worker.tables.places;
        let engine = &self.target.engine;
        let Some(home) = self.target.home.as_ref().filter(|home| *home != engine) else {
            places.lock().forget(chat);
            return;
        };
        let last = Location { engine: fingerprint(engine), home: fingerprint(home) };
        let is_new = places.lock().record(chat, last, self.now());
        if is_new && self.target.is_unknown {
            let note = Note { chat, engine: engine.clone() };
            self.worker.tables.spills.lock().add(Spill { home: home.clone(), note });
        }
    }

    /// Takes the work out of the engine's known load, however its answer ended.
    fn release(&mut self) {
        if std::mem::take(&mut self.is_held) {
            self.worker.tables.loads.lock().record_end(&self.target.engine);
        }
    }
}

impl Drop for Observer {
    fn drop(&mut self) {
        self.release();
    }
}
