//! What the dispatcher tells other routers of the speed and the work of engines, and takes from them.

use super::Dispatcher;
use crate::direct::digest::{Digest, EndpointDigest};
use crate::direct::request::CostModel;
use crate::direct::speed_news::{SpeedNews, WorkNews};
use crate::time::Timestamp;

impl Dispatcher {
    /// Returns at most `speeds_max` of the speeds that this router observed, for other routers.
    pub fn speed_news(&mut self, speeds_max: usize, now: Timestamp) -> SpeedNews {
        if speeds_max == 0 || self.cost_model == CostModel::Stated {
            return SpeedNews::default();
        }
        let engines = self.endpoints.iter();
        let engines = engines.filter(|(_, load)| load.engine.is_some());
        let observed = engines.filter_map(|(id, load)| {
            let (slowdown, at) = load.slowdown.learned()?;
            Some((*id, slowdown, at))
        });
        self.speeds.next_news(observed, speeds_max, now)
    }

    /// Applies the speeds that another router observed, to engines from which this router has no
    /// answer yet.
    pub fn on_speed_news(&mut self, news: &SpeedNews, now: Timestamp) {
        for (endpoint, slowdown) in self.speeds.on_news(news, now) {
            if let Some(load) = self.endpoints.get_mut(&endpoint) {
                load.slowdown.on_peer(slowdown);
            }
        }
    }

    /// Returns what follows a digest that has these endpoints.
    pub fn work_news(&self, endpoints: &[EndpointDigest]) -> WorkNews {
        if self.cost_model == CostModel::Stated {
            return WorkNews::default();
        }
        let events_left = endpoints.iter().map(|named| {
            let load = self.endpoints.get(&named.endpoint);
            let events_left = load.map_or(0, |load| load.own.events_left);
            u32::try_from(events_left).unwrap_or(u32::MAX)
        });
        WorkNews {
            events_left: events_left.collect(),
        }
    }

    /// Applies what follows another router's digest, after the digest itself.
    pub fn on_work_news(&mut self, digest: &Digest, news: &WorkNews) {
        let router = digest.host.id();
        for (named, events_left) in digest.endpoints.iter().zip(&news.events_left) {
            if let Some(load) = self.endpoints.get_mut(&named.endpoint) {
                load.on_peer_events(router, *events_left);
            }
        }
    }
}
