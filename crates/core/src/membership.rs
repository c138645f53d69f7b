//! Membership of daemons by gossip: SWIM with suspicion, incarnations and anti-entropy.
//!
//! [`Membership`] handles events and returns actions; its caller owns the socket and the clock. See
//! `docs/design/membership-and-load.md` for the rationale and the cost.

pub mod assignment;
mod contact;
mod dissemination;
mod event;
mod gossip;
mod message;
mod prober;
mod receive;
mod reconnect;
mod record;
mod settings;
mod table;

pub use contact::Contact;
pub use event::{MembershipAction, MembershipEvent, Seed};
pub use gossip::Membership;
pub use message::{MembershipMessage, Update};
pub use record::{DaemonFacts, Life, MemberRecord, MemberState, Readiness};
pub use settings::MembershipSettings;
