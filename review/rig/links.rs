//! Links between VMs, and from VMs to engines, that a cut zone loses: each VM reaches each
//! other VM and each engine through a proxy of its own, which the store's lists name.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Proxy of one VM to another one or to an engine. While it is cut, it refuses
/// connections, resets open ones and drops datagrams.
pub struct Link {
    pub address: SocketAddr,
    pub is_cut: Arc<AtomicBool>,
    datagrams: UdpSocket,
}

impl Link {
    pub fn start(port: u16, to: SocketAddr) -> Link {
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let is_cut = Arc::new(AtomicBool::new(false));
        let listener = listen(address).expect("the port of a link is free");
        let cut = Arc::clone(&is_cut);
        thread::spawn(move || accept(listener, address, to, &cut));
        let datagrams = UdpSocket::bind(address).expect("the port of a link is free");
        Link {
            address,
            is_cut,
            datagrams,
        }
    }

    /// Passes datagrams on to `to`, from the address by which `to` knows the sender.
    pub fn pass_datagrams(&self, back: &Link, to: SocketAddr) {
        let received = self.datagrams.try_clone().expect("socket");
        let sent = back.datagrams.try_clone().expect("socket");
        let cut = Arc::clone(&self.is_cut);
        thread::spawn(move || {
            let mut buffer = [0; 8_192];
            while let Ok((length, _)) = received.recv_from(&mut buffer) {
                if !cut.load(Ordering::SeqCst) {
                    let _ = sent.send_to(&buffer[..length], to);
                }
            }
        });
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::SeqCst);
    }
}

fn listen(address: SocketAddr) -> Option<TcpListener> {
    let listener = TcpListener::bind(address).ok()?;
    listener.set_nonblocking(true).ok()?;
    Some(listener)
}

fn accept(first: TcpListener, address: SocketAddr, to: SocketAddr, cut: &Arc<AtomicBool>) {
    let mut listener = Some(first);
    loop {
        if cut.load(Ordering::SeqCst) {
            listener = None;
        } else if listener.is_none() {
            listener = listen(address);
        }
        match listener.as_ref().map(TcpListener::accept) {
            Some(Ok((stream, _))) => {
                let cut = Arc::clone(cut);
                thread::spawn(move || pass_on(stream, to, &cut));
            }
            Some(Err(error)) if error.kind() != ErrorKind::WouldBlock => return,
            _ => thread::sleep(Duration::from_millis(5)),
        }
    }
}

fn pass_on(near: TcpStream, to: SocketAddr, cut: &Arc<AtomicBool>) {
    let Ok(far) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        return;
    };
    let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else {
        return;
    };
    let back_cut = Arc::clone(cut);
    thread::spawn(move || copy(far_copy, near_copy, &back_cut));
    copy(near, far, cut);
}

fn copy(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let _ = from.set_nonblocking(false);
    let _ = from.set_nodelay(true);
    let _ = to.set_nodelay(true);
    let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
    let mut buffer = [0; 16_384];
    loop {
        if cut.load(Ordering::SeqCst) {
            break;
        }
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => {
                if to.write_all(&buffer[..length]).is_err() {
                    break;
                }
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
