//! Tells admission the limits of the configuration and the number of daemons that share them.

use std::sync::Arc;

use indexmap::IndexMap;
use ponddrift_core::TenantName;
use ponddrift_core::admission::{AdmissionEvent, Limits};
use ponddrift_core::configuration::Configuration;
use ponddrift_runtime::watch;
use xtra::Address;

use crate::actors::admission::{AdmissionActor, NotifyAdmission};
use crate::actors::tell;
use crate::peer::view::MembersView;

/// Passes on each new configuration and each new number of live daemons, until the daemon ends.
pub(super) async fn follow(
    mut configuration: watch::Receiver<Arc<Configuration>>,
    mut members: watch::Receiver<Arc<MembersView>>,
    admissions: [Address<AdmissionActor>; 2],
) {
    let mut live = 0;
    loop {
        let tenants = tenant_limits(&configuration.borrow_and_update());
        for admission in &admissions {
            let services = IndexMap::new();
            let tenants = tenants.clone();
            tell(
                admission,
                NotifyAdmission(AdmissionEvent::LimitsChanged { tenants, services }),
            );
        }
        loop {
            let now_live = live_daemons(&members.borrow_and_update());
            if now_live != live {
                live = now_live;
                for admission in &admissions {
                    tell(
                        admission,
                        NotifyAdmission(AdmissionEvent::DaemonsChanged { live }),
                    );
                }
            }
            tokio::select! {
                biased;
                changed = configuration.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    break;
                }
                changed = members.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
            }
        }
    }
}

fn tenant_limits(configuration: &Configuration) -> IndexMap<TenantName, Limits> {
    let limits = configuration.tenants.iter().map(|(tenant, settings)| {
        let limits = Limits {
            requests_per_second: settings.requests_per_second,
            tokens_per_second: settings.tokens_per_second,
            concurrency: settings.concurrency,
        };
        (tenant.clone(), limits)
    });
    limits
        .filter(|(_, limits)| *limits != Limits::default())
        .collect()
}

/// Daemons that serve callers; at least this one.
fn live_daemons(view: &MembersView) -> u32 {
    u32::try_from(view.serving().count())
        .unwrap_or(u32::MAX)
        .max(1)
}
