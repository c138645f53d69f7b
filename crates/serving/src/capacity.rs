//! Orders and releases engines at the provider while this daemon leads.
//!
//! The desired state is compared with the directory periodically, because an order may be refused,
//! lost or carried out late, and the provider may take engines away.

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

/// Interval between planning steps.
const PLANNING_INTERVAL: Duration = Duration::from_millis(500);
/// An order is repeated if the directory does not show its effect this long after the boot time.
/// The entries of engines lag by up to a heartbeat, and draining takes a while.
const ORDER_TIMEOUT_AFTER_BOOT: Duration = Duration::from_secs(4);
/// Delay before an order is repeated that was refused or not answered.
const REFUSED_ORDER_PAUSE: Duration = Duration::from_secs(2);

/// What capacity planning needs from the daemon.
pub struct CapacityDependencies {
    /// Name of this daemon.
    pub holder: Arc<str>,
    /// Settings of the capacity planner.
    pub settings: CapacitySettings,
    /// The configuration and the back-end directory.
    pub state: Arc<FleetState>,
    /// Source of the measured load.
    pub pipeline: Arc<Pipeline>,
    /// Receiver of the orders.
    pub provider: Arc<dyn Provider>,
    /// Whether this daemon may send orders as the leader.
    pub leadership: Leadership,
}

/// Starts to observe the load, and to order engines while this daemon leads.
pub fn start(runtime: &Runtime, dependencies: CapacityDependencies) {
    let controller = CapacityController {
        dependencies,
        planners: HashMap::new(),
        orders: HashMap::new(),
    };
    runtime.spawner.spawn(Box::pin(controller.run()));
}

/// The engines that one order concerns: those of one service, zone and contract.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct OrderTarget {
    service: Arc<str>,
    zone: Arc<str>,
    contract: Contract,
}

/// The last order for a target.
#[derive(Debug, Clone, Copy)]
struct LastOrder {
    count: u32,
    repeat_at: Instant,
}

struct CapacityController {
    dependencies: CapacityDependencies,
    planners: HashMap<Arc<str>, CapacityPlanner>,
    orders: HashMap<OrderTarget, LastOrder>,
}

impl CapacityController {
    async fn run(mut self) {
        while !self.dependencies.pipeline.is_stopping() {
            sleep(PLANNING_INTERVAL).await;
            if self.dependencies.state.position().is_none() {
                // Not all engines are known before the first full read.
                continue;
            }
            for service in self.scaled_services() {
                let present = self.present(&service.name);
                self.observe(&service, &present);
                if self.dependencies.leadership.may_call() {
                    self.order_changes(&service, &present).await;
                } else {
                    self.orders.clear();
                }
            }
        }
    }

    fn scaled_services(&self) -> Vec<Arc<Service>> {
        let in_force = self.dependencies.state.in_force();
        let services = in_force
            .iter()
            .flat_map(|known| &known.configuration.services);
        services
            .filter(|service| service.autoscaling.is_some())
            .cloned()
            .collect()
    }

    fn present(&self, service: &str) -> EngineCounts {
        let back_ends = self.dependencies.state.back_ends();
        count_ready(back_ends.iter().filter(|known| &*known.service == service))
    }

    fn observe(&mut self, service: &Service, present: &EngineCounts) {
        let Some(autoscaling) = &service.autoscaling else {
            return;
        };
        if present.is_empty() {
            // The store has lost the entries; they return soon after the store recovers.
            return;
        }
        let work = self.dependencies.pipeline.fleet_work();
        let work = work.into_iter().find(|(name, _work)| *name == service.name);
        let planner = self.planners.entry(Arc::clone(&service.name)).or_default();
        let work = work.map(|(_name, work)| work);
        planner.observe(
            work,
            present,
            autoscaling,
            self.dependencies.settings,
            now(),
        );
    }

    /// Orders engines where the current counts differ from the plan.
    async fn order_changes(&mut self, service: &Service, present: &EngineCounts) {
        let Some(autoscaling) = &service.autoscaling else {
            return;
        };
        let planner = self.planners.entry(Arc::clone(&service.name)).or_default();
        let Some(plan) = planner.plan(present, autoscaling, self.dependencies.settings) else {
            return;
        };
        let step = next_step(&plan, present, autoscaling);
        let due = self.due_orders(service, &step, present);
        let this = &*self;
        let calls = due
            .iter()
            .map(|(target, count)| this.order(target, *count, &plan));
        let results = join_all(calls).await;
        for ((target, count), result) in due.into_iter().zip(results) {
            let pause = match result {
                Ok(()) => autoscaling.boot + ORDER_TIMEOUT_AFTER_BOOT,
                Err(_error) => REFUSED_ORDER_PAUSE,
            };
            let last = LastOrder {
                count,
                repeat_at: now() + pause,
            };
            self.orders.insert(target, last);
        }
    }

    fn due_orders(
        &self,
        service: &Service,
        step: &EngineCounts,
        present: &EngineCounts,
    ) -> Vec<(OrderTarget, u32)> {
        let mut due = Vec::new();
        for (key, desired) in step {
            let (zone, contract) = key;
            let current = present.get(key).copied().unwrap_or_default();
            if current == *desired {
                continue;
            }
            let target = OrderTarget {
                service: Arc::clone(&service.name),
                zone: Arc::clone(zone),
                contract: *contract,
            };
            let is_in_progress = self
                .orders
                .get(&target)
                .is_some_and(|last| last.count == *desired && now() < last.repeat_at);
            if !is_in_progress {
                due.push((target, *desired));
            }
        }
        due
    }

    async fn order(
        &self,
        target: &OrderTarget,
        count: u32,
        plan: &CapacityPlan,
    ) -> Result<(), ProviderError> {
        let Some(fencing_token) = self.dependencies.leadership.begin_call() else {
            return Err(ProviderError::Fenced);
        };
        let caller = Caller {
            holder: Arc::clone(&self.dependencies.holder),
            fencing_token,
        };
        let order = EngineOrder {
            service: &target.service,
            zone: &target.zone,
            contract: target.contract,
            count,
        };
        let result = self
            .dependencies
            .provider
            .order_engines(&caller, &order)
            .await;
        tracing::info!(
            service = &*target.service,
            zone = &*target.zone,
            contract = target.contract.as_str(),
            count,
            fencing_token,
            needed = plan.needed,
            left_after_loss = plan.left_after_loss,
            error = result.as_ref().err().map(ToString::to_string),
            "engines_ordered"
        );
        self.dependencies
            .pipeline
            .metrics()
            .engines_ordered(result_name(&result));
        result
    }
}
