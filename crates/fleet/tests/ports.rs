//! Tests that reserved ports stay reserved while processes stop and start.

use std::io::ErrorKind;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;

use fleet::Ports;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// The loopback address on which ports are reserved.
const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Binds the port without `SO_REUSEADDR`, as an unrelated process does, and returns the error.
fn foreign_bind(address: SocketAddr) -> Result<(), ErrorKind> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&address.into()).map_err(|error| error.kind())
}

/// The port of a killed agent was once assigned to the control server of another
/// deployment, which answered requests to the agent with status 403.
#[test]
fn a_port_stays_reserved_while_its_process_is_not_running() {
    let mut ports = Ports::default();
    let address = ports.reserve(LOOPBACK).expect("a port");
    for start in 0..3 {
        let process = TcpListener::bind(address);
        assert!(process.is_ok(), "start {start}: {process:?}");
        drop(process);
        assert_eq!(foreign_bind(address), Err(ErrorKind::AddrInUse), "after start {start}");
    }
    drop(ports);
    assert_eq!(foreign_bind(address), Ok(()));
}

/// The system assigns no reserved port to a socket that is bound to port 0.
#[test]
fn the_system_assigns_no_reserved_port() {
    let mut ports = Ports::default();
    let reserved: Vec<SocketAddr> =
        (0..200).map(|_| ports.reserve(LOOPBACK).expect("a port")).collect();
    let others: Vec<TcpListener> =
        (0..200).map(|_| TcpListener::bind((LOOPBACK, 0)).expect("a port")).collect();
    for other in &others {
        let address = other.local_addr().expect("an address");
        assert!(!reserved.contains(&address), "{address} is reserved");
    }
}
