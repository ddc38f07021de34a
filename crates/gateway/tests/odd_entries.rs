//! Tests of entries that other writers left in the store beside sound ones.

#[path = "support/entries.rs"]
mod entries;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt;
use gateway::Peers;
use gateway::Routing;
use platform::Client;
use platform::Codec;
use services::Store;
use services::store::Commit;
use services::store::Outcome;
use services::store::Put;
use standins::key_value;
use standins::key_value::Options;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::entries::member;
use crate::entries::table;

/// Bound for a change to be in force, of the strictest known deployment.
const CHANGE_BOUND: Duration = Duration::from_secs(2);

/// Values of a field that are of another type, or out of any range.
fn odd_values() -> Vec<String> {
    let nested = |depth: usize| format!("{}1{}", "[".repeat(depth), "]".repeat(depth));
    let objects = |depth: usize| format!("{}1{}", r#"{"a":"#.repeat(depth), "}".repeat(depth));
    vec![
        "null".to_owned(),
        "true".to_owned(),
        "-1".to_owned(),
        "1.5".to_owned(),
        "1e999".to_owned(),
        "-1e999".to_owned(),
        "1e30".to_owned(),
        "18446744073709551615".to_owned(),
        "18446744073709551616".to_owned(),
        "9".repeat(5_000),
        r#""""#.to_owned(),
        r#""10.0.0.9:0""#.to_owned(),
        r#""10.0.0.9:65536""#.to_owned(),
        r#""10.0.0.9:99999999999999999999""#.to_owned(),
        r#""10.0.0.999:80""#.to_owned(),
        r#""\ud800""#.to_owned(),
        format!(r#""{}""#, "x".repeat(100_000)),
        "[]".to_owned(),
        "{}".to_owned(),
        nested(100),
        nested(200_000),
        objects(100_000),
        "[[[".to_owned(),
        "\u{0}".to_owned(),
    ]
}

/// Returns objects in which one field after the other has each odd value or is missing; the fields
/// are given with sound values.
fn odd_objects(fields: &[(&str, &str)]) -> Vec<Vec<u8>> {
    let object = |skipped: usize, other: Option<&str>| {
        let rows = fields.iter().enumerate().filter_map(|(index, (name, value))| {
            let value = if index == skipped { other? } else { value };
            Some(format!(r#""{name}": {value}"#))
        });
        format!("{{{}}}", rows.collect::<Vec<String>>().join(", ")).into_bytes()
    };
    let mut objects: Vec<Vec<u8>> = Vec::new();
    for index in 0..fields.len() {
        objects.push(object(index, None));
        objects.extend(odd_values().iter().map(|value| object(index, Some(value))));
    }
    objects.extend(odd_values().into_iter().map(String::into_bytes));
    objects.push(vec![0xff, 0xfe, 0x00]);
    objects.push(Vec::new());
    objects
}

async fn write(client: &Client, puts: Vec<Put>) {
    for puts in puts.chunks(16) {
        let written = client.commit(&Commit { puts: puts.to_vec(), ..Commit::default() }).await;
        assert!(matches!(written, Ok(Outcome::Written(_))), "{written:?}");
    }
}

fn put(key: String, value: Vec<u8>) -> Put {
    Put { key, value, lease: None }
}

fn announcement(id: &str) -> Put {
    let value = format!(
        r#"{{"service": "s", "address": "10.0.0.1:80", "zone": "a", "version": "v1", "slots": 8,
            "state": "ready", "born": 1, "seq": 1, "id": "{id}"}}"#
    );
    put(format!("servers/{id}"), value.into_bytes())
}

async fn wait_until(what: &str, is_done: impl Fn() -> bool) {
    let start = Instant::now();
    while !is_done() {
        assert!(start.elapsed() < CHANGE_BOUND, "not in time: {what}");
        sleep(Duration::from_millis(10)).await;
    }
}

fn is_known(routing: &Routing, id: &str) -> bool {
    routing.endpoints().iter().any(|endpoint| &*endpoint.id == id)
}

/// Runs a gateway before a store that has odd entries, and checks that it reads the sound ones
/// beside them, also after the odd ones have changed.
async fn follow_beside(odd: Vec<Put>) {
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = key_value::start(listen, Options::default()).expect("a store");
    let client = Client::new(server.addr());
    write(&client, vec![put("op/config".to_owned(), table(3).value), announcement("a")]).await;
    write(&client, odd.clone()).await;
    let own = member("g1", SocketAddr::from(([127, 0, 0, 1], 1)));
    let peers = Peers::new(Arc::default(), own, 1, Vec::new());
    let cancel = CancellationToken::new();
    let scenario = async {
        let routing = peers.routing();
        wait_until("first listing", || is_known(routing, "a") && routing.table().version() == 3)
            .await;
        let ports = routing.endpoints().into_iter().map(|endpoint| endpoint.address.port());
        assert!(ports.into_iter().all(|port| port > 0), "an endpoint without a port is known");
        // They come once more as changes, with a sound one after them.
        write(&client, odd).await;
        write(&client, vec![announcement("z")]).await;
        wait_until("a change", || is_known(routing, "z")).await;
        write(&client, vec![put("op/config".to_owned(), table(4).value)]).await;
        wait_until("a configuration", || routing.table().version() == 4).await;
        cancel.cancel();
    };
    tokio::join!(
        gateway::follow(&Codec, &client, &peers, cancel.clone()).boxed_local(),
        gateway::register(&client, &peers, cancel.clone()).boxed_local(),
        scenario.boxed_local(),
    );
}

/// Returns odd entries under a prefix.
fn odd(prefix: &str, fields: &[(&str, &str)]) -> Vec<Put> {
    let objects = odd_objects(fields).into_iter().enumerate();
    objects.map(|(index, value)| put(format!("{prefix}o{index:03}"), value)).collect()
}

#[ntex::test]
async fn an_odd_announcement_stops_a_gateway_or_hides_sound_ones() {
    let fields = [
        ("service", r#""s""#),
        ("address", r#""10.0.0.2:80""#),
        ("zone", r#""a""#),
        ("version", r#""v1""#),
        ("slots", "8"),
        ("state", r#""ready""#),
        ("cold_left_ms", "0"),
        ("born", "1"),
        ("seq", "1"),
        ("extra", "1"),
    ];
    let mut entries = odd("servers/", &fields);
    let sound = announcement("a").value;
    entries.push(put("servers/".to_owned(), sound.clone()));
    entries.push(put(format!("servers/{}", "k".repeat(180)), sound.clone()));
    entries.push(put("servers/q/\u{1}\n/é".to_owned(), sound));
    follow_beside(entries).await;
}

#[ntex::test]
async fn an_odd_registration_stops_a_gateway_or_hides_sound_endpoints() {
    let fields = [
        ("vm", r#""g2""#),
        ("centre", r#""a""#),
        ("address", r#""127.0.0.1:1""#),
        ("capacity", "1000"),
        ("format", "1"),
    ];
    let mut entries = odd("lycheeknot/members/", &fields);
    entries.extend(odd("lycheeknot/gateways/", &[]));
    entries.extend(odd("lycheeknot/quarantine/", &[("parts", "[3, 9]"), ("starts", "[1, 2]")]));
    follow_beside(entries).await;
}

#[ntex::test]
async fn an_odd_segment_of_streams_stops_a_gateway_or_hides_sound_endpoints() {
    let mut entries = odd("lycheeknot-streams/g9/ab.0/", &[("rows", "[]")]);
    entries.extend(odd("lycheeknot-streams/g8/", &[]));
    // A length that no memory holds.
    let long = vec![0xff, 0xff, 0xff, 0xff, 0x0f];
    entries.push(put("lycheeknot-streams/g9/ab.0/versions".to_owned(), long.clone()));
    entries.push(put("lycheeknot-streams/g9/ab.99999999999999999999/1".to_owned(), long.clone()));
    entries.push(put("lycheeknot-streams/".to_owned(), long));
    follow_beside(entries).await;
}
