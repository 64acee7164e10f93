//! JSON values, without a library, so that the review adds no dependency.

use std::collections::BTreeMap;
use std::fmt::{self, Write};

/// JSON value; numbers are kept as integers if they are written as such.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Int(i64),
    Float(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a text; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { bytes: text.as_bytes(), position: 0 };
        let value = parser.value()?;
        parser.skip_space();
        (parser.position == parser.bytes.len()).then_some(value)
    }

    /// Returns a member of a map.
    pub fn get(&self, key: &str) -> Option<&Json> {
        match self {
            Json::Map(map) => map.get(key),
            _ => None,
        }
    }

    pub fn int(&self) -> Option<i64> {
        match self {
            Json::Int(number) => Some(*number),
            Json::Float(number) => Some(*number as i64),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    /// Returns an integer member, or a default.
    pub fn int_or(&self, key: &str, default: i64) -> i64 {
        self.get(key).and_then(Json::int).unwrap_or(default)
    }

    /// Returns a text member, or an empty text.
    pub fn text_or_empty(&self, key: &str) -> String {
        self.get(key).and_then(Json::text).unwrap_or_default().to_owned()
    }
}

/// Builds a map.
pub fn map<const N: usize>(members: [(&str, Json); N]) -> Json {
    Json::Map(members.into_iter().map(|(key, value)| (key.to_owned(), value)).collect())
}

pub fn text(value: impl Into<String>) -> Json {
    Json::Text(value.into())
}

pub fn int(value: impl TryInto<i64>) -> Json {
    Json::Int(value.try_into().unwrap_or(i64::MAX))
}

impl fmt::Display for Json {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => out.write_str("null"),
            Json::Bool(value) => write!(out, "{value}"),
            Json::Int(value) => write!(out, "{value}"),
            Json::Float(value) => write!(out, "{value}"),
            Json::Text(value) => write_text(out, value),
            Json::List(list) => {
                out.write_char('[')?;
                for (index, value) in list.iter().enumerate() {
                    if index > 0 {
                        out.write_char(',')?;
                    }
                    write!(out, "{value}")?;
                }
                out.write_char(']')
            }
            Json::Map(map) => {
                out.write_char('{')?;
                for (index, (key, value)) in map.iter().enumerate() {
                    if index > 0 {
                        out.write_char(',')?;
                    }
                    write_text(out, key)?;
                    write!(out, ":{value}")?;
                }
                out.write_char('}')
            }
        }
    }
}

fn write_text(out: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    out.write_char('"')?;
    for character in text.chars() {
        match character {
            '"' => out.write_str("\\\"")?,
            '\\' => out.write_str("\\\\")?,
            '\n' => out.write_str("\\n")?,
            other if (other as u32) < 0x20 => write!(out, "\\u{:04x}", other as u32)?,
            other => out.write_char(other)?,
        }
    }
    out.write_char('"')
}

struct Parser<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.position).is_some_and(u8::is_ascii_whitespace) {
            self.position += 1;
        }
    }

    fn eat(&mut self, byte: u8) -> Option<()> {
        self.skip_space();
        if *self.bytes.get(self.position)? != byte {
            return None;
        }
        self.position += 1;
        Some(())
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let rest = &self.bytes[self.position..];
        if !rest.starts_with(word.as_bytes()) {
            return None;
        }
        self.position += word.len();
        Some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match *self.bytes.get(self.position)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => self.array(),
            b'{' => self.object(),
            _ => self.number(),
        }
    }

    fn array(&mut self) -> Option<Json> {
        self.eat(b'[')?;
        let mut list = Vec::new();
        if self.eat(b']').is_some() {
            return Some(Json::List(list));
        }
        loop {
            list.push(self.value()?);
            if self.eat(b',').is_none() {
                self.eat(b']')?;
                return Some(Json::List(list));
            }
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.eat(b'{')?;
        let mut members = BTreeMap::new();
        if self.eat(b'}').is_some() {
            return Some(Json::Map(members));
        }
        loop {
            self.skip_space();
            let key = self.string()?;
            self.eat(b':')?;
            members.insert(key, self.value()?);
            if self.eat(b',').is_none() {
                self.eat(b'}')?;
                return Some(Json::Map(members));
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.eat(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.position)?;
            self.position += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.position)?;
                    self.position += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'b' => bytes.push(8),
                        b'f' => bytes.push(12),
                        b'u' => {
                            let digits = self.bytes.get(self.position..self.position + 4)?;
                            self.position += 4;
                            let code =
                                u32::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
                            let character = char::from_u32(code).unwrap_or('\u{fffd}');
                            let mut buffer = [0; 4];
                            bytes.extend_from_slice(character.encode_utf8(&mut buffer).as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.position;
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        while self.bytes.get(self.position).is_some_and(is_part) {
            self.position += 1;
        }
        let digits = std::str::from_utf8(&self.bytes[start..self.position]).ok()?;
        if let Ok(value) = digits.parse::<i64>() {
            return Some(Json::Int(value));
        }
        digits.parse::<f64>().ok().map(Json::Float)
    }
}

/// Encodes bytes as standard base64 with padding.
pub fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let group = chunk.iter().fold(0u32, |group, byte| group << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            if index <= chunk.len() {
                let digit = group >> (18 - 6 * index) & 63;
                out.push(char::from(DIGITS[digit as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
