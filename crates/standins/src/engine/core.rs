//! The engine's state, and the tasks that run generations.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::engine::Counts;
use crate::engine::Faults;
use crate::engine::Options;
use crate::engine::cache::Block;
use crate::engine::cache::Cache;
use crate::engine::cache::PrefixHash;
use crate::engine::event::Publisher;
use crate::engine::generation::End;
use crate::engine::generation::Generation;
use crate::engine::generation::GenerationId;
use crate::engine::load::History;
use crate::engine::load::Load;
use crate::engine::loading::Models;
use crate::engine::request::Request;
use crate::engine::scheduler::Position;
use crate::engine::scheduler::Scheduler;
use crate::table::Table;

/// Time for which a generation can still be read after its end.
const FINISHED_TTL: Duration = Duration::from_secs(30);

/// The engine, shared by its routes and generations.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) options: Options,
    pub(crate) faults: watch::Sender<Faults>,
    pub(crate) models: Mutex<Models>,
    pub(crate) events: Publisher,
    inner: Mutex<Inner>,
}

/// The mutable state of the engine, under one lock.
#[derive(Debug)]
struct Inner {
    /// Number of requests so far.
    arrivals: u64,
    scheduler: Scheduler,
    cache: Cache,
    history: History,
    counts: Counts,
    generations: Table<GenerationId, Arc<Generation>>,
}

/// A generation's slot, or its position in the queue for one; released when
/// dropped.
struct Slot<'a> {
    core: &'a Core,
    position: Position,
    /// Resolves when the slot is granted; taken by the wait for it.
    granted: Option<oneshot::Receiver<()>>,
    preemption: Arc<Notify>,
}

impl Core {
    /// Creates an engine with its first models loaded and no requests.
    pub(crate) fn new(options: Options) -> Arc<Self> {
        let inner = Inner {
            arrivals: 0,
            scheduler: Scheduler::new(options.slots, options.preempt),
            cache: Cache::new(options.cache_tokens),
            history: History::new(options.load_lag),
            counts: Counts::default(),
            generations: Table::default(),
        };
        Arc::new(Self {
            faults: watch::Sender::default(),
            models: Mutex::new(Models::new(&options.models)),
            events: Publisher::new(&options),
            inner: Mutex::new(inner),
            options,
        })
    }

    /// Accepts a request and starts its generation in a task of its own.
    pub(crate) fn accept(self: &Arc<Self>, request: &Request) -> Arc<Generation> {
        let mut inner = self.inner.lock();
        inner.arrivals += 1;
        let position = Position { priority: request.priority, arrival: inner.arrivals };
        let id = format!("chatcmpl-{}{}", self.options.id_prefix, inner.arrivals);
        let generation = Arc::new(Generation::new(id, unix_seconds(), request));
        inner.counts.accepted += 1;
        inner.counts.prompt_tokens += generation.prompt_tokens() as u64;
        inner.generations.insert(generation.id.clone(), Arc::clone(&generation));
        drop(inner);
        ntex::rt::spawn(run_generation(Arc::clone(self), Arc::clone(&generation), position));
        generation
    }

    /// Returns a generation that runs or ended a short time ago.
    pub(crate) fn generation(&self, id: &GenerationId) -> Option<Arc<Generation>> {
        self.inner.lock().generations.value(id).cloned()
    }

    /// Returns the counters as of now.
    pub(crate) fn counts(&self) -> Counts {
        let inner = self.inner.lock();
        let models = self.models.lock();
        Counts {
            orders: models.executed_orders,
            stale_orders: models.stale_orders,
            running: inner.scheduler.running(),
            waiting: inner.scheduler.waiting(),
            max_running: inner.scheduler.max_running(),
            ..inner.counts
        }
    }

    /// Returns the load as of one load lag ago.
    pub(crate) fn load(&self) -> Load {
        self.inner.lock().history.lagged()
    }

    /// Waits until `Faults::freeze` is false.
    pub(crate) async fn wait_while_frozen(&self) {
        let _ = self.faults.subscribe().wait_for(|faults| !faults.freeze).await;
    }

    /// Returns the blocks of a prefix from its first message on, if all are cached.
    pub(crate) fn cached_prefix(&self, hash: PrefixHash) -> Option<Vec<Block>> {
        self.inner.lock().cache.prefix(hash)
    }

    /// Adds blocks that another engine has computed to the cache.
    pub(crate) fn import_blocks(&self, blocks: &[Block]) {
        self.store(&mut self.inner.lock(), blocks);
    }

    /// Stores blocks in the cache and publishes the changes.
    fn store(&self, inner: &mut Inner, blocks: &[Block]) {
        let change = inner.cache.store(blocks);
        self.events.publish(change);
    }

    /// Runs a generation to its last token, waiting for a new slot each time it is
    /// preempted.
    async fn run_to_end(&self, generation: &Generation, position: Position) {
        let mut prefilled = false;
        while generation.progress.borrow().tokens < generation.tokens.len() {
            let mut slot = Slot::enqueue(self, position);
            slot.wait().await;
            tokio::select! {
                () = slot.preemption.notified() => {}
                () = self.run_in_slot(generation, &mut prefilled) => {}
            }
        }
    }

    /// Prefills the prompt, unless that is done, and generates the remaining tokens.
    /// Must be called while the generation holds a slot; preemption drops the future.
    async fn run_in_slot(&self, generation: &Generation, prefilled: &mut bool) {
        if !*prefilled {
            self.prefill(generation).await;
            *prefilled = true;
        }
        while generation.progress.borrow().tokens < generation.tokens.len() {
            self.simulate_work(self.token_gap()).await;
            generation.progress.send_modify(|progress| progress.tokens += 1);
        }
    }

    /// Takes the time to prefill the uncached part of the prompt and stores the
    /// prompt in the cache.
    async fn prefill(&self, generation: &Generation) {
        let cached = self.inner.lock().cache.cached_tokens(&generation.prompt_blocks);
        let uncached = generation.prompt_tokens() - cached;
        self.simulate_work(self.options.prefill_per_token * uncached as u32).await;
        generation.progress.send_modify(|progress| progress.cached_tokens = cached);
        let mut inner = self.inner.lock();
        inner.counts.cached_tokens += cached as u64;
        self.store(&mut inner, &generation.prompt_blocks);
        inner.record_load();
    }

    /// Sleeps for `time`, multiplied by `Faults::slow_factor`, and then while the
    /// engine is frozen.
    async fn simulate_work(&self, time: Duration) {
        let factor = self.faults.borrow().slow_factor.max(0.0);
        sleep(time.mul_f64(factor)).await;
        self.wait_while_frozen().await;
    }

    /// Returns the time between two tokens at the current number of running
    /// requests.
    fn token_gap(&self) -> Duration {
        let running = self.inner.lock().scheduler.running() as f64;
        self.options.token_gap.mul_f64(1.0 + self.options.batch_slope * running)
    }

    /// Records the end of a generation; stores the whole chat in the cache if it
    /// was completed.
    fn finish(&self, generation: &Generation, end: End) {
        let mut inner = self.inner.lock();
        match end {
            End::Completed => {
                inner.counts.finished += 1;
                self.store(&mut inner, &generation.chat_blocks);
            }
            End::Cancelled => inner.counts.cancelled += 1,
        }
        inner.record_load();
        drop(inner);
        generation.progress.send_modify(|progress| progress.end = Some(end));
    }

    /// Drops a generation, which then can't be read any more.
    fn remove(&self, id: &GenerationId) {
        self.inner.lock().generations.remove(id);
    }
}

impl Inner {
    /// Records the current load for the metrics.
    fn record_load(&mut self) {
        self.history.record(Load {
            running: self.scheduler.running(),
            waiting: self.scheduler.waiting(),
            cache_usage: self.cache.usage(),
            queried_tokens: self.counts.prompt_tokens,
            cached_tokens: self.counts.cached_tokens,
        });
    }
}

impl<'a> Slot<'a> {
    /// Queues a request for a slot.
    fn enqueue(core: &'a Core, position: Position) -> Self {
        let preemption = Arc::new(Notify::new());
        let mut inner = core.inner.lock();
        let granted = Some(inner.scheduler.enqueue(position, Arc::clone(&preemption)));
        inner.record_load();
        drop(inner);
        Self { core, position, granted, preemption }
    }

    /// Waits until the slot is granted.
    async fn wait(&mut self) {
        if let Some(granted) = self.granted.take() {
            let _ = granted.await;
        }
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let mut inner = self.core.inner.lock();
        inner.scheduler.release(self.position);
        inner.record_load();
    }
}

/// Runs a generation until it is completed or cancelled, and removes it after
/// `FINISHED_TTL`.
async fn run_generation(core: Arc<Core>, generation: Arc<Generation>, position: Position) {
    let end = tokio::select! {
        biased;
        () = generation.cancellation.cancelled() => End::Cancelled,
        () = core.run_to_end(&generation, position) => End::Completed,
    };
    core.finish(&generation, end);
    sleep(FINISHED_TTL).await;
    core.remove(&generation.id);
}

/// Returns the current time in seconds since the Unix epoch.
fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs())
}
