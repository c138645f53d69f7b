//! Arrivals of a scenario: Poisson with changing rates, thinned from the largest one.

use ponddrift_core::random::{SeededRandom, seeded};
use rand::RngExt;

use super::deployment::Deployment;
use super::scenario::{Keyframe, Scenario};
use super::trace::ExperimentRequest;

/// Interactive target of the time to the first token, in milliseconds.
const FIRST_TOKEN_MS: f64 = 910.0;
/// Interactive target of the time between tokens, in milliseconds.
const TOKEN_INTERVAL_MS: f64 = 59.0;
/// Requests a second to plain back ends for each unit of tags.
const LOOKUPS_PER_TAG: f64 = 0.5;
/// Share of the tags that must not run twice.
const POSTINGS_AMONG_TAGS: f64 = 0.25;
/// Tenants of a deployment.
const TENANTS: u32 = 40;
/// Prefixes (handbooks, ledgers) that long reads share.
const PREFIXES: u64 = 60;
/// Time a caller waits for a record, in milliseconds.
const LOOKUP_DEADLINE_MS: u64 = 1_000;

/// A kind of requests.
struct Class {
    service: &'static str,
    priority: u8,
    prompt: (f64, f64),
    output: (f64, f64),
    /// Time beyond the interactive targets that its callers wait, in milliseconds.
    patience_ms: f64,
    has_prefix: bool,
}

struct Classes {
    review: Class,
    draft: Class,
    tag: Class,
    posting: Class,
    lookup: &'static str,
}

fn classes(deployment: Deployment) -> Classes {
    let names = match deployment {
        Deployment::Hanbit => ["ledger-verdict", "client-letter", "line-class", "posting"],
        Deployment::HeadOffice => ["excursion-verdict", "site-report", "alarm-tag", "order"],
    };
    let [review, draft, tag, posting] = names;
    Classes {
        review: Class {
            service: review,
            priority: 0,
            prompt: (2_000.0, 14_000.0),
            output: (24.0, 120.0),
            patience_ms: 2_000.0,
            has_prefix: true,
        },
        draft: Class {
            service: draft,
            priority: 2,
            prompt: (150.0, 900.0),
            output: (120.0, 480.0),
            patience_ms: 3_000.0,
            has_prefix: false,
        },
        tag: Class {
            service: tag,
            priority: 1,
            prompt: (100.0, 600.0),
            output: (4.0, 32.0),
            patience_ms: 0.0,
            has_prefix: false,
        },
        posting: Class {
            service: posting,
            priority: 1,
            prompt: (100.0, 600.0),
            output: (4.0, 32.0),
            patience_ms: 0.0,
            has_prefix: false,
        },
        lookup: match deployment {
            Deployment::Hanbit => "records",
            Deployment::HeadOffice => "probe-readings",
        },
    }
}

/// Draws the requests of a scenario; `scale` is requests a second for each unit of its rates.
#[must_use]
pub fn generate(scenario: &Scenario, scale: f64, seed: u64) -> Vec<ExperimentRequest> {
    let mut generator = Generator {
        random: seeded(seed, "experiment arrivals"),
        classes: classes(scenario.deployment),
    };
    let total = |frame: &Keyframe| frame.review + frame.draft + frame.tag * (1.0 + LOOKUPS_PER_TAG);
    let largest = scenario.keyframes.iter().map(total).fold(0.0, f64::max) * scale;
    let mut requests = Vec::new();
    let mut at = 0.0;
    loop {
        let even: f64 = generator.random.random();
        at -= (1.0 - even).ln() / largest;
        if at >= scenario.seconds || !at.is_finite() {
            return requests;
        }
        let rates = scenario.rates(at);
        let kind: f64 = generator.random.random::<f64>() * largest / scale;
        let arrival_ms = (at * 1_000.0) as u64;
        requests.extend(generator.draw(arrival_ms, &rates, kind));
    }
}

struct Generator {
    random: SeededRandom,
    classes: Classes,
}

impl Generator {
    /// `kind` lies evenly between 0 and the largest sum of rates; above the sum now, nothing arrives.
    fn draw(&mut self, arrival_ms: u64, rates: &Keyframe, kind: f64) -> Option<ExperimentRequest> {
        let postings = rates.tag * POSTINGS_AMONG_TAGS;
        let mut left = kind;
        let mut falls_into = |rate: f64| {
            let falls = left >= 0.0 && left < rate;
            left -= rate;
            falls
        };
        if falls_into(rates.review) {
            return Some(self.completion(arrival_ms, |classes| &classes.review));
        }
        if falls_into(rates.draft) {
            return Some(self.completion(arrival_ms, |classes| &classes.draft));
        }
        if falls_into(postings) {
            return Some(self.completion(arrival_ms, |classes| &classes.posting));
        }
        if falls_into(rates.tag - postings) {
            return Some(self.completion(arrival_ms, |classes| &classes.tag));
        }
        falls_into(rates.tag * LOOKUPS_PER_TAG).then(|| self.lookup(arrival_ms))
    }

    fn completion(&mut self, arrival_ms: u64, class: fn(&Classes) -> &Class) -> ExperimentRequest {
        let class = class(&self.classes);
        let prompt_tokens = logarithmic(&mut self.random, class.prompt);
        let output_tokens = logarithmic(&mut self.random, class.output);
        let waits =
            FIRST_TOKEN_MS + class.patience_ms + TOKEN_INTERVAL_MS * f64::from(output_tokens);
        let prefix = self.random.random_range(0..PREFIXES);
        ExperimentRequest {
            arrival_ms,
            tenant: format!("tenant-{}", self.random.random_range(0..TENANTS)),
            service: class.service.to_owned(),
            priority: class.priority,
            prompt_tokens,
            output_tokens,
            prefix_id: class.has_prefix.then_some(prefix),
            deadline_ms: waits as u64,
        }
    }

    fn lookup(&mut self, arrival_ms: u64) -> ExperimentRequest {
        ExperimentRequest {
            arrival_ms,
            tenant: format!("tenant-{}", self.random.random_range(0..TENANTS)),
            service: self.classes.lookup.to_owned(),
            priority: 1,
            prompt_tokens: 0,
            output_tokens: 0,
            prefix_id: None,
            deadline_ms: LOOKUP_DEADLINE_MS,
        }
    }
}

/// Drawn evenly on a logarithmic scale.
fn logarithmic(random: &mut SeededRandom, (least, most): (f64, f64)) -> u32 {
    let even: f64 = random.random();
    (least * (most / least).powf(even)).round() as u32
}
