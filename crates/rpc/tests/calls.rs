//! Control calls between a client and a server on loopback.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;

use burn::Ledger;
use burn::Sheet;
use burn::count::Outcome;
use config::Document;
use rpc::Difference;
use rpc::Error;
use rpc::Handler;
use rpc::Key;
use rpc::Keys;
use rpc::Packet;
use rpc::Pool;
use rpc::Status;
use tokio_util::sync::CancellationToken;
use wire::Beat;
use wire::Member;
use wire::Stamp;
use wire::id;
use wire::member::Role;
use wire::member::State;

/// Bytes per second that a process may spend on control calls.
const CONTROL_BYTES_PER_SECOND: usize = 2048;

/// Bytes of JSON-RPC, WebSocket, TCP and IP around one packet.
const ENVELOPE_BYTES: usize = 75 + 6 + 40;

/// Services of the largest fleet that the system is designed for.
const SERVICES: usize = 37;
/// Accounts of the largest fleet that the system is designed for.
const ACCOUNTS: usize = 300;
/// A caller of this name is sent the sheet of an entry at which all accounts used all
/// services.
const CROWDED: &str = "crowded";
/// A minute since the Unix epoch.
const MINUTE: u64 = 30_000_000;

/// Answers most calls with their own arguments.
struct Echo;

impl Handler for Echo {
    fn beat(&self, packet: Packet) -> Packet {
        packet
    }

    fn difference(&self, _stamp: Stamp, after: id::Revision) -> Option<Difference> {
        let base = Document { revision: after, ..Document::default() };
        let later = Document { revision: after + 1, ..Document::default() };
        Difference::between(&base, &later)
    }

    fn hashes(&self, _stamp: Stamp, buckets: &[u32]) -> Vec<u32> {
        buckets.to_vec()
    }

    fn described(&self, _stamp: Stamp, hashes: &[u32]) -> Vec<Member> {
        packet("a", hashes.len()).beat.members
    }

    fn document(&self, _stamp: Stamp, after: id::Revision) -> Option<Arc<Document>> {
        let document = Document { revision: 7, ..Document::default() };
        (after < 7).then(|| Arc::new(document))
    }

    fn stamp(&self, stamp: Stamp) -> Stamp {
        stamp
    }

    fn sheet(&self, stamp: Stamp) -> Sheet {
        let mut ledger = Ledger::default();
        for service in 0..if stamp.vm == CROWDED { SERVICES } else { 0 } {
            for account in 0..ACCOUNTS {
                let (service, account) =
                    (format!("service-{service}"), format!("account-{account}"));
                ledger.record(MINUTE, &service, &account, Outcome::Good);
            }
        }
        Sheet::new(stamp, &ledger, MINUTE)
    }

    fn status(&self, stamp: Stamp) -> Status {
        Status { stamp, members: Vec::new() }
    }
}

/// Starts a server with a second accepted key and two operators, and returns its address.
fn start(cancel: &CancellationToken) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let cancel = cancel.clone();
    tokio::spawn(async move {
        let peer = Key::with_accepted("secret", Some("next")).unwrap();
        let keys = Keys::with_operators(peer, ["ana", "boris"]);
        rpc::serve_on(listener, keys, Arc::new(Echo), cancel).await.unwrap();
    });
    address
}

fn stamp(vm: &str) -> Stamp {
    Stamp { vm: vm.to_owned(), incarnation: 1, revision: 0 }
}

/// Returns a packet with copies of one member.
fn packet(vm: &str, members: usize) -> Packet {
    let member = Member {
        vm: vm.to_owned(),
        incarnation: 1,
        version: 1,
        role: Role::Agent,
        centre: "a".to_owned(),
        region: "r".to_owned(),
        data: SocketAddr::from(([127, 0, 0, 1], 1)),
        control: SocketAddr::from(([127, 0, 0, 1], 2)),
        state: State::Live,
        revision: 0,
        holds: Vec::new(),
        load: wire::Load::default(),
    };
    let members = vec![member; members];
    let beat = Beat { stamp: stamp(vm), mean: None, members, known: 1 };
    Packet { beat, view: u32::MAX, suspects: Vec::new() }
}

fn pool(key: &str) -> Pool {
    Pool::new(Key::new(key).unwrap(), 2)
}

#[tokio::test]
async fn calls_are_answered_over_one_connection() {
    let cancel = CancellationToken::new();
    let address = start(&cancel);
    let pool = pool("secret");
    assert_eq!(pool.beat(address, &packet("a", 2)).await, Ok(packet("a", 2)));
    let document = pool.document(address, stamp("a"), 6).await.unwrap();
    assert_eq!(document.map(|document| document.revision), Some(7));
    assert_eq!(pool.document(address, stamp("a"), 7).await, Ok(None));
    assert_eq!(pool.hashes(address, stamp("a"), &[1, 2]).await, Ok(vec![1, 2]));
    assert_eq!(pool.described(address, stamp("a"), &[0; 512]).await.unwrap().len(), 512);
    let difference = pool.difference(address, stamp("a"), 6).await.unwrap().unwrap();
    let base = Document { revision: 6, ..Document::default() };
    assert_eq!(difference.apply(&base).map(|later| later.revision), Some(7));
    let status = pool.status(address, stamp("a")).await.unwrap();
    assert_eq!(status.stamp, stamp("a"));
}

#[tokio::test]
async fn the_longest_sheet_is_answered() {
    let cancel = CancellationToken::new();
    let address = start(&cancel);
    let sheet = pool("secret").sheet(address, stamp(CROWDED)).await.unwrap();
    assert_eq!(sheet.long.len(), SERVICES * ACCOUNTS);
    let bytes = serde_json::to_vec(&sheet).unwrap().len();
    println!("a sheet of {SERVICES} services that {ACCOUNTS} accounts use each: {bytes} bytes");
}

#[tokio::test]
async fn a_peer_without_the_key_is_refused() {
    let cancel = CancellationToken::new();
    let address = start(&cancel);
    let outcome = pool("other").beat(address, &packet("a", 1)).await;
    assert!(matches!(outcome, Err(Error::Unreachable(..))), "{outcome:?}");
    assert!(!format!("{outcome:?}").contains("other"), "the key is shown");
    assert_eq!(format!("{:?}", Key::new("secret").unwrap()), "Key");
}

#[tokio::test]
async fn a_peer_with_the_second_key_of_a_rotation_may_make_every_call() {
    let cancel = CancellationToken::new();
    let address = start(&cancel);
    assert_eq!(pool("next").beat(address, &packet("a", 1)).await, Ok(packet("a", 1)));
}

#[tokio::test]
async fn an_operator_may_only_make_calls_that_read() {
    let cancel = CancellationToken::new();
    let address = start(&cancel);
    for key in ["ana", "boris"] {
        let pool = pool(key);
        assert!(pool.status(address, stamp("a")).await.is_ok());
        assert!(pool.sheet(address, stamp("a")).await.is_ok());
        assert!(pool.stamp(address, stamp("a")).await.is_ok());
        assert!(pool.document(address, stamp("a"), 6).await.is_ok());
        let refused = pool.beat(address, &packet("a", 1)).await;
        assert!(matches!(refused, Err(Error::Refused(..))), "{refused:?}");
        let refused = pool.hashes(address, stamp("a"), &[1]).await;
        assert!(matches!(refused, Err(Error::Refused(..))), "{refused:?}");
        let refused = pool.described(address, stamp("a"), &[1]).await;
        assert!(matches!(refused, Err(Error::Refused(..))), "{refused:?}");
        let refused = pool.difference(address, stamp("a"), 6).await;
        assert!(matches!(refused, Err(Error::Refused(..))), "{refused:?}");
    }
}

#[tokio::test]
async fn invalid_and_oversized_messages_get_errors() {
    let cancel = CancellationToken::new();
    let address = start(&cancel);
    let pool = pool("secret");
    let unnamed = pool.beat(address, &packet("", 1)).await;
    assert!(matches!(unnamed, Err(Error::Refused(..))), "{unnamed:?}");
    let too_many = pool.beat(address, &packet("a", 513)).await;
    assert!(matches!(too_many, Err(Error::Refused(..))), "{too_many:?}");
    let large = pool.beat(address, &packet(&"x".repeat(200), 2000)).await;
    assert!(large.is_err());
    let too_many = pool.described(address, stamp("a"), &[0; 513]).await;
    assert!(matches!(too_many, Err(Error::Refused(..))), "{too_many:?}");
    assert_eq!(pool.beat(address, &packet("a", 1)).await, Ok(packet("a", 1)));
}

#[tokio::test]
async fn a_cancelled_server_cannot_be_reached() {
    let cancel = CancellationToken::new();
    let address = start(&cancel);
    let pool = pool("secret");
    pool.beat(address, &packet("a", 1)).await.unwrap();
    cancel.cancel();
    while pool.beat(address, &packet("a", 1)).await.is_ok() {
        tokio::task::yield_now().await;
    }
    let stopped = pool.beat(address, &packet("a", 1)).await;
    assert!(matches!(stopped, Err(Error::Unreachable(..))), "{stopped:?}");
}

/// `cargo test -p rpc --test calls bytes -- --nocapture` prints the sizes.
#[test]
fn packets_without_other_members_take_less_than_two_thirds_of_the_bytes() {
    let mut full = packet("sofia-dc3-engine-0123", 5);
    for member in &mut full.beat.members {
        member.vm = "sofia-dc3-engine-0123".to_owned();
        member.incarnation = 1_765_000_000_000;
        member.version = 300;
        member.revision = 40_000;
        member.centre = "sofia-3".to_owned();
        member.region = "bulgaria".to_owned();
        member.holds = vec!["motion-large-7".to_owned()];
    }
    full.beat.stamp = Stamp { incarnation: 1_765_000_000_000, ..full.beat.stamp };
    let json = serde_json::to_string(&full).unwrap().len();
    let compact = rpc::encoded_bytes(&full);
    full.beat.members.truncate(1);
    let minimal = rpc::encoded_bytes(&full);
    println!("5 members: {json} bytes in JSON, {compact} compact; the own one only: {minimal}");
    // A process takes part in 2 exchanges a second, its own and a neighbour's.
    let per_second = 4 * (minimal + ENVELOPE_BYTES);
    assert!(
        per_second < CONTROL_BYTES_PER_SECOND * 2 / 3,
        "{per_second} bytes a second before other members"
    );
}
