//! One connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::header::CONNECTION;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time;
use tokio::time::Instant;

use crate::Failure;

/// A request with its whole body.
pub type Request = http::Request<Full<Bytes>>;
/// The head of an answer, whose body is read as it comes.
pub type Response = http::Response<Incoming>;

/// How long a connection may take to be made: some round trips of a region with
/// room for a busy VM. Where it is over, nothing was sent, and another endpoint is
/// asked long before a lost first packet would be sent again (RFC 6298: a second).
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after which a peer that confirms nothing counts as gone: two packets that
/// are sent again after 200 and 400 ms. Without it a connection to a VM that lost
/// power hangs until the request's own timeout.
const SILENCE: Duration = Duration::from_millis(800);

/// A quiet connection is probed this often, so that silence is seen within [`SILENCE`].
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// How long an idle connection is kept whose peer names no time.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);

/// An idle connection is given up so long before its peer closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

/// One connection; dropping it closes it at once.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: Driver,
    idle_until: Instant,
    is_reused: bool,
    may_be_kept: bool,
}

/// The task that moves a connection's bytes.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// [`Failure::Unsent`] where the peer refuses or does not answer in time.
    pub async fn open(address: SocketAddr) -> Result<Connection, Failure> {
        let connect = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = match connect.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(Failure::Unsent(error.to_string())),
            Err(_) => return Err(Failure::Unsent(format!("no answer in {CONNECT_TIMEOUT:?}"))),
        };
        prepare(&stream);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| Failure::Unsent(error.to_string()))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(address:% = address; "a connection ended: {error}");
            }
        });
        Ok(Connection {
            address,
            sender,
            driver: Driver(driver),
            idle_until: Instant::now() + IDLE_DEFAULT,
            is_reused: false,
            may_be_kept: true,
        })
    }

    /// Whom it leads to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether it carried an earlier request.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// [`Failure::Unsent`] only where no byte of the request was written.
    pub async fn send(&mut self, request: Request) -> Result<Response, Failure> {
        self.may_be_kept = false;
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.learn_idle_time(response.headers());
                Ok(response)
            }
            Err(mut error) => {
                let cause = describe(error.error());
                match error.take_message() {
                    Some(_) => Err(Failure::Unsent(cause)),
                    None => Err(Failure::Broken(cause)),
                }
            }
        }
    }

    /// Whether another request may be sent on it now.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        now < self.idle_until && self.sender.is_ready() && !self.driver.0.is_finished()
    }

    /// Whether it will never carry another request.
    pub(crate) fn is_spent(&self, now: Instant) -> bool {
        now >= self.idle_until || self.sender.is_closed() || self.driver.0.is_finished()
    }

    /// Whether its peer lets it be kept after the answer that was read from it.
    pub(crate) fn may_be_kept(&self) -> bool {
        self.may_be_kept && !self.sender.is_closed()
    }

    pub(crate) fn set_reused(&mut self) {
        self.is_reused = true;
    }

    fn learn_idle_time(&mut self, headers: &HeaderMap) {
        let closes = headers.get_all(CONNECTION).iter().any(|value| {
            value.to_str().is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
        });
        let seconds =
            headers.get("keep-alive").and_then(|value| idle_seconds(value.to_str().ok()?));
        let idle = seconds.map_or(IDLE_DEFAULT, Duration::from_secs).saturating_sub(IDLE_MARGIN);
        self.idle_until = Instant::now() + idle;
        self.may_be_kept = !closes;
    }
}

/// The seconds of `timeout=5, max=100`.
fn idle_seconds(text: &str) -> Option<u64> {
    let parts = text.split([',', ';', ' ']);
    let mut times = parts.filter_map(|part| part.trim().strip_prefix("timeout="));
    times.next()?.parse().ok()
}

/// Sets what shows a dead peer early. A system that lacks an option keeps its own times.
fn prepare(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL);
    let outcomes = [
        stream.set_nodelay(true),
        socket.set_tcp_user_timeout(Some(SILENCE)),
        socket.set_tcp_keepalive(&probes.with_retries(2)),
    ];
    for error in outcomes.into_iter().filter_map(Result::err) {
        log::debug!("a socket option can't be set: {error}");
    }
}

fn describe(error: &hyper::Error) -> String {
    let source = std::error::Error::source(error);
    source.map_or_else(|| error.to_string(), |source| format!("{error}: {source}"))
}
