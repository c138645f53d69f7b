//! Which route a request takes, and which service of a split route.

use std::collections::HashMap;
use std::sync::Arc;

use crate::configuration::{Configuration, Route, SplitPart};

/// Routes of one configuration, by host.
#[derive(Debug, Default)]
pub struct RouteTable {
    by_host: HashMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// The table of `configuration`.
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

    /// The route with the longest prefix that begins `path`. A port behind `host` does not count.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host);
        self.by_host
            .get(&name.to_ascii_lowercase())?
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }
}

/// Deals requests of split routes to their services in the shares of their weights, evenly spread.
#[derive(Debug, Default)]
pub struct SplitScheduler {
    by_route: HashMap<Arc<str>, Deal>,
}

#[derive(Debug)]
struct Deal {
    split: Vec<SplitPart>,
    credit: Vec<i64>,
}

impl SplitScheduler {
    /// The service of the next request of `route`; none if no part has any weight.
    pub fn next(&mut self, route: &Route) -> Option<Arc<str>> {
        if let [only] = route.split.as_slice() {
            return Some(Arc::clone(&only.service));
        }
        let deal = self
            .by_route
            .entry(Arc::clone(&route.name))
            .or_insert_with(|| Deal::new(&route.split));
        if deal.split != route.split {
            *deal = Deal::new(&route.split);
        }
        deal.next()
    }

    /// Forgets routes that are no longer there.
    pub fn keep_only(&mut self, configuration: &Configuration) {
        self.by_route
            .retain(|name, _deal| configuration.routes.iter().any(|route| route.name == *name));
    }
}

impl Deal {
    fn new(split: &[SplitPart]) -> Self {
        Self {
            split: split.to_vec(),
            credit: vec![0; split.len()],
        }
    }

    /// Smooth weighted round robin: the part with the most credit pays the sum of all weights.
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
