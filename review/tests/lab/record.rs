//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// The record of a run. Clones write to the same file.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Creates the file `record.txt` in the folder that the first argument names.
    pub fn create() -> Record {
        let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
        let file = File::create(format!("{folder}/record.txt")).expect("a record");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Returns the time since the start.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().expect("the record");
        let time = self.start.elapsed().as_secs_f64();
        writeln!(file, "{time:8.3} {text}").expect("a line");
    }

    /// Adds the verdict, and returns the exit code of the run.
    pub fn verdict(&self, broken: bool, text: &str) -> i32 {
        let verdict = if broken { "BROKEN" } else { "HELD" };
        self.line(&format!("{verdict}: {text}"));
        println!("{verdict}: {text}");
        i32::from(broken)
    }

    /// Ends a run that could not show anything.
    pub fn give_up(&self, text: &str) -> i32 {
        self.line(&format!("NOT RUN: {text}"));
        println!("NOT RUN: {text}");
        2
    }
}
