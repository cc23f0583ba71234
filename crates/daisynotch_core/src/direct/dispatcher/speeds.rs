//! What the dispatcher tells other routers of the speed of engines, and takes from them.

use super::Dispatcher;
use crate::direct::speed_news::SpeedNews;
use crate::time::Timestamp;

impl Dispatcher {
    /// Returns at most `speeds_max` of the speeds that this router observed, for other routers.
    pub fn speed_news(&mut self, speeds_max: usize, now: Timestamp) -> SpeedNews {
        if speeds_max == 0 {
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
}
