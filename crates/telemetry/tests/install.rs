//! Tests of installing the recorder, of which a process can have only one.

use std::time::Duration;

use tokio_util::sync::CancellationToken;

use telemetry::Error;
use telemetry::metrics::Recorder;

#[test]
fn a_second_recorder_is_refused() {
    let recorder = Recorder::install().unwrap();
    metrics::gauge!("requests_running").set(2.0);
    assert!(recorder.render().contains("requests_running 2"));
    assert_eq!(Recorder::install().unwrap_err(), Error::Recorder);
}

#[ntex::test]
async fn upkeep_ends_when_its_token_is_cancelled() {
    let (recorder, _sink) = Recorder::local();
    let stop = CancellationToken::new();
    let upkeep = ntex::rt::spawn(recorder.upkeep(stop.clone()));
    ntex::time::sleep(Duration::from_millis(1)).await;
    stop.cancel();
    assert!(upkeep.await.is_ok());
}
