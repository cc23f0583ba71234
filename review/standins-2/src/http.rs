//! HTTP/1.1 on blocking sockets.

use std::io::{BufRead, BufReader, Error, ErrorKind, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::time::Duration;

pub type Headers = Vec<(String, String)>;

pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| unescape(value))
    }
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        if *first == b'%' && after.len() >= 2 {
            let hex = std::str::from_utf8(&after[..2]).unwrap_or("20");
            bytes.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
            rest = &after[2..];
        } else {
            bytes.push(*first);
            rest = after;
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn line(reader: &mut impl BufRead) -> Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()))
}

fn headers(reader: &mut impl BufRead) -> Result<Headers> {
    let mut headers = Headers::new();
    loop {
        let line = line(reader)?.ok_or(ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or(ErrorKind::InvalidData)?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads chunk after chunk; the last, empty one ends a body.
fn chunk(reader: &mut impl BufRead) -> Result<Vec<u8>> {
    let size = line(reader)?.ok_or(ErrorKind::UnexpectedEof)?;
    let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16);
    let mut bytes = vec![0; size.map_err(|_| ErrorKind::InvalidData)?];
    reader.read_exact(&mut bytes)?;
    line(reader)?.ok_or(ErrorKind::UnexpectedEof)?;
    Ok(bytes)
}

fn body(reader: &mut impl BufRead, headers: &Headers) -> Result<Vec<u8>> {
    if header(headers, "transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let chunk = chunk(reader)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
    let length = header(headers, "content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Result<Option<Request>> {
    let Some(first) = line(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let (method, target) = (words.next(), words.next());
    let (Some(method), Some(target)) = (method, target) else {
        return Err(ErrorKind::InvalidData.into());
    };
    let headers = headers(reader)?;
    let body = body(reader, &headers)?;
    Ok(Some(Request {
        method: method.to_owned(),
        target: target.to_owned(),
        headers,
        body,
    }))
}

/// Writes an answer with a length.
pub fn answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<()> {
    let mut bytes = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

pub struct Answer {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
}

/// A client's connection.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    /// Connects; `receive_buffer` is the size of the socket's receive buffer, if not the usual one.
    pub fn connect(address: SocketAddr, receive_buffer: Option<i32>) -> Result<Self> {
        let stream = match receive_buffer {
            None => TcpStream::connect_timeout(&address, Duration::from_secs(1))?,
            Some(size) => connect_with_buffer(address, size)?,
        };
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        Ok(Self {
            reader: BufReader::with_capacity(1_024, stream),
        })
    }

    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> Result<()> {
        let mut bytes = format!("{method} {path} HTTP/1.1\r\n");
        for (name, value) in fields {
            bytes.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() {
            bytes.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        bytes.push_str("\r\n");
        let mut bytes = bytes.into_bytes();
        bytes.extend_from_slice(body);
        self.reader.get_mut().write_all(&bytes)
    }

    /// Reads the head of an answer.
    pub fn head(&mut self) -> Result<(u16, Headers)> {
        let first = line(&mut self.reader)?.ok_or(ErrorKind::UnexpectedEof)?;
        let status = first
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        let status = status.ok_or(Error::from(ErrorKind::InvalidData))?;
        Ok((status, headers(&mut self.reader)?))
    }

    /// Reads a whole answer.
    pub fn answer(&mut self) -> Result<Answer> {
        let (status, headers) = self.head()?;
        let body = body(&mut self.reader, &headers)?;
        Ok(Answer {
            status,
            headers,
            body,
        })
    }

    /// Reads the next chunk of an answer in chunks; empty at its end.
    pub fn chunk(&mut self) -> Result<Vec<u8>> {
        chunk(&mut self.reader)
    }

    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> Result<Answer> {
        self.send(method, path, fields, body)?;
        self.answer()
    }
}

/// The size of a receive buffer has to be set before connecting.
fn connect_with_buffer(address: SocketAddr, size: i32) -> Result<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return Err(ErrorKind::Unsupported.into());
    };
    // SAFETY: plain socket calls; the descriptor is owned by the returned stream.
    unsafe {
        let fd = libc::socket(libc::AF_INET, libc::SOCK_STREAM | libc::SOCK_CLOEXEC, 0);
        if fd < 0 {
            return Err(Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        let length = size_of::<i32>() as libc::socklen_t;
        let value = (&raw const size).cast();
        if libc::setsockopt(fd, libc::SOL_SOCKET, libc::SO_RCVBUF, value, length) != 0 {
            return Err(Error::last_os_error());
        }
        let mut to: libc::sockaddr_in = std::mem::zeroed();
        to.sin_family = libc::AF_INET as libc::sa_family_t;
        to.sin_port = address.port().to_be();
        to.sin_addr.s_addr = u32::from_ne_bytes(address.ip().octets());
        let length = size_of::<libc::sockaddr_in>() as libc::socklen_t;
        if libc::connect(fd, (&raw const to).cast(), length) != 0 {
            return Err(Error::last_os_error());
        }
        Ok(stream)
    }
}
