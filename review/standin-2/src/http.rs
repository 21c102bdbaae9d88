//! Minimal HTTP/1.1 server and client for the stand-ins, with one thread for each connection.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);

pub struct Request {
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

pub enum Reply {
    Answer(u16, Value),
    /// The request gets no response; the connection stays open until the client closes it.
    Silence,
}

pub type Handler = Arc<dyn Fn(Request) -> Reply + Send + Sync>;

/// A listener with its open connections; dropping it closes all of them.
pub struct Server {
    stopped: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    acceptor: Option<thread::JoinHandle<()>>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Handler) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let stopped = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (is_stopped, open) = (stopped.clone(), streams.clone());
        let acceptor = thread::spawn(move || {
            while !is_stopped.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(ACCEPT_INTERVAL);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let handler = handler.clone();
                thread::spawn(move || {
                    let _ = serve_connection(stream, &handler);
                });
            }
        });
        Ok(Self {
            stopped,
            streams,
            acceptor: Some(acceptor),
        })
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        if let Some(acceptor) = self.acceptor.take() {
            let _ = acceptor.join();
        }
    }
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some((first, headers)) = read_head(&mut reader)? {
        let mut words = first.split(' ');
        words.next();
        let path = words.next().unwrap_or_default().to_owned();
        let body = read_body(&mut reader, &headers)?;
        let request = Request {
            path,
            headers,
            body,
        };
        match handler(request) {
            Reply::Answer(status, body) => {
                let body = body.to_string();
                let length = body.len();
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
                );
                writer.write_all((head + &body).as_bytes())?;
            }
            Reply::Silence => {
                let _ = reader.read(&mut [0; 1]);
                return Ok(());
            }
        }
    }
    Ok(())
}

type Head = (String, BTreeMap<String, String>);

fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first.trim_end().to_owned(), headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_lowercase(), value.trim().to_owned());
        }
    }
}

fn read_body(
    reader: &mut BufReader<TcpStream>,
    headers: &BTreeMap<String, String>,
) -> io::Result<Vec<u8>> {
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Sends one request over a new connection; returns `None` without a complete response in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    body: &Value,
    limit: Duration,
) -> Option<(u16, Value)> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    let left = until.saturating_duration_since(Instant::now());
    stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))
        .ok()?;
    let body = if body.is_null() {
        String::new()
    } else {
        body.to_string()
    };
    let length = body.len();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nDeadline-Ms: {}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}",
        limit.as_millis()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let body = read_body(&mut reader, &headers).ok()?;
    Some((status, serde_json::from_slice(&body).unwrap_or_default()))
}
