//! HTTP/1.1 server and client over blocking sockets, one thread for each connection.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Largest body that is read.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Pause between two looks for a new connection.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

/// A request as received.
#[derive(Debug)]
pub struct Request {
    pub path: String,
    query: Vec<(String, String)>,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a field of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(key, _)| key == name)?;
        Some(&found.1)
    }

    /// Returns a number of the query.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }

    /// Returns a header; the name is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name)?;
        Some(&found.1)
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A response; `None` in its place means that the connection is closed without one.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            body: body.into(),
        }
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

pub type Handler = Arc<dyn Fn(Request) -> Option<Response> + Send + Sync>;

/// A server that can be stopped like a process that is killed: its port closes, and its connections end.
pub struct Server {
    stopped: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    accepting: Option<thread::JoinHandle<()>>,
}

impl Server {
    /// Starts to serve at an address.
    pub fn start(address: SocketAddr, handler: Handler) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let stopped = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (flag, open) = (Arc::clone(&stopped), Arc::clone(&streams));
        let accepting = thread::spawn(move || accept_loop(&listener, &handler, &flag, &open));
        Ok(Self {
            stopped,
            streams,
            accepting: Some(accepting),
        })
    }

    /// Closes the port and all connections; the port can be bound again when this returns.
    pub fn stop(mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        if let Some(accepting) = self.accepting.take() {
            let _ = accepting.join();
        }
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn accept_loop(
    listener: &TcpListener,
    handler: &Handler,
    stopped: &Arc<AtomicBool>,
    streams: &Arc<Mutex<Vec<TcpStream>>>,
) {
    while !stopped.load(Ordering::SeqCst) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(ACCEPT_INTERVAL);
            continue;
        };
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        if let Ok(copy) = stream.try_clone() {
            let mut streams = streams.lock().unwrap();
            streams.retain(|open| open.peer_addr().is_ok());
            streams.push(copy);
        }
        let (handler, stopped) = (Arc::clone(handler), Arc::clone(stopped));
        thread::spawn(move || {
            let _ = serve_connection(&stream, &handler, &stopped);
            let _ = stream.shutdown(Shutdown::Both);
        });
    }
}

fn serve_connection(stream: &TcpStream, handler: &Handler, stopped: &AtomicBool) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream.try_clone()?;
    while let Some(request) = read_request(&mut reader)? {
        let Some(response) = handler(request) else {
            return Ok(());
        };
        // A killed process sends nothing more.
        if stopped.load(Ordering::SeqCst) {
            return Ok(());
        }
        let mut bytes = format!(
            "HTTP/1.1 {} status\r\ncontent-length: {}\r\ncontent-type: application/json\r\n\r\n",
            response.status,
            response.body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(&response.body);
        writer.write_all(&bytes)?;
    }
    Ok(())
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let (Some(_), Some(target)) = (words.next(), words.next()) else {
        return Ok(None);
    };
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|field| field.split_once('='));
    let query = query.map(|(key, value)| (key.to_owned(), decode_percent(value)));
    let path = path.to_owned();
    let query: Vec<(String, String)> = query.collect();
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Ok(Some(Request {
        path,
        query,
        headers,
        body,
    }))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((key, value)) = line.split_once(':') {
            headers.push((key.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let length = headers.iter().find(|(key, _)| key == "content-length");
    let length: usize = length.and_then(|(_, text)| text.parse().ok()).unwrap_or(0);
    if length > MAX_BODY_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let digits = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Sends one request on a connection of its own; `None` without a complete response within `timeout`.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> Option<Response> {
    let started = Instant::now();
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (key, value) in headers {
        text.push_str(&format!("{key}: {value}\r\n"));
    }
    text.push_str("connection: close\r\n\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes()).ok()?;
    let left = timeout
        .saturating_sub(started.elapsed())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left)).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader).ok()?;
    let body = read_body(&mut reader, &headers).ok()?;
    Some(Response { status, body })
}
