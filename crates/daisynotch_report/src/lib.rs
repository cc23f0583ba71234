//! Computes error budgets and burn rates of service levels from samples of the routers' counters.
//!
//! The report is available as data, as a text table and as an HTML page. This crate performs no
//! I/O. See `docs/design/burn-report.md`.

mod burn;
mod metrics_text;
mod page;
mod sample;

pub use burn::{BurnReport, BurnRow, BurnWindows, CurvePoint, RouterStatus};
pub use metrics_text::parse_metrics;
pub use page::to_html;
pub use sample::{Counters, Observation, Sample, Series};
