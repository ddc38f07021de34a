//! Orders the agent's engine to load and unload models until it holds those that
//! the confirmed configuration assigns to it.
//!
//! Each order is sent under a leader lease with a fencing token, and while one of
//! a few places for loading is held, which keeps the weight store within its
//! bandwidth. The lease is held only while there is an order to send: 1,200
//! standing leases would cost the key-value service more writes than it takes.
//! See `docs/decisions/orders.md`.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use backend::Orders;
use backend::engine::Error;
use board::Board;
use config::layout;
use policy::leadership::Action;
use policy::leadership::Leadership;
use policy::leadership::Lease;
use policy::leadership::Permit;
use policy::orders;
use policy::orders::Models;
use policy::orders::Order;
use services::Store;
use services::store;
use services::store::Commit;
use services::store::Condition;
use services::store::Outcome;
use services::store::Put;
use tokio_util::sync::CancellationToken;
use wire::hash;
use wire::id;
use wire::member::State;

/// Time between two comparisons of what the engine holds with what it is to hold.
const STEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time to live of the leader lease, in seconds.
const LEASE_TTL_S: u64 = 30;
/// Shortest time between two tries to find a free place.
const RETRY_MIN_DELAY: Duration = Duration::from_secs(5);
/// Milliseconds by which the time between two tries differs between engines.
const RETRY_SPREAD_MS: u32 = 5_000;
/// Time for which an unload order has to be due before it is sent. Meanwhile
/// entries learn which other engines hold the model: views are whole within 18 s
/// (`docs/CAPACITY.md`).
const UNLOAD_DELAY: Duration = Duration::from_secs(20);

/// Sends orders to the agent's engine.
pub struct Dispatcher<'a> {
    /// The configuration and roster as this process knows them.
    pub board: &'a Board,
    /// The cluster's name, which prefixes keys in the key-value service.
    pub cluster: &'a str,
    /// The client of the key-value service.
    pub store: &'a dyn Store,
    /// The client that sends orders to the engine.
    pub engine: &'a dyn Orders,
}

/// An order that the engine accepted, with its fencing token.
type Issued = (id::Fence, Order);

/// Runs a [`step`] periodically until cancelled, then releases the lease.
pub async fn run(dispatcher: Dispatcher<'_>, cancel: CancellationToken) {
    let mut session = Session::new();
    while cancel.run_until_cancelled(tokio::time::sleep(STEP_INTERVAL)).await.is_some() {
        if let Err(error) = step(&dispatcher, &mut session).await {
            log::warn!("orders are delayed: {error}");
        }
    }
    session.release(&dispatcher).await;
}

/// The leader lease for one engine's orders and the state of the orders sent under it.
pub struct Session {
    leadership: Leadership,
    /// The index of the place for loading that is held or was tried last.
    place: u32,
    /// No lease is requested before this time.
    retry_at: Duration,
    issued: Option<Issued>,
    /// The model to unload next, and since when its unload order has been due.
    pending_unload: Option<(id::Model, Duration)>,
}

impl Session {
    /// Returns a session without a lease.
    pub fn new() -> Session {
        Session {
            leadership: Leadership::new(Duration::from_secs(LEASE_TTL_S)),
            place: 0,
            retry_at: Duration::ZERO,
            issued: None,
            pending_unload: None,
        }
    }

    /// Returns the order if it may be sent now. An unload order is held back for
    /// [`UNLOAD_DELAY`], since entries may still choose this engine for the model
    /// until they know which others hold it.
    fn due(&mut self, order: Option<Order>, now: Duration) -> Option<Order> {
        let Some(Order::Unload(model)) = &order else {
            self.pending_unload = None;
            return order;
        };
        let known = self.pending_unload.take().filter(|(known, _)| known == model);
        let (_, since) = self.pending_unload.insert(known.unwrap_or_else(|| (model.clone(), now)));
        order.filter(|_| now.saturating_sub(*since) >= UNLOAD_DELAY)
    }

    /// Releases lease and place, so that other engines can load. If the write fails,
    /// both end when the lease expires.
    async fn release(&mut self, dispatcher: &Dispatcher<'_>) {
        if self.leadership.permit(dispatcher.board.now()).is_some() {
            let removes = vec![dispatcher.scope(), dispatcher.place(self.place)];
            let write = Commit { removes, ..Commit::default() };
            if let Err(error) = dispatcher.store.commit(&write).await {
                log::info!("the place for loading is held until its lease expires: {error}");
            }
        }
        self.leadership.resign();
        self.issued = None;
    }
}

impl Default for Session {
    fn default() -> Session {
        Session::new()
    }
}

/// Compares what the engine holds with what it is to hold, advances the lease by
/// one action, and sends the next order if the lease is held.
///
/// # Errors
///
/// The error of the key-value service; the next step tries again.
pub async fn step(dispatcher: &Dispatcher<'_>, session: &mut Session) -> Result<(), store::Error> {
    let now = dispatcher.board.now();
    let Some(order) = session.due(next_order(dispatcher.board), now) else {
        session.release(dispatcher).await;
        return Ok(());
    };
    match session.leadership.next_action(now) {
        Action::Grant if now < session.retry_at => {}
        Action::Grant => {
            if !find_free_place(dispatcher, session).await? {
                return Ok(());
            }
            let lease = dispatcher.store.grant(LEASE_TTL_S).await?;
            session.leadership.record_grant(lease, now);
            claim(dispatcher, session, lease).await?;
        }
        Action::Claim(lease) => claim(dispatcher, session, lease).await?,
        Action::Renew(lease) => {
            let is_alive = dispatcher.store.renew(lease).await?;
            session.leadership.record_renewal(is_alive, now);
        }
        Action::Wait(_) => {}
    }
    if let Some(permit) = session.leadership.permit(dispatcher.board.now()) {
        issue(dispatcher, session, permit, order).await;
    }
    Ok(())
}

/// Returns the next order, or `None` if the engine holds what the configuration
/// assigns to it or the agent is not live.
fn next_order(board: &Board) -> Option<Order> {
    let document = board.document();
    let vm = &board.identity().vm;
    let assigned = document.holds(vm);
    let (held, under_replicated) = board.with_roster(|roster| {
        let own = roster.own().filter(|own| own.state == State::Live)?;
        let is_under_replicated = |held: &&String| {
            document.services.iter().any(|service| service.needs() == held.as_str())
                && !roster.is_rolled_out(held, |vm| document.holds(vm))
        };
        let models: Vec<id::Model> =
            own.holds.iter().filter(is_under_replicated).cloned().collect();
        Some((own.holds.clone(), models))
    })?;
    orders::next(Models { assigned, held: &held, under_replicated: &under_replicated })
}

/// Finds a free place and stores its index in the session, or the time of the next
/// try if none is free. Returns whether there is one. It is looked up before
/// anything is written, since the key-value service allows more reads than writes.
async fn find_free_place(
    dispatcher: &Dispatcher<'_>,
    session: &mut Session,
) -> Result<bool, store::Error> {
    let taken = dispatcher.store.list(&layout::loading_prefix(dispatcher.cluster)).await?;
    let is_free = |place: &u32| {
        let key = dispatcher.place(*place);
        taken.iter().all(|entry| entry.key != key)
    };
    let places = dispatcher.board.document().limit.loads.max(1);
    let Some(place) = (0..places).find(is_free) else {
        session.retry_at = dispatcher.board.now() + retry_delay(&dispatcher.board.identity().vm);
        return Ok(false);
    };
    session.place = place;
    Ok(true)
}

/// Returns the time until the next try to find a place. It differs between VMs, so
/// that they don't all read at once.
fn retry_delay(vm: &str) -> Duration {
    let spread = hash::owner(vm) % u64::from(RETRY_SPREAD_MS);
    RETRY_MIN_DELAY + Duration::from_millis(spread)
}

/// Writes the keys of the engine's scope and of a place for loading under the
/// lease, both or none.
async fn claim(
    dispatcher: &Dispatcher<'_>,
    session: &mut Session,
    lease: Lease,
) -> Result<(), store::Error> {
    let keys = [dispatcher.scope(), dispatcher.place(session.place)];
    let value = lease.to_string().into_bytes();
    let absent = |key: &String| Condition { key: key.clone(), version: 0 };
    let put = |key: &String| Put { key: key.clone(), value: value.clone(), lease: Some(lease) };
    let write = Commit {
        conditions: keys.iter().map(absent).collect(),
        puts: keys.iter().map(put).collect(),
        removes: Vec::new(),
    };
    let now = dispatcher.board.now();
    match dispatcher.store.commit(&write).await {
        Ok(Outcome::Written(version)) => session.leadership.record_holder(lease, version, now),
        Ok(Outcome::Conflict) | Err(store::Error::Lost(_)) => {
            read_back(dispatcher, session).await?
        }
        Err(error) => return Err(error),
    }
    Ok(())
}

/// Reads who holds the scope after a conflict or a lost answer.
async fn read_back(dispatcher: &Dispatcher<'_>, session: &mut Session) -> Result<(), store::Error> {
    let now = dispatcher.board.now();
    let Some(entry) = dispatcher.store.read(&dispatcher.scope()).await? else {
        // The scope is free, so another engine took the place first.
        session.leadership.resign();
        session.retry_at = now + retry_delay(&dispatcher.board.identity().vm);
        return Ok(());
    };
    let holder = String::from_utf8_lossy(&entry.value).parse().unwrap_or_default();
    session.leadership.record_holder(holder, entry.version, now);
    Ok(())
}

/// Sends an order, once per fencing token: an order that was accepted is not
/// repeated while the engine still carries it out.
async fn issue(dispatcher: &Dispatcher<'_>, session: &mut Session, permit: Permit, order: Order) {
    let issued = (permit.fence, order);
    if session.issued.as_ref() == Some(&issued) {
        return;
    }
    let (fence, order) = &issued;
    let outcome = match order {
        Order::Load(model) => dispatcher.engine.load(*fence, model).await,
        Order::Unload(model) => dispatcher.engine.unload(*fence, model).await,
    };
    match outcome {
        Ok(()) => {
            log::info!(fence = *fence, order:? = order; "order accepted");
            session.issued = Some(issued);
        }
        Err(Error::Refused(status)) => {
            log::warn!(fence = *fence, order:? = order, status = status; "order refused");
            session.release(dispatcher).await;
        }
        Err(error) => log::warn!(fence = *fence, order:? = order; "order failed: {error}"),
    }
}

impl Dispatcher<'_> {
    fn scope(&self) -> String {
        layout::controller(self.cluster, &format!("engine/{}", self.board.identity().vm))
    }

    fn place(&self, place: u32) -> String {
        layout::loading(self.cluster, place)
    }
}

/// Like [`run`] with owned arguments, so that it can be spawned as a task.
pub async fn run_owned(
    board: Arc<Board>,
    cluster: String,
    store: Rc<dyn Store>,
    engine: Rc<dyn Orders>,
    cancel: CancellationToken,
) {
    let dispatcher = Dispatcher {
        board: &board,
        cluster: &cluster,
        store: store.as_ref(),
        engine: engine.as_ref(),
    };
    run(dispatcher, cancel).await;
}
