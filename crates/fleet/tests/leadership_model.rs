//! Explores every interleaving of two candidates and one store, up to a bound, and checks what receivers of a leader's calls
//! may see. Answers are late or lost, one candidate is paused or killed, the lead is given back.
//!
//! Time passes in ticks. In each, either candidate does one thing or none. States are kept relative to the present, so that
//! the search ends; each is visited once. Faults seeded into the rules must be found.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use ponddrift_fleet::leadership::{Fencing, Grant, LeaderTerm};

/// Length of a tick.
const TICK: Duration = Duration::from_millis(300);
/// Ticks that a call takes at most; it is abandoned before the next one.
const SLOWEST_CALL: u8 = 2;
/// More states than this are too many to visit in a test.
const MOST_STATES: usize = 3_000_000;
/// Ticks until the store takes a call up, and from then to its answer; none where the answer is lost.
type StoreTimes = &'static [(u8, Option<u8>)];

/// What is explored.
#[derive(Debug, Clone, Copy)]
struct Scope {
    /// Pauses and kills.
    faults: u8,
    /// Times that the lead is given back.
    releases: u8,
    store_times: StoreTimes,
    /// Ticks.
    horizon: usize,
}

/// A store that is late and loses answers, a fault, and a lead that is given back.
const TROUBLED: Scope = Scope {
    faults: 1,
    releases: 1,
    store_times: &[(0, Some(0)), (0, Some(3)), (1, Some(1)), (0, None)],
    horizon: 16,
};
/// A lead that is given back twice, with leases long enough for three leaders in one.
const HANDED_ON: Scope = Scope {
    faults: 0,
    releases: 2,
    store_times: &[(0, Some(0)), (0, None)],
    horizon: 24,
};
/// Life of a lease in ticks, by scope.
const SHORT: u8 = 6;
const LONG: u8 = 12;

/// The rules as they are, and faults that the search must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Rules {
    AsTheyAre,
    /// A lease counts from the store's answer.
    LeaseFromAnswer,
    /// A renewal counts from the store's answer.
    RenewalFromAnswer,
    /// A call may leave until the store lets the lease lapse.
    NoTimeForCalls,
    /// A former leader does not wait.
    NoWaitAfterOwnCalls,
    /// The lead is given back while calls are on their way.
    ReleaseAtOnce,
}

/// What a candidate was granted; times in ticks before now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Held {
    /// Grants since this one.
    token_age: u8,
    asked: u8,
    answered: u8,
    last_call: u8,
    renewed: Option<u8>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Question {
    Take,
    Renew,
    Release,
}

/// A call to the store on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Asked {
    question: Question,
    asked: u8,
    taken_up_in: Option<u8>,
    answered_in: Option<u8>,
    /// Whether the store did it, once it has taken it up.
    done: bool,
    token_age: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct Candidate {
    held: Option<Held>,
    asked: Option<Asked>,
    last_call: u8,
    paused: u8,
    /// A call on its way: ticks until it arrives, and its token's age.
    call: Option<(u8, u8)>,
    /// Gives the lead back in so many ticks.
    releases_in: Option<u8>,
}

/// The store's lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Lease {
    holder: usize,
    left: u8,
}

/// What the receiver has seen of one candidate, in ticks before now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Seen {
    newest: u8,
    /// Its newest call before the other's newest.
    before_other: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct State<const LIFE: u8> {
    candidates: [Candidate; 2],
    lease: Option<Lease>,
    seen: [Seen; 2],
    /// Age of the highest token that was seen, and whose it was.
    highest: Option<(u8, usize)>,
    faults_left: u8,
    releases_left: u8,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    LowerToken,
    SameTokenOfTwo,
    TakeTurns,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Nothing,
    Ask(Question, u8, Option<u8>),
    Call(u8),
    Pause,
    Kill,
    BeginRelease,
}

impl<const LIFE: u8> State<LIFE> {
    /// What happened so many ticks ago no longer matters.
    const LONG_AGO: u8 = LIFE + 3;
    /// A lease is renewed when it was granted or renewed so many ticks ago.
    const RENEWAL: u8 = LIFE / 3;
    /// Ticks that a paused candidate stands still.
    const PAUSE: u8 = LIFE + 3;

    fn older(ticks: u8) -> u8 {
        (ticks + 1).min(Self::LONG_AGO)
    }

    fn first(scope: Scope) -> Self {
        let long_ago = Seen {
            newest: Self::LONG_AGO,
            before_other: Self::LONG_AGO,
        };
        let candidate = Candidate {
            last_call: Self::LONG_AGO,
            ..Candidate::default()
        };
        Self {
            candidates: [candidate; 2],
            lease: None,
            seen: [long_ago; 2],
            highest: None,
            faults_left: scope.faults,
            releases_left: scope.releases,
        }
    }

    fn may_call(&self, who: usize, rules: Rules) -> bool {
        let candidate = &self.candidates[who];
        let Some(held) = candidate.held else {
            return false;
        };
        if candidate.releases_in.is_some() {
            return false;
        }
        let now = Instant::now() + TICK * 1_000;
        let ago = |ticks: u8| now - TICK * u32::from(ticks);
        let asked = match rules {
            Rules::LeaseFromAnswer => ago(held.answered),
            _ => ago(held.asked),
        };
        let last_call = match rules {
            Rules::NoWaitAfterOwnCalls => ago(100),
            // Beyond that nobody remembers, and nothing depends on it.
            _ if held.last_call >= Self::LONG_AGO => ago(100),
            _ => ago(held.last_call),
        };
        let grant = Grant {
            fencing_token: 1,
            life: TICK * u32::from(LIFE),
            asked,
            answered: ago(held.answered),
            last_call,
        };
        let term = LeaderTerm::new(&grant, Fencing::Checked);
        let term = match held.renewed {
            Some(renewed) => term.renewed(ago(renewed)),
            None => term,
        };
        match rules {
            Rules::NoTimeForCalls => held.renewed.unwrap_or(held.asked) < LIFE,
            _ => term.allows_call(now),
        }
    }

    fn steps(&self, who: usize, rules: Rules, scope: Scope) -> Vec<Step> {
        let candidate = &self.candidates[who];
        let mut steps = vec![Step::Nothing];
        if candidate.paused > 0 {
            return steps;
        }
        let mut ask = |question| {
            let times = scope.store_times.iter();
            steps.extend(times.map(|(up, answer)| Step::Ask(question, *up, *answer)));
        };
        if candidate.asked.is_none() && candidate.releases_in.is_none() {
            match candidate.held {
                // Both watch the store.
                None if self.lease.is_none() => ask(Question::Take),
                Some(held) if held.renewed.unwrap_or(held.asked) >= Self::RENEWAL => {
                    ask(Question::Renew);
                }
                _ => {}
            }
        }
        if candidate.call.is_none() && self.may_call(who, rules) {
            steps.push(Step::Call(0));
            steps.push(Step::Call(SLOWEST_CALL));
        }
        if self.faults_left > 0 && (candidate.held.is_some() || candidate.asked.is_some()) {
            steps.push(Step::Pause);
            steps.push(Step::Kill);
        }
        let may_release = self.releases_left > 0 && candidate.releases_in.is_none();
        if may_release && candidate.held.is_some() && candidate.asked.is_none() {
            steps.push(Step::BeginRelease);
        }
        steps
    }

    fn take_step(&mut self, who: usize, step: Step, rules: Rules) {
        let candidate = &mut self.candidates[who];
        match step {
            Step::Nothing => {}
            Step::Ask(question, up, answer) => {
                candidate.asked = Some(Asked {
                    question,
                    asked: 0,
                    taken_up_in: Some(up),
                    answered_in: answer.map(|answer| up + answer),
                    done: false,
                    token_age: 0,
                });
            }
            Step::Call(takes) => {
                let held = candidate.held.expect("it leads");
                candidate.call = Some((takes, held.token_age));
                candidate.last_call = 0;
                if rules == Rules::ReleaseAtOnce && self.releases_left > 0 {
                    candidate.held = None;
                    self.lease = self.lease.filter(|lease| lease.holder != who);
                    self.releases_left -= 1;
                }
            }
            Step::Pause => {
                candidate.paused = Self::PAUSE;
                self.faults_left -= 1;
            }
            Step::Kill => {
                // Another process starts at once; what is on its way arrives all the same.
                *candidate = Candidate {
                    last_call: 0,
                    call: candidate.call,
                    ..Candidate::default()
                };
                self.faults_left -= 1;
            }
            Step::BeginRelease => {
                candidate.releases_in = Some(SLOWEST_CALL + 1);
                self.releases_left -= 1;
            }
        }
    }

    /// Lets one tick pass: what is due arrives.
    fn pass(&mut self, rules: Rules) -> Result<(), Fault> {
        for who in 0..2 {
            self.begin_release(who);
            self.store_takes_up(who);
            self.answer_arrives(who);
            self.call_arrives(who)?;
        }
        self.age(rules);
        Ok(())
    }

    fn begin_release(&mut self, who: usize) {
        let candidate = &mut self.candidates[who];
        match candidate.releases_in {
            Some(0) => {
                candidate.releases_in = None;
                candidate.held = None;
                candidate.asked = Some(Asked {
                    question: Question::Release,
                    asked: 0,
                    taken_up_in: Some(0),
                    answered_in: Some(0),
                    done: false,
                    token_age: 0,
                });
            }
            Some(left) if candidate.paused == 0 => candidate.releases_in = Some(left - 1),
            _ => {}
        }
    }

    fn store_takes_up(&mut self, who: usize) {
        let Some(mut asked) = self.candidates[who].asked else {
            return;
        };
        if asked.taken_up_in != Some(0) {
            return;
        }
        asked.taken_up_in = None;
        let holds = self.lease.is_some_and(|lease| lease.holder == who);
        match asked.question {
            Question::Take if self.lease.is_none() => {
                self.lease = Some(Lease {
                    holder: who,
                    left: LIFE,
                });
                asked.done = true;
                self.tokens_age();
            }
            Question::Take => {}
            Question::Renew if holds => {
                self.lease = Some(Lease {
                    holder: who,
                    left: LIFE,
                });
                asked.done = true;
            }
            Question::Renew => {}
            Question::Release if holds => self.lease = None,
            Question::Release => {}
        }
        self.candidates[who].asked = Some(asked);
    }

    /// Another token was handed out: all others are one older.
    fn tokens_age(&mut self) {
        for candidate in &mut self.candidates {
            if let Some(held) = &mut candidate.held {
                held.token_age = (held.token_age + 1).min(9);
            }
            if let Some(asked) = &mut candidate.asked
                && asked.done
            {
                asked.token_age = (asked.token_age + 1).min(9);
            }
            if let Some((_left, token_age)) = &mut candidate.call {
                *token_age = (*token_age + 1).min(9);
            }
        }
        if let Some((token_age, _whose)) = &mut self.highest {
            *token_age = (*token_age + 1).min(9);
        }
    }

    fn answer_arrives(&mut self, who: usize) {
        let candidate = &mut self.candidates[who];
        let Some(asked) = candidate.asked else {
            return;
        };
        let is_due = asked.answered_in == Some(0) && candidate.paused == 0;
        if !is_due {
            return;
        }
        candidate.asked = None;
        match (asked.question, asked.done) {
            (Question::Take, true) => {
                candidate.held = Some(Held {
                    token_age: asked.token_age,
                    asked: asked.asked,
                    answered: 0,
                    last_call: candidate.last_call,
                    renewed: None,
                });
            }
            (Question::Renew, true) => {
                if let Some(held) = &mut candidate.held {
                    held.renewed = Some(asked.asked);
                }
            }
            (Question::Renew, false) => candidate.held = None,
            _ => {}
        }
    }

    fn call_arrives(&mut self, who: usize) -> Result<(), Fault> {
        let Some((left, token_age)) = self.candidates[who].call else {
            return Ok(());
        };
        if left > 0 {
            self.candidates[who].call = Some((left - 1, token_age));
            return Ok(());
        }
        self.candidates[who].call = None;
        if let Some((highest_age, whose)) = self.highest {
            if token_age > highest_age {
                return Err(Fault::LowerToken);
            }
            if token_age == highest_age && whose != who {
                return Err(Fault::SameTokenOfTwo);
            }
        }
        let other = 1 - who;
        if self.seen[who].before_other < LIFE && self.seen[other].newest < Self::LONG_AGO {
            return Err(Fault::TakeTurns);
        }
        self.highest = Some((token_age, who));
        self.seen[who].newest = 0;
        let others_newest = self.seen[other].newest;
        self.seen[other].before_other = others_newest;
        self.seen[who].before_other = Self::LONG_AGO;
        Ok(())
    }

    fn age(&mut self, rules: Rules) {
        for candidate in &mut self.candidates {
            candidate.paused = candidate.paused.saturating_sub(1);
            candidate.last_call = Self::older(candidate.last_call);
            if let Some(held) = &mut candidate.held {
                held.asked = Self::older(held.asked);
                held.answered = Self::older(held.answered);
                held.last_call = Self::older(held.last_call);
                held.renewed = held.renewed.map(Self::older);
                if held.renewed.unwrap_or(held.asked) >= Self::LONG_AGO {
                    candidate.held = None;
                }
            }
            if let Some(asked) = &mut candidate.asked {
                // A renewal that is counted from its answer seems never to grow old.
                if !(rules == Rules::RenewalFromAnswer && asked.question == Question::Renew) {
                    asked.asked = Self::older(asked.asked);
                }
                asked.taken_up_in = asked.taken_up_in.map(|left| left.saturating_sub(1));
                asked.answered_in = asked.answered_in.map(|left| left.saturating_sub(1));
                let is_given_up = asked.answered_in.is_none() && asked.taken_up_in.is_none();
                if is_given_up {
                    candidate.asked = None;
                }
            }
        }
        for seen in &mut self.seen {
            seen.newest = Self::older(seen.newest);
            seen.before_other = Self::older(seen.before_other);
        }
        if let Some(lease) = &mut self.lease {
            lease.left -= 1;
            if lease.left == 0 {
                self.lease = None;
            }
        }
    }
}

/// Visits every state within the horizon. Returns how many there are, and the first fault with the steps of its last tick.
fn explore<const LIFE: u8>(rules: Rules, scope: Scope) -> (usize, Option<Fault>) {
    let first = State::<LIFE>::first(scope);
    let mut visited = HashSet::from([first]);
    let mut layer = vec![first];
    for _tick in 0..scope.horizon {
        let mut next = Vec::new();
        for state in layer {
            for first in state.steps(0, rules, scope) {
                let mut half = state;
                half.take_step(0, first, rules);
                for second in half.steps(1, rules, scope) {
                    let mut after = half;
                    after.take_step(1, second, rules);
                    if let Err(fault) = after.pass(rules) {
                        return (visited.len(), Some(fault));
                    }
                    if visited.insert(after) {
                        next.push(after);
                    }
                    assert!(visited.len() <= MOST_STATES, "too many states");
                }
            }
        }
        layer = next;
    }
    (visited.len(), None)
}

#[test]
fn no_interleaving_shows_receivers_a_lower_token_a_shared_one_or_turns() {
    let found = [
        explore::<SHORT>(Rules::AsTheyAre, TROUBLED),
        explore::<LONG>(Rules::AsTheyAre, HANDED_ON),
    ];
    for (states, fault) in found {
        assert_eq!(fault, None);
        assert!(
            states > 1_000,
            "{states} states are too few to mean anything"
        );
    }
}

#[test]
fn each_fault_seeded_into_the_rules_is_found() {
    let seeded = [
        Rules::LeaseFromAnswer,
        Rules::RenewalFromAnswer,
        Rules::NoTimeForCalls,
        Rules::NoWaitAfterOwnCalls,
        Rules::ReleaseAtOnce,
    ];
    for rules in seeded {
        let troubled = explore::<SHORT>(rules, TROUBLED).1;
        let fault = troubled.or_else(|| explore::<LONG>(rules, HANDED_ON).1);
        assert!(fault.is_some(), "{rules:?} is not found");
    }
}
