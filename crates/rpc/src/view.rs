//! Calls between gateways: keys of the key-value service that a peer has read, and loads.

mod attestation;
mod client;
mod pledge;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

pub use attestation::Attestation;
pub use client::Client;
pub use client::ask;
use futures_util::future::BoxFuture;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;
pub use pledge::Pledge;
use policy::exchange::Report;
use policy::exchange::Sheet;
use policy::observation;
use policy::origin::Segment;
use policy::quarantine::Digest;
use policy::rate_limit;
use policy::rate_limit::Usage;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use services::feed::Listing;
use services::store::Change;
use tokio_util::sync::CancellationToken;

use crate::Error;
use crate::limit;
use crate::packet;
use crate::server;

/// The version up to which the caller knows the keys under a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Common prefix of the keys.
    pub prefix: String,
    /// The service's version up to which the caller knows them; 0 if it knows none.
    pub version: u64,
}

/// A snapshot of the keys under a prefix, as the called process knows them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Common prefix of the keys.
    pub prefix: String,
    /// The entries, with the service's version up to which they are known.
    pub listing: Listing,
}

/// The answer to a `newer` call.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Whether the called process itself receives changes from the service.
    pub is_current: bool,
    /// Snapshots of the prefixes for which it knows a newer version than the caller.
    pub snapshots: Vec<Snapshot>,
    /// Addresses of other processes that may be called.
    pub peers: Vec<SocketAddr>,
}

/// The answer to a `changes` call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Delta {
    /// The changes after the caller's version, which may be none.
    Changes {
        /// The changes.
        change: Change,
        /// Time since the service last answered the called process, or the process that it
        /// has the keys from.
        age: Duration,
    },
    /// The called process doesn't know what changed since the caller's version.
    Unknown,
    /// The called process itself has lost the service.
    Lost,
}

/// Requests in flight at endpoints, of several gateways together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loads {
    /// The requests by endpoint.
    pub sheet: Sheet,
    /// Number of gateways whose requests they are.
    pub gateways: u32,
}

/// A message in the exchange of loads: a [`Report`] with a [`rate_limit::Report`], or [`Loads`] with
/// [`Usage`]. Older builds read and send only the first fields.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message<T, U> {
    /// The loads.
    pub loads: T,
    /// What the sender knows of crashed endpoints.
    pub crashes: Digest,
    /// Requests at endpoints that limit them.
    pub usage: U,
    /// Streams that the sender replicates.
    pub streams: Segment,
    /// What gateways have observed of endpoints; in the answer to a member, the sum is
    /// [`observation::Report::own`].
    pub observations: observation::Report,
}

impl<T: Serialize, U: Serialize> Message<T, U> {
    /// Encodes a message. Without observations it is one of builds that don't know them.
    fn encode(&self) -> String {
        let Message { loads, crashes, usage, streams, observations } = self;
        if observations.own.is_empty() && observations.members.is_empty() {
            return packet::encode(&(loads, crashes, usage, streams));
        }
        packet::encode(self)
    }
}

impl<T: DeserializeOwned, U: DeserializeOwned + Default> Message<T, U> {
    /// Decodes a message of any build; `None` if that fails.
    fn decode(text: &str) -> Option<Message<T, U>> {
        let streams = Segment::default;
        let observations = observation::Report::default;
        let without_observations = || {
            let (loads, crashes, usage, streams) = packet::decode(text)?;
            Some(Message { loads, crashes, usage, streams, observations: observations() })
        };
        let without_streams = || {
            let (loads, crashes, usage) = packet::decode(text)?;
            let (streams, observations) = (streams(), observations());
            Some(Message { loads, crashes, usage, streams, observations })
        };
        let without_usage = || {
            let (loads, crashes) = packet::decode(text)?;
            let (usage, streams, observations) = (U::default(), streams(), observations());
            Some(Message { loads, crashes, usage, streams, observations })
        };
        let without_crashes = || {
            let loads = packet::decode(text)?;
            Some(Message {
                loads,
                crashes: Digest::default(),
                usage: U::default(),
                streams: streams(),
                observations: observations(),
            })
        };
        let message = packet::decode(text).or_else(without_observations);
        message.or_else(without_streams).or_else(without_usage).or_else(without_crashes)
    }
}

/// Provides the answers that are sent to peers.
pub trait Source: Send + Sync {
    /// Returns what this process knows that is newer than what a peer knows.
    fn newer(&self, known: &[Cursor]) -> Answer;

    /// Returns the changes under a prefix after a version, and waits for the first one no
    /// longer than `wait`.
    fn changes(&self, after: Cursor, wait: Duration) -> BoxFuture<'_, Delta>;

    /// Takes the reports of a gateway that reports to this one; returns the requests of all
    /// others. `None` if the report is not valid.
    fn report(&self, report: Report, usage: rate_limit::Report) -> Option<(Loads, Usage)>;

    /// Takes the reports of a gateway that others report to, and returns this one's. `None` if
    /// the report is not valid.
    fn swap(
        &self,
        report: Report,
        usage: rate_limit::Report,
    ) -> Option<(Report, rate_limit::Report)>;

    /// Records what a gateway that reports to this one has observed; returns what all others have.
    fn report_observations(&self, vm: &str, report: observation::Report) -> observation::Report;

    /// Records what a gateway that others report to has observed; returns what this one has.
    fn swap_observations(&self, vm: &str, report: observation::Report) -> observation::Report;

    /// Learns of crashes that a peer knows.
    fn learn_crashes(&self, crashes: &Digest);

    /// Returns what a peer should know of crashes; `is_new` for one that has just started.
    fn crashes(&self, is_new: bool) -> Digest;

    /// Records streams that a peer replicates.
    fn learn_streams(&self, streams: &Segment);

    /// Records streams that a peer replicates and can't store, so that this process stores them.
    fn adopt_streams(&self, streams: &Segment);

    /// Records streams as [`Source::adopt_streams`] does. Waits until the store has them unless the journal of
    /// this process answers for them; they are not stored if this process can't write to the store either.
    fn persist_streams(&self, streams: &Segment) -> BoxFuture<'_, Pledge>;

    /// Returns the streams that this process replicates.
    fn streams(&self) -> Segment;

    /// Returns those of the streams whose versions this process knows; the versions of `asked` don't
    /// count.
    fn look_up_streams(&self, asked: &Segment) -> Segment;

    /// Returns the same with the name of this process, if it began none of the others.
    fn attest_streams(&self, asked: &Segment) -> Attestation;
}

/// The JSON-RPC interface; messages are encoded as those of control calls.
#[rpc(server, client, namespace = "view")]
pub trait View {
    /// Returns what is newer than an encoded list of [`Cursor`], as an encoded [`Answer`].
    #[method(name = "newer")]
    async fn newer(&self, known: String) -> RpcResult<String>;

    /// Waits for changes after an encoded [`Cursor`], at most for a time in milliseconds;
    /// returns an encoded [`Delta`].
    #[method(name = "changes")]
    async fn changes(&self, after: String, wait_ms: u32) -> RpcResult<String>;

    /// Returns encoded [`Loads`] for the encoded [`Report`] of a member.
    #[method(name = "report")]
    async fn report(&self, report: String) -> RpcResult<String>;

    /// Returns the encoded [`Report`] of the called process for that of the caller.
    #[method(name = "swap")]
    async fn swap(&self, report: String) -> RpcResult<String>;

    /// Takes an encoded [`Segment`] of streams that the caller replicates.
    #[method(name = "replicate")]
    async fn replicate(&self, streams: String) -> RpcResult<()>;

    /// Takes an encoded [`Segment`] of streams that the caller replicates and can't store.
    #[method(name = "adopt")]
    async fn adopt(&self, streams: String) -> RpcResult<()>;

    /// Takes an encoded [`Segment`] of streams that the caller replicates and can't store, and returns
    /// an encoded [`Pledge`].
    #[method(name = "persist")]
    async fn persist(&self, streams: String) -> RpcResult<String>;

    /// Returns an encoded [`Segment`] with those streams of an encoded one whose versions the called
    /// process knows. Builds before `attest` call it.
    #[method(name = "look_up")]
    async fn look_up(&self, asked: String) -> RpcResult<String>;

    /// Returns an encoded [`Attestation`] for the streams of an encoded [`Segment`].
    #[method(name = "attest")]
    async fn attest(&self, asked: String) -> RpcResult<String>;
}

/// Implements the interface with a source.
struct Methods {
    source: Arc<dyn Source>,
}

#[async_trait]
impl ViewServer for Methods {
    async fn newer(&self, known: String) -> RpcResult<String> {
        let known: Option<Vec<Cursor>> = packet::decode(&known);
        let known = known.ok_or_else(|| limit::invalid("the list can't be read"))?;
        if known.len() > limit::MAX_PREFIXES {
            return Err(limit::invalid("the list names too many prefixes"));
        }
        Ok(packet::encode(&self.source.newer(&known)))
    }

    async fn changes(&self, after: String, wait_ms: u32) -> RpcResult<String> {
        let after: Cursor = read(&after)?;
        let wait = Duration::from_millis(u64::from(wait_ms)).min(limit::MAX_WAIT);
        Ok(packet::encode(&self.source.changes(after, wait).await))
    }

    async fn report(&self, report: String) -> RpcResult<String> {
        let (report, usage, observations) = self.read_report(&report)?;
        let (is_new, vm) = (report.is_new(), report.vm.clone());
        let (loads, usage) = self.source.report(report, usage).ok_or_else(invalid_report)?;
        let observations = self.source.report_observations(&vm, observations);
        Ok(self.message(loads, usage, observations, is_new).encode())
    }

    async fn swap(&self, report: String) -> RpcResult<String> {
        let (report, usage, observations) = self.read_report(&report)?;
        let (is_new, vm) = (report.is_new(), report.vm.clone());
        let (loads, usage) = self.source.swap(report, usage).ok_or_else(invalid_report)?;
        let observations = self.source.swap_observations(&vm, observations);
        Ok(self.message(loads, usage, observations, is_new).encode())
    }

    async fn replicate(&self, streams: String) -> RpcResult<()> {
        let streams: Segment = read(&streams)?;
        check_streams(&streams)?;
        self.source.learn_streams(&streams);
        Ok(())
    }

    async fn adopt(&self, streams: String) -> RpcResult<()> {
        let streams: Segment = read(&streams)?;
        check_streams(&streams)?;
        self.source.adopt_streams(&streams);
        Ok(())
    }

    async fn persist(&self, streams: String) -> RpcResult<String> {
        let streams: Segment = read(&streams)?;
        check_streams(&streams)?;
        Ok(packet::encode(&self.source.persist_streams(&streams).await))
    }

    async fn look_up(&self, asked: String) -> RpcResult<String> {
        let asked: Segment = read(&asked)?;
        check_streams(&asked)?;
        Ok(packet::encode(&self.source.look_up_streams(&asked)))
    }

    async fn attest(&self, asked: String) -> RpcResult<String> {
        let asked: Segment = read(&asked)?;
        check_streams(&asked)?;
        Ok(packet::encode(&self.source.attest_streams(&asked)))
    }
}

/// Checks the number of streams that a peer replicates.
fn check_streams(streams: &Segment) -> RpcResult<()> {
    streams.is_valid().then_some(()).ok_or_else(|| limit::invalid("the streams are too many"))
}

/// Decodes an argument.
fn read<T: DeserializeOwned>(text: &str) -> RpcResult<T> {
    packet::decode(text).ok_or_else(|| limit::invalid("the argument can't be read"))
}

impl Methods {
    /// Returns a message with what any peer should know; `is_new` for one that has just started.
    fn message<T, U>(
        &self,
        loads: T,
        usage: U,
        observations: observation::Report,
        is_new: bool,
    ) -> Message<T, U> {
        Message {
            loads,
            crashes: self.source.crashes(is_new),
            usage,
            streams: self.source.streams(),
            observations,
        }
    }

    /// Decodes reports, checks their size, and learns of the crashes that come with them.
    fn read_report(
        &self,
        text: &str,
    ) -> RpcResult<(Report, rate_limit::Report, observation::Report)> {
        let message = Message::<Report, rate_limit::Report>::decode(text);
        let Message { loads: report, crashes, usage, streams, observations } =
            message.ok_or_else(|| limit::invalid("the argument can't be read"))?;
        let rows = report.own.len() + report.members.len();
        let rows = rows.max(usage.own.len() + usage.members.len());
        let rows = rows.max(observations.own.len() + observations.members.len());
        if rows > limit::MAX_ROWS || report.vm.len() > limit::VM_MAX_BYTES {
            return Err(limit::invalid("the report is too long"));
        }
        if !crashes.is_valid() {
            return Err(limit::invalid("the crashes are too many or not in order"));
        }
        if !usage.own.is_valid() || !usage.members.is_valid() {
            return Err(limit::invalid("the rows of limited endpoints are not in order"));
        }
        if !observations.own.is_valid() || !observations.members.is_valid() {
            return Err(limit::invalid("the rows of observations are not in order"));
        }
        check_streams(&streams)?;
        self.source.learn_crashes(&crashes);
        self.source.learn_streams(&streams);
        Ok((report, usage, observations))
    }
}

fn invalid_report() -> ErrorObjectOwned {
    limit::invalid("the report is older than one that is known, or its rows are not in order")
}

/// Listens on an address and answers peers until cancelled.
///
/// # Errors
///
/// [`Error::Listen`] if the address can't be listened on.
pub async fn serve(
    listen: SocketAddr,
    source: Arc<dyn Source>,
    cancel: CancellationToken,
) -> Result<(), Error> {
    let server = server::bind(listen)?;
    server::run(server.start(Methods { source }.into_rpc()), cancel).await;
    Ok(())
}
