//! Tests of loads of endpoints that other gateways have reported.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use gateway::Member;
use gateway::Peers;
use gateway::Routing;
use policy::exchange;
use policy::exchange::Report;
use policy::exchange::Sheet;
use policy::rate_limit;
use rpc::view::Source;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::address::free_address;
use crate::support::client::Client;
use crate::support::endpoint::Endpoint;
use crate::support::fixture::Fixture;
use crate::support::script::REQUEST_HEADERS;
use crate::support::script::full_response;

/// Time in which a report reaches another gateway, several times over.
const REPORTED: Duration = Duration::from_millis(1_500);

pub fn member(vm: &str, capacity: u32) -> Member {
    let (vm, centre) = (vm.to_owned(), "a".to_owned());
    Member { vm, centre, address: free_address(), capacity, format: Member::FORMAT }
}

/// Returns what the gateway at this place of the members knows.
pub fn peers(routing: &Arc<Routing>, members: &[Member], index: usize) -> Arc<Peers> {
    let peers = Peers::new(Arc::clone(routing), members[index].clone(), 1, Vec::new());
    let mut others = members.to_vec();
    others.remove(index);
    peers.set_registered(others.iter().map(|member| member.address).collect(), others);
    Arc::new(peers)
}

/// Runs a gateway's exchange of loads until cancelled.
pub fn share_loads(peers: &Arc<Peers>, listen: SocketAddr, cancel: &CancellationToken) {
    let (peers, cancel) = (Arc::clone(peers), cancel.clone());
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(async {
            let source = Arc::clone(&peers);
            let (served, ()) = tokio::join!(
                rpc::view::serve(listen, source, cancel.clone()),
                gateway::share_loads(&peers, cancel.clone()),
            );
            served.expect("a server of peers");
        });
    });
}

/// Lets a gateway that isn't there report requests at an endpoint to another gateway until
/// cancelled.
fn report(to: &Arc<Peers>, vm: &str, endpoint: &str, cancel: &CancellationToken) {
    let (to, cancel, vm) = (Arc::clone(to), cancel.clone(), vm.to_owned());
    let mut own = Sheet::default();
    own.add(exchange::fingerprint(endpoint), 50);
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(cancel.run_until_cancelled(async {
            for sequence in 1.. {
                let report = Report {
                    vm: vm.clone(),
                    incarnation: 1,
                    sequence,
                    own: own.clone(),
                    members: Sheet::default(),
                    gateways: 1,
                };
                let usage = rate_limit::Report::default();
                to.report(report, usage).expect("a report that is in order");
                sleep(Duration::from_millis(100)).await;
            }
        }));
    });
}

/// Sends requests through a gateway, and returns how many of them each endpoint got.
fn send(fixture: &Fixture, endpoints: &[Endpoint; 2]) -> [usize; 2] {
    for id in 0..10 {
        let head = REQUEST_HEADERS.replace("r1", &format!("r{id}"));
        let request = format!("GET /look/1 HTTP/1.1\r\n{head}\r\n");
        Client::connect(fixture.address).exchange(&request);
    }
    [endpoints[0].seen().len(), endpoints[1].seen().len()]
}

fn endpoints() -> [Endpoint; 2] {
    ["e1", "e2"].map(|id| Endpoint::start(id, vec![full_response("200 OK", "found")]))
}

/// Two gateways of the data centre know of each other; `own` is one of them, to whose hub a third
/// reports that `e1` is busy.
fn requests_avoid_the_reported_endpoint(members: &[Member], hub: usize, own: usize) {
    let endpoints = endpoints();
    let fixture = Fixture::new("plain", &endpoints.iter().collect::<Vec<_>>());
    let cancel = CancellationToken::new();
    let _cancel_on_drop = cancel.clone().drop_guard();
    let at_hub = peers(&Arc::default(), members, hub);
    let at_own = peers(&fixture.routing, members, own);
    share_loads(&at_hub, members[hub].address, &cancel);
    share_loads(&at_own, members[own].address, &cancel);
    report(&at_hub, "another", "e1", &cancel);
    thread::sleep(REPORTED);
    assert_eq!(send(&fixture, &endpoints), [0, 10]);
}

#[test]
fn a_member_learns_from_its_relay_what_others_have_sent() {
    let members = [member("g1", 500), member("g2", 90), member("g3", 90)];
    requests_avoid_the_reported_endpoint(&members, 0, 1);
}

#[test]
fn two_gateways_alone_in_their_data_centre_exchange_their_sums() {
    for (hub, own) in [(0, 1), (1, 0)] {
        let members = [member("g1", 500), member("g2", 90)];
        requests_avoid_the_reported_endpoint(&members, hub, own);
    }
}

#[test]
fn a_member_whose_relay_is_gone_goes_on_with_the_standby() {
    // Nobody listens at the large VM, so the larger of the others takes over.
    let members = [member("g1", 500), member("g2", 300), member("g3", 90)];
    requests_avoid_the_reported_endpoint(&members, 1, 2);
}

#[test]
fn without_reports_requests_go_to_both_endpoints() {
    let endpoints = endpoints();
    let fixture = Fixture::new("plain", &endpoints.iter().collect::<Vec<_>>());
    let sent = send(&fixture, &endpoints);
    assert!(sent.iter().all(|count| *count > 0), "{sent:?}");
}
