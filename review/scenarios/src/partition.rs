//! Network path that holds back what is sent over it, as a partition does, and delivers it after it has healed.

use {
    crate::{cluster::StopFlag, record::Record},
    std::{
        io::{self, Read, Write},
        net::{Shutdown, SocketAddr, TcpListener, TcpStream},
        thread,
        time::Duration,
    },
};

/// Interval at which a held connection looks whether it may be delivered.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Accepts connections at `address` and, once `healed` is set, delivers what was sent on each to `target`, with the end
/// of the sender's stream.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn hold(
    address: SocketAddr,
    target: SocketAddr,
    healed: StopFlag,
    record: Record,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (healed, record) = (healed.clone(), record.clone());
            thread::spawn(move || {
                // A sender that resets its connection takes back what was held.
                let _ = deliver(stream, target, &healed, &record);
            });
        }
    });
    Ok(address)
}

fn deliver(
    mut sender: TcpStream,
    target: SocketAddr,
    healed: &StopFlag,
    record: &Record,
) -> io::Result<()> {
    let mut held = Vec::new();
    sender.read_to_end(&mut held)?;
    while !healed.is_set() {
        thread::sleep(CHECK_INTERVAL);
    }
    let line = String::from_utf8_lossy(&held).lines().next().unwrap_or_default().to_owned();
    record.say(&format!("delivered late to {target}: {line}"));
    let mut receiver = TcpStream::connect(target)?;
    receiver.set_read_timeout(Some(Duration::from_secs(1)))?;
    receiver.write_all(&held)?;
    receiver.shutdown(Shutdown::Write)?;
    let mut reply = Vec::new();
    let ended = receiver.read_to_end(&mut reply);
    let line = String::from_utf8_lossy(&reply).lines().next().unwrap_or_default().to_owned();
    record.say(&format!("reply of {target}, which nobody awaits: {line:?}, {:?}", ended.is_ok()));
    Ok(())
}
