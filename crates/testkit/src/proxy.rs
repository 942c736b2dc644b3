//! TCP proxy that injects faults between two processes.

use {
    std::{io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::watch,
        task::JoinHandle,
        time::sleep,
    },
};

/// Bytes copied at a time.
const CHUNK: usize = 16 * 1024;

/// What happens to the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PathFault {
    /// Bytes pass.
    #[default]
    Pass,
    /// Bytes pass after a delay.
    Delay(Duration),
    /// Bytes are read and discarded; nothing is closed.
    Discard,
}

/// Faults in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FaultPlan {
    /// From the connecting side to the upstream.
    pub forward: PathFault,
    /// From the upstream to the connecting side.
    pub backward: PathFault,
    /// New connections are closed at once.
    pub refuse: bool,
    /// Connections with a smaller number are silent in both directions.
    silent_below: u64,
    /// Connections with a smaller number are closed.
    closed_below: u64,
}

/// Running proxy; dropping it ends its connections.
#[derive(Debug)]
#[must_use]
pub struct FaultProxy {
    address: SocketAddr,
    plan: watch::Sender<FaultPlan>,
    count: watch::Receiver<u64>,
    task: JoinHandle<()>,
}

impl FaultProxy {
    /// Starts a proxy to `upstream` on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn bind(upstream: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (plan, plan_receiver) = watch::channel(FaultPlan::default());
        let (counter, count) = watch::channel(0);
        let task = tokio::spawn(accept(listener, upstream, plan_receiver, counter));
        Ok(Self { address, plan, count, task })
    }

    /// Returns the address to connect to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault of each direction for all connections.
    pub fn set(&self, forward: PathFault, backward: PathFault) {
        self.plan.send_modify(|plan| {
            plan.forward = forward;
            plan.backward = backward;
        });
    }

    /// Discards everything in both directions and keeps connections open, as a partition does.
    pub fn partition(&self) {
        self.set(PathFault::Discard, PathFault::Discard);
    }

    /// Lets bytes pass and accepts connections again.
    ///
    /// Connections that lost bytes are closed, since their streams have gaps.
    pub fn heal(&self) {
        let count = *self.count.borrow();
        self.plan.send_modify(|plan| {
            plan.forward = PathFault::Pass;
            plan.backward = PathFault::Pass;
            plan.refuse = false;
            plan.closed_below = count;
        });
    }

    /// Makes the present connections silent for good while new ones work.
    pub fn silence_present(&self) {
        let count = *self.count.borrow();
        self.plan.send_modify(|plan| plan.silent_below = count);
    }

    /// Closes the present connections.
    pub fn cut_present(&self) {
        let count = *self.count.borrow();
        self.plan.send_modify(|plan| plan.closed_below = count);
    }

    /// Closes new connections at once, or accepts them again.
    pub fn refuse(&self, refuse: bool) {
        self.plan.send_modify(|plan| plan.refuse = refuse);
    }

    /// Closes the listener and the present connections, as the end of a process does: the address refuses connections.
    pub async fn close(&mut self) {
        self.cut_present();
        self.task.abort();
        // Ends with the cancellation.
        let _ = (&mut self.task).await;
    }

    /// Returns how many connections were accepted so far.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        *self.count.borrow()
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    upstream: SocketAddr,
    plan: watch::Receiver<FaultPlan>,
    counter: watch::Sender<u64>,
) {
    let mut number = 0;
    loop {
        let Ok((caller, _)) = listener.accept().await else { continue };
        if plan.borrow().refuse {
            continue;
        }
        let plan = plan.clone();
        tokio::spawn(async move {
            let Ok(target) = TcpStream::connect(upstream).await else { return };
            carry(caller, target, number, plan).await;
        });
        number += 1;
        counter.send_replace(number);
    }
}

async fn carry(
    caller: TcpStream,
    target: TcpStream,
    number: u64,
    mut plan: watch::Receiver<FaultPlan>,
) {
    let _ = caller.set_nodelay(true);
    let _ = target.set_nodelay(true);
    let (caller_in, caller_out) = caller.into_split();
    let (target_in, target_out) = target.into_split();
    let mut forward = tokio::spawn(copy(caller_in, target_out, number, plan.clone(), true));
    let mut backward = tokio::spawn(copy(target_in, caller_out, number, plan.clone(), false));
    tokio::select! {
        _ = &mut forward => {}
        _ = &mut backward => {}
        _ = plan.wait_for(|plan| plan.closed_below > number) => {}
    }
    forward.abort();
    backward.abort();
}

async fn copy(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    number: u64,
    plan: watch::Receiver<FaultPlan>,
    forward: bool,
) -> io::Result<()> {
    let mut buffer = vec![0; CHUNK];
    loop {
        let length = reader.read(&mut buffer).await?;
        let now = *plan.borrow();
        let fault = if forward { now.forward } else { now.backward };
        if now.silent_below > number || fault == PathFault::Discard {
            if length == 0 {
                // The peer must not see the close either.
                std::future::pending::<()>().await;
            }
            continue;
        }
        if let PathFault::Delay(delay) = fault {
            sleep(delay).await;
        }
        if length == 0 {
            return writer.shutdown().await;
        }
        writer.write_all(&buffer[..length]).await?;
    }
}
