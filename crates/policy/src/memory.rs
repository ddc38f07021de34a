//! Admission of reservations of memory against a ceiling.
//!
//! Handles crowds of clients that send many large bodies at once, most of which stop short of their
//! end and stay open, or that don't read their responses. Small bodies, which ordinary clients send,
//! have to find room meanwhile. See `docs/design/memory.md`.

use std::cmp::Reverse;
use std::time::Duration;

/// Identifies a reservation.
pub type Id = u64;

/// Largest body that counts as small, in bytes: above the 140,000 bytes that ordinary clients
/// send at most.
pub const SMALL_BYTES: usize = 256 * 1024;

/// Share of the memory that bodies may take. The rest is for the program, for what the runtime
/// holds for each connection, and for bytes in the buffers of sockets.
const BODIES_SHARE: usize = 2;

/// Share of the bodies' part that only small bodies and responses may take.
const RESERVE_SHARE: usize = 8;

/// Share of the bodies' part that responses may take.
const RESPONSES_SHARE: usize = 2;

/// Most bytes that responses may take, however large the machine is. Responses usually take some
/// kilobytes; broken endpoints may send without end.
const MAX_RESPONSES_BYTES: usize = 32 * 1024 * 1024;

/// Memory for each connection by which their number is limited: the receive buffer of its socket.
const CONNECTION_BYTES: usize = 64 * 1024;

/// Time without progress after which an unfinished body gives way to any other.
const STALLED_AFTER: Duration = Duration::from_secs(2);

/// What may be held at most.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of all bodies.
    pub bodies: usize,
    /// Bytes of these that only small bodies and responses may take.
    pub reserve: usize,
    /// Bytes of all responses.
    pub responses: usize,
    /// Connections of clients.
    pub connections: usize,
}

impl Limits {
    /// Derives the limits from the memory of the machine in bytes.
    pub fn of_memory(bytes: usize) -> Limits {
        let bodies = bytes / BODIES_SHARE;
        Limits {
            bodies,
            reserve: bodies / RESERVE_SHARE,
            responses: (bodies / RESPONSES_SHARE).min(MAX_RESPONSES_BYTES),
            connections: bytes / CONNECTION_BYTES,
        }
    }
}

/// What a reservation is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// The body of a request.
    Request,
    /// The body of a response, whose request may have run.
    Response,
}

/// Answer to a request for bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// The bytes are reserved. The unfinished bodies with these ids were evicted: their reservations
    /// are released, and the caller has to drop their bytes.
    Granted(Vec<Id>),
    /// There is no room.
    Refused,
}

#[derive(Debug)]
struct Reservation {
    id: Id,
    purpose: Purpose,
    bytes: usize,
    /// When the latest bytes of the body arrived.
    progress: Duration,
    /// Whether bytes of the body are still expected.
    is_unfinished: bool,
}

impl Reservation {
    fn is_large(&self) -> bool {
        self.bytes > SMALL_BYTES
    }

    fn is_stalled(&self, now: Duration) -> bool {
        now.saturating_sub(self.progress) >= STALLED_AFTER
    }
}

/// All reservations of a process.
#[derive(Debug)]
pub struct Account {
    limits: Limits,
    requests: usize,
    responses: usize,
    next: Id,
    /// In the order of their ids.
    open: Vec<Reservation>,
}

impl Account {
    /// Creates an account without reservations.
    pub fn new(limits: Limits) -> Account {
        Account { limits, requests: 0, responses: 0, next: 0, open: Vec::new() }
    }

    /// Opens a reservation of no bytes.
    pub fn open(&mut self, purpose: Purpose, now: Duration) -> Id {
        let id = self.next;
        self.next += 1;
        let is_unfinished = purpose == Purpose::Request;
        self.open.push(Reservation { id, purpose, bytes: 0, progress: now, is_unfinished });
        id
    }

    /// Reserves further bytes.
    ///
    /// If there are too few, unfinished bodies are evicted: stalled ones for any other, and large
    /// ones for small bodies and responses. The stalled are evicted first, then the largest, then the
    /// newest. None is evicted if that does not make enough room.
    pub fn grow(&mut self, id: Id, bytes: usize, now: Duration) -> Decision {
        let Some(index) = self.index(id) else { return Decision::Refused };
        let Reservation { purpose, bytes: own, .. } = self.open[index];
        let is_small = own.saturating_add(bytes) <= SMALL_BYTES;
        if purpose == Purpose::Response
            && self.responses.saturating_add(bytes) > self.limits.responses
        {
            return Decision::Refused;
        }
        let ceiling = match purpose {
            Purpose::Request if !is_small => self.limits.bodies.saturating_sub(self.limits.reserve),
            _ => self.limits.bodies,
        };
        let needed = self.used().saturating_add(bytes).saturating_sub(ceiling);
        let takes_large = is_small || purpose == Purpose::Response;
        let Some(victims) = self.victims(id, needed, takes_large, now) else {
            return Decision::Refused;
        };
        for victim in &victims {
            self.release(*victim);
        }
        self.add(id, bytes);
        Decision::Granted(victims)
    }

    /// Counts bytes that are already held, and can't be refused any more.
    pub fn charge(&mut self, id: Id, bytes: usize) {
        self.add(id, bytes);
    }

    /// Gives bytes of a reservation back.
    pub fn shrink(&mut self, id: Id, bytes: usize) {
        let Some(index) = self.index(id) else { return };
        let reservation = &mut self.open[index];
        let bytes = bytes.min(reservation.bytes);
        reservation.bytes -= bytes;
        match reservation.purpose {
            Purpose::Request => self.requests -= bytes,
            Purpose::Response => self.responses -= bytes,
        }
    }

    /// Records that bytes of a body have arrived.
    pub fn record_progress(&mut self, id: Id, now: Duration) {
        if let Some(index) = self.index(id) {
            self.open[index].progress = now;
        }
    }

    /// Records that a body is complete. It is no longer evicted.
    pub fn finish(&mut self, id: Id) {
        if let Some(index) = self.index(id) {
            self.open[index].is_unfinished = false;
        }
    }

    /// Releases a reservation. Does nothing if it was evicted.
    pub fn release(&mut self, id: Id) {
        self.shrink(id, usize::MAX);
        if let Some(index) = self.index(id) {
            self.open.remove(index);
        }
    }

    /// Returns the bytes of all bodies of requests.
    pub fn requests(&self) -> usize {
        self.requests
    }

    /// Returns the bytes of all bodies of responses.
    pub fn responses(&self) -> usize {
        self.responses
    }

    fn used(&self) -> usize {
        self.requests.saturating_add(self.responses)
    }

    fn index(&self, id: Id) -> Option<usize> {
        self.open.binary_search_by_key(&id, |reservation| reservation.id).ok()
    }

    fn add(&mut self, id: Id, bytes: usize) {
        let Some(index) = self.index(id) else { return };
        self.open[index].bytes += bytes;
        match self.open[index].purpose {
            Purpose::Request => self.requests += bytes,
            Purpose::Response => self.responses += bytes,
        }
    }

    /// Returns the bodies to evict so that `needed` bytes become free; `None` if they don't suffice.
    fn victims(&self, id: Id, needed: usize, takes_large: bool, now: Duration) -> Option<Vec<Id>> {
        if needed == 0 {
            return Some(Vec::new());
        }
        let may_evict = |other: &&Reservation| {
            let gives_way = other.is_stalled(now) || (takes_large && other.is_large());
            other.id != id && other.is_unfinished && other.bytes > 0 && gives_way
        };
        let mut candidates: Vec<&Reservation> = self.open.iter().filter(may_evict).collect();
        candidates
            .sort_unstable_by_key(|other| Reverse((other.is_stalled(now), other.bytes, other.id)));
        let mut freed = 0;
        let mut victims = Vec::new();
        for candidate in candidates {
            if freed >= needed {
                break;
            }
            freed += candidate.bytes;
            victims.push(candidate.id);
        }
        (freed >= needed).then_some(victims)
    }
}
