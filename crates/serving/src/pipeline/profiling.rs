//! Switches the profiles of back ends on and off with the configuration in force.

use std::sync::Arc;

use tokio::sync::Notify;

use super::Pipeline;

impl Pipeline {
    /// Keeps profiles of back ends while the settings allow it and the configuration in force has
    /// long streams, for which the speed of single back ends matters.
    pub async fn switch_profiles(self: Arc<Self>) {
        loop {
            if let Some(in_force) = self.state.in_force() {
                let is_enabled = self.keeps_profiles && in_force.configuration.has_long_streams();
                self.set_profiles_enabled(is_enabled);
            }
            self.state.configuration_changed().notified().await;
        }
    }

    fn set_profiles_enabled(&self, is_enabled: bool) {
        let profiles = &mut self.placement().profiles;
        if profiles.is_enabled() != is_enabled {
            profiles.set_enabled(is_enabled);
            self.profiles_switched.notify_one();
            tracing::info!(is_enabled, "back_end_profiles_switched");
        }
    }

    /// Notified when profiles are switched on or off.
    pub(crate) const fn profiles_switched(&self) -> &Notify {
        &self.profiles_switched
    }
}
