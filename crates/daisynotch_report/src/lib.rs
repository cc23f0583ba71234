//! The report on service-level burn, without input or output.
//!
//! Samples of the routers' counters go in, the error budget left and the burn rates
//! come out, as data, as a table and as a page. See `docs/design/burn-report.md`.

mod burn;
mod metrics_text;
mod page;
mod sample;

pub use burn::{BurnReport, BurnRow, BurnWindows, CurvePoint, RouterSeen};
pub use metrics_text::parse_metrics;
pub use page::to_html;
pub use sample::{Counters, Observation, Sample, Series};
