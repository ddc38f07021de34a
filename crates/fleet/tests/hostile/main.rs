//! A gateway process under clients that nobody controls: it has to live, to stay within the memory
//! and the descriptors of its machine, and to answer ordinary requests.
//!
//! The tests check no times and no share of served requests. The numbers of clients and the bounds
//! are those with which the unchanged code failed ([docs/design/hard-load.md], Part 3).

#[allow(dead_code, reason = "shared with the soak test, which uses more of it")]
#[path = "../soak/behaviour.rs"]
mod behaviour;
mod crowd;
#[allow(dead_code, reason = "shared with the soak test, which uses more of it")]
#[path = "../soak/endpoint.rs"]
mod endpoint;
mod gateway;
#[allow(dead_code, reason = "shared with the soak test, which uses more of it")]
#[path = "../soak/kind.rs"]
mod kind;
#[allow(dead_code, reason = "shared with the soak test, which uses more of it")]
#[path = "../soak/ledger.rs"]
mod ledger;

use tokio::sync::Mutex;

use crate::behaviour::Behaviour;
use crate::crowd::Crowd;
use crate::crowd::OVERLONG_BYTES;
use crate::crowd::Shape;
use crate::gateway::Gateway;
use crate::gateway::MAX_BODY_BYTES;

/// Lets one test run at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Guards against a body that is kept whole for each connection, however many there are.
#[tokio::test]
async fn many_large_bodies_stay_within_memory() {
    let _turn = ONE_AT_A_TIME.lock().await;
    check_bodies("bodies", &[Shape::Whole, Shape::Pieces], MAX_BODY_BYTES).await;
}

/// Guards against chunked bodies that are not counted, since no length announces them, and against
/// a cost per chunk.
#[tokio::test]
async fn many_chunked_bodies_stay_within_memory() {
    let _turn = ONE_AT_A_TIME.lock().await;
    check_bodies("chunks", &[Shape::LargeChunks, Shape::SmallChunks], MAX_BODY_BYTES).await;
}

/// Guards against reading bodies over the limit up to the limit before they are refused.
#[tokio::test]
async fn bodies_over_the_limit_stay_within_memory() {
    let _turn = ONE_AT_A_TIME.lock().await;
    check_bodies("overlong", &[Shape::Whole, Shape::LargeChunks], OVERLONG_BYTES).await;
}

/// Guards against responses that are kept for clients that don't read them.
#[tokio::test]
async fn clients_that_read_nothing_stay_within_memory() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let mut gateway = Gateway::start("silent").await;
    gateway.set_behaviour(Behaviour::Large);
    let crowd = Crowd::read_nothing(gateway.clients).await;
    gateway.set_behaviour(Behaviour::Normal);
    gateway.check("with the crowd").await;
    drop(crowd);
    gateway.check("after the crowd").await;
}

/// Guards against a limit that a single client inside the limits would meet.
#[tokio::test]
async fn a_single_request_of_the_largest_size_is_served() {
    let _turn = ONE_AT_A_TIME.lock().await;
    let mut gateway = Gateway::start("single").await;
    for shape in [Shape::Whole, Shape::Pieces, Shape::LargeChunks, Shape::SmallChunks] {
        let status = crowd::request(gateway.clients, shape, MAX_BODY_BYTES).await;
        assert_eq!(status, Some(200), "{shape:?}");
    }
    gateway.check("after the requests").await;
}

/// Checks a gateway while many clients send bodies, and once they are gone.
async fn check_bodies(name: &str, shapes: &[Shape], length: usize) {
    let mut gateway = Gateway::start(name).await;
    let crowd = Crowd::send(gateway.clients, shapes, length).await;
    gateway.check("with the crowd").await;
    drop(crowd);
    gateway.check("after the crowd").await;
}
