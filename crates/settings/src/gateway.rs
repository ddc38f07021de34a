//! Settings of a gateway.

use std::net::SocketAddr;
use std::time::Duration;

use crate::fault::Fault;
use crate::fault::Kind;
use crate::key;
use crate::section::Section;

/// The validated settings of a gateway; `docs/SETTINGS.md` documents the keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Gateway {
    /// Name of the VM that this process runs on.
    pub vm: String,
    /// Data centre of the VM.
    pub centre: String,
    /// Listener for requests of clients.
    pub clients: SocketAddr,
    /// Listener for `/metrics`, `/healthz` and `/readyz`.
    pub admin: SocketAddr,
    /// Listener for calls of other gateways.
    pub control: SocketAddr,
    /// Control addresses of other gateways, some of which may no longer exist.
    pub seeds: Vec<SocketAddr>,
    /// Address of the key-value service, which holds the persistent data.
    pub store: SocketAddr,
    /// Writes per second that the service allows to all processes together.
    pub writes_per_s: f64,
    /// Processor share of the VM, in thousandths of a core.
    pub capacity: u32,
    /// Most client connections that are open at the same time, by the descriptors.
    pub connections: usize,
    /// Memory of the VM in bytes, if it is set.
    pub memory: Option<usize>,
    /// Longest time without bytes of a body that is expected.
    pub body_stall: Duration,
    /// Lowest mean rate of a body in bytes per second.
    pub body_rate: u32,
    /// Longest time for which a client may read nothing of a response.
    pub response_stall: Duration,
    /// Retries that the whole fleet may send per request.
    pub retry_ratio: f64,
    /// Retries that the whole fleet may send in addition to the ratio.
    pub retry_slack: f64,
    /// Least number of processes that the retries are divided by; more if more are
    /// registered.
    pub processes: u32,
    /// Whether requests are spread by what other gateways are expected to have sent since their loads
    /// were known.
    pub spread_stale_loads: bool,
    /// Whether failures of endpoints are shared with other gateways and used to choose endpoints.
    pub share_failures: bool,
    /// Whether endpoints are chosen by how fast they work.
    pub learn_speed: bool,
    /// How far the rate of cold endpoints may be exceeded; `None` if they are not held back.
    pub slow_start: Option<SlowStart>,
    /// Whether attempts are abandoned at endpoints that are silent for far longer than usual.
    pub abandon_silent: bool,
    /// Time for which the process stays reachable after a request to stop.
    pub stop_notice: Duration,
    /// Time for which requests in flight may continue after that.
    pub stop_grace: Duration,
}

/// How far the requests of all gateways may exceed the rate of a cold endpoint in any one second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Multiple of the rate.
    pub over: f64,
    /// Requests on top of that.
    pub slack: f64,
}

/// File descriptors per client connection: each may need another to an endpoint.
const DESCRIPTORS_PER_CLIENT: u64 = 2;

/// Bytes in a megabyte of `memory_mb`.
const MEGABYTE: u64 = 1024 * 1024;

/// Longest time without bytes of a body, in milliseconds: long enough for a client whose packets are
/// lost several times in a row, and shorter than most callers wait for their answers.
const DEFAULT_BODY_STALL_MS: u64 = 10_000;

/// Lowest mean rate of a body: 140,000 bytes, the most that ordinary clients send, may take 27 s.
const DEFAULT_BODY_BYTES_PER_S: u64 = 8_192;

/// Longest time for which a client may read nothing: the idle timeout of usual configurations.
const DEFAULT_RESPONSE_STALL_MS: u64 = 15_000;

/// Writes per second of the smallest service that is known.
const DEFAULT_WRITES_PER_S: f64 = 400.0;

impl Gateway {
    /// Reads all sections, and returns `None` if a key is missing or has a fault.
    pub(crate) fn read(root: &Section<'_>, faults: &mut Vec<Fault>) -> Option<Gateway> {
        root.check_keys(&[key::GATEWAY_ROOT, key::GATEWAY_SECTIONS], faults);
        let vm = root.identifier("vm", faults);
        let centre = root.identifier("centre", faults);
        let listen = root.child("listen", faults);
        listen.check_keys(&[key::GATEWAY_LISTEN], faults);
        let clients = listen.socket("clients", faults);
        let admin = listen.socket("admin", faults);
        let control = listen.socket("control", faults);
        if clients.is_some() && clients == admin {
            listen.push("admin", Kind::Taken, faults);
        }
        if control.is_some() && (control == admin || control == clients) {
            listen.push("control", Kind::Taken, faults);
        }
        let peer = root.child("peer", faults);
        peer.check_keys(&[key::GATEWAY_PEER], faults);
        let seeds = seeds(&peer, faults);
        let platform = root.child("platform", faults);
        platform.check_keys(&[key::GATEWAY_PLATFORM], faults);
        let store = platform.socket("store", faults);
        let writes = platform.decimal_or("writes_per_s", DEFAULT_WRITES_PER_S, 1.0, 1e6, faults);
        let limit = root.child("limit", faults);
        limit.check_keys(&[key::GATEWAY_LIMIT], faults);
        let descriptors = limit.required_number("descriptors", 256, 1 << 20, faults);
        let cores = limit.decimal_or("cores", 1.0, 0.001, 10_000.0, faults);
        let memory = limit.number("memory_mb", 16, 1 << 20, faults);
        let body_stall = limit.number("body_stall_ms", 1_000, 600_000, faults);
        let body_rate = limit.number("body_bytes_per_s", 1, 1 << 30, faults);
        let response_stall = limit.number("response_stall_ms", 1_000, 600_000, faults);
        let notice = limit.required_number("stop_notice_ms", 0, 60_000, faults);
        let grace = limit.required_number("stop_grace_ms", 1_000, 3_600_000, faults);
        let retry = root.child("retry", faults);
        retry.check_keys(&[key::GATEWAY_RETRY], faults);
        let ratio = retry.decimal("ratio", 0.0, 10.0, faults);
        let slack = retry.decimal("slack", 0.0, 1e6, faults);
        let processes = retry.required_number("processes", 1, 100_000, faults);
        let endpoints = root.child("endpoints", faults);
        endpoints.check_keys(&[key::GATEWAY_ENDPOINTS], faults);
        let spread_stale_loads = endpoints.flag_or("spread_stale_loads", false, faults);
        let share_failures = endpoints.flag_or("share_failures", false, faults);
        let learn_speed = endpoints.flag_or("learn_speed", false, faults);
        let slow_start = slow_start(&root.child("slow_start", faults), faults);
        let abandon_silent = endpoints.flag_or("abandon_silent", false, faults);
        Some(Gateway {
            vm: vm?,
            centre: centre?,
            clients: clients?,
            admin: admin?,
            control: control?,
            seeds,
            store: store?,
            writes_per_s: writes?,
            // The range that was checked fits.
            capacity: (cores? * 1_000.0) as u32,
            connections: usize::try_from(descriptors? / DESCRIPTORS_PER_CLIENT).ok()?,
            memory: memory.and_then(|megabytes| usize::try_from(megabytes * MEGABYTE).ok()),
            body_stall: Duration::from_millis(body_stall.unwrap_or(DEFAULT_BODY_STALL_MS)),
            body_rate: u32::try_from(body_rate.unwrap_or(DEFAULT_BODY_BYTES_PER_S)).ok()?,
            response_stall: Duration::from_millis(
                response_stall.unwrap_or(DEFAULT_RESPONSE_STALL_MS),
            ),
            retry_ratio: ratio?,
            retry_slack: slack?,
            processes: u32::try_from(processes?).ok()?,
            spread_stale_loads: spread_stale_loads?,
            share_failures: share_failures?,
            learn_speed: learn_speed?,
            slow_start,
            abandon_silent: abandon_silent?,
            stop_notice: Duration::from_millis(notice?),
            stop_grace: Duration::from_millis(grace?),
        })
    }
}

/// Reads the bounds of a slow start, which are missing where endpoints have none.
fn slow_start(section: &Section<'_>, faults: &mut Vec<Fault>) -> Option<SlowStart> {
    if !section.is_present() {
        return None;
    }
    section.check_keys(&[key::GATEWAY_SLOW_START], faults);
    let over = section.decimal("over", 0.0, 1_000.0, faults);
    let slack = section.decimal("slack", 0.0, 1e6, faults);
    Some(SlowStart { over: over?, slack: slack? })
}

/// Reads the list of seeds, leaving out those that have a fault.
fn seeds(peer: &Section<'_>, faults: &mut Vec<Fault>) -> Vec<SocketAddr> {
    let texts = peer.strings("seeds", "a list of addresses in quotes", faults);
    let mut seeds = Vec::new();
    for text in texts {
        match text.parse() {
            Ok(seed) => seeds.push(seed),
            Err(_) => peer.push("seeds", Kind::Socket, faults),
        }
    }
    seeds
}
