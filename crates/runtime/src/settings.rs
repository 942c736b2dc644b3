//! Settings files in JSON with comments, with all faults reported at once.
//!
//! A settings type reads its fields through a [`SettingsReader`], which collects faults with their
//! position in the file instead of stopping at the first.

use {
    jsonc_parser::{
        CollectOptions, ParseOptions,
        ast::{Object, ObjectPropName, Value},
        common::{Range, Ranged},
        parse_to_ast,
    },
    miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode},
    std::{
        fmt, fs,
        path::{Path, PathBuf},
        str::FromStr,
    },
};

/// Exit code of a process whose settings or arguments are invalid.
pub const EXIT_USAGE: i32 = 2;

/// One fault in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// Path of the field, such as `control[1]`.
    pub field: String,
    /// What is wrong.
    pub message: String,
    /// Byte range in the file.
    pub range: (usize, usize),
}

/// All faults of one settings file.
#[derive(Debug)]
pub struct SettingsReport {
    source: NamedSource<String>,
    /// The faults in the order of the fields.
    pub faults: Vec<SettingsFault>,
}

impl fmt::Display for SettingsReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} fault(s) in the settings", self.faults.len())?;
        if !self.source.inner().is_empty() {
            return Ok(());
        }
        // Labels refer to text, so faults of a file that is empty or cannot be read are listed here.
        for fault in &self.faults {
            write!(formatter, "; {}: {}", self.source.name(), fault.message)?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsReport {}

impl Diagnostic for SettingsReport {
    fn code<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        Some(Box::new("banyansill::settings"))
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        Some(Box::new(self.faults.iter().map(|fault| {
            let (start, end) = fault.range;
            let text = if fault.field.is_empty() {
                fault.message.clone()
            } else {
                format!("{}: {}", fault.field, fault.message)
            };
            LabeledSpan::new(Some(text), start, end.saturating_sub(start).max(1))
        })))
    }
}

/// Type that can be read from a settings file.
pub trait SettingsSource: Sized {
    /// Reads the fields; records faults in the reader and may return any value for an invalid field.
    fn read(reader: &mut SettingsReader<'_>) -> Self;
}

/// Reads one object of a settings file and collects faults.
#[derive(Debug)]
pub struct SettingsReader<'a> {
    object: Option<&'a Object<'a>>,
    path: String,
    range: (usize, usize),
    /// Names of the fields that the settings type has read; all others are reported as unknown.
    known: Vec<String>,
    faults: Vec<SettingsFault>,
}

impl<'a> SettingsReader<'a> {
    const fn new(object: Option<&'a Object<'a>>, path: String, range: (usize, usize)) -> Self {
        Self { object, path, range, known: Vec::new(), faults: Vec::new() }
    }

    /// Returns a required field parsed from a string.
    pub fn parsed<T>(&mut self, field: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let value = self.optional_parsed(field);
        if value.is_none() && self.find(field).is_none() {
            self.missing(field);
        }
        value
    }

    /// Returns an optional field parsed from a string.
    pub fn optional_parsed<T>(&mut self, field: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let value = self.find(field)?;
        let Value::StringLit(literal) = value else {
            self.fault_at(field, "expected a string", value.range());
            return None;
        };
        match literal.value.parse() {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                self.fault_at(field, &format!("{error}: {:?}", literal.value), value.range());
                None
            }
        }
    }

    /// Returns a required, non-empty string.
    pub fn string(&mut self, field: &str) -> String {
        let text: String = self.parsed(field).unwrap_or_default();
        if text.is_empty() && self.find(field).is_some() {
            self.fault(field, "must not be empty");
        }
        text
    }

    /// Returns an optional string.
    pub fn optional_string(&mut self, field: &str) -> Option<String> {
        self.optional_parsed(field)
    }

    /// Returns an optional path.
    pub fn optional_path(&mut self, field: &str) -> Option<PathBuf> {
        self.optional_parsed(field)
    }

    /// Returns an integer within `low..=high`, or `default` if the field is absent.
    pub fn number(&mut self, field: &str, default: u64, low: u64, high: u64) -> u64 {
        let Some(value) = self.find(field) else { return default };
        let Value::NumberLit(literal) = value else {
            self.fault_at(field, "expected a whole number", value.range());
            return default;
        };
        let Ok(number) = literal.value.parse::<u64>() else {
            self.fault_at(field, "expected a whole number of 0 or more", value.range());
            return default;
        };
        if number < low || number > high {
            let message = format!("must be from {low} to {high}");
            self.fault_at(field, &message, value.range());
            return default;
        }
        number
    }

    /// Returns a boolean, or `default` if the field is absent.
    pub fn boolean(&mut self, field: &str, default: bool) -> bool {
        let Some(value) = self.find(field) else { return default };
        let Value::BooleanLit(literal) = value else {
            self.fault_at(field, "expected true or false", value.range());
            return default;
        };
        literal.value
    }

    /// Returns a list of values parsed from strings; an absent field is an empty list.
    pub fn list<T>(&mut self, field: &str) -> Vec<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let mut items = Vec::new();
        let Some(value) = self.find(field) else { return items };
        let Value::Array(array) = value else {
            self.fault_at(field, "expected a list", value.range());
            return items;
        };
        for (index, element) in array.elements.iter().enumerate() {
            let element_path = format!("{field}[{index}]");
            let Value::StringLit(literal) = element else {
                self.fault_at(&element_path, "expected a string", element.range());
                continue;
            };
            match literal.value.parse() {
                Ok(item) => items.push(item),
                Err(error) => {
                    let message = format!("{error}: {:?}", literal.value);
                    self.fault_at(&element_path, &message, element.range());
                }
            }
        }
        items
    }

    /// Returns a nested settings object; an absent field reads as an empty object.
    pub fn nested<T>(&mut self, field: &str) -> T
    where
        T: SettingsSource,
    {
        let value = self.find(field);
        let (object, range) = match value {
            Some(Value::Object(object)) => (Some(object), span(object.range)),
            Some(other) => {
                self.fault_at(field, "expected an object", other.range());
                (None, span(other.range()))
            }
            None => (None, self.range),
        };
        let mut reader = SettingsReader::new(object, self.field_path(field), range);
        let item = T::read(&mut reader);
        self.faults.extend(reader.finish());
        item
    }

    /// Returns a nested settings object, or `None` if the field is absent.
    pub fn optional_nested<T>(&mut self, field: &str) -> Option<T>
    where
        T: SettingsSource,
    {
        self.find(field)?;
        Some(self.nested(field))
    }

    /// Returns a list of settings objects; an absent field is an empty list.
    pub fn objects<T>(&mut self, field: &str) -> Vec<T>
    where
        T: SettingsSource,
    {
        let mut items = Vec::new();
        let Some(value) = self.find(field) else { return items };
        let Value::Array(array) = value else {
            self.fault_at(field, "expected a list", value.range());
            return items;
        };
        for (index, element) in array.elements.iter().enumerate() {
            let element_path = format!("{field}[{index}]");
            let Value::Object(object) = element else {
                self.fault_at(&element_path, "expected an object", element.range());
                continue;
            };
            let path = self.field_path(&element_path);
            let mut reader = SettingsReader::new(Some(object), path, span(object.range));
            items.push(T::read(&mut reader));
            self.faults.extend(reader.finish());
        }
        items
    }

    /// Records a fault of a field, or of an element of a list such as `control[1]`.
    pub fn fault(&mut self, field: &str, message: &str) {
        // A missing field is reported at the opening brace of its object.
        let (start, _) = self.range;
        let value = self.element(field).or_else(|| self.find(field));
        let range = value.map_or((start, start + 1), |value| span(value.range()));
        let field = self.field_path(field);
        self.faults.push(SettingsFault { field, message: message.to_owned(), range });
    }

    fn missing(&mut self, field: &str) {
        self.fault(field, "is missing");
    }

    fn fault_at(&mut self, field: &str, message: &str, range: Range) {
        let field = self.field_path(field);
        self.faults.push(SettingsFault { field, message: message.to_owned(), range: span(range) });
    }

    fn find(&mut self, field: &str) -> Option<&'a Value<'a>> {
        if !self.known.iter().any(|known| known == field) {
            self.known.push(field.to_owned());
        }
        let object = self.object?;
        let property =
            object.properties.iter().find(|property| property_name(&property.name) == field)?;
        Some(&property.value)
    }

    fn element(&mut self, path: &str) -> Option<&'a Value<'a>> {
        let (field, index) = path.strip_suffix(']')?.rsplit_once('[')?;
        let Some(Value::Array(array)) = self.find(field) else { return None };
        array.elements.get(index.parse::<usize>().ok()?)
    }

    fn field_path(&self, field: &str) -> String {
        if self.path.is_empty() { field.to_owned() } else { format!("{}.{field}", self.path) }
    }

    fn finish(mut self) -> Vec<SettingsFault> {
        let Some(object) = self.object else { return self.faults };
        let mut seen: Vec<&str> = Vec::new();
        for property in &object.properties {
            let name = property_name(&property.name);
            if !self.known.iter().any(|known| known == name) {
                self.fault_at(name, "is not a known field", property.range);
            }
            if seen.contains(&name) {
                self.fault_at(name, "is given twice", property.range);
            }
            seen.push(name);
        }
        self.faults
    }
}

fn property_name<'a>(name: &'a ObjectPropName<'a>) -> &'a str {
    match name {
        ObjectPropName::String(literal) => &literal.value,
        ObjectPropName::Word(word) => word.value,
    }
}

const fn span(range: Range) -> (usize, usize) {
    (range.start, range.end)
}

/// Reads a settings file.
///
/// # Errors
///
/// Returns a report of all faults if the file cannot be read or is not valid.
pub fn load<T>(path: &Path) -> Result<T, SettingsReport>
where
    T: SettingsSource,
{
    let name = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => parse(&name, &text),
        Err(error) => Err(report(&name, "", vec![file_fault(&format!("cannot be read: {error}"))])),
    }
}

/// Reads settings from text; `name` is the file's name in reports.
///
/// # Errors
///
/// Returns a report of all faults if the text is not valid.
pub fn parse<T>(name: &str, text: &str) -> Result<T, SettingsReport>
where
    T: SettingsSource,
{
    let parsed = match parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default()) {
        Ok(parsed) => parsed,
        Err(error) => {
            let fault = SettingsFault {
                field: String::new(),
                message: error.kind().to_string(),
                range: span(error.range()),
            };
            return Err(report(name, text, vec![fault]));
        }
    };
    let Some(Value::Object(object)) = &parsed.value else {
        return Err(report(name, text, vec![file_fault("expected an object")]));
    };
    let mut reader = SettingsReader::new(Some(object), String::new(), span(object.range));
    let settings = T::read(&mut reader);
    let faults = reader.finish();
    if faults.is_empty() { Ok(settings) } else { Err(report(name, text, faults)) }
}

fn file_fault(message: &str) -> SettingsFault {
    SettingsFault { field: String::new(), message: message.to_owned(), range: (0, 0) }
}

fn report(name: &str, text: &str, faults: Vec<SettingsFault>) -> SettingsReport {
    SettingsReport { source: NamedSource::new(name, text.to_owned()), faults }
}
