//! The HTTP server that all stand-ins use.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::mpsc;
use std::thread;
use std::thread::JoinHandle;

use ntex::rt::DefaultRuntime;
use ntex::rt::System;
use ntex::web::App;
use ntex::web::HttpServer;
use ntex::web::ServiceConfig;
use ntex::web::types::PayloadConfig;

/// Size of the largest request body that is accepted.
const BODY_MAX_BYTES: usize = 64 << 20;

/// A running HTTP server with threads of its own, stopped when it is dropped.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    system: System,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Starts a server on `listen` with one worker, so that all requests of a
    /// stand-in run on one thread. `routes` adds the routes; it runs on that
    /// worker and may spawn tasks there.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub fn start<F>(listen: SocketAddr, routes: F) -> io::Result<Self>
    where
        F: Fn(&mut ServiceConfig) + Send + Clone + 'static,
    {
        let listener = TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let (sender, receiver) = mpsc::channel();
        let thread = thread::Builder::new().name("standin".into()).spawn(move || {
            if let Err(error) = serve(listener, routes, &sender) {
                log::error!("the stand-in's server ended: {error}");
            }
        })?;
        let system = receiver.recv().map_err(io::Error::other)?;
        Ok(Self { addr, system, thread: Some(thread) })
    }

    /// Returns the address that the server listens on, with the port that was
    /// assigned if `listen` had port 0.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the URL of `path`, which starts with a slash.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.addr)
    }

    /// Stops the server, closes its connections and waits for its thread.
    pub fn stop(self) {}
}

impl Drop for Server {
    fn drop(&mut self) {
        self.system.stop();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Runs the server until it is stopped; sends its system to `started` once it
/// listens.
fn serve<F>(listener: TcpListener, routes: F, started: &mpsc::Sender<System>) -> io::Result<()>
where
    F: Fn(&mut ServiceConfig) + Send + Clone + 'static,
{
    let started = started.clone();
    System::new("standin", DefaultRuntime).run(move || {
        HttpServer::new(async move || {
            App::new().state(PayloadConfig::new(BODY_MAX_BYTES)).configure(routes.clone())
        })
        .workers(1)
        .disable_signals()
        .stop_runtime()
        .listen(listener)?
        .run();
        let _ = started.send(System::current());
        Ok(())
    })
}
