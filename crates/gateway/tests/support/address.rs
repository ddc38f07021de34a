//! Addresses at which nothing listens.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// Returns an address at which nothing listens yet.
///
/// It is reserved until the process ends, by a socket that doesn't listen. A test can listen there, and no
/// other one gets the address while that test doesn't: tests run at the same time, and what a gateway
/// sends to an endpoint that has ended would be answered by another test's.
pub fn free_address() -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_reuse_address(true).expect("a socket option");
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(&any.into()).expect("a free port");
    let address = socket.local_addr().expect("an address").as_socket().expect("an IP address");
    Box::leak(Box::new(socket));
    address
}
