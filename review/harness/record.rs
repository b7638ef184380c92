//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with the time in seconds since the start; clones share the file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    begun: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("create the record");
        Record { file: Arc::new(Mutex::new(file)), begun: Instant::now() }
    }

    pub fn note(&self, line: impl AsRef<str>) {
        let at = self.begun.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        _ = writeln!(file, "{at:8.3} {}", line.as_ref());
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, line: impl AsRef<str>) {
        println!("{}", line.as_ref());
        self.note(line);
    }
}
