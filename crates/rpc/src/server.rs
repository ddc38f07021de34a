//! Takes calls of peers.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;

use jsonrpsee::server::BatchRequestConfig;
use jsonrpsee::server::PingConfig;
use jsonrpsee::server::Server;
use jsonrpsee::server::ServerConfig;
use jsonrpsee::server::ServerHandle;
use tokio::time;
use tokio_util::sync::CancellationToken;
use tower::ServiceBuilder;
use tower::layer::util::Identity;

use crate::Error;
use crate::Handler;
use crate::Keys;
use crate::control::ControlServer;
use crate::gate::GateLayer;
use crate::limit;
use crate::methods::Methods;

/// Listens and answers until cancelled.
///
/// # Errors
///
/// [`Error::Listen`].
pub async fn serve(
    listen: SocketAddr,
    keys: Keys,
    handler: Arc<dyn Handler>,
    cancel: CancellationToken,
) -> Result<(), Error> {
    let listener = TcpListener::bind(listen).map_err(|error| failed(listen, &error))?;
    serve_on(listener, keys, handler, cancel).await
}

/// Answers on a socket that already listens, until cancelled.
///
/// # Errors
///
/// [`Error::Listen`].
pub async fn serve_on(
    listener: TcpListener,
    keys: Keys,
    handler: Arc<dyn Handler>,
    cancel: CancellationToken,
) -> Result<(), Error> {
    let listen = listener.local_addr().map_err(|error| failed(unknown(), &error))?;
    listener.set_nonblocking(true).map_err(|error| failed(listen, &error))?;
    let server = Server::builder()
        .set_config(config())
        .set_http_middleware(ServiceBuilder::new().layer(GateLayer { keys }))
        .build_from_tcp(listener)
        .map_err(|error| failed(listen, &error))?;
    run(server.start(Methods { handler }.into_rpc()), cancel).await;
    Ok(())
}

/// A server on an address of its own, for calls that need no key.
pub(crate) fn open(listen: SocketAddr) -> Result<Server<Identity, Identity>, Error> {
    let listener = TcpListener::bind(listen).map_err(|error| failed(listen, &error))?;
    listener.set_nonblocking(true).map_err(|error| failed(listen, &error))?;
    let server = Server::builder().set_config(config()).build_from_tcp(listener);
    server.map_err(|error| failed(listen, &error))
}

/// Lets a server run until cancelled, then stops it.
pub(crate) async fn run(server: ServerHandle, cancel: CancellationToken) {
    cancel.cancelled().await;
    // An error only says that the server has stopped already.
    let _ = server.stop();
    if time::timeout(limit::STOP_TIMEOUT, server.stopped()).await.is_err() {
        log::debug!("peers still held control connections when the server stopped");
    }
}

fn config() -> ServerConfig {
    ServerConfig::builder()
        .ws_only()
        .max_request_body_size(limit::CALL_BYTES)
        .max_response_body_size(limit::ANSWER_BYTES)
        .max_connections(limit::CONNECTIONS)
        .max_subscriptions_per_connection(0)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .set_first_request_timeout(Some(limit::CONNECT_TIMEOUT))
        .enable_ws_ping(PingConfig::new().ping_interval(limit::PING_INTERVAL))
        .set_tcp_no_delay(true)
        .build()
}

fn failed(listen: SocketAddr, error: &std::io::Error) -> Error {
    Error::Listen(listen, error.to_string())
}

fn unknown() -> SocketAddr {
    SocketAddr::from(([0, 0, 0, 0], 0))
}
