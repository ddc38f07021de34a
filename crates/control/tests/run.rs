//! Two processes on loopback during an outage of the key-value service.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::process;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;

use board::Board;
use board::Identity;
use config::Document;
use control::Context;
use control::Stamps;
use platform::Client;
use rpc::Key;
use rpc::Keys;
use tokio_util::sync::CancellationToken;
use wire::member::Role;

/// Returns an address that nothing listens on, on a loopback network of this test run.
fn free_address() -> SocketAddr {
    let run = process::id().to_le_bytes();
    let address = Ipv4Addr::from([127, 64 | run[1], run[0], 1]);
    TcpListener::bind((address, 0)).unwrap().local_addr().unwrap()
}

/// Starts a VM list service that lists two VMs, and returns its address.
fn serve_vm_list(a: SocketAddr, b: SocketAddr) -> SocketAddr {
    let vm = |name: &str, control: SocketAddr| {
        format!(
            r#"{{"vm":"{name}","role":"entry","centre":"c","region":"r","data":"{control}","control":"{control}","state":"live"}}"#
        )
    };
    let body = format!(r#"{{"version":1,"vms":[{},{}]}}"#, vm("a", a), vm("b", b));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let _ = stream.read(&mut [0; 4096]);
            let length = body.len();
            let head = format!("connection: close\r\ncontent-length: {length}");
            let _ = write!(stream, "HTTP/1.1 200 OK\r\n{head}\r\n\r\n{body}");
        }
    });
    address
}

fn board(vm: &str, control: SocketAddr) -> Arc<Board> {
    Arc::new(Board::new(Identity {
        vm: vm.to_owned(),
        incarnation: 1,
        role: Role::Entry,
        centre: "c".to_owned(),
        region: "r".to_owned(),
        data: control,
        control,
    }))
}

#[ntex::test]
async fn a_new_process_pulls_the_configuration_from_a_peer_during_an_outage_of_the_service() {
    let (a, b) = (free_address(), free_address());
    let vms = serve_vm_list(a, b);
    let cancel = CancellationToken::new();
    let boards = [board("a", a), board("b", b)];
    boards[0].apply(Document { revision: 5, ..Document::default() });
    let mut tasks = Vec::new();
    for (board, listen) in boards.iter().zip([a, b]) {
        let unused = free_address();
        let context = Context {
            board: Arc::clone(board),
            cluster: "test".to_owned(),
            listen,
            keys: Keys::new(Key::new("secret").unwrap()),
            store: Arc::new(move || Rc::new(Client::new(unused))),
            vms: format!("http://{vms}"),
            stamps: Stamps::default(),
        };
        tasks.push(ntex::rt::spawn(control::run(context, cancel.clone())));
    }
    let mut revisions = boards[1].revisions();
    revisions.wait_for(|revision| *revision == 5).await.unwrap();
    let known = boards[1].with_roster(|roster| roster.member("a").map(|a| a.incarnation));
    assert_eq!(known, Some(1));
    cancel.cancel();
    for task in tasks {
        assert_eq!(task.await.unwrap(), Ok(()));
    }
}
