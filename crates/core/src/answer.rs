//! Assembly of an answer from the parts that a back end sends.
//!
//! The caller receives every part of the answer to its own request exactly once and in order,
//! followed by the end mark or an explicit error. An answer never ends silently and never contains
//! a part of another request's answer.

mod assembler;
mod error;
mod event;
mod settings;

pub use assembler::AnswerAssembler;
pub use error::{AnswerError, AnswerFault};
pub use event::{AnswerAction, AnswerEvent, AnswerKind, BodyFraming, ConnectionNumber};
pub use settings::AnswerSettings;
