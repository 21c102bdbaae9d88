//! A proxy on one channel's path that can hold up all bytes, as a partition does.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;

/// Forwards connections to one address.
pub struct Proxy {
    held: Mutex<bool>,
    released: Condvar,
}

impl Proxy {
    pub fn start(listen: SocketAddr, to: SocketAddr) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(listen)?;
        let proxy = Arc::new(Self {
            held: Mutex::new(false),
            released: Condvar::new(),
        });
        let accepting = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let proxy = accepting.clone();
                thread::spawn(move || proxy.connect(client, to));
            }
        });
        Ok(proxy)
    }

    pub fn set_held(&self, held: bool) {
        *self.held.lock().unwrap() = held;
        self.released.notify_all();
    }

    fn wait(&self) {
        let mut held = self.held.lock().unwrap();
        while *held {
            held = self.released.wait(held).unwrap();
        }
    }

    fn connect(self: Arc<Self>, client: TcpStream, to: SocketAddr) {
        // The opening packet is held up as well.
        self.wait();
        let Ok(server) = TcpStream::connect(to) else {
            return;
        };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (Ok(client_copy), Ok(server_copy)) = (client.try_clone(), server.try_clone()) else {
            return;
        };
        let back = self.clone();
        thread::spawn(move || back.pump(server_copy, client_copy));
        self.pump(client, server);
    }

    /// Copies bytes; those of a partition are delivered after it, unless their sender has reset the
    /// channel meanwhile.
    fn pump(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut chunk = [0_u8; 16_384];
        loop {
            let count = match from.read(&mut chunk) {
                Ok(0) => break,
                Ok(count) => count,
                Err(_) => {
                    let _ = to.shutdown(Shutdown::Both);
                    return;
                }
            };
            self.wait();
            if matches!(from.take_error(), Ok(Some(_)) | Err(_))
                || to.write_all(&chunk[..count]).is_err()
            {
                let _ = to.shutdown(Shutdown::Both);
                return;
            }
        }
        self.wait();
        let _ = to.shutdown(Shutdown::Write);
    }
}
