//! A relay between two machines that can be cut. What it holds at a cut is passed on afterwards, unless its sender has
//! closed the connection meanwhile.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

const CHECK: Duration = Duration::from_millis(10);

#[derive(Clone, Debug, Default)]
pub struct Cut(Arc<AtomicBool>);

impl Cut {
    pub fn set(&self, is_cut: bool) {
        self.0.store(is_cut, Ordering::SeqCst);
    }

    fn wait(&self) {
        while self.0.load(Ordering::SeqCst) {
            thread::sleep(CHECK);
        }
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// Relays connections to `target` until the process ends; returns its address.
pub fn start(target: SocketAddr, cuts: Vec<Cut>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let cuts = cuts.clone();
            thread::spawn(move || {
                cuts.iter().for_each(Cut::wait);
                let Ok(server) = TcpStream::connect(target) else {
                    return;
                };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let (Ok(from), Ok(to)) = (client.try_clone(), server.try_clone()) else {
                    return;
                };
                let back = cuts.clone();
                thread::spawn(move || pass(server, client, &back));
                pass(from, to, &cuts);
            });
        }
    });
    Ok(address)
}

fn pass(mut from: TcpStream, mut to: TcpStream, cuts: &[Cut]) {
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        if cuts.iter().any(Cut::is_set) {
            cuts.iter().for_each(Cut::wait);
            if is_closed(&from) {
                break;
            }
        }
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    cuts.iter().for_each(Cut::wait);
    let _ = (from.shutdown(std::net::Shutdown::Both), to.shutdown(std::net::Shutdown::Both));
}

fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(count) => count == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}
