//! Gives the agent's own engine the orders that make it hold what was confirmed.
//!
//! Each order is given under a lease with a fencing number, and while one of
//! a few places for loading is held, so that the weight store is not asked for
//! more than it gives. The lease is held only while there is something to do:
//! 1,200 standing leases would cost the key-value service more writes than it
//! takes. See `docs/decisions/orders.md`.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use backend::Orders;
use backend::engine::Error;
use board::Board;
use config::layout;
use policy::orders;
use policy::orders::Order;
use policy::orders::Situation;
use policy::tenure::Action;
use policy::tenure::Lease;
use policy::tenure::Permit;
use policy::tenure::Tenure;
use services::Store;
use services::store;
use services::store::Commit;
use services::store::Condition;
use services::store::Outcome;
use services::store::Put;
use tokio_util::sync::CancellationToken;
use wire::id;
use wire::member::State;
use wire::name;

/// Time between two looks at what the engine holds.
const INTERVAL: Duration = Duration::from_secs(1);
/// Time to live of the lease, in seconds.
const LEASE_S: u64 = 30;
/// Shortest time between two looks for a free place.
const WAIT: Duration = Duration::from_secs(5);
/// Milliseconds by which these times differ between engines.
const WAIT_SPREAD_MS: u32 = 5_000;
/// Time for which others hold a model before this engine unloads it. Entries learn
/// meanwhile that they do: views are whole within 18 s (`docs/CAPACITY.md`).
const UNLOAD_DELAY: Duration = Duration::from_secs(20);

/// What giving orders needs.
pub struct Giver<'a> {
    /// What the process knows.
    pub board: &'a Board,
    /// The cluster, which scopes keys in the key-value service.
    pub cluster: &'a str,
    /// The key-value service.
    pub store: &'a dyn Store,
    /// The engine.
    pub engine: &'a dyn Orders,
}

/// An order that was given, and under which fencing number.
type Given = (id::Fence, Order);

/// Looks at the engine again and again until cancelled.
pub async fn run(giver: Giver<'_>, cancel: CancellationToken) {
    let mut turn = Turn::new();
    while cancel.run_until_cancelled(tokio::time::sleep(INTERVAL)).await.is_some() {
        if let Err(error) = step(&giver, &mut turn).await {
            log::warn!("orders wait: {error}");
        }
    }
    turn.release(&giver).await;
}

/// The lease of one engine's orders and what was done under it.
pub struct Turn {
    tenure: Tenure,
    /// The place for loading that is held or was tried last.
    place: u32,
    /// Nothing is asked of the key-value service before this time.
    retry: Duration,
    given: Option<Given>,
    /// The model that is to be unloaded next, and since when.
    surplus: Option<(id::Model, Duration)>,
}

impl Turn {
    /// Holds nothing.
    pub fn new() -> Turn {
        Turn {
            tenure: Tenure::new(Duration::from_secs(LEASE_S)),
            place: 0,
            retry: Duration::ZERO,
            given: None,
            surplus: None,
        }
    }

    /// The order if it is due. Entries may still choose an engine for a model that
    /// it is to unload, until they know which others hold it.
    fn due(&mut self, order: Option<Order>, now: Duration) -> Option<Order> {
        let Some(Order::Unload(model)) = &order else {
            self.surplus = None;
            return order;
        };
        let known = self.surplus.take().filter(|(known, _)| known == model);
        let (_, since) = self.surplus.insert(known.unwrap_or_else(|| (model.clone(), now)));
        order.filter(|_| now.saturating_sub(*since) >= UNLOAD_DELAY)
    }

    /// Lets others load; if the store can't be told, the lease lapses by itself.
    async fn release(&mut self, giver: &Giver<'_>) {
        if self.tenure.permit(giver.board.now()).is_some() {
            let removes = vec![giver.scope(), giver.place(self.place)];
            let write = Commit { removes, ..Commit::default() };
            if let Err(error) = giver.store.commit(&write).await {
                log::info!("the place for loading is free when its lease lapses: {error}");
            }
        }
        self.tenure.resign();
        self.given = None;
    }
}

impl Default for Turn {
    fn default() -> Turn {
        Turn::new()
    }
}

/// Does at most one thing towards what the engine is to hold.
///
/// # Errors
///
/// What the key-value service answered; the next step tries again.
pub async fn step(giver: &Giver<'_>, turn: &mut Turn) -> Result<(), store::Error> {
    let now = giver.board.now();
    let Some(order) = turn.due(wanted(giver.board), now) else {
        turn.release(giver).await;
        return Ok(());
    };
    match turn.tenure.next(now) {
        Action::Grant if now < turn.retry => {}
        Action::Grant => {
            if !find_place(giver, turn).await? {
                return Ok(());
            }
            let lease = giver.store.grant(LEASE_S).await?;
            turn.tenure.granted(lease, now);
            claim(giver, turn, lease).await?;
        }
        Action::Claim(lease) => claim(giver, turn, lease).await?,
        Action::Renew(lease) => {
            let is_alive = giver.store.renew(lease).await?;
            turn.tenure.renewed(is_alive, now);
        }
        Action::Wait(_) => {}
    }
    if let Some(permit) = turn.tenure.permit(giver.board.now()) {
        give(giver, turn, permit, order).await;
    }
    Ok(())
}

/// The next order by what the board says, or `None` if the engine holds what it is to hold.
fn wanted(board: &Board) -> Option<Order> {
    let document = board.document();
    let vm = &board.identity().vm;
    let wanted = document.holds(vm);
    let (held, rare) = board.with_roster(|roster| {
        let own = roster.own().filter(|own| own.state == State::Live)?;
        let is_rare = |held: &&String| {
            document.services.iter().any(|service| service.needs() == held.as_str())
                && !roster.is_settled(held, |vm| document.holds(vm))
        };
        let rare: Vec<id::Model> = own.holds.iter().filter(is_rare).cloned().collect();
        Some((own.holds.clone(), rare))
    })?;
    orders::next(Situation { wanted, held: &held, rare: &rare })
}

/// Looks for a free place before anything is written, since reads are what the
/// key-value service has more of.
async fn find_place(giver: &Giver<'_>, turn: &mut Turn) -> Result<bool, store::Error> {
    let taken = giver.store.list(&layout::loading_prefix(giver.cluster)).await?;
    let is_free = |place: &u32| {
        let key = giver.place(*place);
        taken.iter().all(|entry| entry.key != key)
    };
    let places = giver.board.document().limit.loads.max(1);
    let Some(place) = (0..places).find(is_free) else {
        turn.retry = giver.board.now() + wait(&giver.board.identity().vm);
        return Ok(false);
    };
    turn.place = place;
    Ok(true)
}

/// Engines wait for different times, so that they don't ask all at once.
fn wait(vm: &str) -> Duration {
    let spread = name::owner(vm) % u64::from(WAIT_SPREAD_MS);
    WAIT + Duration::from_millis(spread)
}

/// Puts the scope's key and a place for loading under the lease, both or none.
async fn claim(giver: &Giver<'_>, turn: &mut Turn, lease: Lease) -> Result<(), store::Error> {
    let keys = [giver.scope(), giver.place(turn.place)];
    let value = lease.to_string().into_bytes();
    let absent = |key: &String| Condition { key: key.clone(), version: 0 };
    let put = |key: &String| Put { key: key.clone(), value: value.clone(), lease: Some(lease) };
    let write = Commit {
        conditions: keys.iter().map(absent).collect(),
        puts: keys.iter().map(put).collect(),
        removes: Vec::new(),
    };
    let now = giver.board.now();
    match giver.store.commit(&write).await {
        Ok(Outcome::Written(version)) => turn.tenure.claimed(lease, version, now),
        Ok(Outcome::Conflict) | Err(store::Error::Lost(_)) => read_back(giver, turn).await?,
        Err(error) => return Err(error),
    }
    Ok(())
}

/// Finds out who holds the scope after a conflict or a lost answer.
async fn read_back(giver: &Giver<'_>, turn: &mut Turn) -> Result<(), store::Error> {
    let now = giver.board.now();
    let Some(entry) = giver.store.read(&giver.scope()).await? else {
        // Somebody else was faster at the place.
        turn.tenure.resign();
        turn.retry = now + wait(&giver.board.identity().vm);
        return Ok(());
    };
    let holder = String::from_utf8_lossy(&entry.value).parse().unwrap_or_default();
    turn.tenure.claimed(holder, entry.version, now);
    Ok(())
}

/// Gives the order once under a fencing number; an engine that is still loading is let be.
async fn give(giver: &Giver<'_>, turn: &mut Turn, permit: Permit, order: Order) {
    let given = (permit.fence, order);
    if turn.given.as_ref() == Some(&given) {
        return;
    }
    let (fence, order) = &given;
    let outcome = match order {
        Order::Load(model) => giver.engine.load(*fence, model).await,
        Order::Unload(model) => giver.engine.unload(*fence, model).await,
    };
    match outcome {
        Ok(()) => {
            log::info!(fence = *fence, order:? = order; "order given");
            turn.given = Some(given);
        }
        Err(Error::Refused(status)) => {
            log::warn!(fence = *fence, order:? = order, status = status; "order refused");
            turn.release(giver).await;
        }
        Err(error) => log::warn!(fence = *fence, order:? = order; "order not given: {error}"),
    }
}

impl Giver<'_> {
    fn scope(&self) -> String {
        layout::controller(self.cluster, &format!("engine/{}", self.board.identity().vm))
    }

    fn place(&self, place: u32) -> String {
        layout::loading(self.cluster, place)
    }
}

/// Runs [`run`] on what it needs, for a task of its own.
pub async fn follow(
    board: Arc<Board>,
    cluster: String,
    store: Rc<dyn Store>,
    engine: Rc<dyn Orders>,
    cancel: CancellationToken,
) {
    let giver =
        Giver { board: &board, cluster: &cluster, store: store.as_ref(), engine: engine.as_ref() };
    run(giver, cancel).await;
}
