//! Checks of the heads of answers beyond those of the HTTP library.

use std::ops::RangeInclusive;

use http::{StatusCode, header, response};

/// Why an answer is not valid although its head can be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InvalidAnswer {
    /// Its status is not one of a final answer, which are 200 to 599. 101 would end the use of HTTP,
    /// which no request asks for.
    Status(StatusCode),
    /// Its body has a transfer coding other than `chunked`, which would be passed on as if it were the
    /// content, or a length beside the coding.
    TransferCoding,
}

impl InvalidAnswer {
    /// Name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Status(_) => "invalid_status",
            Self::TransferCoding => "invalid_transfer_coding",
        }
    }

    /// The status, if it is what is not valid.
    #[must_use]
    pub fn status(self) -> Option<u16> {
        match self {
            Self::Status(status) => Some(status.as_u16()),
            Self::TransferCoding => None,
        }
    }
}

/// Checks what the HTTP library accepts although it is no valid final answer.
pub(super) fn check_head(head: &response::Parts) -> Result<(), InvalidAnswer> {
    const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
    if !FINAL_STATUSES.contains(&head.status.as_u16()) {
        return Err(InvalidAnswer::Status(head.status));
    }
    let mut codings = head.headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(first) = codings.next() else {
        return Ok(());
    };
    let is_chunked = first.as_bytes().eq_ignore_ascii_case(b"chunked") && codings.next().is_none();
    if !is_chunked || head.headers.contains_key(header::CONTENT_LENGTH) {
        return Err(InvalidAnswer::TransferCoding);
    }
    Ok(())
}
