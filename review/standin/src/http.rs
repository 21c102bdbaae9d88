//! HTTP/1.1 over blocking sockets: a server with a thread for each connection, and a client.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

/// A received request.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Value,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }
}

/// Reads one message: its first line, its headers and its body.
fn read_message(
    stream: &mut TcpStream,
    deadline: Option<Instant>,
) -> io::Result<(String, Vec<(String, String)>, Vec<u8>)> {
    let mut bytes = Vec::new();
    let mut chunk = [0_u8; 8_192];
    let mut read = |bytes: &mut Vec<u8>| -> io::Result<()> {
        if let Some(deadline) = deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            stream.set_read_timeout(Some(left))?;
        }
        match stream.read(&mut chunk)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                bytes.extend_from_slice(&chunk[..count]);
                Ok(())
            }
        }
    };
    let head_end = loop {
        if let Some(at) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break at;
        }
        read(&mut bytes)?;
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers: Vec<_> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
        .collect();
    let length = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length: usize = length
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let mut body = bytes.split_off(head_end + 4);
    while body.len() < length {
        read(&mut body)?;
    }
    body.truncate(length);
    Ok((first, headers, body))
}

/// Serves requests until the process ends. The connection is closed without a response where
/// `handle` returns `None`.
pub fn serve(
    listener: TcpListener,
    on_connection: impl Fn(&TcpStream) -> bool + Send + Sync + 'static,
    handle: impl Fn(Request) -> Option<(u16, Value)> + Send + Sync + 'static,
) {
    let (on_connection, handle) = (Arc::new(on_connection), Arc::new(handle));
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            if !on_connection(&stream) {
                continue;
            }
            let handle = handle.clone();
            let _ = thread::Builder::new().stack_size(256 << 10).spawn(move || {
                let mut stream = stream;
                let _ = stream.set_nodelay(true);
                while let Ok((first, headers, body)) = read_message(&mut stream, None) {
                    let mut words = first.split(' ');
                    let method = words.next().unwrap_or_default().to_owned();
                    let path = words.next().unwrap_or_default().to_owned();
                    let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
                    let Some((status, body)) = handle(Request { method, path, headers, body }) else {
                        break;
                    };
                    let body = body.to_string();
                    let response = format!(
                        "HTTP/1.1 {status} -\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                        body.len()
                    );
                    if stream.write_all(response.as_bytes()).is_err() {
                        break;
                    }
                }
                let _ = stream.shutdown(std::net::Shutdown::Both);
            });
        }
    });
}

/// Sends one request over a connection of its own; returns the status and the body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> io::Result<(u16, Value)> {
    let deadline = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        text.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        text.push_str(&format!(
            "Content-Type: application/json\r\nContent-Length: {}\r\n",
            body.len()
        ));
    }
    text.push_str("\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes())?;
    let (first, _, body) = read_message(&mut stream, Some(deadline))?;
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0);
    Ok((status, serde_json::from_slice(&body).unwrap_or(Value::Null)))
}
