//! Tests the weight store's downloads and its limit on streams.

#[allow(dead_code)]
mod client;

use expect_test::expect;
use ntex::http::Method;
use ntex::http::header;
use standins::server::Server;
use standins::weights;
use standins::weights::Options;

use crate::client::LOOPBACK;
use crate::client::get;
use crate::client::send;

/// Starts a weight store that serves one stream at a time.
fn weight_store(bytes_per_second: u64) -> Server {
    let options = Options { bytes: 1000, bytes_per_second, streams: 1 };
    weights::start(LOOPBACK, options).expect("the stand-in starts")
}

#[ntex::test]
async fn weights_are_sent_completely() {
    let weight_store = weight_store(1_000_000);
    let answer = get(&weight_store, "/weights/small").await;
    assert_eq!(answer.len(), "200 ".len() + 1000);
    expect![[r#"200 {"streams":0,"max_streams":1,"served":1,"refused":0,"bytes":1000}"#]]
        .assert_eq(&get(&weight_store, "/standin/counts").await);
}

#[ntex::test]
async fn streams_beyond_the_limit_are_refused() {
    let weight_store = weight_store(10);
    let _first = send(&weight_store, Method::GET, "/weights/small", "").await;
    let refused = send(&weight_store, Method::GET, "/weights/small", "").await;
    assert_eq!(refused.status().as_u16(), 429);
    assert_eq!(refused.headers().get(header::RETRY_AFTER).unwrap(), "100");
}
