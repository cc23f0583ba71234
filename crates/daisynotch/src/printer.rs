//! Prints for a reader or, with `--json`, for a program.

use serde::Serialize;

/// Where results go.
#[derive(Debug)]
pub(crate) struct Printer {
    json: bool,
}

impl Printer {
    /// Prints JSON when `json` is set.
    pub(crate) fn new(json: bool) -> Self {
        Self { json }
    }

    /// Prints text as it is.
    pub(crate) fn text(&self, text: &str) {
        print!("{text}");
    }

    /// Prints a line for a reader only.
    pub(crate) fn progress(&self, line: &str) {
        if !self.json {
            println!("{line}");
        }
    }

    /// Prints a result: `text` for a reader, `value` for a program.
    pub(crate) fn result(&self, text: &str, value: &impl Serialize) {
        if self.json {
            let line = serde_json::to_string(value).expect("results are plain data");
            println!("{line}");
        } else {
            println!("{text}");
        }
    }
}
