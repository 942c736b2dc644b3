//! The platform's call to promote a server.

use {
    crate::{group::Group, http, record::Record},
    std::{
        collections::BTreeMap,
        io,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Mutex, PoisonError},
        thread,
        time::Duration,
    },
};

#[derive(Debug)]
struct Shared {
    groups: Vec<Arc<Group>>,
    /// Highest fencing token of each service.
    fences: Mutex<BTreeMap<String, u64>>,
    /// Time from a call to its effect.
    promote_time: Duration,
    record: Record,
}

/// Starts the platform's interface on an address; it runs until the program ends.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub fn start(
    address: SocketAddr,
    groups: Vec<Arc<Group>>,
    promote_time: Duration,
    record: Record,
) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let shared = Arc::new(Shared { groups, fences: Mutex::default(), promote_time, record });
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let shared = Arc::clone(&shared);
            thread::spawn(move || {
                // Fails if the client closes the connection early.
                let _ = shared.serve(stream);
            });
        }
    });
    Ok(())
}

impl Shared {
    fn serve(self: &Arc<Self>, mut stream: TcpStream) -> io::Result<()> {
        let request = http::read_request(&mut stream)?;
        let service = http::json_text(&request.body, "service");
        let id = http::json_text(&request.body, "id");
        let fence: u64 = request.header("Fencing-Token").parse().unwrap_or(0);
        let status = self.promote(&service, &id, fence);
        self.record.say(&format!(
            "platform: promote {id} of {service}, holder {}, fence {fence}: {status}",
            request.header("Lease-Holder")
        ));
        http::respond(&mut stream, status)
    }

    fn promote(self: &Arc<Self>, service: &str, id: &str, fence: u64) -> u16 {
        let Some(group) = self.groups.iter().find(|group| group.name == service) else {
            return 404;
        };
        let mut fences = self.fences.lock().unwrap_or_else(PoisonError::into_inner);
        let seen = fences.entry(service.to_owned()).or_default();
        let Some(number) = group.find(id).filter(|number| group.is_running(*number)) else {
            return 409;
        };
        if fence < *seen {
            return 409;
        }
        *seen = fence;
        drop(fences);
        let (group, time) = (Arc::clone(group), self.promote_time);
        thread::spawn(move || {
            thread::sleep(time);
            group.promote(number, fence);
        });
        200
    }
}
