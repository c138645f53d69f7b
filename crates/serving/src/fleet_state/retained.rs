//! What stays known though the store, back from an older copy, shows less.

use super::fleet_view::FleetView;
use crate::store::Item;

impl FleetView {
    /// What was known of an item's key stays in force.
    pub(super) fn retain_known(&mut self, item: &Item) {
        let Some(known) = self.items.get(&item.key) else {
            return;
        };
        if known.revision.era() == item.revision.era() || self.retained.contains_key(&item.key) {
            return;
        }
        tracing::info!(
            key = item.key,
            revision = %item.revision,
            known_revision = %known.revision,
            "kept_over_copy"
        );
        self.retained.insert(item.key.clone(), known.clone());
    }
}
