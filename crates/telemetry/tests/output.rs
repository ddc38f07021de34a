//! Tests of the rate-limited output of log lines.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Condvar;
use parking_lot::Mutex;

use telemetry::output::Output;

/// A sink whose writes block until it is opened, like a full pipe without a reader.
#[derive(Clone, Default)]
struct Sink {
    text: Arc<Mutex<Vec<u8>>>,
    is_open: Arc<(Mutex<bool>, Condvar)>,
}

impl Sink {
    fn open(&self) {
        *self.is_open.0.lock() = true;
        self.is_open.1.notify_all();
    }

    fn lines(&self) -> Vec<String> {
        let text = String::from_utf8_lossy(&self.text.lock()).into_owned();
        text.lines().map(str::to_owned).collect()
    }
}

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut open = self.is_open.0.lock();
        self.is_open.1.wait_while(&mut open, |open| !*open);
        self.text.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_blocked_sink_does_not_block_the_writer() {
    let sink = Sink::default();
    let mut output = Output::start(sink.clone()).unwrap();
    let start = Instant::now();
    for number in 0..5_000 {
        output.write_all(format!("line {number}\n").as_bytes()).unwrap();
    }
    assert!(start.elapsed() < Duration::from_millis(500), "{:?}", start.elapsed());
    sink.open();
    thread::sleep(Duration::from_millis(1_100));
    output.write_all(b"last\n").unwrap();
    while sink.lines().last().is_none_or(|line| line != "last") {
        assert!(start.elapsed() < Duration::from_secs(10), "the last line is missing");
        thread::sleep(Duration::from_millis(5));
    }
    let lines = sink.lines();
    assert_eq!(lines[0], "line 0");
    assert_eq!(lines.len(), 1_002);
    assert_eq!(lines[1_000], "level=warn dropped=4000 message=\"log lines dropped\"");
}
