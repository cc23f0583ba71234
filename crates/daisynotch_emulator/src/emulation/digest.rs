//! Digests that the emulated routers send to each other.

use daisynotch_core::direct::{ConfigurationStamp, Digest, StorePosition};

use super::{Emulation, Event, Router};
use crate::fleet::host_introduction;

impl Emulation<'_> {
    pub(super) fn send_digest(&mut self, router: usize) {
        let now = self.now();
        self.digest_seqs[router] += 1;
        let seq = self.digest_seqs[router];
        let Router::Direct(dispatcher) = &mut self.routers[router] else {
            return;
        };
        dispatcher.expire(now);
        let (endpoints, teams, placed) = dispatcher.to_digest(now);
        let digest = Digest {
            host: host_introduction(router),
            seq,
            configuration: ConfigurationStamp::default(),
            configuration_age_ms: None,
            endpoints_at: StorePosition::default(),
            leaving: Vec::new(),
            arrivals_per_core_s: 0,
            endpoints,
            teams,
            placed,
            is_brief: false,
            known_hosts: Vec::new(),
            known_hosts_len: 0,
            heartbeats: Vec::new(),
            introduced: Vec::new(),
        };
        for peer in (0..self.routers.len()).filter(|peer| *peer != router) {
            let digest = Box::new(digest.clone());
            let receive = Event::ReceiveDigest {
                router: peer,
                digest,
            };
            self.schedule(self.link_us(), receive);
        }
        self.schedule(self.digest_interval_us(), Event::SendDigest { router });
    }
}
