//! A link with a bandwidth: a proxy that passes on the bytes of its connections at a limited rate.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const PIECE_BYTES: usize = 4096;

/// Starts a link to `target` that carries `mbit_per_s` in each direction, over all connections. Returns its address.
pub fn start(target: SocketAddr, mbit_per_s: f64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let [out, back] = [(); 2].map(|()| Arc::new(Mutex::new(Instant::now())));
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(target) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else { continue };
            let (out, back) = (out.clone(), back.clone());
            thread::spawn(move || pass(near, far, &out, mbit_per_s));
            thread::spawn(move || pass(far_copy, near_copy, &back, mbit_per_s));
        }
    });
    address
}

/// Passes bytes on. `free` is when the direction has carried all bytes so far.
fn pass(mut from: TcpStream, mut to: TcpStream, free: &Mutex<Instant>, mbit_per_s: f64) {
    let mut piece = [0; PIECE_BYTES];
    loop {
        let length = match from.read(&mut piece) {
            Ok(length) if length > 0 => length,
            _ => break,
        };
        let carried = {
            let mut free = free.lock().expect("a lock");
            let time = Duration::from_secs_f64(length as f64 * 8.0 / (mbit_per_s * 1e6));
            *free = (*free).max(Instant::now()) + time;
            *free
        };
        thread::sleep(carried.saturating_duration_since(Instant::now()));
        if to.write_all(&piece[..length]).is_err() {
            break;
        }
    }
    let _ = (to.shutdown(Shutdown::Write), from.shutdown(Shutdown::Read));
}
