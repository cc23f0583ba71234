//! The little HTTP/1.1 that the stand-ins need.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

pub struct Head {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter();
        let found = found.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(from: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut lines = Vec::new();
    loop {
        let mut line = Vec::new();
        if from.read_until(b'\n', &mut line)? == 0 {
            return Ok(None);
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if line.is_empty() {
            if lines.is_empty() {
                continue;
            }
            break;
        }
        lines.push(line);
    }
    let first = lines.remove(0);
    let headers = lines.iter().filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        Some((name.to_owned(), value.trim().to_owned()))
    });
    let headers = headers.collect();
    Ok(Some(Head { first, headers }))
}

/// Reads a body with a length or in chunks, or up to the end of the connection if `to_end`.
/// Returns the body and whether it is complete.
pub fn read_body(from: &mut BufReader<TcpStream>, head: &Head, to_end: bool) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    if head
        .get("transfer-encoding")
        .is_some_and(|te| te.contains("chunked"))
    {
        loop {
            let mut line = String::new();
            if !matches!(from.read_line(&mut line), Ok(read) if read > 0) {
                return (body, false);
            }
            let size = line.split(';').next().unwrap_or("").trim();
            let Ok(size) = usize::from_str_radix(size, 16) else {
                return (body, false);
            };
            let mut chunk = vec![0; size + 2];
            if from.read_exact(&mut chunk).is_err() {
                return (body, false);
            }
            body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return (body, true);
            }
        }
    }
    let length = head
        .get("content-length")
        .and_then(|length| length.parse().ok());
    match length {
        Some(length) => {
            let mut rest = vec![0; length];
            let complete = from.read_exact(&mut rest).is_ok();
            (rest, complete)
        }
        None if to_end => (body.clone(), from.read_to_end(&mut body).is_ok()),
        None => (body, true),
    }
}

/// Writes a response with a length.
pub fn respond(to: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut text = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = std::mem::take(&mut text).into_bytes();
    bytes.extend_from_slice(body);
    to.write_all(&bytes)
}

/// Encodes bytes as standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let byte = |index: usize| u32::from(*three.get(index).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            if index <= three.len() {
                text.push(char::from(
                    LETTERS[(bits >> (18 - 6 * index) & 63) as usize],
                ));
            } else {
                text.push('=');
            }
        }
    }
    text
}
