//! Logs items of the store that can't be decoded, once each.
//!
//! Another writer may leave such items, and lists contain them again and again.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use serde_json::json;

use super::event_log::Importance;
use super::state::Router;

/// Maximum number of unreadable keys that are logged and remembered.
const KEYS_MAX: usize = 2_000;

/// The unreadable items that were logged.
#[derive(Debug, Default)]
pub(crate) struct UnreadableItems {
    /// The last logged problem by event and key.
    problems: RefCell<HashMap<(&'static str, String), String>>,
    is_full: Cell<bool>,
}

impl UnreadableItems {
    /// Forgets the problem with a key that was removed or can be decoded again.
    pub(super) fn remove(&self, event: &'static str, key: &str) {
        let mut problems = self.problems.borrow_mut();
        if !problems.is_empty() && problems.remove(&(event, key.to_owned())).is_some() {
            self.is_full.set(false);
        }
    }
}

impl Router {
    /// Logs an unreadable item, unless the same problem was logged last for its key.
    pub(super) fn log_unreadable(&self, event: &'static str, key: &str, problem: &str) {
        let unreadable = &self.unreadable;
        let mut problems = unreadable.problems.borrow_mut();
        let logged = (event, key.to_owned());
        if problems.get(&logged).is_some_and(|known| known == problem) {
            return;
        }
        let fields = if problems.len() < KEYS_MAX || problems.contains_key(&logged) {
            problems.insert(logged, problem.to_owned());
            json!({"key": key, "error": problem})
        } else if unreadable.is_full.replace(true) {
            return;
        } else {
            json!({"key": key, "error": problem, "unlogged_beyond": KEYS_MAX})
        };
        self.log.write(Importance::Essential, event, fields);
    }
}
