//! Connection that sends single messages and reads the answers one by one.

use {
    banyansill_standin::ServerHandle,
    bytes::BytesMut,
    postgres_protocol::{
        IsNull,
        message::{backend::Message, frontend},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
    },
    tokio_postgres::fallible_iterator::FallibleIterator,
};

pub struct RawClient {
    stream: TcpStream,
    input: BytesMut,
    pub position: String,
}

impl RawClient {
    pub async fn open(server: &ServerHandle) -> Self {
        let stream = TcpStream::connect(server.address()).await.unwrap();
        let mut client = Self { stream, input: BytesMut::new(), position: String::new() };
        let mut output = BytesMut::new();
        let parameters = [("user", "caller"), ("database", "hamper")];
        frontend::startup_message(parameters, &mut output).unwrap();
        client.send(output).await;
        client.until_ready().await;
        client
    }

    /// Sends raw bytes on a new connection and returns what the server sends until `count` bytes
    /// have come or it closes the connection.
    pub async fn exchange(server: &ServerHandle, output: &[u8], count: usize) -> Vec<u8> {
        let mut stream = TcpStream::connect(server.address()).await.unwrap();
        stream.write_all(output).await.unwrap();
        let mut input = Vec::new();
        while input.len() < count && stream.read_buf(&mut input).await.unwrap() > 0 {}
        input
    }

    pub async fn send(&mut self, output: BytesMut) {
        self.stream.write_all(&output).await.unwrap();
    }

    /// Sends a simple query and returns the answers up to `ReadyForQuery`.
    pub async fn query(&mut self, text: &str) -> Vec<String> {
        let mut output = BytesMut::new();
        frontend::query(text, &mut output).unwrap();
        self.send(output).await;
        self.until_ready().await
    }

    /// Returns the answers up to `ReadyForQuery` in short form.
    pub async fn until_ready(&mut self) -> Vec<String> {
        let mut answers = Vec::new();
        loop {
            let answer = self.next().await;
            let done = answer.starts_with("ready");
            answers.push(answer);
            if done {
                return answers;
            }
        }
    }

    /// Returns the next answer in short form.
    pub async fn next(&mut self) -> String {
        loop {
            if let Some(message) = Message::parse(&mut self.input).unwrap() {
                return self.text(message);
            }
            let count = self.stream.read_buf(&mut self.input).await.unwrap();
            assert!(count > 0, "the server closed the connection");
        }
    }

    fn text(&mut self, message: Message) -> String {
        match message {
            Message::ReadyForQuery(body) => format!("ready {}", char::from(body.status())),
            Message::CommandComplete(body) => format!("complete {}", body.tag().unwrap()),
            Message::ErrorResponse(body) => {
                let mut fields = body.fields();
                let mut code = String::new();
                while let Some(field) = fields.next().unwrap() {
                    if field.type_() == b'C' {
                        code = String::from_utf8_lossy(field.value_bytes()).into_owned();
                    }
                }
                format!("error {code}")
            }
            Message::ParameterStatus(body) => {
                let (name, value) = (body.name().unwrap(), body.value().unwrap());
                if name == "group_position" {
                    self.position = value.to_owned();
                }
                format!("status {name} {value}")
            }
            Message::DataRow(_) => "row".to_owned(),
            Message::RowDescription(_) => "description".to_owned(),
            Message::ParameterDescription(_) => "parameters".to_owned(),
            Message::NoData => "no data".to_owned(),
            Message::ParseComplete => "parsed".to_owned(),
            Message::BindComplete => "bound".to_owned(),
            Message::CloseComplete => "closed".to_owned(),
            Message::PortalSuspended => "suspended".to_owned(),
            Message::EmptyQueryResponse => "empty".to_owned(),
            Message::AuthenticationOk => "authenticated".to_owned(),
            Message::BackendKeyData(_) => "key".to_owned(),
            _ => "other".to_owned(),
        }
    }
}

/// Appends `Parse` and `Bind` for unnamed objects without parameters.
pub fn parse_and_bind(text: &str, output: &mut BytesMut) {
    frontend::parse("", text, [], output).unwrap();
    let none: [i32; 0] = [];
    let bound = frontend::bind("", "", [], none, |_, _| Ok(IsNull::Yes), [], output);
    assert!(bound.is_ok());
}
