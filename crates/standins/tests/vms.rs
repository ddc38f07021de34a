//! Tests the VM list and its lag, which differs by reader.

#[allow(dead_code)]
mod client;

use std::time::Duration;

use expect_test::expect;
use ntex::client::Client;
use ntex::http::Method;
use standins::server::Server;
use standins::vms;
use standins::vms::Options;

use crate::client::LOOPBACK;
use crate::client::call;
use crate::client::get;

const ONE_VM: &str = r#"[{"vm":"s1-entry-1","role":"entry","centre":"s1","region":"r1","data":"127.0.0.1:7001","control":"127.0.0.1:7002","state":"live"}]"#;

fn vms(options: Options) -> Server {
    vms::start(LOOPBACK, options).expect("the stand-in starts")
}

#[ntex::test]
async fn lists_the_vms_that_were_put() {
    let vms = vms(Options::default());
    call(&vms, Method::PUT, "/standin/vms", ONE_VM).await;
    expect![[r#"200 {"version":2,"vms":[{"vm":"s1-entry-1","role":"entry","centre":"s1","region":"r1","data":"127.0.0.1:7001","control":"127.0.0.1:7002","state":"live"}]}"#]]
        .assert_eq(&get(&vms, "/vms").await);
    let known = Client::new().await.get(vms.url("/vms")).header("if-none-match", "\"2\"");
    assert_eq!(known.send().await.unwrap().status().as_u16(), 304);
}

#[ntex::test]
async fn readers_see_a_change_at_different_times() {
    let max_reader_lag = Duration::from_secs(100);
    let vms = vms(Options { max_reader_lag, ..Options::default() });
    call(&vms, Method::PUT, "/standin/vms", ONE_VM).await;
    let mut late = 0;
    for reader in 0.. {
        let list = get(&vms, &format!("/vms?reader={reader}")).await;
        if list.contains(r#""version":2"#) {
            break;
        }
        late += 1;
    }
    assert!(late > 0, "all readers saw the change at once");
}

#[ntex::test]
async fn a_change_is_hidden_until_the_lag_has_passed() {
    let vms = vms(Options { lag: Duration::from_secs(1000), ..Options::default() });
    call(&vms, Method::PUT, "/standin/vms", ONE_VM).await;
    expect![[r#"200 {"version":1,"vms":[]}"#]].assert_eq(&get(&vms, "/vms").await);
}
