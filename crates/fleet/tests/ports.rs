//! Ports that a deployment holds while its processes come and go.

use std::io::ErrorKind;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;

use fleet::Ports;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

const HERE: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// What a process meets that wants the port for itself alone.
fn foreign_bind(address: SocketAddr) -> Result<(), ErrorKind> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&address.into()).map_err(|error| error.kind())
}

/// A killed agent's port once went to the control server of another
/// deployment, which answered calls for the agent with status 403.
#[test]
fn a_port_stays_held_while_the_process_that_listens_there_is_away() {
    let mut ports = Ports::default();
    let address = ports.reserve(HERE).expect("a port");
    for start in 0..3 {
        let process = TcpListener::bind(address);
        assert!(process.is_ok(), "start {start}: {process:?}");
        drop(process);
        assert_eq!(foreign_bind(address), Err(ErrorKind::AddrInUse), "after start {start}");
    }
    drop(ports);
    assert_eq!(foreign_bind(address), Ok(()));
}

/// The system chooses no held port for others, whether they listen or call.
#[test]
fn the_system_hands_out_no_held_port() {
    let mut ports = Ports::default();
    let held: Vec<SocketAddr> = (0..200).map(|_| ports.reserve(HERE).expect("a port")).collect();
    let others: Vec<TcpListener> =
        (0..200).map(|_| TcpListener::bind((HERE, 0)).expect("a port")).collect();
    for other in &others {
        let address = other.local_addr().expect("an address");
        assert!(!held.contains(&address), "{address} is held");
    }
}
