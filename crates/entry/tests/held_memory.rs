//! Guards against callers that make an entry host hold more memory or connections than its host has. The real program
//! runs on loopback with lowered limits; the log is closed, so that an ordinary request is answered without a state.

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    thread::sleep,
    time::Duration,
};

const CLIENTS: usize = 400;
const MEMORY_MB: u64 = 32;
/// 200 of them are for files.
const MAX_FDS: usize = 280;
const AMPLE_FDS: usize = 4_096;
/// Equal figures in a row, 0.1 s apart, after which the process has read what was sent.
const STEADY_SAMPLES: u32 = 10;
const JOBS: &str = "POST /v1/jobs HTTP/1.1\r\nHost: a.example\r\n";

struct EntryProcess {
    callers: SocketAddr,
    child: Child,
}

impl EntryProcess {
    fn start(max_fds: usize) -> Self {
        let listeners: [TcpListener; 5] =
            std::array::from_fn(|_| TcpListener::bind("127.0.0.1:0").expect("a socket"));
        let addresses = listeners
            .each_ref()
            .map(|listener| listener.local_addr().expect("an address"));
        drop(listeners);
        let mut command = Command::new(env!("CARGO_BIN_EXE_goldcreststall-entry"));
        command.args(["--name", "entry-1", "--data-centre", "dc-1"]);
        let flags = [
            "--callers",
            "--operators",
            "--listen-peers",
            "--log",
            "--hosts",
        ];
        for (flag, address) in flags.into_iter().zip(addresses) {
            command.args([flag, &address.to_string()]);
        }
        let child = command
            .env("GOLDCRESTSTALL_MEMORY_MB", MEMORY_MB.to_string())
            .env("GOLDCRESTSTALL_MAX_FDS", max_fds.to_string())
            .stderr(Stdio::null())
            .spawn()
            .expect("the process");
        let process = Self {
            callers: addresses[0],
            child,
        };
        process.wait_for_answer();
        process
    }

    fn connect(&self) -> std::io::Result<TcpStream> {
        let stream = TcpStream::connect(self.callers)?;
        stream.set_write_timeout(Some(Duration::from_secs(10)))?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        Ok(stream)
    }

    fn is_answered(&self) -> std::io::Result<bool> {
        let mut stream = self.connect()?;
        write!(stream, "{JOBS}Content-Length: 2\r\n\r\n{{}}")?;
        let mut start = [0; 8];
        stream.read_exact(&mut start)?;
        Ok(&start == b"HTTP/1.1")
    }

    fn wait_for_answer(&self) {
        for _ in 0..300 {
            if self.is_answered().unwrap_or(false) {
                return;
            }
            sleep(Duration::from_millis(100));
        }
        panic!("an ordinary request was not answered");
    }

    /// Returns a figure of `/proc/PID/status`, in kB.
    fn status_kb(&self, name: &str) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = fs::read_to_string(path).expect("the process lives");
        let line = text.lines().find(|line| line.starts_with(name));
        let number = line.and_then(|line| line.split_whitespace().nth(1));
        number.and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    /// Lets clients send and keep their connections open; then checks memory, descriptors and an ordinary request.
    fn check(mut self, shape: &str, max_descriptors: usize, bytes: &[u8]) {
        let clients: Vec<TcpStream> = (0..CLIENTS)
            .filter_map(|_| {
                let mut stream = self.connect().ok()?;
                // The process may close a connection at any time.
                let _ = stream.write_all(bytes);
                Some(stream)
            })
            .collect();
        let (mut steady, mut last) = (0, 0);
        while steady < STEADY_SAMPLES {
            let resident = self.status_kb("VmRSS");
            steady = if resident == last { steady + 1 } else { 0 };
            last = resident;
            sleep(Duration::from_millis(100));
        }
        let path = format!("/proc/{}/fd", self.child.id());
        let descriptors = fs::read_dir(path).expect("the process lives").count();
        let peak_kb = self.status_kb("VmHWM");
        println!("{shape}: peak {peak_kb} kB, {descriptors} descriptors");
        self.wait_for_answer();
        assert!(
            self.child.try_wait().expect("a status").is_none(),
            "{shape}: the process has ended"
        );
        assert!(
            peak_kb <= MEMORY_MB * 1_024,
            "{shape}: {peak_kb} kB resident"
        );
        assert!(
            descriptors <= max_descriptors,
            "{shape}: {descriptors} descriptors"
        );
        drop(clients);
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        // Fails only when the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Guards against each shape of load in turn: one process at a time, since its memory and descriptors are measured.
#[test]
fn held_memory() {
    let declared = format!("{JOBS}Content-Length: 65536\r\n\r\n{}", "a".repeat(65_535));
    let chunk = format!("1000\r\n{}\r\n", "a".repeat(4_096));
    let chunked = format!("{JOBS}Transfer-Encoding: chunked\r\n\r\n");
    let large_chunks = format!("{chunked}{}", chunk.repeat(15));
    let small_chunks = format!("{chunked}{}", "1\r\na\r\n".repeat(10_000));
    let slow_headers = format!("{JOBS}X-Long: {}", "a".repeat(12_000));
    let pipelined = "GET /health HTTP/1.1\r\nHost: a.example\r\n\r\n".repeat(100);
    let connections = MAX_FDS - 200;
    let shapes = [
        ("declared length", AMPLE_FDS, AMPLE_FDS, declared),
        ("large chunks", AMPLE_FDS, AMPLE_FDS, large_chunks),
        ("chunks of one byte", AMPLE_FDS, AMPLE_FDS, small_chunks),
        ("slow headers", MAX_FDS, connections, slow_headers),
        ("pipelined requests", MAX_FDS, connections, pipelined),
        ("silent connections", MAX_FDS, connections, String::new()),
    ];
    let failed: Vec<&str> = shapes
        .into_iter()
        .filter_map(|(shape, max_fds, max_descriptors, bytes)| {
            let process = EntryProcess::start(max_fds);
            let check = || process.check(shape, max_descriptors, bytes.as_bytes());
            std::panic::catch_unwind(std::panic::AssertUnwindSafe(check)).err()?;
            Some(shape)
        })
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
}
