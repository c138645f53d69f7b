//! Settings of answer assembly.

use std::time::Duration;

/// Settings of an [`super::AnswerAssembler`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerSettings {
    /// Id of the first event of a stream.
    pub first_event_id: u64,
    /// Whether an answer must echo the request id.
    pub echo_required: bool,
    /// Maximum number of consecutive resumes without a new part.
    pub max_resumes_without_progress: u32,
    /// Maximum number of resumes of one answer.
    pub max_resumes: u32,
    /// Time from the first interruption within which a resume may still be attempted without a new
    /// part.
    pub resume_window: Duration,
    /// Delay before the first resume; doubled after each resume without a new part.
    pub resume_delay: Duration,
    /// Idle time after the first part or after a resume, after which a connection is treated as
    /// lost.
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
