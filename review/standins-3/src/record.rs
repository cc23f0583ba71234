//! What was sent, answered and run, with the time since the start of the case.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(folder: &str) -> std::io::Result<Self> {
        let file = Mutex::new(File::create(format!("{folder}/record.txt"))?);
        let started_at = Instant::now();
        Ok(Self { started_at, file })
    }

    pub fn line(&self, text: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} s  {text}");
    }

    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }
}
