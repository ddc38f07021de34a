//! What was sent, answered and run.

use std::fmt::Write;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Debug)]
pub struct Record {
    pub start: Instant,
    pub lines: Mutex<String>,
}

impl Record {
    pub fn add(&self, line: &str) {
        let at = self.start.elapsed().as_millis();
        let mut lines = self.lines.lock().unwrap();
        let _ = writeln!(lines, "{at:6} ms  {line}");
    }
}
