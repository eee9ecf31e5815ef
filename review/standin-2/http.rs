//! HTTP/1.1 messages over TCP, for stand-ins and clients.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|it| it.0.eq_ignore_ascii_case(name));
        found.map(|it| it.1.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|it| it.parse().ok()).unwrap_or_default()
    }
}

fn line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut bytes = Vec::new();
    reader.read_until(b'\n', &mut bytes)?;
    if !bytes.ends_with(b"\n") {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(String::from_utf8_lossy(&bytes).trim_end().to_owned())
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    if reader.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let mut message = Message {
        start: line(reader)?,
        ..Message::default()
    };
    loop {
        let text = line(reader)?;
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message
                .headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body of a message that states its end. `until_close`: whether a body without a length
/// ends with its connection.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    message: &mut Message,
    until_close: bool,
) -> io::Result<()> {
    let chunked = message
        .header("transfer-encoding")
        .is_some_and(|it| it.contains("chunked"));
    if chunked {
        loop {
            let size = line(reader)?;
            let size = size.split(';').next().unwrap_or_default().trim().to_owned();
            let size = usize::from_str_radix(&size, 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk);
            line(reader)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
    let length = message
        .header("content-length")
        .and_then(|it| it.parse::<usize>().ok());
    match length {
        Some(length) => {
            message.body = vec![0; length];
            reader.read_exact(&mut message.body)
        }
        None if until_close => reader.read_to_end(&mut message.body).map(drop),
        None => Ok(()),
    }
}

/// Reads a whole request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message, false)?;
    Ok(Some(message))
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
