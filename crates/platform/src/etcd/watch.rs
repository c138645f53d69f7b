//! Response stream of a watch: one JSON message per line until the connection ends.

use std::io;

use futures::{StreamExt, TryStreamExt, stream};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio_util::codec::{FramedRead, LinesCodec};
use tokio_util::io::StreamReader;

use super::convert;
use super::wire;
use crate::store::{StoreError, WatchEvent, WatchStream};

/// Maximum length of a line.
const LINE_SIZE_LIMIT_BYTES: usize = 16 * 1024 * 1024;

type Line = wire::StreamLine<wire::WatchResponse>;

/// Parses the events of a watch, one batch per line. The stream ends after the first error, and
/// always with an error, since a watch has no regular end.
pub(super) fn events(body: Incoming) -> WatchStream {
    let chunks = body.into_data_stream().map_err(io::Error::other);
    let lines = FramedRead::new(
        StreamReader::new(chunks),
        LinesCodec::new_with_max_length(LINE_SIZE_LIMIT_BYTES),
    );
    let batches = lines.map(|line| match line {
        Ok(line) => parse_line(&line),
        Err(error) => Err(StoreError::Unreachable {
            reason: error.to_string(),
        }),
    });
    let connection_closed = stream::once(async {
        Err(StoreError::Unreachable {
            reason: String::from("the watch connection was closed"),
        })
    });
    let until_error = batches
        .chain(connection_closed)
        .scan(false, |failed, batch| {
            let after_error = std::mem::replace(failed, batch.is_err());
            futures::future::ready((!after_error).then_some(batch))
        });
    until_error.boxed()
}

fn parse_line(line: &str) -> Result<Vec<WatchEvent>, StoreError> {
    let line: Line = serde_json::from_str(line)
        .map_err(|error| StoreError::Protocol(format!("watch response line: {error}")))?;
    if let Some(error) = line.error {
        return Err(StoreError::Unreachable {
            reason: error.message,
        });
    }
    let message = line.result.unwrap_or_default();
    if message.compact_revision.0 > 0 {
        return Err(StoreError::Compacted(convert::revision(
            message.compact_revision,
        )?));
    }
    if message.canceled {
        return Err(StoreError::Unreachable {
            reason: String::from("the service cancelled the watch"),
        });
    }
    message
        .events
        .into_iter()
        .map(convert::watch_event)
        .collect()
}
