//! A single HTTP/1.1 connection.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::header::CONNECTION;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time;
use tokio::time::Instant;

use crate::Body;
use crate::Failure;
use crate::allowance::Allowance;
use crate::metered::Metered;

/// A request with its complete body.
pub type Request = http::Request<Full<Bytes>>;
/// A response whose body is read as it arrives.
pub type Response = http::Response<Body>;

/// Time limit for opening a connection: several round trips within a region, with some margin
/// for a busy VM. No request is sent when it expires, so another endpoint can be tried, long
/// before TCP would send a lost first packet again (after a second, RFC 6298).
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// TCP user timeout: a peer that acknowledges nothing for this time is considered dead. It
/// allows for two retransmissions, after 200 and 400 ms. Without it a connection to a VM that
/// lost power hangs until the request's own timeout.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(800);

/// Sizes of the buffers of a socket in bytes, as asked for; Linux doubles them. The system would
/// let each grow to several megabytes while a peer sends faster than the process reads, or reads
/// slower than it sends.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
const SEND_BUFFER_BYTES: usize = 128 * 1024;

/// Interval of TCP keepalive probes on a quiet connection. A dead peer is detected within
/// [`UNACKNOWLEDGED_TIMEOUT`] after a probe.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Most bytes of a response that are buffered, and so the longest head. Heads of endpoints take
/// some hundred bytes; hundreds of broken endpoints must not fill the memory of a small VM.
pub(crate) const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Idle timeout of a connection whose peer sends no `Keep-Alive` header.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Longest time for which a connection is kept idle, whatever its peer names. Clocks hold no time
/// that is arbitrarily far away.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);

/// An idle connection is closed this long before the peer would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

/// A connection, which carries one request at a time. Dropping it closes it at once.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: Driver,
    allowance: Arc<Allowance>,
    /// No further request may be sent on it after this time.
    idle_until: Instant,
    is_reused: bool,
    /// Whether the peer allows another request after the latest response.
    can_be_kept: bool,
}

/// The task that reads and writes a connection. Dropping it aborts the task.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    /// Opens a connection to an address.
    ///
    /// # Errors
    ///
    /// [`Failure::Refused`] if nothing listens at the address, [`Failure::Unsent`] if the peer does
    /// not accept the connection in time.
    pub async fn open(address: SocketAddr) -> Result<Connection, Failure> {
        let connect = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = match connect.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(Failure::Refused(error.to_string()));
            }
            Ok(Err(error)) => return Err(Failure::Unsent(error.to_string())),
            Err(_) => return Err(Failure::Unsent(format!("no connection in {CONNECT_TIMEOUT:?}"))),
        };
        set_socket_options(&stream);
        let allowance = Arc::<Allowance>::default();
        let io = TokioIo::new(Metered::new(stream, Arc::clone(&allowance)));
        let handshake = http1::Builder::new().max_buf_size(MAX_BUFFER_BYTES).handshake(io).await;
        let (sender, connection) = handshake.map_err(|error| Failure::Unsent(error.to_string()))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(address:% = address; "connection failed: {error}");
            }
        });
        Ok(Connection {
            address,
            sender,
            driver: Driver(driver),
            allowance,
            idle_until: Instant::now() + DEFAULT_IDLE_TIMEOUT,
            is_reused: false,
            can_be_kept: true,
        })
    }

    /// Returns the address of the peer.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether it has carried an earlier request.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// [`Failure::Unsent`] only if no byte of the request was written, [`Failure::Broken`] in all
    /// other cases.
    pub async fn send(&mut self, request: Request) -> Result<Response, Failure> {
        self.can_be_kept = false;
        self.allowance.renew();
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.allowance.renew();
                self.update_idle_timeout(response.headers());
                Ok(response.map(|body| Body::new(body, Arc::clone(&self.allowance))))
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

    /// Whether a request can be sent on it now.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        now < self.idle_until && self.sender.is_ready() && !self.driver.0.is_finished()
    }

    /// Whether no further request can ever be sent on it.
    pub(crate) fn is_expired(&self, now: Instant) -> bool {
        now >= self.idle_until || self.sender.is_closed() || self.driver.0.is_finished()
    }

    /// Whether it may be kept for another request, once the last response has been read
    /// completely.
    pub(crate) fn can_be_kept(&self) -> bool {
        self.can_be_kept && !self.sender.is_closed()
    }

    /// Marks it as reused by the next request.
    pub(crate) fn set_reused(&mut self) {
        self.is_reused = true;
    }

    /// Sets how long the connection may be idle, as the headers of a response allow.
    fn update_idle_timeout(&mut self, headers: &HeaderMap) {
        let closes = headers.get_all(CONNECTION).iter().any(|value| {
            value.to_str().is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
        });
        let seconds =
            headers.get("keep-alive").and_then(|value| idle_seconds(value.to_str().ok()?));
        let idle = seconds.map_or(DEFAULT_IDLE_TIMEOUT, Duration::from_secs).min(MAX_IDLE_TIMEOUT);
        let idle = idle.saturating_sub(IDLE_MARGIN);
        self.idle_until = Instant::now() + idle;
        self.can_be_kept = !closes;
    }
}

/// Returns the timeout of a `Keep-Alive` header such as `timeout=5, max=100`, in seconds.
fn idle_seconds(text: &str) -> Option<u64> {
    let parts = text.split([',', ';', ' ']);
    let mut times = parts.filter_map(|part| part.trim().strip_prefix("timeout="));
    times.next()?.parse().ok()
}

/// Sets the socket options by which a dead peer is detected early, and the sizes of buffers. If the system lacks one, its
/// default applies.
fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let probes =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    let outcomes = [
        stream.set_nodelay(true),
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)),
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES),
        socket.set_send_buffer_size(SEND_BUFFER_BYTES),
        socket.set_tcp_keepalive(&probes.with_retries(2)),
    ];
    for error in outcomes.into_iter().filter_map(Result::err) {
        log::debug!("setting a socket option failed: {error}");
    }
}

/// Returns the message of an error together with that of its cause.
fn describe(error: &hyper::Error) -> String {
    let source = std::error::Error::source(error);
    source.map_or_else(|| error.to_string(), |source| format!("{error}: {source}"))
}
