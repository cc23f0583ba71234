//! The parts of HTTP/1.1 that the stand-ins speak, on plain sockets.

use std::io::{Error, ErrorKind, Result};

use tokio::io::{AsyncRead, AsyncReadExt};

/// The start line and the headers of a message.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the first value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method and the target of a request.
    pub fn request(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from a connection.
pub struct Reader<S> {
    stream: S,
    buffer: Vec<u8>,
}

fn broken(reason: &str) -> Error {
    Error::new(ErrorKind::UnexpectedEof, reason.to_owned())
}

impl<S: AsyncRead + Unpin> Reader<S> {
    pub fn new(stream: S) -> Self {
        let buffer = Vec::new();
        Self { stream, buffer }
    }

    /// Reads more bytes; returns whether there were any.
    pub async fn fill(&mut self) -> Result<bool> {
        let mut bytes = [0; 16 * 1024];
        let length = self.stream.read(&mut bytes).await?;
        self.buffer.extend_from_slice(&bytes[..length]);
        Ok(length > 0)
    }

    /// Reads a head; `None` if the connection ends before one.
    pub async fn head(&mut self) -> Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { start, headers }));
            }
            if !self.fill().await? {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(broken("the connection ended within a head")),
                };
            }
        }
    }

    async fn take(&mut self, length: usize) -> Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill().await? {
                return Err(broken("the connection ended within a body"));
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    async fn line(&mut self) -> Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = self.take(end + 2).await?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill().await? {
                return Err(broken("the connection ended within a chunk"));
            }
        }
    }

    /// Reads a body into `body`, which keeps what had arrived if the body is not complete.
    /// `until_close` says whether a body with neither a length nor chunks ends with the connection.
    pub async fn body(&mut self, head: &Head, until_close: bool, body: &mut Vec<u8>) -> Result<()> {
        let encoding = head.header("transfer-encoding").unwrap_or("");
        if encoding.eq_ignore_ascii_case("chunked") {
            loop {
                let size = self.line().await?;
                let size = size.split(';').next().unwrap_or("").trim();
                let size = usize::from_str_radix(size, 16).map_err(|_| broken("a bad chunk"))?;
                if size == 0 {
                    while !self.line().await?.is_empty() {}
                    return Ok(());
                }
                body.extend(self.take(size).await?);
                self.line().await?;
            }
        }
        if let Some(length) = head.header("content-length") {
            let length: usize = length.parse().map_err(|_| broken("a bad length"))?;
            let mut left = length;
            while left > 0 {
                if self.buffer.is_empty() && !self.fill().await? {
                    return Err(broken("the connection ended within a body"));
                }
                let part = left.min(self.buffer.len());
                body.extend(self.buffer.drain(..part));
                left -= part;
            }
            return Ok(());
        }
        if until_close {
            loop {
                body.append(&mut self.buffer);
                if !self.fill().await? {
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    pub fn stream(&mut self) -> &mut S {
        &mut self.stream
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// Returns a response with a length.
pub fn response(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n{body}")
}
