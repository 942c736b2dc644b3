//! Access to control: follows the leader, tries other replicas, repeats what is safe to repeat.

use {
    banyansill_wire::v1::control_client::ControlClient,
    std::{collections::VecDeque, error::Error, net::SocketAddr, time::Duration},
    tokio::time::{self, Instant},
    tonic::{
        Code, Request, Response, Status,
        metadata::{Ascii, MetadataValue},
        service::{Interceptor, interceptor::InterceptedService},
        transport::{Channel, Endpoint},
    },
};

/// Address that is tried when none is given.
const DEFAULT_ADDRESS: &str = "127.0.0.1:7400";

/// Metadata key under which a replica names the leader.
const LEADER_KEY: &str = "banyansill-leader";

/// Limit of one attempt at one replica; member changes take longer than this on purpose.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// Limit of one call; adding a control replica waits up to a minute for it to catch up.
const CALL_LIMIT: Duration = Duration::from_secs(75);

/// Time for which a command waits for an election to end; elections take up to a few seconds.
const PATIENCE: Duration = Duration::from_secs(6);

/// Pause between two rounds over the replicas.
const ROUND_PAUSE: Duration = Duration::from_millis(250);

/// Largest reply: the whole state with a sheet.
const REPLY_LIMIT: usize = 64 << 20;

/// A request that control did not serve.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    /// An address is not valid.
    #[error("{0:?} is not an IP address and port")]
    Address(String),
    /// No replica answered.
    #[error("control cannot be reached at {addresses}: {detail}")]
    Unreachable {
        /// Addresses that were tried.
        addresses: String,
        /// What the last attempt reported.
        detail: String,
    },
    /// Replicas answered, but none leads with a majority.
    #[error("control has no leader at the moment: {detail}")]
    NoLeader {
        /// What the last attempt reported.
        detail: String,
    },
    /// The request may or may not have taken effect.
    #[error("the outcome is unknown: {detail}")]
    Unknown {
        /// What the last attempt reported.
        detail: String,
    },
    /// Control refused the request.
    #[error("{0}")]
    Refused(String),
}

/// Adds the operator's token to each request.
#[derive(Clone, Debug)]
pub(crate) struct BearerToken(Option<MetadataValue<Ascii>>);

impl Interceptor for BearerToken {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, Status> {
        if let Some(value) = &self.0 {
            request.metadata_mut().insert("authorization", value.clone());
        }
        Ok(request)
    }
}

/// Client that sends the operator's token.
pub(crate) type OperatorClient = ControlClient<InterceptedService<Channel, BearerToken>>;

/// Addresses of control replicas and the operator's token.
#[derive(Clone, Debug)]
pub struct ControlAccess {
    addresses: Vec<String>,
    token: BearerToken,
}

impl ControlAccess {
    /// Returns access without a token if `token` is `None`.
    pub(crate) fn new(addresses: &[String], token: Option<&str>) -> Self {
        // A token that is not printable text is in no token file; control refuses the request.
        let token = token.and_then(|token| format!("Bearer {token}").parse().ok());
        let mut addresses = addresses.to_vec();
        if addresses.is_empty() {
            addresses.push(DEFAULT_ADDRESS.to_owned());
        }
        Self { addresses, token: BearerToken(token) }
    }

    /// Calls the leader; `request` must be safe to repeat.
    pub(crate) async fn call<T, F>(&self, mut request: F) -> Result<T, ClientError>
    where
        F: AsyncFnMut(OperatorClient) -> Result<Response<T>, Status>,
    {
        for address in &self.addresses {
            if address.parse::<SocketAddr>().is_err() {
                return Err(ClientError::Address(address.clone()));
            }
        }
        let deadline = Instant::now() + PATIENCE;
        let mut uncertain = false;
        loop {
            let error = match self.round(&mut request, &mut uncertain).await {
                Err(error @ (ClientError::NoLeader { .. } | ClientError::Unknown { .. })) => error,
                result => return result,
            };
            if Instant::now() >= deadline {
                return Err(match error {
                    ClientError::NoLeader { detail } if uncertain => {
                        ClientError::Unknown { detail }
                    }
                    error => error,
                });
            }
            time::sleep(ROUND_PAUSE).await;
        }
    }

    /// Tries every address once, and each leader that is named.
    async fn round<T, F>(&self, request: &mut F, uncertain: &mut bool) -> Result<T, ClientError>
    where
        F: AsyncFnMut(OperatorClient) -> Result<Response<T>, Status>,
    {
        let mut queue: VecDeque<String> = self.addresses.iter().cloned().collect();
        let mut tried = Vec::new();
        let mut answered = None;
        let mut last = String::new();
        while let Some(address) = queue.pop_front() {
            if tried.contains(&address) {
                continue;
            }
            tried.push(address.clone());
            let client = match connect(&address, self.token.clone()).await {
                Ok(client) => client,
                Err(detail) => {
                    last = detail;
                    continue;
                }
            };
            let status = match time::timeout(CALL_LIMIT, request(client)).await {
                Ok(Ok(response)) => return Ok(response.into_inner()),
                Ok(Err(status)) => status,
                Err(_) => Status::deadline_exceeded("no answer in time"),
            };
            let detail = status.message().to_owned();
            // A status with a source was made here: the connection broke after the request was sent.
            let broken = status.source().is_some();
            match status.code() {
                Code::Unavailable if !broken => {
                    if let Some(leader) = leader_hint(&status) {
                        queue.push_front(leader);
                    }
                    answered = Some(ClientError::NoLeader { detail });
                }
                Code::Unknown | Code::DeadlineExceeded | Code::Cancelled => {
                    *uncertain = true;
                    answered = Some(ClientError::Unknown { detail });
                }
                _ if broken => {
                    *uncertain = true;
                    answered = Some(ClientError::Unknown { detail });
                }
                _ => return Err(ClientError::Refused(detail)),
            }
        }
        let addresses = tried.join(", ");
        Err(answered.unwrap_or(ClientError::Unreachable { addresses, detail: last }))
    }
}

async fn connect(address: &str, token: BearerToken) -> Result<OperatorClient, String> {
    let endpoint =
        Endpoint::from_shared(format!("http://{address}")).map_err(|error| error.to_string())?;
    match time::timeout(CONNECT_LIMIT, endpoint.connect()).await {
        Ok(Ok(channel)) => {
            let client = ControlClient::with_interceptor(channel, token);
            Ok(client.max_decoding_message_size(REPLY_LIMIT))
        }
        Ok(Err(_)) => Err(format!("{address} refused the connection")),
        Err(_) => Err(format!("{address} did not answer")),
    }
}

fn leader_hint(status: &Status) -> Option<String> {
    let value = status.metadata().get(LEADER_KEY)?;
    value.to_str().ok().map(ToOwned::to_owned)
}
