//! The naive proxy that measurements compare with.
//!
//! One server connection per caller, everything to the primary, first come first served by the
//! server itself.

use {
    std::{io, net::SocketAddr},
    tokio::{
        net::{TcpListener, TcpStream},
        task::JoinHandle,
    },
};

/// Running naive proxy; dropping it stops accepting.
#[derive(Debug)]
#[must_use]
pub struct NaiveProxy {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl NaiveProxy {
    /// Starts a proxy from `listen` to the primary.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn bind(listen: SocketAddr, primary: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(async move {
            loop {
                let Ok((caller, _)) = listener.accept().await else { continue };
                tokio::spawn(carry(caller, primary));
            }
        });
        Ok(Self { address, task })
    }

    /// Returns the address that callers connect to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for NaiveProxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn carry(mut caller: TcpStream, primary: SocketAddr) -> io::Result<()> {
    let mut target = TcpStream::connect(primary).await?;
    caller.set_nodelay(true)?;
    target.set_nodelay(true)?;
    tokio::io::copy_bidirectional(&mut caller, &mut target).await?;
    Ok(())
}
