//! The daemon's own state.

use ponddrift_core::machine::MachineKind;
use ponddrift_core::membership::Contact;
use ponddrift_core::{Incarnation, RegionName, ZoneName};
use ponddrift_http::Problem;

use super::wire::StatusAnswer;
use super::{OperatorContext, actor_stopped_problem};
use crate::actors::ask;
use crate::actors::peer::operators::ViewFleet;
use crate::daemon::DaemonAddresses;

/// Status fields that are constant while the daemon runs.
#[derive(Debug, Clone)]
pub(crate) struct StaticStatus {
    pub(crate) zone: ZoneName,
    pub(crate) region: RegionName,
    pub(crate) incarnation: Incarnation,
    pub(crate) addresses: DaemonAddresses,
}

pub(super) async fn answer(context: &OperatorContext) -> Result<StatusAnswer, Problem> {
    let view = ask(&context.peers, ViewFleet)
        .await
        .map_err(actor_stopped_problem)?;
    let gateway = &context.gateway;
    let list = gateway.fleet.borrow().clone();
    let count = |wanted: fn(&MachineKind) -> bool| {
        let machines = list.machines.iter();
        machines.filter(|machine| wanted(&machine.kind)).count()
    };
    let static_status = &context.status;
    Ok(StatusAnswer {
        daemon: context.own,
        version: env!("CARGO_PKG_VERSION").to_owned(),
        zone: static_status.zone.clone(),
        region: static_status.region.clone(),
        incarnation: static_status.incarnation.0,
        up_ms: gateway.now().as_millis(),
        addresses: static_status.addresses,
        ready: gateway.is_ready(),
        contact: contact_text(view.contact).to_owned(),
        configuration_revision: gateway.configuration.borrow().revision,
        machine_list_revision: list.revision,
        live_daemons: view.live().count(),
        engines: count(|kind| matches!(kind, MachineKind::Engine { .. })),
        back_ends: count(|kind| matches!(kind, MachineKind::Plain { .. })),
        requests: gateway.requests.count(),
    })
}

const fn contact_text(contact: Contact) -> &'static str {
    match contact {
        Contact::Alone => "alone",
        Contact::InContact => "in contact",
        Contact::Isolated => "isolated",
    }
}
