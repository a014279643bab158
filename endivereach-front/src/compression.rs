//! Compression of HTTP bodies between proxies.
//!
//! Routes repeat the same values for thousands of databases, so that compression saves most of the bytes
//! that a reader sends to each of its followers.

use flate2::Compression;
use flate2::read::GzDecoder;
use flate2::write::GzEncoder;
use std::io;
use std::io::Read;
use std::io::Write;

/// The name of the encoding in HTTP headers.
pub const ENCODING: &str = "gzip";

/// The minimum size of a body that is compressed. A smaller one fits into a few packets anyway.
pub const COMPRESSED_BYTES_MIN: usize = 1024;

/// The maximum size of a body after decompression, which bounds the memory that a reply can take.
pub const DECOMPRESSED_BYTES_MAX: u64 = 64 * 1024 * 1024;

/// Compresses a body.
///
/// # Errors
///
/// Returns an error if the encoder fails, which doesn't happen when it writes to memory.
///
/// # Examples
///
/// ```
/// use endivereach_front::compression::{compress, decompress};
///
/// let body = b"the same route ".repeat(1_000);
/// let compressed = compress(&body)?;
/// assert!(compressed.len() < body.len() / 10);
/// assert_eq!(decompress(&compressed)?, body);
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn compress(body: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(body)?;
    encoder.finish()
}

/// Decompresses a body.
///
/// # Errors
///
/// Returns an error if the body isn't compressed data, or if it has more than
/// [`DECOMPRESSED_BYTES_MAX`] bytes.
pub fn decompress(body: &[u8]) -> io::Result<Vec<u8>> {
    let mut decompressed = Vec::new();
    let mut decoder = GzDecoder::new(body).take(DECOMPRESSED_BYTES_MAX + 1);
    decoder.read_to_end(&mut decompressed)?;
    if decompressed.len() as u64 > DECOMPRESSED_BYTES_MAX {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            format!("the body has more than {DECOMPRESSED_BYTES_MAX} bytes"),
        ));
    }
    Ok(decompressed)
}
