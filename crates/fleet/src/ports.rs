//! Reservation of free ports.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use crate::Error;

/// Reserves free ports until it is dropped. The VM list has to contain the
/// addresses before any process of the system runs, so the processes can't choose
/// their ports.
///
/// A port is reserved by a socket that is bound but doesn't listen. A process that
/// sets `SO_REUSEADDR` can listen there each time it is started; no other deployment
/// gets the port while that process isn't running.
#[derive(Debug, Default)]
pub struct Ports {
    held: Vec<Socket>,
}

impl Ports {
    /// Reserves a free port on an IP address and returns both.
    ///
    /// # Errors
    ///
    /// [`Error::Port`] if the IP address doesn't belong to this machine or no port is free.
    pub fn reserve(&mut self, address: IpAddr) -> Result<SocketAddr, Error> {
        let failure = |source| Error::Port { address, source };
        let socket = bind(address).map_err(failure)?;
        let reserved = socket.local_addr().map_err(failure)?;
        let reserved = reserved.as_socket().ok_or_else(|| failure(no_ip_address()))?;
        self.held.push(socket);
        Ok(reserved)
    }
}

fn bind(address: IpAddr) -> io::Result<Socket> {
    let address = SocketAddr::new(address, 0);
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

fn no_ip_address() -> io::Error {
    io::Error::new(io::ErrorKind::AddrNotAvailable, "the socket has no IP address")
}
