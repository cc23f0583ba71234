//! Decides whether keys of callers may be trusted, from the age of the configuration.

use std::time::Duration;

use daisynotch_core::Timestamp;
use daisynotch_core::direct::{ConfirmationSource, Digest};
use serde_json::json;

use super::event_log::Importance;
use super::state::Router;

impl Router {
    /// Applies the age of another router's configuration, if that configuration is the one in
    /// force here or an older one, and if the time that the digest was on its way has a bound.
    pub(crate) fn on_configuration_age(
        &self,
        digest: &Digest,
        transit: Option<Duration>,
        now: Timestamp,
    ) {
        if let (Some(age_ms), Some(transit)) = (digest.configuration_age_ms, transit)
            && !digest
                .configuration
                .is_newer_than(&self.configuration.get())
        {
            let age = Duration::from_millis(u64::from(age_ms)) + transit;
            self.confirmation
                .borrow_mut()
                .on_peer_confirmation(digest.host.id(), age, now);
        }
    }

    /// Returns whether keys may be trusted.
    ///
    /// With `fail_closed`, a revoked key must be refused in time, so keys are trusted only
    /// while the configuration is known to be the newest.
    pub(crate) fn trusts_keys(&self) -> bool {
        let max = self.settings.borrow().credentials.trusted_age_max();
        let Some(max) = max else {
            return true;
        };
        let holds = self.confirmation.borrow().is_fresh(max, self.now());
        if self.were_keys_trusted.replace(holds) != holds {
            let age = self.confirmation.borrow().age(self.now());
            let fields = json!({
                "trusted": holds, "age_ms": age.map(|age| age.as_millis() as u64),
                "confirmed_by": self.confirmation_source(),
                "version": self.routes().map_or(0, |routes| routes.version),
            });
            self.log.write(Importance::Essential, "keys", fields);
        }
        holds
    }

    /// Returns the name of the router, or `store`, from which the latest confirmation came.
    fn confirmation_source(&self) -> Option<String> {
        let source = self.confirmation.borrow().source()?;
        Some(match source {
            ConfirmationSource::Store => "store".to_owned(),
            ConfirmationSource::Router(id) => {
                let hosts = self.hosts.borrow();
                let name = hosts.name(id);
                name.map_or_else(|| id.to_string(), ToString::to_string)
            }
        })
    }
}
