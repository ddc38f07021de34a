//! The VM list, which shows changes late.
//!
//! Each reader, named by the query parameter `reader`, sees a change after a
//! common lag and a further lag that is derived from the seed, the reader's
//! name and the list's version. Readers therefore disagree for a while.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use ntex::http::header;
use ntex::util::Bytes;
use ntex::web;
use ntex::web::HttpRequest;
use ntex::web::HttpResponse;
use ntex::web::ServiceConfig;
use ntex::web::types::Query;
use ntex::web::types::State;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::json;
use crate::server::Server;

/// The kind of process that a VM runs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry process.
    Entry,
    /// An agent beside an endpoint.
    Agent,
}

/// The lifecycle stage of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The VM runs.
    Live,
    /// The VM will be removed soon.
    Leaving,
}

/// A VM in the list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Vm {
    /// Name of the VM.
    pub vm: String,
    /// Kind of process that it runs.
    pub role: Role,
    /// Data centre of the VM.
    pub centre: String,
    /// Region of the VM.
    pub region: String,
    /// Address for requests.
    pub data: SocketAddr,
    /// Address for control messages.
    pub control: SocketAddr,
    /// Lifecycle stage of the VM.
    pub state: Stage,
}

/// A version of the VM list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct List {
    /// Version number, which grows by one with each change; the initial list
    /// has 1.
    pub version: u64,
    /// VMs in the list.
    pub vms: Vec<Vm>,
}

/// Counters of the reads since the start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct Counts {
    /// Reads of the list.
    pub reads: u64,
    /// Reads answered with 304 because the reader had the newest list it may
    /// see.
    pub unchanged: u64,
}

/// Configuration of the VM list.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Time after which a change becomes visible at the earliest.
    pub lag: Duration,
    /// Upper bound of the further lag, which differs by reader.
    pub max_reader_lag: Duration,
    /// Seed from which the further lags are derived.
    pub seed: u64,
    /// The initial list, which is visible at once.
    pub initial_vms: Vec<Vm>,
}

/// The VM list, shared by its routes.
#[derive(Debug)]
struct Vms {
    options: Options,
    inner: Mutex<Inner>,
}

/// The list's mutable state.
#[derive(Debug)]
struct Inner {
    initial: Arc<List>,
    /// All changes, oldest first.
    changes: Vec<Change>,
    counts: Counts,
}

/// A replacement of the list.
#[derive(Debug)]
struct Change {
    made_at: Instant,
    list: Arc<List>,
}

/// The query parameters of a read.
#[derive(Deserialize)]
struct Reader {
    #[serde(default)]
    reader: String,
}

/// Starts the VM list on `listen`.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn start(listen: SocketAddr, options: Options) -> io::Result<Server> {
    let initial = Arc::new(List { version: 1, vms: options.initial_vms.clone() });
    let inner = Inner { initial, changes: Vec::new(), counts: Counts::default() };
    let vms = Arc::new(Vms { options, inner: Mutex::new(inner) });
    Server::start(listen, move |config| configure(config, &vms))
}

/// Adds the routes of the VM list and of its controls under `/standin`.
fn configure(config: &mut ServiceConfig, vms: &Arc<Vms>) {
    config
        .state(Arc::clone(vms))
        .route("/vms", web::get().to(list))
        .route("/standin/vms", web::put().to(replace))
        .route("/standin/counts", web::get().to(counts));
}

async fn list(vms: State<Arc<Vms>>, request: HttpRequest, reader: Query<Reader>) -> HttpResponse {
    let list = vms.list_for(&reader.reader);
    let tag = format!("\"{}\"", list.version);
    let known = request.headers().get(header::IF_NONE_MATCH);
    let unchanged = known.is_some_and(|known| known.as_bytes() == tag.as_bytes());
    let mut inner = vms.inner.lock();
    inner.counts.reads += 1;
    if unchanged {
        inner.counts.unchanged += 1;
        return HttpResponse::NotModified().header(header::ETAG, tag).finish();
    }
    HttpResponse::Ok().header(header::ETAG, tag).json(&*list)
}

async fn replace(vms: State<Arc<Vms>>, body: Bytes) -> HttpResponse {
    match json::parse(&body) {
        Ok(vm_list) => {
            vms.inner.lock().replace(vm_list);
            HttpResponse::Ok().finish()
        }
        Err(response) => response,
    }
}

async fn counts(vms: State<Arc<Vms>>) -> HttpResponse {
    json::ok(&vms.inner.lock().counts)
}

impl Vms {
    /// Returns the newest list that `reader` may see.
    fn list_for(&self, reader: &str) -> Arc<List> {
        let inner = self.inner.lock();
        let visible = inner.changes.iter().rev().find(|change| {
            change.made_at.elapsed()
                >= self.options.lag + self.reader_lag(reader, change.list.version)
        });
        Arc::clone(visible.map_or(&inner.initial, |change| &change.list))
    }

    /// Returns the further lag with which `reader` sees `version`.
    fn reader_lag(&self, reader: &str, version: u64) -> Duration {
        let hash = xxh3_64_with_seed(reader.as_bytes(), self.options.seed ^ version);
        let fraction = hash as f64 / u64::MAX as f64;
        self.options.max_reader_lag.mul_f64(fraction)
    }
}

impl Inner {
    /// Makes `vms` the newest list, with the next version number.
    fn replace(&mut self, vms: Vec<Vm>) {
        let version = self.changes.last().map_or(1, |change| change.list.version) + 1;
        let list = Arc::new(List { version, vms });
        self.changes.push(Change { made_at: Instant::now(), list });
    }
}
