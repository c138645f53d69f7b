//! Reads length-prefixed frames from a stream.

use std::io;

use ponddrift_protocol::{DecodeError, FRAME_HEADER_BYTES, decode_frame_header};
use ponddrift_runtime::BoxedStream;
use tokio::io::AsyncReadExt;

/// Failure to read a frame.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FrameError {
    /// The connection failed or was closed.
    #[error("the connection failed: {0}; retry")]
    Connection(#[from] io::Error),
    /// The received bytes are not a valid frame.
    #[error(transparent)]
    Decode(#[from] DecodeError),
}

/// Reads one frame and returns it without its header. Memory grows with the bytes received, not
/// with the announced length.
pub(crate) async fn read_frame(stream: &mut BoxedStream) -> Result<Vec<u8>, FrameError> {
    let mut header = [0; FRAME_HEADER_BYTES];
    stream.read_exact(&mut header).await?;
    let length = decode_frame_header(header)?;
    let mut bytes = Vec::new();
    let limit = u64::try_from(length).unwrap_or(u64::MAX);
    let received = stream.take(limit).read_to_end(&mut bytes).await?;
    if received < length {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
    }
    Ok(bytes)
}
