//! Rate-limited output of log lines that never blocks the caller.

use std::io;
use std::io::Write;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use metrics::counter;

/// Most lines in the queue to the writer thread; at about 300 bytes a line, they take a
/// third of a megabyte.
const QUEUE_MAX_LINES: usize = 1_024;

/// Most lines that a process writes in a window. It allows two lines for each request
/// of a gateway in the largest fleet at peak load, and some more for failures.
const WINDOW_MAX_LINES: u32 = 1_000;

/// Window of the rate limit.
const WINDOW: Duration = Duration::from_secs(1);

/// Writer that queues whole lines for a thread, and drops lines beyond the rate limit or
/// the size of the queue.
#[derive(Debug)]
pub struct Output {
    sender: SyncSender<Vec<u8>>,
    window_start: Instant,
    written: u32,
    dropped: u32,
}

impl Output {
    /// Starts the thread that writes the lines to `sink`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the thread can't be started.
    pub fn start(sink: impl Write + Send + 'static) -> io::Result<Output> {
        let (sender, lines) = mpsc::sync_channel(QUEUE_MAX_LINES);
        thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&lines, sink))?;
        Ok(Output { sender, window_start: Instant::now(), written: 0, dropped: 0 })
    }

    /// Queues a line, or counts it as dropped.
    fn enqueue(&mut self, line: &[u8]) {
        if self.window_start.elapsed() >= WINDOW {
            self.begin_window();
        }
        if self.written >= WINDOW_MAX_LINES || self.sender.try_send(line.to_vec()).is_err() {
            self.dropped += 1;
            counter!("lycheeknot_log_lines_dropped_total").increment(1);
            return;
        }
        self.written += 1;
    }

    /// Begins a window, and queues a warning with the number of lines dropped since the
    /// last one.
    fn begin_window(&mut self) {
        self.window_start = Instant::now();
        self.written = 0;
        if self.dropped == 0 {
            return;
        }
        let warning =
            format!("level=warn dropped={} message=\"log lines dropped\"\n", self.dropped);
        if self.sender.try_send(warning.into_bytes()).is_ok() {
            self.dropped = 0;
        }
    }
}

impl Write for Output {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.enqueue(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes queued lines until the queue is closed or a write fails.
fn write_lines(lines: &Receiver<Vec<u8>>, mut sink: impl Write) {
    while let Ok(line) = lines.recv() {
        // The reader has closed standard output, so the error can't be logged either.
        if sink.write_all(&line).and_then(|()| sink.flush()).is_err() {
            return;
        }
    }
}
