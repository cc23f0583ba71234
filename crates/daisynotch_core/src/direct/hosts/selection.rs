//! Selects how many routers callers are sent to.
//!
//! Load pattern: a fleet has hosts of several sizes, and the largest ones can serve all callers.
//! Routers that have callers tell each other their load in each round, so the traffic between them
//! grows with the square of their number, and it takes processor time from the small ones first.

use super::HostIntroduction;

/// Number of routers below which smaller ones are selected too: one may fail.
const SELECTED_MIN: usize = 2;
/// Fraction of the size of the largest router of a class that the others of the class have at least.
const CLASS_SIZE_MIN: f64 = 0.8;

/// Keeps the largest routers that can serve callers who need `needed_millicores` of processor time.
///
/// Routers of about the same size are kept or left out together: each of them alone would be crowded
/// by callers that stay with one address.
pub(super) fn retain_needed(hosts: &mut Vec<&HostIntroduction>, needed_millicores: f64) {
    let mut sizes: Vec<u32> = hosts.iter().map(|host| host.cpu_millicores).collect();
    sizes.sort_unstable_by(|left, right| right.cmp(left));
    let mut millicores = 0.0;
    let mut class_size_min = f64::INFINITY;
    for (selected, size) in sizes.iter().enumerate() {
        let size = f64::from(*size);
        if size < class_size_min {
            if selected >= SELECTED_MIN && millicores >= needed_millicores {
                break;
            }
            class_size_min = size * CLASS_SIZE_MIN;
        }
        millicores += size;
    }
    hosts.retain(|host| f64::from(host.cpu_millicores) >= class_size_min);
}

#[cfg(test)]
mod tests;
