//! Orders engines from the provider, and gives them back, where this daemon leads.
//!
//! What is desired is compared with what the directory shows, again and again: an order may be refused, lost, or carried out
//! late, and engines may be taken away.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use ponddrift_fleet::capacity::{
    CapacityPlan, CapacityPlanner, CapacitySettings, Contract, EngineCounts, count_ready, next_step,
};
use ponddrift_fleet::configuration::Service;
use ponddrift_runtime::Runtime;
use tokio::time::sleep;

use crate::fleet_state::FleetState;
use crate::leader::Leadership;
use crate::pipeline::Pipeline;
use crate::provider::{Caller, EngineOrder, Provider, ProviderError, result_name};
use crate::time::now;

/// Time between two looks at the load.
const STEP: Duration = Duration::from_millis(500);
/// An order that the directory does not show so long after the boot time is given again: an engine's entry shows a change
/// up to a heartbeat later, and a drain takes a while.
const OVERDUE: Duration = Duration::from_secs(4);
/// An order that was refused or not answered is given again after this long.
const REFUSED_PAUSE: Duration = Duration::from_secs(2);

/// What capacity is planned with.
pub struct CapacityDependencies {
    /// Name of this daemon.
    pub holder: Arc<str>,
    /// Settings of the planner.
    pub settings: CapacitySettings,
    /// Configuration and directory.
    pub state: Arc<FleetState>,
    /// The load.
    pub pipeline: Arc<Pipeline>,
    /// Who takes orders.
    pub provider: Arc<dyn Provider>,
    /// Whether this daemon leads.
    pub leadership: Leadership,
}

/// Starts to observe the load, and to order while this daemon leads.
pub fn start(runtime: &Runtime, parts: CapacityDependencies) {
    let desk = CapacityDesk {
        parts,
        planners: HashMap::new(),
        orders: HashMap::new(),
    };
    runtime.spawner.spawn(Box::pin(desk.run()));
}

/// Engines of one service, zone and contract.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Subject {
    service: Arc<str>,
    zone: Arc<str>,
    contract: Contract,
}

/// The last order for a subject.
#[derive(Debug, Clone, Copy)]
struct LastOrder {
    count: u32,
    not_again_before: Instant,
}

struct CapacityDesk {
    parts: CapacityDependencies,
    planners: HashMap<Arc<str>, CapacityPlanner>,
    orders: HashMap<Subject, LastOrder>,
}

impl CapacityDesk {
    async fn run(mut self) {
        while !self.parts.pipeline.is_stopping() {
            sleep(STEP).await;
            if self.parts.state.position().is_none() {
                // Not all engines are known yet.
                continue;
            }
            for service in self.scaled_services() {
                let present = self.present(&service.name);
                self.observe(&service, &present);
                if self.parts.leadership.may_call() {
                    self.bring_about(&service, &present).await;
                } else {
                    self.orders.clear();
                }
            }
        }
    }

    fn scaled_services(&self) -> Vec<Arc<Service>> {
        let in_force = self.parts.state.in_force();
        let services = in_force
            .iter()
            .flat_map(|known| &known.configuration.services);
        services
            .filter(|service| service.autoscaling.is_some())
            .cloned()
            .collect()
    }

    fn present(&self, service: &str) -> EngineCounts {
        let back_ends = self.parts.state.back_ends();
        count_ready(back_ends.iter().filter(|known| &*known.service == service))
    }

    fn observe(&mut self, service: &Service, present: &EngineCounts) {
        let Some(autoscaling) = &service.autoscaling else {
            return;
        };
        if present.is_empty() {
            // The store has lost them; they are back soon after it.
            return;
        }
        let work = self.parts.pipeline.work_of_all();
        let work = work.into_iter().find(|(name, _work)| *name == service.name);
        let planner = self.planners.entry(Arc::clone(&service.name)).or_default();
        let work = work.map(|(_name, work)| work);
        planner.observe(work, present, autoscaling, self.parts.settings, now());
    }

    /// Orders what differs from the plan.
    async fn bring_about(&mut self, service: &Service, present: &EngineCounts) {
        let Some(autoscaling) = &service.autoscaling else {
            return;
        };
        let planner = self.planners.entry(Arc::clone(&service.name)).or_default();
        let Some(plan) = planner.plan(present, autoscaling, self.parts.settings) else {
            return;
        };
        let step = next_step(&plan, present, autoscaling);
        let due = self.due_orders(service, &step, present);
        let this = &*self;
        let given = due
            .iter()
            .map(|(subject, count)| this.order(subject, *count, &plan));
        let ended = join_all(given).await;
        for ((subject, count), end) in due.into_iter().zip(ended) {
            let pause = match end {
                Ok(()) => autoscaling.boot + OVERDUE,
                Err(_error) => REFUSED_PAUSE,
            };
            let last = LastOrder {
                count,
                not_again_before: now() + pause,
            };
            self.orders.insert(subject, last);
        }
    }

    fn due_orders(
        &self,
        service: &Service,
        step: &EngineCounts,
        present: &EngineCounts,
    ) -> Vec<(Subject, u32)> {
        let mut due = Vec::new();
        for (key, desired) in step {
            let (zone, contract) = key;
            let there = present.get(key).copied().unwrap_or_default();
            if there == *desired {
                continue;
            }
            let subject = Subject {
                service: Arc::clone(&service.name),
                zone: Arc::clone(zone),
                contract: *contract,
            };
            let is_under_way = self
                .orders
                .get(&subject)
                .is_some_and(|last| last.count == *desired && now() < last.not_again_before);
            if !is_under_way {
                due.push((subject, *desired));
            }
        }
        due
    }

    async fn order(
        &self,
        subject: &Subject,
        count: u32,
        plan: &CapacityPlan,
    ) -> Result<(), ProviderError> {
        let Some(fencing_token) = self.parts.leadership.begin_call() else {
            return Err(ProviderError::Fenced);
        };
        let caller = Caller {
            holder: Arc::clone(&self.parts.holder),
            fencing_token,
        };
        let order = EngineOrder {
            service: &subject.service,
            zone: &subject.zone,
            contract: subject.contract,
            count,
        };
        let ended = self.parts.provider.order_engines(&caller, &order).await;
        tracing::info!(
            service = &*subject.service,
            zone = &*subject.zone,
            contract = subject.contract.as_str(),
            count,
            fencing_token,
            needed = plan.needed,
            left_after_loss = plan.left_after_loss,
            error = ended.as_ref().err().map(ToString::to_string),
            "engines_ordered"
        );
        self.parts
            .pipeline
            .metrics()
            .engines_ordered(result_name(&ended));
        ended
    }
}
