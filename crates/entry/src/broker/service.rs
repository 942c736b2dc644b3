//! The gRPC service through which other entries use the brokers of this host.

use {
    super::{
        convert::{input_from_wire, output_to_wire, request_from_wire},
        frame::MESSAGE_LIMIT,
        hub::BrokerHandle,
        shared::HubShared,
    },
    crate::link::{self, GrantLink, LinkInput, LinkOutput},
    banyansill_core::{failure::FailureKind, names::SharedName, time::Micros},
    banyansill_wire::v1::{
        self,
        broker_input::Input,
        broker_server::{Broker, BrokerServer},
    },
    futures::stream::{Map, StreamExt},
    std::sync::Arc,
    tokio::sync::mpsc,
    tokio_stream::wrappers::ReceiverStream,
    tonic::{Request, Response, Status, Streaming},
};

/// Maximum wait of one `AwaitPosition` call.
const POSITION_WAIT_LIMIT: Micros = Micros::from_secs(60);

type RunItem = Result<v1::BrokerOutput, Status>;

fn run_item(output: LinkOutput) -> RunItem {
    Ok(output_to_wire(output))
}

/// Serves grants at the brokers of this host to other entries.
#[derive(Clone, Debug)]
pub struct BrokerService {
    shared: Arc<HubShared>,
}

/// Returns the service of a host's brokers, to be mounted in its tonic server.
#[must_use]
pub fn service(handle: &BrokerHandle) -> BrokerServer<BrokerService> {
    let service = BrokerService { shared: Arc::clone(&handle.shared) };
    BrokerServer::new(service)
        .max_decoding_message_size(MESSAGE_LIMIT + 1_024)
        .max_encoding_message_size(MESSAGE_LIMIT + 1_024)
}

#[tonic::async_trait]
impl Broker for BrokerService {
    type RunStream = Map<ReceiverStream<LinkOutput>, fn(LinkOutput) -> RunItem>;

    async fn run(
        &self,
        request: Request<Streaming<v1::BrokerInput>>,
    ) -> Result<Response<Self::RunStream>, Status> {
        let mut stream = request.into_inner();
        let open = match stream.message().await? {
            Some(v1::BrokerInput { input: Some(Input::Open(open)) }) => open,
            _ => return Err(Status::invalid_argument("expected a grant request")),
        };
        // The grant is never forwarded to a third host: stale routes could form a loop.
        let (GrantLink { input, output }, peer) = link::pair(request_from_wire(open));
        self.shared.serve(peer);
        tokio::spawn(forward(stream, input));
        let outputs = ReceiverStream::new(output).map(run_item as fn(LinkOutput) -> RunItem);
        Ok(Response::new(outputs))
    }

    async fn high_water_mark(
        &self,
        request: Request<v1::MarkRequest>,
    ) -> Result<Response<v1::MarkReply>, Status> {
        let database = SharedName::from(request.into_inner().database);
        let reply = match self.local_high_water_mark(&database) {
            Ok(mark) => v1::MarkReply { mark: Some(mark.into()), failure: String::new() },
            Err(kind) => v1::MarkReply { mark: None, failure: kind.name().to_owned() },
        };
        Ok(Response::new(reply))
    }

    async fn await_position(
        &self,
        request: Request<v1::PositionRequest>,
    ) -> Result<Response<v1::PositionReply>, Status> {
        let request = request.into_inner();
        let position = request.position.unwrap_or_default().into();
        let local = self.shared.local_target(&request.database.into(), &request.server.into());
        let Some(local) = local else {
            return Ok(Response::new(v1::PositionReply::default()));
        };
        let wait = Micros::from_millis(request.wait_ms.into()).min(POSITION_WAIT_LIMIT);
        let reached = local.await_position(position, wait).await;
        let position = local.status.borrow().map(|status| status.position.into());
        Ok(Response::new(v1::PositionReply { reached, position }))
    }
}

impl BrokerService {
    fn local_high_water_mark(
        &self,
        database: &SharedName,
    ) -> Result<banyansill_core::position::LogPosition, FailureKind> {
        let route = self.shared.route(database).ok_or(FailureKind::UnknownDatabase)?;
        let primary = route.open_primary().ok_or(FailureKind::NoPrimary)?;
        let shared = self.shared.local_target(database, &primary.server);
        shared.ok_or(FailureKind::WrongEpoch)?.high_water_mark()
    }
}

async fn forward(mut stream: Streaming<v1::BrokerInput>, input: mpsc::Sender<LinkInput>) {
    loop {
        let message = tokio::select! {
            message = stream.message() => message,
            () = input.closed() => return,
        };
        // If the stream breaks, the sender is dropped, which releases the grant.
        let Ok(Some(message)) = message else { return };
        let Some(message) = input_from_wire(message) else { return };
        if input.send(message).await.is_err() {
            return;
        }
    }
}
