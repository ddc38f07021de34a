//! Clients that send large bodies or do not read their responses.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::gateway::MAX_BODY_BYTES;

/// Number of clients that send bodies.
pub const SENDERS: usize = 160;

/// Number of clients that don't read their responses.
pub const SILENT_READERS: usize = 60;

/// One of this many senders completes its body; the others stop short of its end.
const COMPLETE_ONE_IN: usize = 8;

/// Bytes by which a body is stopped short of its end.
const MISSING_BYTES: usize = 1_000;

/// Bytes of a body over the limit that are sent before all clients have sent as many.
const GATHERED_BYTES: usize = MAX_BODY_BYTES - PIECE_BYTES;

/// Bytes at the end of a body that are sent in the smallest chunks.
const SMALL_CHUNKS_BYTES: usize = 8_192;

/// Length of large chunks, and of the pieces of a body.
const PIECE_BYTES: usize = 65_536;

/// Pause between two pieces of a body.
const PIECE_PAUSE: Duration = Duration::from_millis(50);

/// Length of bodies over the limit.
pub const OVERLONG_BYTES: usize = 8 * MAX_BODY_BYTES;

/// Time after which a client that can't send any more is taken to be blocked.
const BLOCKED_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for the response to a request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Receive buffer of a client that doesn't read, in bytes.
const SMALL_RECEIVE_BUFFER_BYTES: u32 = 4_096;

/// How a body is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shape {
    /// With its length, at once.
    Whole,
    /// With its length, in pieces with pauses.
    Pieces,
    /// In large chunks.
    LargeChunks,
    /// In large chunks, and its last part in chunks of one byte.
    SmallChunks,
}

/// The point at which clients wait until all of them have sent the same part of their bodies, or
/// can't.
struct Gathering {
    /// Dropped by each client at that point.
    arrived: mpsc::Sender<()>,
    all_arrived: CancellationToken,
}

/// Connections that stay open until the crowd is dropped.
pub struct Crowd {
    cancel: CancellationToken,
}

impl Crowd {
    /// Lets many clients send bodies of `length` bytes. Returns once each of them has sent what it
    /// sends, is blocked, or is refused.
    pub async fn send(gateway: SocketAddr, shapes: &[Shape], length: usize) -> Crowd {
        let cancel = CancellationToken::new();
        let (settled, mut all_settled) = mpsc::channel::<()>(1);
        let (arrived, mut arrivals) = mpsc::channel::<()>(1);
        let all_arrived = CancellationToken::new();
        for index in 0..SENDERS {
            let shape = shapes[index % shapes.len()];
            // Groups of shapes, so that each shape has clients that complete their bodies.
            let is_complete = (index / shapes.len()).is_multiple_of(COMPLETE_ONE_IN);
            let (cancel, settled) = (cancel.clone(), settled.clone());
            let gathering =
                Gathering { arrived: arrived.clone(), all_arrived: all_arrived.clone() };
            tokio::spawn(async move {
                let Ok(mut stream) = TcpStream::connect(gateway).await else { return };
                let sent_bytes = if is_complete { length } else { length - MISSING_BYTES };
                let _ = send_body(&mut stream, shape, length, sent_bytes, Some(gathering)).await;
                if is_complete {
                    let _ = timeout(RESPONSE_TIMEOUT, read_status(&mut stream)).await;
                }
                drop(settled);
                cancel.cancelled().await;
            });
        }
        drop((settled, arrived));
        arrivals.recv().await;
        all_arrived.cancel();
        all_settled.recv().await;
        Crowd { cancel }
    }

    /// Lets clients send requests one after the other and read no more than the first byte of each
    /// response. One of four requests a stream.
    pub async fn read_nothing(gateway: SocketAddr) -> Crowd {
        let cancel = CancellationToken::new();
        for index in 0..SILENT_READERS {
            let socket = TcpSocket::new_v4().expect("a socket");
            socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER_BYTES).expect("a buffer size");
            let Ok(mut stream) = socket.connect(gateway).await else { continue };
            let path = if index % 4 == 0 { "/once/x" } else { "/v1/x" };
            let head = head(path, "Content-Length: 0");
            let _ = stream.write_all(head.as_bytes()).await;
            let _ = timeout(RESPONSE_TIMEOUT, stream.read(&mut [0])).await;
            let cancel = cancel.clone();
            tokio::spawn(async move {
                cancel.cancelled().await;
                drop(stream);
            });
        }
        Crowd { cancel }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

/// Sends a request with a body of `length` bytes; returns the status of the response.
pub async fn request(gateway: SocketAddr, shape: Shape, length: usize) -> Option<u16> {
    let mut stream = TcpStream::connect(gateway).await.ok()?;
    let _ = send_body(&mut stream, shape, length, length, None).await;
    timeout(RESPONSE_TIMEOUT, read_status(&mut stream)).await.ok()?
}

/// Sends a head that announces `length` bytes, if the shape announces them, and `sent_bytes` of the
/// body. Returns `None` if the connection is closed or blocked. A body over the limit waits at the
/// gathering.
async fn send_body(
    stream: &mut TcpStream,
    shape: Shape,
    length: usize,
    sent_bytes: usize,
    mut gathering: Option<Gathering>,
) -> Option<()> {
    let framing = match shape {
        Shape::Whole | Shape::Pieces => format!("Content-Length: {length}"),
        Shape::LargeChunks | Shape::SmallChunks => "Transfer-Encoding: chunked".to_owned(),
    };
    write(stream, head("/v1/x", &framing).as_bytes()).await?;
    let is_small = shape == Shape::SmallChunks;
    let large_bytes = if is_small { sent_bytes - SMALL_CHUNKS_BYTES } else { sent_bytes };
    let bytes = vec![b'x'; PIECE_BYTES];
    let mut left = large_bytes;
    while left > 0 {
        if large_bytes - left >= GATHERED_BYTES
            && length > MAX_BODY_BYTES
            && let Some(Gathering { arrived, all_arrived }) = gathering.take()
        {
            drop(arrived);
            all_arrived.cancelled().await;
        }
        let piece = &bytes[..left.min(PIECE_BYTES)];
        left -= piece.len();
        match shape {
            Shape::Whole => write(stream, piece).await?,
            Shape::Pieces => {
                write(stream, piece).await?;
                sleep(PIECE_PAUSE).await;
            }
            Shape::LargeChunks | Shape::SmallChunks => {
                write(stream, format!("{:x}\r\n", piece.len()).as_bytes()).await?;
                write(stream, piece).await?;
                write(stream, b"\r\n").await?;
            }
        }
    }
    if is_small {
        write(stream, &b"1\r\nx\r\n".repeat(SMALL_CHUNKS_BYTES)).await?;
    }
    let is_chunked = matches!(shape, Shape::LargeChunks | Shape::SmallChunks);
    if is_chunked && sent_bytes == length {
        write(stream, b"0\r\n\r\n").await?;
    }
    Some(())
}

async fn write(stream: &mut TcpStream, bytes: &[u8]) -> Option<()> {
    timeout(BLOCKED_TIMEOUT, stream.write_all(bytes)).await.ok()?.ok()
}

async fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut start = [0; 12];
    stream.read_exact(&mut start).await.ok()?;
    String::from_utf8_lossy(&start).split(' ').nth(1)?.parse().ok()
}

fn head(path: &str, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: x\r\n\
         Authorization: Bearer k1\r\nX-Deadline-Ms: 60000\r\n{framing}\r\n\r\n"
    )
}
