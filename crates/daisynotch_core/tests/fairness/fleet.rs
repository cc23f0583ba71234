//! Builds the nodes and the catalogue of a cluster.

use super::Setup;
use daisynotch_core::{
    Catalogue, Input, Introduction, MembershipSettings, Node, NodeSettings, Revision,
    SchedulerSettings, TeamId, Timestamp, ZoneId,
};
use std::collections::HashSet;
use std::fmt::Write as _;
use std::sync::Arc;

pub(super) fn node(own: Introduction, all: &[Introduction], catalogue: &Arc<Catalogue>) -> Node {
    let settings = NodeSettings {
        own,
        membership: MembershipSettings::default(),
        scheduler: SchedulerSettings::default(),
    };
    let mut node = Node::new(settings, Timestamp(0));
    node.handle(Input::Configured(Arc::clone(catalogue)), Timestamp(0));
    for other in all.iter().filter(|other| other.peer != own.peer) {
        node.handle(Input::Connected(*other), Timestamp(0));
    }
    node
}

/// Builds a catalogue with a `plain` pool, whose endpoints keep the configured number of slots.
pub(super) fn catalogue(setup: &Setup) -> Catalogue {
    let mut text = String::from("[pool.atelier-app]\nkind = \"plain\"\n");
    writeln!(text, "slots = {}", setup.slots).expect("writing to a string succeeds");
    let shares: HashSet<u32> = setup.teams.iter().filter_map(|team| team.share).collect();
    for share in shares {
        writeln!(text, "[share.s{share}]").expect("writing to a string succeeds");
    }
    for (at, team) in setup.teams.iter().enumerate() {
        writeln!(text, "[team.t{at}]\nweight = {}", team.weight)
            .expect("writing to a string succeeds");
        if let Some(share) = team.share {
            writeln!(text, "share = \"s{share}\"").expect("writing to a string succeeds");
        }
    }
    let mut name = 0;
    for (zone, count) in setup.endpoints.iter().enumerate() {
        for _ in 0..*count {
            name += 1;
            let line = format!(
                "[endpoint.e{name}]\npool = \"atelier-app\"\nzone = \"z{zone}\"\naddress = \"127.0.0.1:9\""
            );
            writeln!(text, "{line}").expect("writing to a string succeeds");
        }
    }
    let objects = text.parse().expect("the objects are valid");
    Catalogue::new(Revision(1), &objects)
}

pub(super) fn zone_id(at: usize) -> ZoneId {
    ZoneId::from(&format!("z{at}").parse().expect("the name is valid"))
}

pub(super) fn team_id(at: usize) -> TeamId {
    TeamId::from(&format!("t{at}").parse().expect("the name is valid"))
}
