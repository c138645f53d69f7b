//! Orders and releases engines at the provider while this daemon leads.
//!
//! The desired state is compared with the directory periodically, because an order may be refused,
//! lost or carried out late, and the provider may take engines away.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use ponddrift_fleet::capacity::{
    CapacityPlan, CapacityPlanner, CapacitySettings, Contract, EngineCounts, Forecast,
    ForecastPlanner, GapTarget, WaitTargets, acceptable_utilization, count_ready, next_step,
};
use ponddrift_fleet::configuration::{Autoscaling, Route, Service};
use ponddrift_fleet::stages::StageWork;
use ponddrift_runtime::Runtime;
use tokio::time::sleep;

use crate::fleet_state::FleetState;
use crate::leader::Leadership;
use crate::pipeline::Pipeline;
use crate::provider::{Caller, EngineOrder, Provider, ProviderError, result_name};
use crate::time::now;

const MS_PER_S: f64 = 1_000.0;
/// Interval between planning steps.
const PLANNING_INTERVAL: Duration = Duration::from_millis(500);
/// An order is repeated if the directory does not show its effect this long after the boot time.
/// The entries of engines lag by up to a heartbeat, and draining takes a while.
const ORDER_TIMEOUT_AFTER_BOOT: Duration = Duration::from_secs(4);
/// Delay before an order is repeated that was refused or not answered.
const REFUSED_ORDER_PAUSE: Duration = Duration::from_secs(2);

/// For this long after the time to repeat it, an order that the provider could not carry out shows
/// that it has no such engines.
const UNAVAILABILITY_TTL: Duration = Duration::from_secs(4);

/// What capacity planning needs from the daemon.
pub struct CapacityDependencies {
    /// Name of this daemon.
    pub holder: Arc<str>,
    /// Settings of the capacity planner.
    pub settings: CapacitySettings,
    /// Whether engines are planned by forecast.
    pub by_forecast: bool,
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
        forecasts_logged: HashMap::new(),
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
    /// Whether the provider had no such engines.
    was_unavailable: bool,
}

enum Planner {
    /// Holds capacity for the highest load.
    HighestLoad(CapacityPlanner),
    /// Follows a forecast.
    Forecast(ForecastPlanner),
}

impl Planner {
    fn new(by_forecast: bool) -> Self {
        if by_forecast {
            Self::Forecast(ForecastPlanner::default())
        } else {
            Self::HighestLoad(CapacityPlanner::default())
        }
    }

    /// Computes the desired state, and the forecast if the planner makes one.
    fn plan(
        &mut self,
        present: &EngineCounts,
        autoscaling: &Autoscaling,
        settings: CapacitySettings,
        zones_without_spot: usize,
    ) -> Option<(CapacityPlan, Option<Forecast>)> {
        match self {
            Self::HighestLoad(planner) => planner
                .plan(present, autoscaling, settings)
                .map(|plan| (plan, None)),
            Self::Forecast(planner) => planner
                .plan(
                    present,
                    autoscaling,
                    settings.on_demand_share,
                    zones_without_spot,
                )
                .map(|(plan, forecast)| (plan, Some(forecast))),
        }
    }
}

struct CapacityController {
    dependencies: CapacityDependencies,
    planners: HashMap<Arc<str>, Planner>,
    orders: HashMap<OrderTarget, LastOrder>,
    /// When the forecast of a service was last logged.
    forecasts_logged: HashMap<Arc<str>, Instant>,
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
        let work = work.map(|(_name, work)| work);
        let settings = self.dependencies.settings;
        let utilization = self.acceptable_utilization(service);
        let slots = self.slots_held(&service.name);
        let by_forecast = self.dependencies.by_forecast;
        let planner = self
            .planners
            .entry(Arc::clone(&service.name))
            .or_insert_with(|| Planner::new(by_forecast));
        match planner {
            Planner::HighestLoad(planner) => {
                planner.observe(work, present, autoscaling, settings, now());
            }
            Planner::Forecast(planner) => {
                let work = work.map(|work| StageWork { slots, ..work });
                planner.observe(work, utilization, present, autoscaling, now());
                if let Some(forecast) = planner.forecast(autoscaling) {
                    self.record_forecast(service, &forecast, present, utilization);
                }
            }
        }
    }

    /// Shows the forecast in the metrics, and once per horizon in the leader's log.
    fn record_forecast(
        &mut self,
        service: &Service,
        forecast: &Forecast,
        present: &EngineCounts,
        utilization: f64,
    ) {
        let present = f64::from(present.values().sum::<u32>());
        let metrics = self.dependencies.pipeline.metrics();
        metrics.capacity(&service.name, "present", present);
        metrics.capacity(&service.name, "observed", forecast.observed);
        metrics.capacity(&service.name, "expected", forecast.expected);
        metrics.capacity(&service.name, "needed", forecast.needed);
        if let Some(before) = forecast.forecast_before {
            metrics.capacity(&service.name, "error", forecast.observed - before);
        }
        let last = self.forecasts_logged.get(&service.name);
        let is_due =
            last.is_none_or(|last| now().saturating_duration_since(*last) >= forecast.horizon);
        if !(is_due && self.dependencies.leadership.may_call()) {
            return;
        }
        self.forecasts_logged
            .insert(Arc::clone(&service.name), now());
        tracing::info!(
            service = &*service.name,
            horizon_ms = milliseconds(forecast.horizon),
            observed = forecast.observed,
            forecast_before = forecast.forecast_before,
            expected = forecast.expected,
            spread = forecast.spread,
            needed = forecast.needed,
            binding = forecast.binding.as_str(),
            utilization,
            present,
            "capacity_forecast"
        );
    }

    /// Slots that streams hold now, as a number of engines.
    fn slots_held(&self, service: &str) -> f64 {
        let back_ends = self.dependencies.state.back_ends();
        let engines = back_ends.iter().filter(|known| &*known.service == service);
        let engines: Vec<_> = engines.cloned().collect();
        self.dependencies
            .pipeline
            .placement()
            .load
            .slots_held(&engines)
    }

    /// Utilization at which prompts of the service wait acceptably for the strictest of its routes.
    fn acceptable_utilization(&self, service: &Service) -> f64 {
        if service.engine.is_none() {
            // It serves no prompts, whose times would tell.
            return self.dependencies.settings.busy_share;
        }
        let service = &*service.name;
        let in_force = self.dependencies.state.in_force();
        let routes = in_force
            .iter()
            .flat_map(|known| &known.configuration.routes);
        let serves = |route: &&Arc<Route>| route.split.iter().any(|part| &*part.service == service);
        let routes: Vec<_> = routes.filter(serves).collect();
        let latency = routes.iter().map(|route| route.target_latency).min();
        let gap = routes.iter().filter_map(|route| route.target_gap).min();
        let placement = self.dependencies.pipeline.placement();
        let usual_ms = placement.streams.baseline_gap_ms(service);
        let gaps = gap.map(|gap| {
            // While the usual gap is unknown, nothing is known to be left of the target.
            let is_known = usual_ms > 0.0;
            let usual = Duration::from_secs_f64(usual_ms / MS_PER_S);
            GapTarget {
                headroom: gap.saturating_sub(if is_known { usual } else { gap }),
                gaps_per_stream: if is_known {
                    placement.streams.average_ms(service) / usual_ms
                } else {
                    1.0
                },
            }
        });
        let targets = WaitTargets {
            latency: latency.unwrap_or_default(),
            gaps,
        };
        acceptable_utilization(targets, placement.prompt_times.of(service))
    }

    /// Orders engines where the current counts differ from the plan.
    async fn order_changes(&mut self, service: &Service, present: &EngineCounts) {
        let Some(autoscaling) = &service.autoscaling else {
            return;
        };
        let settings = self.dependencies.settings;
        let without_spot = self.zones_without_spot(&service.name);
        let planner = self.planners.get_mut(&service.name);
        let planned =
            planner.and_then(|planner| planner.plan(present, autoscaling, settings, without_spot));
        let Some((plan, forecast)) = planned else {
            return;
        };
        let step = next_step(&plan, present, autoscaling);
        let due = self.due_orders(service, &step, present);
        let this = &*self;
        let calls = due
            .iter()
            .map(|(target, count)| this.order(target, *count, &plan, forecast.as_ref()));
        let results = join_all(calls).await;
        for ((target, count), result) in due.into_iter().zip(results) {
            let was_unavailable = result == Err(ProviderError::Unavailable);
            let pause = match result {
                Ok(()) => autoscaling.boot + ORDER_TIMEOUT_AFTER_BOOT,
                Err(_error) => REFUSED_ORDER_PAUSE,
            };
            let last = LastOrder {
                count,
                repeat_at: now() + pause,
                was_unavailable,
            };
            self.orders.insert(target, last);
        }
    }

    /// Number of zones in which the provider had no spot engines at the last order.
    fn zones_without_spot(&self, service: &str) -> usize {
        let is_recent =
            |last: &LastOrder| now().saturating_duration_since(last.repeat_at) < UNAVAILABILITY_TTL;
        let targets = self.orders.iter().filter(|(target, last)| {
            &*target.service == service
                && target.contract == Contract::Spot
                && last.was_unavailable
                && is_recent(last)
        });
        targets.count()
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
        forecast: Option<&Forecast>,
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
            observed = forecast.map(|forecast| forecast.observed),
            expected = forecast.map(|forecast| forecast.expected),
            spread = forecast.map(|forecast| forecast.spread),
            horizon_ms = forecast.map(|forecast| milliseconds(forecast.horizon)),
            binding = forecast.map(|forecast| forecast.binding.as_str()),
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

fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
