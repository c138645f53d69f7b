//! Settings of the assembly of answers.

use std::time::Duration;

/// Settings of an [`super::AnswerAssembler`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerSettings {
    /// Number of a stream's first event.
    pub first_event_id: u64,
    /// Whether an answer without an echoed request id is refused.
    pub echo_required: bool,
    /// Resumes in a row that bring nothing new.
    pub max_resumes_without_progress: u32,
    /// Resumes of one answer in all.
    pub max_resumes: u32,
    /// Time in which a resume must have brought something new.
    pub resume_window: Duration,
    /// Wait before the first resume; doubled at each fruitless one.
    pub resume_delay: Duration,
    /// A connection that brings nothing for so long after the first part, or after a resume, counts
    /// as cut.
    pub idle_limit: Duration,
}

impl Default for AnswerSettings {
    fn default() -> Self {
        Self {
            first_event_id: 1,
            echo_required: true,
            max_resumes_without_progress: 4,
            max_resumes: 16,
            resume_window: Duration::from_secs(10),
            resume_delay: Duration::from_millis(20),
            idle_limit: Duration::from_secs(15),
        }
    }
}
