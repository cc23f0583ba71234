//! Converts the decisions of a node's components into messages and outputs.

use super::{Node, Output};
use crate::RouterId;
use crate::configuration::{self, ConfigurationAction};
use crate::entry::{EntryEvent, RequestId};
use crate::membership::OwnState;
use crate::message::PeerMessage;
use crate::scheduler::SchedulerAction;
use crate::time::Timestamp;

impl Node {
    pub(super) fn send_heartbeats(&mut self, now: Timestamp) {
        let own = OwnState {
            revision: self.catalogue.revision,
            leaving: self.leaving,
            open_requests: u32::try_from(self.entry.open_requests()).unwrap_or(u32::MAX),
        };
        for (router, heartbeat) in self.membership.heartbeats(own, now) {
            self.send(router, PeerMessage::Heartbeat(heartbeat));
        }
    }

    pub(super) fn tick_configuration(&mut self, now: Timestamp) {
        let own = &self.settings.own;
        let members = self.membership.members();
        let is_relay = || {
            let routers = members.iter().filter(|(_, member)| !member.leaving);
            let local = routers.filter(|(_, member)| member.zone == own.zone);
            let local = local.map(|(router, _)| *router);
            configuration::is_relay(own.peer.router, own.zone, local)
        };
        let actions = self.follower.tick(is_relay, now);
        self.apply_configuration_actions(actions);
    }

    pub(super) fn apply_configuration_actions(
        &mut self,
        actions: impl IntoIterator<Item = ConfigurationAction>,
    ) {
        for action in actions {
            match action {
                ConfigurationAction::RequestPiece { to, request } => {
                    self.send(to, PeerMessage::ConfigurationRequest(request));
                }
                ConfigurationAction::ReadHead
                | ConfigurationAction::ReadService
                | ConfigurationAction::ApplyPayload { .. } => self.configuration.push(action),
            }
        }
    }

    pub(super) fn send_ticket(&mut self, request: RequestId, now: Timestamp) {
        let membership = &self.membership;
        let event = self
            .entry
            .send_due(request, |shard| membership.scheduler_peer_of(shard), now);
        self.apply_entry_events(event);
    }

    pub(super) fn apply_entry_events(&mut self, events: impl IntoIterator<Item = EntryEvent>) {
        for event in events {
            match event {
                EntryEvent::Send { to, message } => self.send(to, message),
                EntryEvent::Dispatch(dispatch) => self.outputs.push(Output::Dispatch(dispatch)),
                EntryEvent::Refuse { request, refusal } => {
                    self.outputs.push(Output::Refuse { request, refusal });
                }
            }
        }
    }

    pub(super) fn apply_scheduler_actions(
        &mut self,
        actions: impl IntoIterator<Item = SchedulerAction>,
    ) {
        for action in actions {
            match action {
                SchedulerAction::Grant { to, grant } => {
                    self.send(to.router, PeerMessage::Grant(grant));
                }
                SchedulerAction::Query { to, seq, endpoint } => {
                    self.send(to.router, PeerMessage::Query { endpoint, seq });
                }
                SchedulerAction::Share { to, message } => {
                    if let Some(router) = self.membership.scheduler_of(to) {
                        self.send(router, message);
                    }
                }
                SchedulerAction::ForwardedGrant { to, grant } => {
                    self.send(to.router, PeerMessage::ForwardedGrant(grant));
                }
            }
        }
    }

    pub(super) fn send(&mut self, to: RouterId, message: PeerMessage) {
        if to == self.settings.own.peer.router {
            self.loopback.push_back(message);
        } else {
            self.outputs.push(Output::Send { to, message });
        }
    }
}
