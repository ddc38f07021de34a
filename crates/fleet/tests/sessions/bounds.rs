//! A load far below capacity is not refused.

use crate::fixture::Fixture;
use crate::load::Load;
use crate::summary::Summary;

/// Number of requests. Those in progress at once are a third of what the engines
/// can run at once.
const REQUESTS: usize = 300;

#[ntex::test]
async fn every_request_far_below_capacity_is_served() {
    let fixture = Fixture::start().await;
    let exchanges = Load::new(&fixture, 41, REQUESTS).run().await;
    let summary = Summary::check(&fixture, &exchanges, None).await;
    assert!(summary.violations.is_empty(), "{:#?}", summary.violations);
    assert_eq!(summary.correct, REQUESTS, "{summary:?}");
}
