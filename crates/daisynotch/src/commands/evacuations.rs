//! `daisynotch evacuations`: prints the availability zones that a router keeps requests away from.
//!
//! See `docs/design/evacuation.md`.

use std::fmt::Write as _;
use std::net::SocketAddr;

use daisynotch_router::direct::EvacuatedZone;

use super::CommandError;
use super::http_call::read_metrics_list;
use crate::printer::Printer;

pub(crate) async fn run(router: SocketAddr, printer: &Printer) -> Result<(), CommandError> {
    let zones: Vec<EvacuatedZone> = read_metrics_list(router, "/evacuations").await?;
    printer.result(to_text(&zones).trim_end(), &zones);
    Ok(())
}

fn to_text(zones: &[EvacuatedZone]) -> String {
    if zones.is_empty() {
        return "no zone is evacuated".to_owned();
    }
    let mut text = String::new();
    for zone in zones {
        let requests = match zone.running {
            1 => "1 request of this router still runs there".to_owned(),
            running => format!("{running} requests of this router still run there"),
        };
        let problem = zone.problem.as_deref();
        let problem = problem.map_or_else(String::new, |problem| format!("; {problem}"));
        let _ = writeln!(
            text,
            "{}: evacuated since {}; {requests}{problem}",
            zone.zone, zone.since
        );
    }
    text
}

#[cfg(test)]
mod tests;
