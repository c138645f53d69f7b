//! Selects the route of a request and the service within a split route.

use std::collections::HashMap;
use std::sync::Arc;

use crate::configuration::{Configuration, Route, SplitPart};

/// Routes of one configuration, by host.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Builds the table of `configuration`.
    #[must_use]
    pub fn new(configuration: &Configuration) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(Arc::clone(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Self { by_host }
    }

    /// Route with the longest path prefix that matches `path`. A port in `host` is ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        self.by_host
            .get(&name.to_ascii_lowercase())?
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }
}

/// Distributes the requests of split routes evenly over their services, in proportion to the
/// weights.
#[derive(Debug, Default)]
pub struct SplitScheduler {
    by_route: HashMap<Arc<str>, RoundRobin>,
}

#[derive(Debug)]
struct RoundRobin {
    split: Vec<SplitPart>,
    credit: Vec<i64>,
}

impl SplitScheduler {
    /// Service for the next request of `route`; `None` if all weights are 0.
    pub fn next(&mut self, route: &Route) -> Option<Arc<str>> {
        if let [only] = route.split.as_slice() {
            return Some(Arc::clone(&only.service));
        }
        let round_robin = self
            .by_route
            .entry(Arc::clone(&route.name))
            .or_insert_with(|| RoundRobin::new(&route.split));
        if round_robin.split != route.split {
            *round_robin = RoundRobin::new(&route.split);
        }
        round_robin.next()
    }

    /// Removes routes that are not in `configuration`.
    pub fn keep_only(&mut self, configuration: &Configuration) {
        self.by_route
            .retain(|name, _deal| configuration.routes.iter().any(|route| route.name == *name));
    }
}

impl RoundRobin {
    fn new(split: &[SplitPart]) -> Self {
        Self {
            split: split.to_vec(),
            credit: vec![0; split.len()],
        }
    }

    /// Smooth weighted round robin: the part with the most credit is chosen and pays the sum of all
    /// weights.
    fn next(&mut self) -> Option<Arc<str>> {
        let total: i64 = self.split.iter().map(|part| i64::from(part.weight)).sum();
        if total == 0 {
            return None;
        }
        for (credit, part) in self.credit.iter_mut().zip(&self.split) {
            *credit += i64::from(part.weight);
        }
        let chosen = (0..self.split.len())
            .filter(|index| self.split[*index].weight > 0)
            .max_by_key(|index| (self.credit[*index], std::cmp::Reverse(*index)))?;
        self.credit[chosen] -= total;
        Some(Arc::clone(&self.split[chosen].service))
    }
}
