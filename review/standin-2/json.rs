//! A small JSON reader and writer.

use std::collections::BTreeMap;
use std::fmt;

/// JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a whole text; `None` if it is not valid JSON.
    pub fn parse(text: &str) -> Option<Self> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        let value = reader.value()?;
        reader.skip_space();
        (reader.at == reader.bytes.len()).then_some(value)
    }

    /// Returns a table of the given fields.
    pub fn table(fields: &[(&str, Json)]) -> Self {
        let field = |(key, value): &(&str, Json)| ((*key).to_owned(), value.clone());
        Self::Table(fields.iter().map(field).collect())
    }

    /// Returns a text value.
    pub fn text(value: &str) -> Self {
        Self::Text(value.to_owned())
    }

    /// Returns a number value.
    pub fn number(value: u64) -> Self {
        Self::Number(value as f64)
    }

    /// Returns a field of a table.
    pub fn get(&self, key: &str) -> Option<&Self> {
        if let Self::Table(fields) = self { fields.get(key) } else { None }
    }

    /// Returns a text field; empty if it is absent.
    pub fn get_text(&self, key: &str) -> String {
        match self.get(key) {
            Some(Self::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    /// Returns a number field; 0 if it is absent.
    pub fn get_number(&self, key: &str) -> u64 {
        match self.get(key) {
            Some(Self::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    /// Returns the entries of a list field; none if it is absent.
    pub fn get_list(&self, key: &str) -> Vec<Json> {
        match self.get(key) {
            Some(Self::List(entries)) => entries.clone(),
            _ => Vec::new(),
        }
    }
}

impl fmt::Display for Json {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Null => formatter.write_str("null"),
            Self::Bool(flag) => write!(formatter, "{flag}"),
            Self::Number(number) => write!(formatter, "{number}"),
            Self::Text(text) => write_text(formatter, text),
            Self::List(entries) => {
                formatter.write_str("[")?;
                for (index, entry) in entries.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    write!(formatter, "{comma}{entry}")?;
                }
                formatter.write_str("]")
            }
            Self::Table(fields) => {
                formatter.write_str("{")?;
                for (index, (key, value)) in fields.iter().enumerate() {
                    formatter.write_str(if index > 0 { "," } else { "" })?;
                    write_text(formatter, key)?;
                    write!(formatter, ":{value}")?;
                }
                formatter.write_str("}")
            }
        }
    }
}

fn write_text(formatter: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    formatter.write_str("\"")?;
    for character in text.chars() {
        match character {
            '"' => formatter.write_str("\\\"")?,
            '\\' => formatter.write_str("\\\\")?,
            control if (control as u32) < 0x20 => {
                write!(formatter, "\\u{:04x}", control as u32)?;
            }
            other => write!(formatter, "{other}")?,
        }
    }
    formatter.write_str("\"")
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.skip_space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn literal(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.bytes.get(self.at)? {
            b'{' => self.read_table(),
            b'[' => self.read_list(),
            b'"' => self.read_text().map(Json::Text),
            b't' => self.literal("true", Json::Bool(true)),
            b'f' => self.literal("false", Json::Bool(false)),
            b'n' => self.literal("null", Json::Null),
            _ => self.read_number(),
        }
    }

    fn read_table(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = BTreeMap::new();
        if self.take(b'}').is_some() {
            return Some(Json::Table(fields));
        }
        loop {
            self.skip_space();
            let key = self.read_text()?;
            self.take(b':')?;
            fields.insert(key, self.value()?);
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Json::Table(fields));
            }
        }
    }

    fn read_list(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut entries = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(entries));
        }
        loop {
            entries.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Json::List(entries));
            }
        }
    }

    fn read_text(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let character = match escaped {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => self.read_unicode()?,
                        other => char::from(other),
                    };
                    bytes.extend_from_slice(character.to_string().as_bytes());
                }
                other => bytes.push(other),
            }
        }
    }

    fn read_unicode(&mut self) -> Option<char> {
        let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
        self.at += 4;
        char::from_u32(u32::from_str_radix(digits, 16).ok()?)
    }

    fn read_number(&mut self) -> Option<Json> {
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        let length = self.bytes[self.at..].iter().take_while(|byte| is_part(byte)).count();
        let text = std::str::from_utf8(&self.bytes[self.at..self.at + length]).ok()?;
        self.at += length;
        text.parse().ok().map(Json::Number)
    }
}
