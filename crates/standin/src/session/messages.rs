//! Encoding of messages to callers.

use {
    crate::{error::SqlError, sql::plan::OutputColumn, value::Value},
    bytes::BytesMut,
    pgwire::messages::{
        Message,
        data::{DataRow, FieldDescription, RowDescription},
        response::ErrorResponse,
    },
    std::io,
};

/// Appends a message.
pub fn encode<M>(message: &M, output: &mut BytesMut) -> io::Result<()>
where
    M: Message,
{
    message.encode(output).map_err(io::Error::other)
}

/// Returns an error response; `severity` is `ERROR` or `FATAL`.
pub fn error_response(severity: &str, error: &SqlError) -> ErrorResponse {
    ErrorResponse::new(vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', error.sqlstate.to_owned()),
        (b'M', error.message.clone()),
    ])
}

/// Returns whether a column is sent in binary form.
pub fn is_binary(formats: &[i16], column: usize) -> bool {
    match formats {
        [] => false,
        [format] => *format == 1,
        formats => formats.get(column) == Some(&1),
    }
}

/// Returns the description of a result.
pub fn row_description(columns: &[OutputColumn], formats: &[i16]) -> RowDescription {
    let mut fields = Vec::with_capacity(columns.len());
    for (index, column) in columns.iter().enumerate() {
        let format = i16::from(is_binary(formats, index));
        let kind = column.kind;
        let name = column.name.clone();
        fields.push(FieldDescription::new(name, 0, 0, kind.oid(), kind.size(), -1, format));
    }
    RowDescription::new(fields)
}

/// Returns a row of a result.
pub fn data_row(columns: &[OutputColumn], formats: &[i16], row: &[Value]) -> DataRow {
    let mut data = BytesMut::new();
    for (index, (column, value)) in columns.iter().zip(row).enumerate() {
        value.encode(column.kind, is_binary(formats, index), &mut data);
    }
    DataRow::new(data, i16::try_from(columns.len()).unwrap_or(i16::MAX))
}
