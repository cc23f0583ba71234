//! Prints results as text or, with `--json`, as JSON.

use serde::Serialize;

/// Prints to the standard output in the chosen format.
#[derive(Debug)]
pub(crate) struct Printer {
    json: bool,
}

impl Printer {
    /// Creates a printer that prints JSON if `json` is true, and text otherwise.
    pub(crate) fn new(json: bool) -> Self {
        Self { json }
    }

    /// Prints `text` unchanged and in both formats, without adding a newline.
    pub(crate) fn text(&self, text: &str) {
        print!("{text}");
    }

    /// Prints a line in the text format only.
    pub(crate) fn progress(&self, line: &str) {
        if !self.json {
            println!("{line}");
        }
    }

    /// Prints `text` in the text format, or `value` as one line of JSON.
    pub(crate) fn result(&self, text: &str, value: &impl Serialize) {
        if self.json {
            let line = serde_json::to_string(value).expect("results serialize to JSON");
            println!("{line}");
        } else {
            println!("{text}");
        }
    }
}
