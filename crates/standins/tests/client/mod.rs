//! An HTTP client for the tests.

use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;

use futures_util::StreamExt;
use ntex::client::Client;
use ntex::client::ClientResponse;
use ntex::http::Method;
use standins::server::Server;

/// Loopback address with a free port, which the system assigns.
pub const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Size of the largest response body that is read.
const BODY_MAX_BYTES: usize = 64 << 20;

/// Sends a request and returns its answer as `STATUS BODY`.
pub async fn call(server: &Server, method: Method, path: &str, body: &str) -> String {
    let response = send(server, method, path, body).await;
    let status = response.status().as_u16();
    let body = response.body().limit(BODY_MAX_BYTES).await.expect("a whole body");
    format!("{status} {}", std::str::from_utf8(&body).expect("UTF-8"))
}

/// Sends a GET request and returns its answer as `STATUS BODY`.
pub async fn get(server: &Server, path: &str) -> String {
    call(server, Method::GET, path, "").await
}

/// Sends a POST request and returns its answer as `STATUS BODY`.
pub async fn post(server: &Server, path: &str, body: &str) -> String {
    call(server, Method::POST, path, body).await
}

/// Sends a request with a JSON body and returns the response with its body unread.
pub async fn send(server: &Server, method: Method, path: &str, body: &str) -> ClientResponse {
    let request = Client::new().await.request(method, server.url(path));
    request.content_type("application/json").send_body(body.to_owned()).await.expect("an answer")
}

/// Returns the next chunk of a streamed body; `None` at its end or if it breaks
/// off.
pub async fn chunk(response: &mut ClientResponse) -> Option<String> {
    let chunk = response.next().await?.ok()?;
    Some(String::from_utf8(chunk.to_vec()).expect("UTF-8"))
}

/// Sends a POST request on a new connection and returns the connection once the
/// status line has arrived.
pub fn open_stream(server: &Server, path: &str, body: &str) -> TcpStream {
    let mut connection = TcpStream::connect(server.addr()).expect("a connection");
    let length = body.len();
    let head = format!("POST {path} HTTP/1.1\r\nhost: standin\r\ncontent-length: {length}\r\n");
    connection.write_all(format!("{head}\r\n{body}").as_bytes()).expect("a request");
    connection.read_exact(&mut [0; 12]).expect("a status line");
    connection
}
