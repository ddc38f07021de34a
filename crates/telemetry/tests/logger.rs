//! Tests that a process can have only one logger. The test has its own binary because
//! `#[ntex::test]` installs a logger as well.

use telemetry::Error;
use telemetry::Process;
use telemetry::log;

#[test]
fn a_second_logger_is_refused() {
    let process = Process { vm: "s1-entry-1".to_owned(), incarnation: 7 };
    assert_eq!(log::init(process.clone()), Ok(()));
    assert_eq!(log::init(process), Err(Error::Logger));
}
