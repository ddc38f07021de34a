//! Where log lines go: standard output, without ever blocking on it.

use std::io;
use std::io::Write;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use metrics::counter;

/// Lines that wait for a reader of standard output; a line has about 300 bytes,
/// so they hold a third of a megabyte.
const QUEUE: usize = 1_024;

/// Lines that a process writes a second at most, two for each request that a
/// gateway of the largest fleet serves at its peak, with room for failures.
const LINES_PER_SECOND: u32 = 1_000;

/// The span over which lines are counted.
const SPAN: Duration = Duration::from_secs(1);

/// Takes whole lines and leaves out those that would have to wait.
#[derive(Debug)]
pub struct Output {
    sender: SyncSender<Vec<u8>>,
    since: Instant,
    written: u32,
    dropped: u32,
}

impl Output {
    /// Starts the thread that writes.
    ///
    /// # Errors
    ///
    /// If it can't be started.
    pub fn start(sink: impl Write + Send + 'static) -> io::Result<Output> {
        let (sender, lines) = mpsc::sync_channel(QUEUE);
        thread::Builder::new().name("log".to_owned()).spawn(move || drain(&lines, sink))?;
        Ok(Output { sender, since: Instant::now(), written: 0, dropped: 0 })
    }

    fn offer(&mut self, line: &[u8]) {
        if self.since.elapsed() >= SPAN {
            self.begin_span();
        }
        if self.written >= LINES_PER_SECOND || self.sender.try_send(line.to_vec()).is_err() {
            self.dropped += 1;
            counter!("lycheeknot_log_lines_dropped_total").increment(1);
            return;
        }
        self.written += 1;
    }

    fn begin_span(&mut self) {
        self.since = Instant::now();
        self.written = 0;
        if self.dropped == 0 {
            return;
        }
        let notice = format!("level=warn dropped={} message=\"log lines dropped\"\n", self.dropped);
        if self.sender.try_send(notice.into_bytes()).is_ok() {
            self.dropped = 0;
        }
    }
}

impl Write for Output {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.offer(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn drain(lines: &Receiver<Vec<u8>>, mut sink: impl Write) {
    while let Ok(line) = lines.recv() {
        // Nobody reads any more; there is no place left to say so.
        if sink.write_all(&line).and_then(|()| sink.flush()).is_err() {
            return;
        }
    }
}
